package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// gatedListener is a listener whose Accept blocks after closeGate, until a deadline is set or the listener is
// closed. Clients that connect meanwhile wait in the kernel's accept queue.
type gatedListener struct {
	*net.TCPListener
	mu         sync.Mutex
	closedGate chan struct{} // closed by openGate; nil while the gate is open
}

func (l *gatedListener) currentGate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedGate
}

func (l *gatedListener) closeGate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closedGate = make(chan struct{})
}

func (l *gatedListener) openGate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closedGate != nil {
		close(l.closedGate)
		l.closedGate = nil
	}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		gate := l.currentGate()
		if gate == nil {
			return c, err
		}
		if err == nil {
			c.Close() // the test's own connection, for an Accept that waited when the gate was closed
		}
		<-gate
	}
}

func (l *gatedListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	l.openGate()
	return err
}

func (l *gatedListener) Close() error {
	err := l.TCPListener.Close()
	l.openGate()
	return err
}

// listenLoopback listens on a free port of 127.0.0.1.
func listenLoopback(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln.(*net.TCPListener)
}

// serveOn runs a sidecar with one endpoint on the given listener.
func serveOn(t *testing.T, ln net.Listener, endpoint discovery.Instance) *testSidecar {
	t.Helper()
	assembled, err := assemble(configureStatic(t, []discovery.Instance{endpoint}), nil, scriptedpeer.DiscardLog)
	require.NoError(t, err)
	return serve(t, assembled, ln)
}

// Connections in the listener's accept queue are served before the listener is closed, because the kernel has
// already established them.
func TestStopServesAcceptQueue(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	ln := &gatedListener{TCPListener: listenLoopback(t)}
	s := serveOn(t, ln, scripteddiscovery.Up("s-1", addr))
	s.request(t, safeRequest(900)) // gives the sidecar an estimate of response times
	ln.closeGate()
	if c, err := net.Dial("tcp", s.addr); err == nil { // lets the Accept return that is already waiting
		c.Read(make([]byte, 1))
		c.Close()
	}
	const queued = 5
	var conns []net.Conn
	for range queued {
		c := s.dial(t)
		io.WriteString(c, requestText(t, safeRequest(900)))
		conns = append(conns, c)
	}
	s.stop()
	for i, c := range conns {
		c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		// Some of several simultaneous requests may be rejected.
		if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 || !resp.Close {
			t.Errorf("connection %d: %v, %v", i, resp, err)
		}
	}
	s.checkEnded(t)
}

// Pipelined requests that wait behind an open request at the stop get responses, too. Only the last response
// closes the connection, and no response is lost by a reset.
func TestStopBetweenPipelinedRequests(t *testing.T) {
	received, release := make(chan struct{}, 4), make(chan struct{})
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		<-release
		io.WriteString(w, "ok")
	})
	s := start(t, configureStatic(t, instances(addr)))
	c := s.dial(t)
	io.WriteString(c, requestText(t, safeRequest(900)))
	scriptedpeer.Receive(t, received, "first attempt")
	io.WriteString(c, requestText(t, safeRequest(900))+requestText(t, safeRequest(900)))
	s.stop()
	scriptedpeer.Eventually(t, "the sidecar drains", func() bool { return s.readyStatus() == 503 })
	close(release)
	c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	r := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != (i == 2) {
			t.Errorf("response %d: %s, close %v", i, resp.Status, resp.Close)
		}
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last response: %v, want EOF", err)
	}
	s.checkEnded(t)
}

// A request that becomes complete late after the stop gets a response before the platform kills the process, 0.7 s
// after the longest client deadline, even if its own deadline is later. The only endpoint never responds.
func TestStopEndsInTime(t *testing.T) {
	var received atomic.Int32
	addr := startHangingEndpoint(t, &received)
	s := start(t, configureStatic(t, instances(addr)))
	c := s.dial(t)
	text := requestText(t, request("POST", "/pay", "pay", 1000, "x"))
	io.WriteString(c, text[:len(text)-1])
	scriptedpeer.Eventually(t, "the connection is accepted", func() bool { return s.openConnections() > 0 })
	started := time.Now()
	s.stop()
	completion := time.AfterFunc(900*time.Millisecond, func() { io.WriteString(c, text[len(text)-1:]) })
	defer completion.Stop() // the request's own deadline is 1.9 s after the stop
	resp := readHead(t, c, nil)
	const killDelay = 1700 * time.Millisecond // the longest client deadline, 1 s, plus 0.7 s
	if took := time.Since(started); took > killDelay || received.Load() != 1 || resp.StatusCode != 504 {
		t.Errorf("%s after %v, with %d attempts", resp.Status, took, received.Load())
	}
	s.checkEnded(t)
	if took := time.Since(started); took > killDelay {
		t.Errorf("ended after %v", took)
	}
}

