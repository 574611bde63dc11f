package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"dunlinsail/internal/eventlog"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// The event log contains each attempt with the endpoint's name and each connection with the endpoint's address, and
// eventlog.Read can decode it.
func TestEventsAreLogged(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") })
	c := configureStatic(t, instances(addr))
	var out bytes.Buffer
	c.Events = &out
	s := start(t, c)
	for range 3 {
		if resp, _ := s.request(t, safeRequest(900)); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	s.stop()
	require.NoError(t, <-s.serveResult)
	loggedEvents, err := eventlog.Read(&out)
	require.NoError(t, err)
	counts := map[eventlog.Kind]int{}
	for _, e := range loggedEvents {
		counts[e.Kind]++
		endpointMatches := e.Endpoint == "s-1"
		if e.Kind == eventlog.ConnOpened || e.Kind == eventlog.ConnClosed {
			endpointMatches = e.Endpoint == addr
		}
		if !endpointMatches && e.Kind != eventlog.DiscoveryPolled || e.At == 0 {
			t.Errorf("unexpected event %+v", e)
		}
	}
	if counts[eventlog.AttemptStarted] != 3 || counts[eventlog.AttemptEnded] != 3 ||
		counts[eventlog.EndpointUpdated] != 1 ||
		counts[eventlog.ConnOpened] == 0 || counts[eventlog.ConnClosed] != counts[eventlog.ConnOpened] ||
		counts[eventlog.DiscoveryPolled] == 0 {
		t.Errorf("unexpected counts %v", counts)
	}
}
