package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/siteconfig"
)

// Requests are forwarded with the same method, target, body, id, idempotency key and tenant, and responses with the
// same body and content type.
func TestRequestsAndResponsesAreForwarded(t *testing.T) {
	type forwardedRequest struct {
		r    *http.Request
		body string
	}
	forwarded := make(chan forwardedRequest, 64)
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		forwarded <- forwardedRequest{r, string(b)}
		if w.Header()["Content-Type"] = nil; r.Method == "GET" {
			w.Header().Set("Content-Type", "application/x-card")
		}
		w.Header().Set("Endpoint-Load-Metrics", "TEXT busy_reqs=1")
		io.WriteString(w, "\x00card "+string(b))
	})
	s := start(t, configureStatic(t, instances(addr)))
	for _, r := range []*http.Request{
		safeRequest(480),
		request("GET", "/look/a%2Fb?x=%20y&z", "look", 480, ""),
		// The response to this request has the maximum size.
		request("POST", "/book", "book", 480, strings.Repeat("b", siteconfig.MaxBodyBytes-6)),
		request("POST", "/pay?p=1", "pay", 480, ""),
	} {
		body, _ := io.ReadAll(r.Body)
		if len(body) > 0 {
			r.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		resp, text := s.request(t, r)
		contentType := "" // the sidecar must not guess a type if the endpoint sends none
		if r.Method == "GET" {
			contentType = "application/x-card"
		}
		if resp.StatusCode != 200 || text != "\x00card "+string(body) ||
			resp.Header.Get("Content-Type") != contentType {
			t.Errorf("%s: %s, %d bytes, %v", r.RequestURI, resp.Status, len(text), resp.Header)
			continue
		}
		received := <-forwarded
		if received.body != string(body) {
			t.Errorf("%s: the endpoint received %d bytes of %d, or different ones",
				r.RequestURI, len(received.body), len(body))
		}
		checkForwarded(t, r, received.r)
	}
}

// checkForwarded checks the head that an endpoint received for a request with a timeout of 480 ms.
func checkForwarded(t *testing.T, sent, received *http.Request) {
	t.Helper()
	if received.Method != sent.Method || received.RequestURI != sent.RequestURI {
		t.Errorf("sent %s %s, the endpoint received %s %s",
			sent.Method, sent.RequestURI, received.Method, received.RequestURI)
	}
	for _, h := range []string{"X-Trace-Id", "Idempotency-Key", "X-Customer"} {
		if received.Header.Get(h) != sent.Header.Get(h) {
			t.Errorf("%s: sent %q, the endpoint received %q", h, sent.Header.Get(h), received.Header.Get(h))
		}
	}
	// The endpoint gets the timeout of the attempt, which is shorter than the client's timeout.
	if ms, err := strconv.Atoi(received.Header.Get("X-Expires-In-Ms")); err != nil || ms >= 480 || ms < 1 {
		t.Errorf("X-Expires-In-Ms %q, want under 480", received.Header.Get("X-Expires-In-Ms"))
	}
	if len(received.Header["Accept-Encoding"]) != 0 {
		t.Error("the sidecar added Accept-Encoding")
	}
}

// A malformed request gets a 4xx response and is not sent to an endpoint.
func TestBadRequests(t *testing.T) {
	var sent atomic.Int32
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	s := start(t, configureStatic(t, instances(addr)))
	s.checkInvalidRequests(t)
	s.checkMalformedTexts(t)
	if n := sent.Load(); n != 0 {
		t.Errorf("%d attempts for bad requests", n)
	}
}