// reportingListener is a listener that also sends each accepted connection to the channel accepted.
type reportingListener struct {
	*net.TCPListener
	accepted chan *net.TCPConn
}

func (l *reportingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		select {
		case l.accepted <- c.(*net.TCPConn):
		default: // the channel is full: the test has ended
		}
	}
	return c, err
}

// hasUnreadBytes reports whether the kernel's receive buffer of a connection contains bytes.
func hasUnreadBytes(t *testing.T, c *net.TCPConn) bool {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	n := 0
	if err := raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		t.Fatal(err)
	}
	return n > 0
}

// At a stop, the sidecar waits for the rest of a request of which a part of the head or body has arrived, because
// the client would not send it again. The connection of a request that stays incomplete is closed as soon as there
// is no time left for a response.
func TestStopWaitsForIncompleteRequest(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "ok")
	})
	ln := &reportingListener{TCPListener: listenLoopback(t), accepted: make(chan *net.TCPConn, 1000)}
	s := serveOn(t, ln, scripteddiscovery.Up("s-1", addr))
	s.request(t, safeRequest(900)) // gives the sidecar an estimate of response times
	for len(ln.accepted) > 0 {
		<-ln.accepted
	}
	type partialRequest struct {
		c         net.Conn
		remainder string
	}
	var partialRequests []partialRequest
	for _, missingBytes := range []int{20, 1, 20} { // bytes that are sent late; the last request stays incomplete
		c := s.dial(t)
		text := requestText(t, request("POST", "/pay", "pay", 1000, "x"))
		io.WriteString(c, text[:len(text)-missingBytes])
		partialRequests = append(partialRequests, partialRequest{c, text[len(text)-missingBytes:]})
		accepted := scriptedpeer.Receive(t, ln.accepted, "connection")
		scriptedpeer.Eventually(t, "the sidecar has read the bytes", func() bool {
			return !hasUnreadBytes(t, accepted)
		})
	}
	started := time.Now()
	s.stop()
	scriptedpeer.Eventually(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", s.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	for i, partial := range partialRequests[:2] {
		io.WriteString(partial.c, partial.remainder)
		partial.c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(partial.c), nil)
		if err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("request %d: %v, %v", i, resp, err)
		}
	}
	s.checkEnded(t)
	const killDelay = 1700 * time.Millisecond // the longest client deadline, 1 s, plus 0.7 s
	if took := time.Since(started); took > killDelay {
		t.Errorf("ended after %v", took)
	}
}

// Guards against a process that is killed because a client goes on sending a body without end after the stop.
func TestStopEndsUploadsWithoutEnd(t *testing.T) {
	received := make(chan struct{}, 1)
	addr := scriptedpeer.StartHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		io.Copy(io.Discard, r.Body)
	})
	s := start(t, configureStatic(t, instances(addr)))
	c := s.dial(t)
	fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: upload\r\nTransfer-Encoding: chunked\r\n\r\n")
	sent := make(chan error, 1)
	go func() {
		for ticker := time.NewTicker(5 * time.Millisecond); ; <-ticker.C {
			if _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"); err != nil {
				sent <- err
				return
			}
		}
	}()
	scriptedpeer.Receive(t, received, "the upload")
	started := time.Now()
	s.stop()
	if resp := readHead(t, c, nil); resp.StatusCode < 400 {
		t.Errorf("the response to the upload: %s", resp.Status)
	}
	s.checkEnded(t)
	const killDelay = 1700 * time.Millisecond // the longest client deadline, 1 s, plus 0.7 s
	if took := time.Since(started); took > killDelay {
		t.Errorf("ended after %v", took)
	}
	if err := scriptedpeer.Receive(t, sent, "the end of the client's connection"); err == nil {
		t.Error("the client's connection is open")
	}
}

// Guards against a request that is closed without a response since its class lets clients wait for longer than
// drainTimeout, and the drain of a hot restart ends before.
func TestRequestOpenAtTheEndOfTheDrainIsAnswered(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	endpoint := startBlockingEndpoint(t, "/pay", received, release)
	longTimeout := `"pay","repeat":"side_effect","target":500000,"give-up":`
	s := start(t, configureStatic(t, instances(endpoint), longTimeout+"1000000", longTimeout+"60000000"))
	status := s.requestInBackground(t, request("POST", "/pay", "pay", 60_000, "x"))
	scriptedpeer.Receive(t, received, "attempt at the endpoint")
	s.sidecar.lifecycle.CloseRemaining()
	if got := scriptedpeer.Receive(t, status, "response"); got != 504 {
		t.Errorf("status %d, want 504", got)
	}
}
