package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// The sidecar may respond with status 503 only if the request certainly never ran. If it may have run, the sidecar
// responds with another error status, whatever the endpoint's response was.
func TestRejectedOrFailed(t *testing.T) {
	respondNeverRan := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(503)
	}
	respondUnavailable := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(503)
	}
	sendPartOfBody := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "9")
		io.WriteString(w, "half")
	}
	for _, tc := range []struct {
		name     string
		handler  http.HandlerFunc
		class    string
		rejected bool
	}{
		{"503 with X-Never-Ran, unsafe", respondNeverRan, "pay", true},
		{"503 with X-Never-Ran, keyed", respondNeverRan, "book", true},
		{"503 with X-Never-Ran, safe", respondNeverRan, "look", true},
		{"503 without X-Never-Ran, unsafe", respondUnavailable, "pay", false},
		{"503 without X-Never-Ran, keyed", respondUnavailable, "book", false},
		{"truncated body, unsafe", sendPartOfBody, "pay", false},
		{"no connection, unsafe", nil, "pay", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := scriptedpeer.ClosedAddress(t)
			if tc.handler != nil {
				addr = scriptedpeer.StartHTTP(t, tc.handler)
			}
			s := start(t, configureStatic(t, instances(addr)))
			method := "POST"
			if tc.class == "look" {
				method = "GET"
			}
			started := time.Now()
			resp, _ := s.request(t, request(method, "/"+tc.class, tc.class, 900, ""))
			if got := resp.StatusCode == 503; got != tc.rejected || resp.StatusCode < 500 {
				t.Errorf("status %s, want rejected %v", resp.Status, tc.rejected)
			}
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if hasRetryAfter := err == nil && retryAfter > 0; hasRetryAfter != tc.rejected {
				t.Errorf("unexpected Retry-After %q", resp.Header.Get("Retry-After"))
			}
			// The final response must be sent at once, not at the request's deadline.
			if took := time.Since(started); took > 450*time.Millisecond {
				t.Errorf("response after %v", took)
			}
		})
	}
}

// cellText returns the number of a cell, or "none".
func cellText(cell *uint16) string {
	if cell == nil {
		return "none"
	}
	return fmt.Sprint(*cell)
}

// A request that may have run is not retried if it is unsafe. If it has an idempotency key, it is retried only at an
// endpoint of the same cell, and not where the cells are not known.
func TestRetriesByRequestClass(t *testing.T) {
	zero, one, two := new(uint16(0)), new(uint16(1)), new(uint16(2))
	for _, tc := range []struct {
		class       string
		cell        *uint16 // cell of the second endpoint
		firstCell   *uint16
		maxAttempts int32
		served      bool
	}{
		{"pay", one, one, 1, false},
		{"book", two, one, 1, false},
		{"book", one, one, 2, true},
		{"book", nil, nil, 1, false},
		{"book", zero, nil, 1, false},
		{"book", zero, zero, 2, true},
	} {
		t.Run(fmt.Sprint(tc.class, cellText(tc.cell), cellText(tc.firstCell)), func(t *testing.T) {
			var attempts atomic.Int32
			// The endpoint that gets the first attempt closes its connection without a response.
			endpoint := func() string {
				return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
					if _, err := scriptedpeer.ReadRequest(r); err == nil && attempts.Add(1) > 1 {
						io.WriteString(c, okResponse)
					}
				})
			}
			list := instances(endpoint(), endpoint())
			list[0].Cell = tc.firstCell
			list[1].Cell = tc.cell
			s := start(t, configureStatic(t, list))
			resp, _ := s.request(t, request("POST", "/"+tc.class, tc.class, 900, "x"))
			if n := attempts.Load(); n > tc.maxAttempts {
				t.Errorf("%d attempts, want at most %d", n, tc.maxAttempts)
			}
			if got := resp.StatusCode == 200; got != tc.served || resp.StatusCode == 503 {
				t.Errorf("status %s, want served %v", resp.Status, tc.served)
			}
		})
	}
}

// An attempt fails if its response stalls after the head. A safe request is then served by another endpoint, and an
// unsafe request gets its final response by its deadline.
func TestHeadWithoutBody(t *testing.T) {
	var loneHeads atomic.Int32
	var stalling atomic.Bool
	headOnly := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			if stalling.Load() {
				break
			}
			io.WriteString(c, okResponse)
		}
		loneHeads.Add(1)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		r.Peek(1) // wait until the attempt is cancelled
	})
	stalling.Store(true)
	s := start(t, configureStatic(t, instances(headOnly)))
	started := time.Now()
	resp, _ := s.request(t, request("POST", "/pay", "pay", 400, "x"))
	if took := time.Since(started); resp.StatusCode != 504 || took > 450*time.Millisecond || loneHeads.Load() != 1 {
		t.Errorf("single endpoint: %s after %v, with %d attempts", resp.Status, took, loneHeads.Load())
	}
	complete := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	s = start(t, configureStatic(t, instances(headOnly, complete)))
	stalling.Store(false)
	for range 20 { // attempts have no timeout until the sidecar has estimates of response times
		s.request(t, safeRequest(900))
	}
	stalling.Store(true)
	for headsBefore := loneHeads.Load(); loneHeads.Load() == headsBefore; {
		s.checkServed(t, "with a second endpoint")
	}
}

