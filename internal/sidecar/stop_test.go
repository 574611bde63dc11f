package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// gated is a listener whose Accept waits, once it is shut, until a deadline is set or it is closed: whoever
// connects until then is in the kernel's queue.
type gated struct {
	*net.TCPListener
	mu   sync.Mutex
	shut chan struct{} // closed: open
}

func (l *gated) gate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shut
}

func (l *gated) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shut = make(chan struct{})
}

func (l *gated) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut != nil {
		close(l.shut)
		l.shut = nil
	}
}

func (l *gated) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		gate := l.gate()
		if gate == nil {
			return c, err
		}
		if err == nil {
			c.Close() // the one that it was waiting for as the gate was shut; it is the test's own
		}
		<-gate
	}
}

func (l *gated) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	l.open()
	return err
}

func (l *gated) Close() error {
	err := l.TCPListener.Close()
	l.open()
	return err
}

func loopback(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln.(*net.TCPListener)
}

// serveOn runs a sidecar with one endpoint on a listener of the test's own.
func serveOn(t *testing.T, ln net.Listener, endpoint discovery.Instance) *running {
	t.Helper()
	s, err := assemble(configureStatic(t, []discovery.Instance{endpoint}), nil, scriptedpeer.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{parts: s, addr: ln.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() {
		r.ended <- s.serve(ctx, ln, nil, nil)
		close(r.ended)
	}()
	t.Cleanup(func() { stop(); <-r.ended })
	scriptedpeer.Eventually(t, "ready", func() bool {
		resp, err := http.Get("http://" + r.addr + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	return r
}

// What waits in the listener's queue as it is closed is served: the kernel has accepted it.
func TestStopServesTheQueue(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	ln := &gated{TCPListener: loopback(t)}
	s := serveOn(t, ln, scripteddiscovery.Up("s-1", addr))
	s.request(t, look(900)) // it learns how fast the endpoint is
	ln.hold()
	if c, err := net.Dial("tcp", s.addr); err == nil { // takes the place of the one that was waited for
		c.Read(make([]byte, 1))
		c.Close()
	}
	const many = 5
	var conns []net.Conn
	for range many {
		c := s.dial(t)
		io.WriteString(c, requestText(t, look(900)))
		conns = append(conns, c)
	}
	s.stop()
	for i, c := range conns {
		c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 || !resp.Close { // more than one at once may be turned away
			t.Errorf("connection %d: %v, %v", i, resp, err)
		}
	}
	if err := scriptedpeer.Receive(t, s.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// What a client has sent whole behind a request that is open as the order to stop comes is answered, too, and
// the last answer closes. The one before does not, and is not taken away by a reset.
func TestStopBetweenPipelinedRequests(t *testing.T) {
	taken, release := make(chan struct{}, 4), make(chan struct{})
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		taken <- struct{}{}
		<-release
		io.WriteString(w, "ok")
	})
	s := start(t, configureStatic(t, instances(addr)))
	c := s.dial(t)
	io.WriteString(c, requestText(t, look(900)))
	scriptedpeer.Receive(t, taken, "first attempt")
	io.WriteString(c, requestText(t, look(900))+requestText(t, look(900)))
	s.stop()
	scriptedpeer.Eventually(t, "all are to close", func() bool {
		resp, err := http.Get("http://" + s.addr + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	close(release)
	c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	r := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != (i == 2) {
			t.Errorf("answer %d: %s, close %v", i, resp.Status, resp.Close)
		}
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("behind the last: %v", err)
	}
	if err := scriptedpeer.Receive(t, s.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// However long a request that is whole late could take, all is answered before the platform kills the process,
// 0.7 s after the longest deadline; clients that go on sending do not keep it open. Attempts hang at the only
// endpoint.
func TestStopEndsInTime(t *testing.T) {
	var taken atomic.Int32
	addr := hanging(t, &taken)
	s := start(t, configureStatic(t, instances(addr)))
	c := s.dial(t)
	text := requestText(t, request("POST", "/pay", "pay", 1000, "x"))
	io.WriteString(c, text[:len(text)-1])
	scriptedpeer.Eventually(t, "it has begun", func() bool { all, _ := s.parts.front.ConnectionCounts(); return all > 0 })
	started := time.Now()
	s.stop()
	late := time.AfterFunc(900*time.Millisecond, func() { io.WriteString(c, text[len(text)-1:]) }) // its time would end at 1.9 s
	defer late.Stop()
	c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	const killed = 1700 * time.Millisecond // 1 s, the longest deadline, and 0.7 s
	if took := time.Since(started); took > killed || taken.Load() != 1 || resp.StatusCode != 504 {
		t.Errorf("%s after %v, with %d attempts", resp.Status, took, taken.Load())
	}
	if err := scriptedpeer.Receive(t, s.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	if took := time.Since(started); took > killed {
		t.Errorf("ended after %v", took)
	}
}

// accepting is a listener that shows what it accepts.
type accepting struct {
	*net.TCPListener
	accepted chan *net.TCPConn
}

func (l *accepting) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		select {
		case l.accepted <- c.(*net.TCPConn):
		default: // nobody looks any more
		}
	}
	return c, err
}

// unread says whether the kernel holds bytes of a connection that nobody has read.
func unread(t *testing.T, c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		t.Fatal(err)
	}
	return n > 0
}

// A request of which a part has come as the order to stop does is waited for, head or body: its client has not
// seen the connection rest, and would not send it again. One that never comes whole is given up when nothing of
// it could be answered in time.
func TestStopWaitsForHalfARequest(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "ok")
	})
	ln := &accepting{TCPListener: loopback(t), accepted: make(chan *net.TCPConn, 1000)}
	s := serveOn(t, ln, scripteddiscovery.Up("s-1", addr))
	s.request(t, look(900)) // it learns how fast the endpoint is
	for len(ln.accepted) > 0 {
		<-ln.accepted
	}
	type half struct {
		c    net.Conn
		rest string
	}
	var halves []half
	for _, missing := range []int{20, 1, 20} { // of the head, of the body, of one that never comes whole
		c := s.dial(t)
		text := requestText(t, request("POST", "/pay", "pay", 1000, "x"))
		io.WriteString(c, text[:len(text)-missing])
		halves = append(halves, half{c, text[len(text)-missing:]})
		ours := scriptedpeer.Receive(t, ln.accepted, "connection")
		scriptedpeer.Eventually(t, "it is read: the kernel holds nothing by which it could be known", func() bool { return !unread(t, ours) })
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
	for i, h := range halves[:2] {
		io.WriteString(h.c, h.rest)
		h.c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(h.c), nil)
		if err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("request %d: %v, %v", i, resp, err)
		}
	}
	if err := scriptedpeer.Receive(t, s.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	const killed = 1700 * time.Millisecond // 1 s, the longest deadline, and 0.7 s
	if took := time.Since(started); took > killed {
		t.Errorf("ended after %v", took)
	}
}
