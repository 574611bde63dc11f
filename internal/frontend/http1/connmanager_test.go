package http1

import (
	"io"
	"net"
	"testing"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// connTest is a connManager with one client, and a listener.
type connTest struct {
	*connManager
	client   *Client
	listener net.Listener
}

func newConnTest(t *testing.T, limits connlimit.Limits, serve func(*connManager, *conn)) *connTest {
	t.Helper()
	var m *connManager
	m, err := newConnManager(limits, clock.New(), func(c *conn) { serve(m, c) }, scriptedpeer.DiscardLog)
	require.NoError(t, err)
	client := &Client{connOwner: m.table.NewOwner(1, limits.MaxConnections, 0)}
	return &connTest{connManager: m, client: client, listener: listen(t)}
}

func (ct *connTest) identify(net.Conn) (*Client, func(), error) { return ct.client, nil, nil }

// connect returns the client's end of a new connection that the manager serves.
func (ct *connTest) connect(t *testing.T) net.Conn {
	t.Helper()
	client, server := connectedPair(t, ct.listener)
	ct.add(server, ct.identify)
	return client
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

func dial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	return client
}

func connectedPair(t *testing.T, ln net.Listener) (client, server net.Conn) {
	t.Helper()
	client = dial(t, ln)
	server, err := ln.Accept()
	require.NoError(t, err)
	return client, server
}

// sendReceivedBytes sends each byte that starts a request, and closes the channel at the connection's end.
func sendReceivedBytes(received chan<- byte) func(*connManager, *conn) {
	return func(m *connManager, c *conn) {
		defer close(received)
		for m.awaitRequest(c, time.Time{}) {
			c.SetReadDeadline(time.Time{}) // as serveRequest does, the deadline that ended the wait is replaced
			var b [1]byte
			if _, err := c.Read(b[:]); err != nil {
				return
			}
			received <- b[0]
		}
	}
}

func (ct *connTest) countAwaitingRequest() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	count := 0
	ct.table.EachIdle(func(entry *connlimit.Conn[*conn]) {
		if entry.Value.awaitingRequest {
			count++
		}
	})
	return count
}

// An idle connection that is interrupted to be handed over stays open if the handing over ends before it was offered.
func TestHandoffEndedAtOnceKeepsTheConnection(t *testing.T) {
	received := make(chan byte, 1)
	limits := connlimit.Limits{MaxConnections: 2, MaxIdle: 2, MaxIdleTime: 1e9}
	ct := newConnTest(t, limits, sendReceivedBytes(received))
	go func() { _ = ct.accept(ct.listener, ct.identify) }()
	client := dial(t, ct.listener)
	for sentByte := byte('a'); sentByte < 'e'; sentByte++ {
		if _, err := client.Write([]byte{sentByte}); err != nil {
			t.Fatal(err)
		}
		if got := scriptedpeer.Receive(t, received, "a byte"); got != sentByte {
			t.Fatalf("%q, want %q", got, sentByte)
		}
		scriptedpeer.Eventually(t, "the idle connection", func() bool { return ct.countAwaitingRequest() == 1 })
		ct.mu.Lock() // whatever the connection does, it does after both
		ct.setHandoffLocked(func(net.Conn) bool { t.Error("handed over"); return true })
		ct.setHandoffLocked(nil)
		ct.mu.Unlock()
	}
	io.WriteString(client, "z")
	if got := scriptedpeer.Receive(t, received, "a byte"); got != 'z' {
		t.Fatal("closed")
	}
}

// A connection is not evicted while a request has arrived on it, whether that is in the kernel or has just been read.
// It is evicted if a request has started to arrive and does not go on.
func TestConnectionWithUnexaminedInputIsNotEvicted(t *testing.T) {
	for name, tc := range map[string]evictionCase{
		"in the kernel":  {input: "GET / HTTP/1.1\r\n\r\n", survives: true},
		"read":           {input: "GET / HTTP/1.1\r\n\r\n", serverReads: true, survives: true},
		"does not go on": {input: "GET / HT", serverReads: true, serverReadsAgain: true},
		"sends nothing":  {},
	} {
		t.Run(name, tc.run)
	}
}

// evictionCase is what has arrived on an idle connection when another one is accepted beyond the limit.
type evictionCase struct {
	input            string
	serverReads      bool // the server reads the input
	serverReadsAgain bool // it then waits for more, which does not arrive
	survives         bool // the connection is not evicted
}

func (tc evictionCase) run(t *testing.T) {
	served := make(chan *conn, 2)
	testEnded := make(chan struct{})
	limits := connlimit.Limits{MaxConnections: 4, MaxIdle: 1, MaxIdleTime: 1e9, MinIdleTime: 1e9}
	ct := newConnTest(t, limits, func(_ *connManager, c *conn) {
		if tc.serverReads {
			if _, err := c.input.Read(make([]byte, 100)); err != nil {
				return // the second connection, at the end
			}
		}
		served <- c
		if tc.serverReadsAgain {
			_, _ = c.input.Read(make([]byte, 1)) // until the client has closed the connection
		}
		<-testEnded
	})
	defer close(testEnded)
	client := ct.connect(t)
	io.WriteString(client, tc.input)
	firstConn := scriptedpeer.Receive(t, served, "the server's read")
	switch {
	case tc.serverReadsAgain: // until it waits for more
		scriptedpeer.Eventually(t, "the server's second read", firstConn.input.isDrained)
	case tc.input != "" && !tc.serverReads:
		scriptedpeer.Eventually(t, "bytes in the kernel", func() bool { return !firstConn.input.isDrained() })
	}
	ct.connect(t)
	ct.mu.Lock()
	closed := !ct.table.MarkBusy(firstConn.entry)
	ct.mu.Unlock()
	if closed == tc.survives {
		t.Errorf("closed: %v", closed)
	}
}

// While the server is closing, a response is the last on its connection unless more has arrived behind its request.
// What was read of the request itself does not count, also where the response is written before the server reads again.
func TestLastResponseUnlessNextRequestArrived(t *testing.T) {
	client, server := connectedPair(t, listen(t))
	defer server.Close()
	s := &Server{options: Options{Clock: clock.New()}}
	c := &conn{Conn: server, input: newPeekableConn(server)}
	if s.isLastResponse(c) {
		t.Error("last although the server is not closing")
	}
	s.closing.Store(true)
	io.WriteString(client, "request")
	if _, err := c.input.Read(make([]byte, 7)); err != nil {
		t.Fatal(err)
	}
	if !s.isLastResponse(c) {
		t.Error("the request itself counts as a next one")
	}
	io.WriteString(client, "next")
	scriptedpeer.Eventually(t, "the next request has arrived", func() bool { return !s.isLastResponse(c) })
	s.responseDeadline.Store(s.options.Clock.Now())
	if !s.isLastResponse(c) {
		t.Error("a next request gets a response although no time is left")
	}
}
