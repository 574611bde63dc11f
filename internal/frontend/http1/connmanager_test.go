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
	"dunlinsail/internal/timesharing"
)

// managerFixture is a test fixture: a connManager with one client, and a listener for the client's connections.
type managerFixture struct {
	*connManager
	client   *Client
	listener net.Listener
}

func newManagerFixture(t *testing.T, limits connlimit.Limits, serve func(*connManager, *conn)) *managerFixture {
	t.Helper()
	var m *connManager
	m, err := newConnManager(limits, clock.New(), func(c *conn) { serve(m, c) }, scriptedpeer.DiscardLog)
	require.NoError(t, err)
	client := &Client{connOwner: m.table.NewOwner(1, limits.MaxConnections, 0)}
	return &managerFixture{connManager: m, client: client, listener: listen(t)}
}

func (ct *managerFixture) identify(net.Conn) (*Client, func(), error) { return ct.client, nil, nil }

// connect opens a connection that the manager serves, and returns the client's end of it.
func (ct *managerFixture) connect(t *testing.T) net.Conn {
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

// sendReceivedBytes returns a serve function that treats each byte from the client as a request and sends it to
// received. It closes received at the end of the connection.
func sendReceivedBytes(received chan<- byte) func(*connManager, *conn) {
	return func(m *connManager, c *conn) {
		defer close(received)
		for m.awaitRequest(c, time.Time{}) {
			c.SetReadDeadline(time.Time{}) // as in serveRequest: the deadline that may have ended the wait is removed
			var b [1]byte
			if _, err := c.Read(b[:]); err != nil {
				return
			}
			received <- b[0]
			if !m.markBusy(c) || !m.finishRequest(c) { // as in serveRequest: the byte stands for a request
				return
			}
		}
	}
}

func (ct *managerFixture) countAwaitingRequest() int {
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

// A handoff that is turned on and off again at once must not close idle connections: turning it on interrupts
// their wait for a request, and turning it off happens before they have been offered.
func TestHandoffEndedAtOnceKeepsTheConnection(t *testing.T) {
	received := make(chan byte, 1)
	limits := connlimit.Limits{MaxConnections: 2, MaxIdle: 2, MaxIdleTime: 1e9}
	ct := newManagerFixture(t, limits, sendReceivedBytes(received))
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
		ct.mu.Lock() // so that the connection's goroutine proceeds only after both calls
		ct.setHandoffLocked(func(net.Conn) bool { t.Error("handed over"); return true })
		ct.setHandoffLocked(nil)
		ct.mu.Unlock()
	}
	io.WriteString(client, "z")
	if got := scriptedpeer.Receive(t, received, "a byte"); got != 'z' {
		t.Fatal("the connection was closed")
	}
}

// A connection on which a request has arrived is not evicted, whether the bytes are still in the kernel or have just
// been read. A connection is evicted if only a part of a request has arrived and the server waits for the rest.
func TestConnectionWithUnexaminedInputIsNotEvicted(t *testing.T) {
	for name, tc := range map[string]evictionCase{
		"in the kernel":  {input: "GET / HTTP/1.1\r\n\r\n", mustSurvive: true},
		"read":           {input: "GET / HTTP/1.1\r\n\r\n", serverReads: true, mustSurvive: true},
		"does not go on": {input: "GET / HT", serverReads: true, serverReadsAgain: true},
		"sends nothing":  {},
	} {
		t.Run(name, tc.run)
	}
}

// Guards against a request that arrives in pieces being closed in between since other clients connect and say nothing.
// Only the limit on all connections closes it, after all idle ones.
func TestArrivingRequestIsNotEvictedForIdleConnections(t *testing.T) {
	const maxConnections = 4
	started := make(chan *conn, maxConnections+1)
	testEnded := make(chan struct{})
	limits := connlimit.Limits{MaxConnections: maxConnections, MaxIdle: 1, MaxIdleTime: 1e9, MinIdleTime: 1e9}
	ct := newManagerFixture(t, limits, func(m *connManager, c *conn) {
		if m.awaitRequest(c, time.Time{}) {
			_, _ = c.input.Read(make([]byte, 100))
			started <- c
			_, _ = c.input.Read(make([]byte, 1)) // until the connection is closed
		}
		<-testEnded
	})
	defer close(testEnded)
	var arriving []*conn
	for range maxConnections {
		io.WriteString(ct.connect(t), "GET / HT")
		c := scriptedpeer.Receive(t, started, "the first piece of a request")
		scriptedpeer.Eventually(t, "the server's second read", c.input.allBytesExamined)
		arriving = append(arriving, c)
		for range 2 * maxConnections {
			ct.connect(t) // evicts the silent connection before it
		}
	}
	isOpen := func(c *conn) bool {
		ct.mu.Lock()
		defer ct.mu.Unlock()
		return ct.table.MarkBusy(c.tableEntry)
	}
	if isOpen(arriving[0]) {
		t.Error("the first request has not been evicted at the limit on all connections")
	}
	for i, c := range arriving[1:] {
		if !isOpen(c) {
			t.Errorf("request %d of %d was evicted", i+2, maxConnections)
		}
	}
}

// evictionCase describes the state of an idle connection when another connection exceeds the limit.
type evictionCase struct {
	input            string
	serverReads      bool // the server has read the input
	serverReadsAgain bool // the server then waits for more input, which does not arrive
	mustSurvive      bool // whether the connection must not be evicted
}

func (tc evictionCase) run(t *testing.T) {
	served := make(chan *conn, 2)
	testEnded := make(chan struct{})
	limits := connlimit.Limits{MaxConnections: 4, MaxIdle: 1, MaxIdleTime: 1e9, MinIdleTime: 1e9}
	ct := newManagerFixture(t, limits, func(_ *connManager, c *conn) {
		if tc.serverReads {
			if _, err := c.input.Read(make([]byte, 100)); err != nil {
				return // the second connection, when the test ends
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
	case tc.serverReadsAgain: // allBytesExamined is true once the server waits for more
		scriptedpeer.Eventually(t, "the server's second read", firstConn.input.allBytesExamined)
	case tc.input != "" && !tc.serverReads:
		scriptedpeer.Eventually(t, "bytes in the kernel", func() bool { return !firstConn.input.allBytesExamined() })
	}
	ct.connect(t)
	ct.mu.Lock()
	closed := !ct.table.MarkBusy(firstConn.tableEntry)
	ct.mu.Unlock()
	if closed == tc.mustSurvive {
		t.Errorf("evicted: %v", closed)
	}
}

// While the server is closing, a response is the last one on its connection unless bytes of a next request have
// arrived. Bytes of the current request must not count as a next request, even if the server has not read again
// since.
func TestLastResponseUnlessNextRequestArrived(t *testing.T) {
	client, server := connectedPair(t, listen(t))
	defer server.Close()
	s := &Server{options: Options{Clock: clock.New()}}
	c := &conn{Conn: server, input: newPeekableConn(server, &timesharing.Turn{})}
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
