package sidecar

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"dunlinsail/internal/fake/scriptedpeer"
)

// capped is a listener that accepts some connections, and resets each that comes while so many are open.
type capped struct {
	net.Listener
	most    int32
	open    atomic.Int32
	refused atomic.Int32
}

func (l *capped) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

type counted struct {
	net.Conn
	open  *atomic.Int32
	ended atomic.Bool
}

func (c *counted) Close() error {
	if c.ended.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// An endpoint that accepts no more connections goes on answering on those it has: they are kept and used, and
// what finds no connection there goes elsewhere at once. Nobody is failed for it.
func TestEndpointFullOfConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &capped{Listener: inner, most: 1}
	var atCapped atomic.Int32
	hold, came := make(chan struct{}, 1), make(chan struct{}, 100)
	full := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		atCapped.Add(1)
		came <- struct{}{}
		<-hold
		io.WriteString(w, "capped")
	})}
	go full.Serve(ln)
	t.Cleanup(func() { full.Close() })
	other := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "other")
	})
	s := start(t, configureStatic(t, instances(inner.Addr().String(), other)))

	// One request takes the one connection, and waits there; no other can be had meanwhile.
	taken := make(chan int, 1)
	for atCapped.Load() == 0 {
		go func() {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				taken <- 0
				return
			}
			defer c.Close()
			resp, _ := s.requestOn(t, c, look(2000))
			taken <- resp.StatusCode
		}()
		select {
		case code := <-taken:
			if code != 200 {
				t.Fatalf("answered %d", code)
			}
		case <-came:
		}
	}
	for range 40 {
		if resp, text := s.request(t, look(900)); resp.StatusCode != 200 || text != "other" {
			t.Fatalf("%s by %q: a full endpoint should cost nobody an answer", resp.Status, text)
		}
	}
	if ln.refused.Load() == 0 {
		t.Error("no connection was refused: nothing was tried")
	}
	hold <- struct{}{}
	if code := <-taken; code != 200 {
		t.Errorf("the request at the full endpoint was answered %d", code)
	}

	// It still answers on the connection that it has.
	close(hold)
	before := ln.refused.Load()
	for atCapped.Load() < 5 {
		if resp, _ := s.request(t, look(900)); resp.StatusCode != 200 {
			t.Fatalf("%s", resp.Status)
		}
	}
	if n := ln.refused.Load() - before; n > 0 {
		t.Errorf("%d more connections were asked for while the one was free", n)
	}
}
