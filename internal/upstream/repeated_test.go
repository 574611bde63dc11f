package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scriptedpeer"
)

// In the tests of this file, two responses are pending at once on a used connection. The response to request 1
// is served. The endpoint then sends two responses after request 2 on the same connection.

// ageBeyondReuseDelay is an age of the last response at which a connection is reusable. It is longer than any
// reuse delay without evidence, and short enough for SuspectResponses to count a response behind which another
// one arrives.
const ageBeyondReuseDelay = 500 * time.Millisecond

// newRepeatedResponseTest returns a test in which request 1 received the response first, and the reuse delay of
// its connection has passed.
func newRepeatedResponseTest(t *testing.T, first string) *secondResponseTest {
	t.Helper()
	s := newSecondResponseTest(t, withReuseDelay(DefaultReuseDelay, false))
	s.exchangeBytes("1", first)
	s.ageResponses(ageBeyondReuseDelay)
	return s
}

// exchangeBytes makes a request to which the endpoint responds with the given bytes. Its policy buffers large
// responses and replaces responses with status 500.
func (s *secondResponseTest) exchangeBytes(id, sent string) engine.AttemptResult {
	s.Helper()
	request := tracedRequest("GET", id)
	request.Policy.MaxBuffered = 1 << 20
	request.Policy.ReplaceErrors = true
	request.Policy.FailureStatus[http.StatusInternalServerError] = true
	result := s.start(s.pool.newAttempt(s.target), request)
	io.WriteString(scriptedpeer.Receive(s, s.endpoint.received, "request "+id).conn, sent)
	return scriptedpeer.Receive(s, result, "result of request "+id)
}

// responseWithField returns a response with a status line, one header field line and a body.
func responseWithField(status, field, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + field + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Guards against a wrong response if two responses were read at once, and against losing the right one. The
// first of the two is discarded only if it repeats the last response on the connection.
func TestTwoPendingResponses(t *testing.T) {
	const dated = "Date: Thu, 03 Dec 2026 20:00:0"
	large := strings.Repeat("x", 2*connReadBufferSize)
	tests := map[string]struct {
		first, second string // bytes that the endpoint sends after requests 1 and 2
		wantBody      string // body of the response to request 2
		wantSurplus   uint64
		wantSuspect   uint64
	}{
		"the first repeated, sent later": {responseWithField("200 OK", dated+"1 GMT", "1"),
			responseWithField("200 OK", dated+"2 GMT", "1") + responseFor("2"), "2", 1, 0},
		"the first repeated, larger than the read buffer": {responseFor(large),
			responseFor(large) + responseFor(large+"2"), large + "2", 1, 0},
		"the first repeated, an error that is replaced": {
			responseWithField("500 Internal Server Error", "Server: a", "1"),
			responseWithField("500 Internal Server Error", "Server: a", "1") + responseFor("2"), "2", 1, 0,
		},
		"the first repeated, behind an interim response": {responseFor("1"),
			"HTTP/1.1 103 Early Hints\r\nLink: </1>\r\n\r\n" + responseFor("1") + responseFor("2"), "2", 1, 0},
		"the first repeated, both repeated": {responseFor("1"),
			responseFor("1") + responseFor("2") + responseFor("2"), "2", 1, 0},
		"the second repeated": {responseFor("1"), responseFor("2") + responseFor("2"), "2", 1, 1},
		"all equal":           {responseFor("1"), responseFor("1") + responseFor("1"), "1", 1, 0},
		"other status than the first": {responseWithField("201 Created", "Server: a", "1"),
			responseWithField("200 OK", "Server: a", "1") + responseFor("2"), "1", 1, 1},
		"other field than the first": {responseWithField("200 OK", "Server: a", "1"),
			responseWithField("200 OK", "Server: b", "1") + responseFor("2"), "1", 1, 1},
		"equal, before an error that closes": {responseFor("1"),
			responseFor("1") + responseWithField("400 Bad Request", "Connection: close", ""), "1", 1, 1},
		"equal, before an announced close": {responseFor("1"),
			responseFor("1") + responseWithField("408 Request Timeout", "Connection: close", ""), "1", 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRepeatedResponseTest(t, tc.first)
			r := s.exchangeBytes("2", tc.second)
			if bodyOf(r) != tc.wantBody || r.Status != balancer.OK {
				t.Errorf("status %v, body %.10q, want %.10q", r.Status, bodyOf(r), tc.wantBody)
			}
			if response, _ := r.Response.(*Response); response != nil && len(response.Interim) > 0 {
				t.Error("request 2 received the interim response to request 1")
			}
			s.checkSurplus(tc.wantSurplus)
			if n := s.pool.SuspectResponses(); n != tc.wantSuspect {
				t.Errorf("%d suspect responses counted, want %d", n, tc.wantSuspect)
			}
			s.checkOpen(0)
		})
	}
}

