package sidecar

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// cappedListener is a listener that resets new connections while maxOpen connections are open.
type cappedListener struct {
	net.Listener
	maxOpen  int32
	open     atomic.Int32
	rejected atomic.Int32
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &cappedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.rejected.Add(1)
		resetConn(c)
	}
}

// cappedConn is a connection that a cappedListener counts as open until it is closed.
type cappedConn struct {
	net.Conn
	open   *atomic.Int32
	closed atomic.Bool
}

func (c *cappedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// fullEndpoint is an endpoint that accepts one connection, and delays each response until the test releases it.
type fullEndpoint struct {
	listener *cappedListener
	requests atomic.Int32
	received chan struct{} // receives a value for each request
	release  chan struct{} // each value releases one response; closing it releases all
}

func startFullEndpoint(t *testing.T) *fullEndpoint {
	t.Helper()
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &fullEndpoint{
		listener: &cappedListener{Listener: tcpListener, maxOpen: 1},
		received: make(chan struct{}, 100),
		release:  make(chan struct{}, 1),
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		e.requests.Add(1)
		e.received <- struct{}{}
		<-e.release
		io.WriteString(w, "capped")
	})}
	go server.Serve(e.listener)
	t.Cleanup(func() { server.Close() })
	return e
}

// An endpoint that rejects further connections still responds on its open connections. The sidecar keeps and uses
// these connections, and sends a request to another endpoint at once if no connection is available. No request
// fails.
func TestEndpointFullOfConnections(t *testing.T) {
	full := startFullEndpoint(t)
	other := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "other")
	})
	s := start(t, configureStatic(t, instances(full.listener.Addr().String(), other)))

	// One request occupies the only connection to the full endpoint, so that no other connection can be opened.
	statuses := make(chan int, 1)
	for full.requests.Load() == 0 {
		go func() {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				statuses <- 0
				return
			}
			defer c.Close()
			resp, _ := s.requestOn(t, c, safeRequest(2000))
			statuses <- resp.StatusCode
		}()
		select {
		case code := <-statuses:
			if code != 200 {
				t.Fatalf("status %d, want 200", code)
			}
		case <-full.received:
		}
	}
	for range 40 {
		if resp, text := s.request(t, safeRequest(900)); resp.StatusCode != 200 || text != "other" {
			t.Fatalf("%s from %q: a full endpoint must not fail a request", resp.Status, text)
		}
	}
	if full.listener.rejected.Load() == 0 {
		t.Error("no connection was rejected: the sidecar has not tried to open one")
	}
	full.release <- struct{}{}
	if code := <-statuses; code != 200 {
		t.Errorf("the request at the full endpoint got status %d", code)
	}

	// The endpoint still responds on its open connection.
	close(full.release)
	rejectedBefore := full.listener.rejected.Load()
	for full.requests.Load() < 5 {
		if resp, _ := s.request(t, safeRequest(900)); resp.StatusCode != 200 {
			t.Fatalf("%s", resp.Status)
		}
	}
	if n := full.listener.rejected.Load() - rejectedBefore; n > 0 {
		t.Errorf("%d more connections were opened while the open one was idle", n)
	}
}
