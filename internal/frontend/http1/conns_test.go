package http1

import (
	"io"
	"net"
	"testing"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/fake/scriptedpeer"
)

// A connection at rest that is called to be handed over stays open if that is taken back before it could go.
func TestHandingOverTakenBackAtOnce(t *testing.T) {
	said := make(chan byte, 1)
	var k *connManager
	k, err := newConnManager(connlimit.Limits{MaxConnections: 2, MaxIdle: 2, MaxIdleTime: 1e9}, clock.New(), func(c *conn) {
		for {
			var b [1]byte // as exchange does, the deadline that ended the wait is replaced
			if !k.awaitRequest(c, time.Time{}) {
				close(said)
				return
			}
			c.SetReadDeadline(time.Time{})
			if _, err := c.Read(b[:]); err != nil {
				close(said)
				return
			}
			said <- b[0]
		}
	}, scriptedpeer.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	owner := &Client{connOwner: k.table.NewOwner(1, 2, 0)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var identify Identify = func(net.Conn) (*Client, func(), error) { return owner, nil, nil }
	go func() { _ = k.accept(ln, identify) }()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for round := byte('a'); round < 'e'; round++ {
		if _, err := client.Write([]byte{round}); err != nil {
			t.Fatal(err)
		}
		if got := scriptedpeer.Receive(t, said, "a byte"); got != round {
			t.Fatalf("%q, want %q", got, round)
		}
		scriptedpeer.Eventually(t, "the connection at rest", func() bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			n := 0
			k.table.EachIdle(func(p *connlimit.Conn[*conn]) {
				if p.Value.awaitingRequest {
					n++
				}
			})
			return n == 1
		})
		k.mu.Lock() // whatever the connection does, it does after both
		k.setHandoffLocked(func(net.Conn) bool { t.Error("handed over"); return true })
		k.setHandoffLocked(nil)
		k.mu.Unlock()
	}
	io.WriteString(client, "z")
	if got := scriptedpeer.Receive(t, said, "a byte"); got != 'z' {
		t.Fatal("closed")
	}
}

// A request that has come is not lost with its connection when others make it give way, whether it waits in the kernel or
// has just been read; one that has begun and does not go on gives way.
func TestWhatHasComeDoesNotGiveWay(t *testing.T) {
	for name, tc := range map[string]struct {
		read   bool // by the server, as far as it goes
		again  bool // and once more, for what does not come
		stays  bool
		before string
	}{
		"in the kernel":  {before: "GET / HTTP/1.1\r\n\r\n", stays: true},
		"read":           {before: "GET / HTTP/1.1\r\n\r\n", read: true, stays: true},
		"does not go on": {before: "GET / HT", read: true, again: true},
		"says nothing":   {},
	} {
		t.Run(name, func(t *testing.T) {
			step, over := make(chan *conn, 2), make(chan struct{})
			k, err := newConnManager(connlimit.Limits{MaxConnections: 4, MaxIdle: 1, MaxIdleTime: 1e9, MinIdleTime: 1e9}, clock.New(), func(c *conn) {
				if tc.read {
					b := make([]byte, 100)
					if _, err := c.input.Read(b); err != nil {
						return // the second connection, at the end
					}
				}
				step <- c
				if tc.again {
					_, _ = c.input.Read(make([]byte, 1)) // until the client has gone
				}
				<-over
			}, scriptedpeer.DiscardLog)
			if err != nil {
				t.Fatal(err)
			}
			owner := &Client{connOwner: k.table.NewOwner(1, 4, 0)}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			defer close(over)
			var identify Identify = func(net.Conn) (*Client, func(), error) { return owner, nil, nil }
			enter := func() net.Conn {
				client, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				server, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				k.add(server, identify)
				return client
			}
			first := enter()
			defer first.Close()
			io.WriteString(first, tc.before)
			c := scriptedpeer.Receive(t, step, "the server's look")
			switch {
			case tc.again: // until it waits for more
				scriptedpeer.Eventually(t, "the server's second look", c.input.isDrained)
			case tc.before != "" && !tc.read:
				scriptedpeer.Eventually(t, "bytes in the kernel", func() bool { return !c.input.isDrained() })
			}
			defer enter().Close()
			k.mu.Lock()
			closed := !k.table.MarkBusy(c.entry)
			k.mu.Unlock()
			if closed == tc.stays {
				t.Errorf("closed: %v", closed)
			}
		})
	}
}

// While all are to close, an answer is the last on its connection unless more has come behind its request. What was read of the
// request itself is nothing more, also where the answer is there before anybody has looked again.
func TestClosesUnlessMoreHasCome(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	f := &Server{options: Options{Clock: clock.New()}}
	c := &conn{Conn: server, input: newPeekableConn(server)}
	if f.isLastResponse(c) {
		t.Error("closes while nothing is to")
	}
	f.closing.Store(true)
	io.WriteString(client, "request")
	if _, err := c.input.Read(make([]byte, 7)); err != nil {
		t.Fatal(err)
	}
	if !f.isLastResponse(c) {
		t.Error("the request itself was taken for a next one")
	}
	io.WriteString(client, "next")
	scriptedpeer.Eventually(t, "the next has come", func() bool { return !f.isLastResponse(c) })
	f.responseDeadline.Store(f.options.Clock.Now())
	if !f.isLastResponse(c) {
		t.Error("a next one is waited for when there is no time left")
	}
}