// Guards against a wrong response if only the start of the right response has arrived behind a second response,
// and against an attempt that waits forever for the remaining bytes.
func TestSecondResponseWithStartOfTheNext(t *testing.T) {
	for name, completed := range map[string]bool{"completed": true, "stalled": false} {
		t.Run(name, func(t *testing.T) {
			s := newRepeatedResponseTest(t, responseFor("1"))
			request := tracedRequest("POST", "2")
			request.Stream = streamedBody()
			request.ResponseTimeout = maxAttemptTime / 4
			result := s.start(s.pool.newAttempt(s.target), request)
			req := scriptedpeer.Receive(t, s.endpoint.received, "request 2")
			statusLine, remainder, _ := strings.Cut(responseFor("2"), "\n")
			io.WriteString(req.conn, responseFor("1")+statusLine+"\n")
			scriptedpeer.Eventually(t, "second response", func() bool { return s.pool.SurplusResponses() == 1 })
			status := balancer.Timeout
			body := ""
			if completed {
				io.WriteString(req.conn, remainder)
				status = balancer.OK
				body = "2"
			}
			if r := scriptedpeer.Receive(t, result, "result"); r.Status != status || bodyOf(r) != body {
				t.Errorf("status %v, body %q, want %v and %q", r.Status, bodyOf(r), status, body)
			}
		})
	}
}

// Guards against a second response to a request whose first response arrived slowly and was therefore streamed.
func TestSecondResponseToStreamedOne(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	s := newSecondResponseTest(t, withReuseDelay(DefaultReuseDelay, false))
	attempt := s.pool.newAttempt(s.target)
	started := make(chan *ResponseStream, 1)
	attempt.ResponseStarted = func(r engine.AttemptResult) bool {
		started <- r.Response.(*Response).Stream
		return true
	}
	result := s.start(attempt, tracedRequest("GET", "1"))
	req := scriptedpeer.Receive(t, s.endpoint.received, "request 1")
	io.WriteString(req.conn, head+"1")
	stream := scriptedpeer.Receive(t, started, "stream")
	io.WriteString(req.conn, "1")
	io.Copy(io.Discard, stream)
	stream.Finish()
	scriptedpeer.Receive(t, result, "result of request 1")
	s.ageResponses(ageBeyondReuseDelay)
	if r := s.exchangeBytes("2", head+"11"+responseFor("2")); bodyOf(r) != "2" {
		t.Errorf("request 2: status %v, body %q", r.Status, bodyOf(r))
	}
}

// Guards against a second response to a health check that is served to a client, and against a second response
// to a client's request that is taken for a load report.
func TestSecondResponsesAroundHealthCheck(t *testing.T) {
	s := newRepeatedResponseTest(t, responseFor("1"))
	r := s.probeWith(responseFor("1") + responseFor(loadReport))
	if r.Load == nil {
		t.Errorf("health check: status %v, want a load report", r.Status)
	}
	s.checkSurplus(1)
	s.probeWith(responseFor(loadReport)) // on a new connection
	s.ageResponses(2 * time.Hour)
	r = s.exchangeBytes("2", responseFor(loadReport)+responseFor("2"))
	if bodyOf(r) != "2" {
		t.Errorf("request 2: status %v, body %q", r.Status, bodyOf(r))
	}
	s.checkSurplus(2)
}
