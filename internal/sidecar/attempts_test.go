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

// A rejection (503) promises that the request never ran. Without certainty of that the request has failed, whatever the
// endpoint answered.
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
		{"turned away, unsafe", respondNeverRan, "pay", true},
		{"turned away, keyed", respondNeverRan, "book", true},
		{"turned away, safe", respondNeverRan, "look", true},
		{"503, unsafe", respondUnavailable, "pay", false},
		{"503, keyed", respondUnavailable, "book", false},
		{"half a body, unsafe", sendPartOfBody, "pay", false},
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
				t.Errorf("%s, rejected should be %v", resp.Status, tc.rejected)
			}
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if advised := err == nil && retryAfter > 0; advised != tc.rejected {
				t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
			}
			// The final answer must come at once, not at the request's deadline.
			if took := time.Since(started); took > 450*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
		})
	}
}

// A request that may have run is not retried if it is unsafe, and only at an endpoint of the same cell if it has an
// idempotency key.
func TestRetriesByRequestClass(t *testing.T) {
	for _, tc := range []struct {
		class       string
		cell        uint16 // of the second endpoint
		maxAttempts int32
		served      bool
	}{
		{"pay", 1, 1, false},
		{"book", 2, 1, false},
		{"book", 1, 2, true},
	} {
		t.Run(fmt.Sprint(tc.class, tc.cell), func(t *testing.T) {
			var attempts atomic.Int32
			// The first endpoint closes its connection after reading the request.
			endpoint := func() string {
				return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
					if _, err := scriptedpeer.ReadRequest(r); err == nil && attempts.Add(1) > 1 {
						io.WriteString(c, okResponse)
					}
				})
			}
			list := instances(endpoint(), endpoint())
			list[1].Cell = tc.cell
			s := start(t, configureStatic(t, list))
			resp, _ := s.request(t, request("POST", "/"+tc.class, tc.class, 900, "x"))
			if n := attempts.Load(); n > tc.maxAttempts {
				t.Errorf("%d copies, %d at most", n, tc.maxAttempts)
			}
			if got := resp.StatusCode == 200; got != tc.served || resp.StatusCode == 503 {
				t.Errorf("%s, served should be %v", resp.Status, tc.served)
			}
		})
	}
}

// A response of which only the head comes counts as none: a safe request is served by another endpoint, and an unsafe
// one gets its final answer by its deadline.
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
		r.Peek(1) // until the attempt is cancelled
	})
	stalling.Store(true)
	s := start(t, configureStatic(t, instances(headOnly)))
	started := time.Now()
	resp, _ := s.request(t, request("POST", "/pay", "pay", 400, "x"))
	if took := time.Since(started); resp.StatusCode != 504 || took > 450*time.Millisecond || loneHeads.Load() != 1 {
		t.Errorf("alone: %s after %v, with %d attempts", resp.Status, took, loneHeads.Load())
	}
	complete := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	s = start(t, configureStatic(t, instances(headOnly, complete)))
	stalling.Store(false)
	for range 20 { // the sidecar learns response times; before, attempts have no timeout of their own
		s.request(t, safeRequest(900))
	}
	stalling.Store(true)
	for headsBefore := loneHeads.Load(); loneHeads.Load() == headsBefore; {
		s.checkServed(t, "beside another")
	}
}

// An endpoint without a response must not keep the client waiting past its deadline, nor the connection open.
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
		// The deadline, and 50 ms that PROTOCOL allows for the machine.
		if took := time.Since(started); took > 250*time.Millisecond || resp.StatusCode != tc.want {
			t.Errorf("%s: %s after %v, want %d within 250 ms", tc.class, resp.Status, took, tc.want)
		}
		if err := scriptedpeer.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
			t.Errorf("%s: the endpoint read on: %v", tc.class, err)
		}
	}
	// A request that arrives after its deadline is rejected.
	if resp, _ := s.request(t, request("POST", "/pay", "pay", 0, "x")); resp.StatusCode != 503 {
		t.Errorf("no time: %s, want 503", resp.Status)
	}
}

// The attempt of a client that disconnects is cancelled.
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
		t.Errorf("the endpoint read on: %v", err)
	}
}

// An endpoint that does not answer one class, or rejects one tenant, gets few requests of these, and still the others.
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
			func() *http.Request { return safeRequest(900) }}, // of the same class
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
				t.Errorf("%d of %d requests went to the endpoint that fails them", n, rounds)
			}
			if n := served.Load(); n < rounds/4 {
				t.Errorf("%d of %d other requests went there", n, 5*rounds)
			}
		})
	}
}

// Idle connections may fail without a reset. A safe request on one is retried elsewhere long before its deadline, and
// the others that have been idle for as long are not used one after another.
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
	for range 40 { // the sidecar learns how long requests take, over some connections at once
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
		t.Errorf("%d requests went to silent connections, want 1", n)
	}
}

// A dial can outlast the drain grace. Then nothing may be sent, and the request is rejected.
func TestDialOutlastsDrain(t *testing.T) {
	var sent atomic.Int32
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	drained := scripteddiscovery.Up("s-1", addr)
	drained.Lifecycle = "draining"
	for _, tc := range []struct {
		name      string
		update    discovery.List
		graceEnds bool // the grace ends before the connection is established
		want      int
	}{
		{"within the grace", discovery.List{Instances: []discovery.Instance{drained}}, false, 200},
		{"past the grace", discovery.List{Instances: []discovery.Instance{drained}}, true, 503},
		{"left out of a complete list", discovery.List{Reset: true}, true, 503},
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
			if code := scriptedpeer.Receive(t, status, "answer"); code != tc.want {
				t.Errorf("answered %d, want %d", code, tc.want)
			}
			if got := sent.Load(); (got > 0) != (tc.want == 200) {
				t.Errorf("the endpoint got %d requests", got)
			}
		})
	}
}

// waitUntil returns at the instant end, or when the context is done.
func waitUntil(ctx context.Context, instant time.Time) {
	select {
	case <-time.After(time.Until(instant)):
	case <-ctx.Done():
	}
}

// A dial can outlast the window in which a request with an idempotency key may be retried. The second attempt is not
// sent then, and the request fails, because the first may have run. Within the window the second attempt is sent.
func TestDialOutlastsWindow(t *testing.T) {
	const window = 400 * time.Millisecond // as in settings
	for _, tc := range []struct {
		name           string
		secondDialLate bool // the second dial ends after the window
		wantStatus     int
		wantAttempts   int32
	}{
		{"within", false, 200, 2},
		{"past", true, 502, 1},
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
					c.SetLinger(0) // it may have run
					return
				}
				io.WriteString(c, okResponse)
			}
			var dials atomic.Int32
			dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				if dials.Add(1) == 2 && tc.secondDialLate && err == nil {
					waitUntil(ctx, (<-firstAttemptAt).Add(window)) // a slow handshake
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