// checkInvalidRequests checks the error status of requests that are correct HTTP but violate another rule.
func (s *testSidecar) checkInvalidRequests(t *testing.T) {
	t.Helper()
	without := func(r *http.Request, header string) *http.Request {
		r.Header.Del(header)
		return r
	}
	with := func(r *http.Request, header, value string) *http.Request {
		r.Header.Set(header, value)
		return r
	}
	for _, tc := range []struct {
		name string
		r    *http.Request
		want int
	}{
		{"unknown class", request("GET", "/sell", "sell", 400, ""), 404},
		{"no class", without(request("GET", "/", "look", 400, ""), "X-Qos"), 404},
		{"path and header of two classes", request("GET", "/look", "pay", 400, ""), 400},
		{"no id", without(safeRequest(400), "X-Trace-Id"), 400},
		{"keyed without key", without(request("POST", "/book", "book", 400, "x"), "Idempotency-Key"), 400},
		{"wrong method", request("POST", "/look", "look", 400, "x"), 405},
		{"timeout in words", with(safeRequest(400), "X-Expires-In-Ms", "peer.Soon"), 400},
		{"negative timeout", safeRequest(-1), 400},
		{"large head", with(safeRequest(400), "X-Props", strings.Repeat("x", 2*http1.MaxHeaderBytes)), 431},
	} {
		if resp, _ := s.request(t, tc.r); resp.StatusCode != tc.want {
			t.Errorf("%s: %s, want %d", tc.name, resp.Status, tc.want)
		}
	}
}

