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

// cappedListener is a listener that resets connections beyond a number of open ones.
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
		reset(c)
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

// fullEndpoint is an endpoint that accepts one connection, and holds each request until the test lets it go.
type fullEndpoint struct {
	ln       *cappedListener
	requests atomic.Int32
	arrived  chan struct{} // receives each request
	hold     chan struct{} // lets one request go, or all once it is closed
}

func startFullEndpoint(t *testing.T) *fullEndpoint {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &fullEndpoint{
		ln:      &cappedListener{Listener: inner, maxOpen: 1},
		arrived: make(chan struct{}, 100),
		hold:    make(chan struct{}, 1),
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		e.requests.Add(1)
		e.arrived <- struct{}{}
		<-e.hold
		io.WriteString(w, "capped")
	})}
	go server.Serve(e.ln)
	t.Cleanup(func() { server.Close() })
	return e
}

// An endpoint that accepts no more connections still answers on those that it has: they are kept and used, and a
// request that finds no connection there is sent to another endpoint at once. No request fails.
func TestEndpointFullOfConnections(t *testing.T) {
	full := startFullEndpoint(t)
	other := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "other")
	})
	s := start(t, configureStatic(t, instances(full.ln.Addr().String(), other)))

	// One request occupies the only connection, so that no other can be opened meanwhile.
	codes := make(chan int, 1)
	for full.requests.Load() == 0 {
		go func() {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				codes <- 0
				return
			}
			defer c.Close()
			resp, _ := s.requestOn(t, c, look(2000))
			codes <- resp.StatusCode
		}()
		select {
		case code := <-codes:
			if code != 200 {
				t.Fatalf("answered %d", code)
			}
		case <-full.arrived:
		}
	}
	for range 40 {
		if resp, text := s.request(t, look(900)); resp.StatusCode != 200 || text != "other" {
			t.Fatalf("%s by %q: a full endpoint must not fail a request", resp.Status, text)
		}
	}
	if full.ln.rejected.Load() == 0 {
		t.Error("no connection was rejected: the sidecar has not tried to open one")
	}
	full.hold <- struct{}{}
	if code := <-codes; code != 200 {
		t.Errorf("the request at the full endpoint was answered %d", code)
	}

	// It still answers on the connection that it has.
	close(full.hold)
	before := full.ln.rejected.Load()
	for full.requests.Load() < 5 {
		if resp, _ := s.request(t, look(900)); resp.StatusCode != 200 {
			t.Fatalf("%s", resp.Status)
		}
	}
	if n := full.ln.rejected.Load() - before; n > 0 {
		t.Errorf("%d more connections were opened while the one was free", n)
	}
}