// If an endpoint never responds, the client gets a final response by its deadline, and the connection to the
// endpoint is closed.
func TestDeadline(t *testing.T) {
	ended := make(chan error, 3)
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := scriptedpeer.ReadRequest(r); err != nil {
			return
		}
		_, err := r.ReadByte()
		ended <- err
	})
	s := start(t, configureStatic(t, instances(addr)))
	for _, tc := range []struct {
		class string
		want  int
	}{{"pay", 504}, {"book", 504}} {
		started := time.Now()
		resp, _ := s.request(t, request("POST", "/"+tc.class, tc.class, 200, "x"))
		// The deadline is 200 ms. PROTOCOL allows 50 ms more for delays of the machine.
		if took := time.Since(started); took > 250*time.Millisecond || resp.StatusCode != tc.want {
			t.Errorf("%s: %s after %v, want %d within 250 ms", tc.class, resp.Status, took, tc.want)
		}
		if err := scriptedpeer.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
			t.Errorf("%s: reading at the endpoint: %v, want EOF", tc.class, err)
		}
	}
	// A request that has no time left until its deadline is rejected.
	if resp, _ := s.request(t, request("POST", "/pay", "pay", 0, "x")); resp.StatusCode != 503 {
		t.Errorf("request with timeout 0: %s, want 503", resp.Status)
	}
}

// When a client disconnects, the attempt of its open request is cancelled.
func TestClientGone(t *testing.T) {
	received, ended := make(chan struct{}), make(chan error, 1)
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		close(received)
		_, err := r.ReadByte()
		ended <- err
	})
	cfg := configureStatic(t, instances(addr), `"give-up":1000000`, `"give-up":60000000`)
	s := start(t, cfg)
	c := s.dial(t)
	require.NoError(t, request("POST", "/pay", "pay", 60000, "x").Write(c))
	scriptedpeer.Receive(t, received, "attempt")
	c.Close()
	if err := scriptedpeer.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
		t.Errorf("reading at the endpoint: %v, want EOF", err)
	}
}

// An endpoint that never responds to one class, or rejects one tenant, gets few requests of that class or tenant,
// but still gets other requests.
func TestEndpointFailsOneClassOrTenant(t *testing.T) {
	for _, tc := range []struct {
		name         string
		fails        func(r *http.Request) bool
		failWith     func(w http.ResponseWriter, r *http.Request)
		otherRequest func() *http.Request
	}{
		{"class", func(r *http.Request) bool { return r.URL.Path == "/look/1" },
			func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			func() *http.Request { return request("POST", "/pay", "pay", 900, "x") }},
		{"tenant", func(r *http.Request) bool { return r.Header.Get("X-Customer") == "zeta" },
			func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Never-Ran", "1")
				w.WriteHeader(503)
			},
			func() *http.Request { return safeRequest(900) }}, // of the same class but another tenant
	} {
		t.Run(tc.name, func(t *testing.T) {
			var failed, served atomic.Int32
			failing := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
				if tc.fails(r) {
					failed.Add(1)
					tc.failWith(w, r)
					return
				}
				served.Add(1)
			})
			healthy := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
			s := start(t, configureStatic(t, instances(failing, healthy),
				`"tenants":[`, `"tenants":[{"name":"zeta","allowance-per-s":100.0,"share":1.0},`))
			const rounds = 40
			for range rounds {
				r := safeRequest(60)
				r.Header.Set("X-Customer", "zeta")
				s.request(t, r)
				for range 5 {
					s.request(t, tc.otherRequest())
				}
			}
			if n := failed.Load(); n > rounds/6 {
				t.Errorf("%d of %d requests were sent to the endpoint that fails them", n, rounds)
			}
			if n := served.Load(); n < rounds/4 {
				t.Errorf("%d of %d other requests were sent to the failing endpoint", n, 5*rounds)
			}
		})
	}
}

