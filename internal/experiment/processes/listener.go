package processes

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// silenceableListener is a listener that can stop answering connection requests, as a machine behind a network
// partition does: clients wait until they time out. It fills the socket's accept queue, whereupon the kernel drops
// SYNs.
type silenceableListener struct {
	*net.TCPListener

	mu          sync.Mutex
	changed     *sync.Cond
	silent      bool
	parked      bool // Accept waits for the silence to end
	closed      bool
	queueFiller net.Conn            // fills the accept queue
	fillerAddrs map[string]struct{} // local addresses of fillers that are not yet accepted
}

// backlog is the length of the accept queue; the kernel may cap it (net.core.somaxconn).
const backlog = 4096

// fillTimeout bounds the connection that fills the queue: it succeeds at once, or the queue is full already.
const fillTimeout = 100 * time.Millisecond

func newSilenceableListener(addr string) (*silenceableListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &silenceableListener{TCPListener: ln.(*net.TCPListener), fillerAddrs: map[string]struct{}{}}
	g.changed = sync.NewCond(&g.mu)
	return g, nil
}

// Accept waits for the next connection, during a silence for its end.
func (g *silenceableListener) Accept() (net.Conn, error) {
	for {
		c, err := g.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			g.mu.Lock()
			g.parked = true
			g.changed.Broadcast()
			for g.silent && !g.closed {
				g.changed.Wait()
			}
			g.parked = false
			g.mu.Unlock()
			continue
		}
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		_, filler := g.fillerAddrs[c.RemoteAddr().String()]
		delete(g.fillerAddrs, c.RemoteAddr().String())
		g.mu.Unlock()
		if !filler {
			return c, nil
		}
		c.Close()
	}
}

// setSilent begins or ends a silence.
func (g *silenceableListener) setSilent(yes bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.silent == yes {
		return nil
	}
	g.silent = yes
	if !yes {
		err := g.setBacklog(backlog)
		if g.queueFiller != nil {
			g.queueFiller.Close()
			g.queueFiller = nil
		}
		g.SetDeadline(time.Time{})
		g.changed.Broadcast()
		return err
	}
	g.SetDeadline(time.Unix(1, 0))
	// An Accept in progress would take the filler out of the queue.
	for !g.parked && !g.closed {
		g.changed.Wait()
	}
	if g.closed {
		return nil
	}
	if err := g.setBacklog(0); err != nil {
		return err
	}
	// A backlog of 0 holds one connection. If dialing fails, the queue is full already.
	if c, err := net.DialTimeout("tcp", g.Addr().String(), fillTimeout); err == nil {
		g.queueFiller = c
		g.fillerAddrs[c.LocalAddr().String()] = struct{}{}
	}
	return nil
}

// setBacklog changes the length of the socket's accept queue.
func (g *silenceableListener) setBacklog(n int) error {
	raw, err := g.SyscallConn()
	if err != nil {
		return err
	}
	if broken := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) }); broken != nil {
		return broken
	}
	return err
}

// Close closes the listener and ends a silence: the system rejects new connections.
func (g *silenceableListener) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.queueFiller != nil {
		g.queueFiller.Close()
	}
	g.changed.Broadcast()
	return g.TCPListener.Close()
}
