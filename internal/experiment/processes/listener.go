package processes

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a listener that can fall silent, as a machine does that has vanished or is cut off: who connects hears nothing,
// and waits. The kernel does that where a socket's queue of connections is full: it passes over what asks to be let in.
type silenceableListener struct {
	*net.TCPListener

	mu          sync.Mutex
	changed     *sync.Cond
	silent      bool
	parked      bool // Accept waits for the silence to end
	closed      bool
	queueFiller net.Conn            // what the queue is full of
	fillerAddrs map[string]struct{} // by the address that it is from; not yet accepted
}

// backlog is that of a gate that listens; the kernel takes less where it is set to.
const backlog = 4096

// fillWithin is how long is waited for the queue to be full. It is at once, unless it was before.
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

// Accept waits for a connection, and for the end of a silence.
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

// silence has the gate fall silent, or ends that.
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
	// An Accept that is under way may still take one out of the queue: what fills it must not be that one.
	for !g.parked && !g.closed {
		g.changed.Wait()
	}
	if g.closed {
		return nil
	}
	if err := g.setBacklog(0); err != nil {
		return err
	}
	// One that waits fills a queue for none. If it is not let in, the queue is full already.
	if c, err := net.DialTimeout("tcp", g.Addr().String(), fillTimeout); err == nil {
		g.queueFiller = c
		g.fillerAddrs[c.LocalAddr().String()] = struct{}{}
	}
	return nil
}

// listen changes how long the socket's queue is.
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

// Close ends the listener, a silence too: who connects from then on is refused.
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