// Idle connections may fail without a reset. A safe request on such a connection is retried at another endpoint long
// before its deadline, and other connections that have been idle for as long are not tried one after another.
func TestSilentConnections(t *testing.T) {
	var silent atomic.Bool
	var unanswered atomic.Int32
	endpoint := func(goesSilent bool) string {
		return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
			openedBefore := goesSilent && !silent.Load()
			for {
				if _, err := scriptedpeer.ReadRequest(r); err != nil {
					return
				}
				if openedBefore && silent.Load() {
					unanswered.Add(1)
					continue
				}
				io.WriteString(c, okResponse)
			}
		})
	}
	s := start(t, configureStatic(t, instances(endpoint(true), endpoint(false))))
	for range 40 { // the sidecar learns response times and opens several connections
		var batch sync.WaitGroup
		for range 8 {
			batch.Go(func() { s.request(t, safeRequest(900)) })
		}
		batch.Wait()
	}
	silent.Store(true)
	for i := range 60 {
		s.checkServed(t, fmt.Sprint("request ", i))
	}
	if n := unanswered.Load(); n != 1 {
		t.Errorf("%d requests were sent on silent connections, want 1", n)
	}
}

// If the connection to a draining endpoint is established only after the drain grace, nothing is sent on it, and the
// request is rejected.
func TestDialOutlastsDrain(t *testing.T) {
	var sent atomic.Int32
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	drained := scripteddiscovery.Up("s-1", addr)
	drained.Lifecycle = "draining"
	for _, tc := range []struct {
		name      string
		update    discovery.List
		graceEnds bool // whether the grace ends before the connection is established
		want      int
	}{
		{"within the grace", discovery.List{Instances: []discovery.Instance{drained}}, false, 200},
		{"after the grace", discovery.List{Instances: []discovery.Instance{drained}}, true, 503},
		{"missing from a complete list", discovery.List{Reset: true}, true, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent.Store(0)
			cfg := configureStatic(t, instances(addr))
			dialing, release := make(chan struct{}), make(chan struct{})
			s := startDialing(t, cfg, func(ctx context.Context, network, addr string) (net.Conn, error) {
				close(dialing)
				<-release
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			})
			status := s.requestInBackground(t, request("POST", "/pay", "pay", 900, "x"))
			scriptedpeer.Receive(t, dialing, "dial")
			tc.update.Generation = 8
			s.sidecar.endpointPool.UpdateEndpoints(context.Background(), tc.update.EndpointUpdate())
			if tc.graceEnds {
				<-time.After(time.Duration(cfg.Site.Settings.Contract.DrainGrace) * time.Microsecond)
			}
			close(release)
			if code := scriptedpeer.Receive(t, status, "response"); code != tc.want {
				t.Errorf("status %d, want %d", code, tc.want)
			}
			if got := sent.Load(); (got > 0) != (tc.want == 200) {
				t.Errorf("the endpoint received %d requests", got)
			}
		})
	}
}

// waitUntil returns at the given instant, or when the context is done.
func waitUntil(ctx context.Context, instant time.Time) {
	select {
	case <-time.After(time.Until(instant)):
	case <-ctx.Done():
	}
}

// A request with an idempotency key may be retried only within its retry window. If the dial of the second attempt
// ends after the window, the attempt is not sent and the request fails, because the first attempt may have run. If
// the dial ends within the window, the second attempt is sent.
func TestDialOutlastsWindow(t *testing.T) {
	const window = 400 * time.Millisecond // the window of class book in siteSettings
	for _, tc := range []struct {
		name           string
		secondDialLate bool // whether the second dial ends after the window
		wantStatus     int
		wantAttempts   int32
	}{
		{"within the window", false, 200, 2},
		{"after the window", true, 502, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var attempts atomic.Int32
			firstAttemptAt := make(chan time.Time, 1)
			handle := func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := scriptedpeer.ReadRequest(r); err != nil {
					return
				}
				if attempts.Add(1) == 1 {
					firstAttemptAt <- time.Now()
					c.SetLinger(0) // close with a reset: the request may have run
					return
				}
				io.WriteString(c, okResponse)
			}
			var dials atomic.Int32
			dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				if dials.Add(1) == 2 && tc.secondDialLate && err == nil {
					waitUntil(ctx, (<-firstAttemptAt).Add(window)) // simulate a slow handshake
				}
				return c, err
			}
			cfg := configureStatic(t, instances(scriptedpeer.StartTCP(t, handle), scriptedpeer.StartTCP(t, handle)))
			s := startDialing(t, cfg, dial)
			resp, _ := s.request(t, request("POST", "/book", "book", 900, "x"))
			if resp.StatusCode != tc.wantStatus || attempts.Load() != tc.wantAttempts {
				t.Errorf("%s, %d attempts reached endpoints; want %d and %d",
					resp.Status, attempts.Load(), tc.wantStatus, tc.wantAttempts)
			}
		})
	}
}
