package upstream

import (
	"net/http"
	"testing"
)

// Guards against a rejection that the engine does not recognize as one, so that it is forwarded after another attempt
// may have run.
func TestPromisesHarmlessRetry(t *testing.T) {
	neverRan := http.Header{"X-Never-Ran": {"1"}}
	for _, tc := range []struct {
		status int
		header http.Header
		want   bool
	}{
		{200, nil, false}, {404, nil, false}, {500, nil, false}, {502, nil, false}, {504, nil, false},
		{429, nil, true}, {503, nil, true}, {503, http.Header{"Retry-After": {"1"}}, true},
		{503, neverRan, true}, {504, neverRan, true}, {500, neverRan, true},
		{504, http.Header{"X-Never-Ran": {"0"}}, false},
	} {
		if got := promisesHarmlessRetry(&Response{StatusCode: tc.status, Header: tc.header}); got != tc.want {
			t.Errorf("status %d with header %v: %v, want %v", tc.status, tc.header, got, tc.want)
		}
	}
}