// checkMalformedTexts checks the error status of texts that are not correct HTTP, or that two HTTP implementations
// could parse differently.
func (s *testSidecar) checkMalformedTexts(t *testing.T) {
	t.Helper()
	head := func(lines ...string) string {
		return "POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\n" +
			strings.Join(append(lines, "\r\n"), "\r\n")
	}
	smuggled := head("Content-Length: 0")
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	for _, tc := range []struct{ name, text, want string }{
		{"no HTTP", "LOOK\r\n\r\n", "400"},
		{"endless head", "GET /look HTTP/1.1\r\nX: " + strings.Repeat("x", http1.MaxHeaderBytes), "431"},
		{"hidden request", head("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled, "400"},
		{"chunks with HTTP/1.0",
			strings.Replace(head("Content-Length: 5", "Transfer-Encoding: chunked"), "1.1", "1.0", 1) + chunked, "400"},
		{"unknown encoding", head("Content-Length: 5", "Transfer-Encoding: xchunked") + chunked, "400"},
		{"two lengths", head("Content-Length: 5", "Content-Length: 6") + "123456", "400"},
		{"negative length", head("Content-Length: -5"), "400"},
		{"length with a sign", head("Content-Length: +5") + "12345", "400"},
		{"length in words", head("Content-Length: five") + "12345", "400"},
		{"length above 64 bits", head("Content-Length: 99999999999999999999"), "400"},
		{"huge length", head("Content-Length: 3000000000"), "413"},
		{"length too short", head("Content-Length: 5") + "1234567", "400"},
		{"bytes after a request", smuggled + "noise", "400"},
		{"body on GET",
			"GET /look HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nX-Qos: look\r\nContent-Length: 1\r\n\r\nx", "400"},
		{"two ids", head("X-Trace-Id: 2", "Content-Length: 0"), "400"},
		{"two classes", head("X-Qos: pay", "Content-Length: 0"), "400"},
		{"two timeouts", head("X-Expires-In-Ms: 300", "X-Expires-In-Ms: 400", "Content-Length: 0"), "400"},
		{"empty timeout", head("X-Expires-In-Ms:", "Content-Length: 0"), "400"},
		{"timeout with a sign", head("X-Expires-In-Ms: +400", "Content-Length: 0"), "400"},
		{"empty key", head("Idempotency-Key:", "Content-Length: 0"), "400"},
		{"control character", head("X-Props: a\rb", "Content-Length: 0"), "400"},
		{"id of two words", strings.Replace(smuggled, "X-Trace-Id: 1", "X-Trace-Id: 1 2", 1), "400"},
		{"host with a space", strings.Replace(smuggled, "origin.svc", "origin svc", 1), "400"},
		{"Connection lists the key",
			head("Connection: keep-alive, idempotency-key", "Idempotency-Key: k", "Content-Length: 0"), "400"},
		{"Connection lists the id", head("Connection: X-Trace-Id", "Content-Length: 0"), "400"},
		{"Connection lists the tenant",
			head("Connection: close", "Connection: X-Customer", "X-Customer: acme", "Content-Length: 0"), "400"},
		{"two tenants", head("X-Customer: acme", "X-Customer: other", "Content-Length: 0"), "400"},
		{"two objects", head("X-Object: 1", "x-object: 2", "Content-Length: 0"), "400"},
		{"space before the colon", head("X-A : b", "Content-Length: 0"), "400"},
		{"folded field", head("X-A: b", " c", "Content-Length: 0"), "400"},
		{"lone line feed", strings.Replace(smuggled, "svc\r\n", "svc\n", 1), "400"},
		{"lone line feeds only", strings.ReplaceAll(smuggled, "\r", ""), "400"},
		{"many fields", head(strings.Repeat("X-A: b\r\n", http1msg.MaxHeaderFields) + "Content-Length: 0"), "431"},
		{"one length twice", head("Content-Length: 0", "Content-Length: 0"), "400"},
		{"two spaces", strings.Replace(smuggled, "/pay", " /pay", 1), "400"},
		{"wrong expectation", head("Expect: wonders", "Content-Length: 0"), "417"},
	} {
		c := s.dial(t)
		io.WriteString(c, tc.text)
		c.SetReadDeadline(time.Now().Add(http1.RequestTimeout / 2))
		if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 "+tc.want+" ") ||
			strings.Count(string(got), "HTTP/1.1") != 1 {
			t.Errorf("%s: got %q, %v, want one response %s and EOF", tc.name, got, err, tc.want)
		}
		c.Close()
	}
}

// Requests are not rejected if the endpoints respond in a fraction of a millisecond.
func TestFastEndpoints(t *testing.T) {
	var addrs []string
	for range 4 {
		addrs = append(addrs, scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {}))
	}
	s := start(t, configureStatic(t, instances(addrs...)))
	c := s.dial(t)
	for i := range 1500 {
		if resp, _ := s.requestOn(t, c, safeRequest(900)); resp.StatusCode != 200 {
			t.Fatalf("request %d: %s", i, resp.Status)
		}
	}
}

// Clients still connect for a while after a stop request. Each request, also one that was open before, gets a
// response with Connection: close, and the sidecar ends without an error.
func TestStop(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	addr := startBlockingEndpoint(t, "/pay", received, release)
	s := start(t, configureStatic(t, instances(addr)))
	idleConn := s.dial(t)
	if resp, _ := s.requestOn(t, idleConn, safeRequest(900)); resp.Close {
		t.Error("the connection was closed after a response")
	}
	var openRequests sync.WaitGroup
	defer openRequests.Wait()
	openRequests.Go(func() {
		if resp, _ := s.request(t, request("POST", "/pay", "pay", 1000, "x")); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("request open before the stop: %s, close %v", resp.Status, resp.Close)
		}
	})
	scriptedpeer.Receive(t, received, "attempt")
	started := time.Now()
	s.stop()
	idleConn.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	if _, err := idleConn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want it closed", err)
	}
	for time.Since(started) < 450*time.Millisecond {
		if resp, _ := s.request(t, safeRequest(900)); resp.StatusCode != 200 || !resp.Close {
			t.Fatalf("request after the stop: %s, close %v", resp.Status, resp.Close)
		}
	}
	if resp, _ := s.request(t, request("GET", "/-/ready", "", 900, "")); resp.StatusCode != 503 {
		t.Errorf("readiness check after the stop: %s", resp.Status)
	}
	close(release)
	s.checkEnded(t)
	if took := time.Since(started); took < 500*time.Millisecond {
		t.Errorf("stopped accepting after %v", took)
	}
}
