package core

import (
	"sync"
	"sync/atomic"
)

// sendGuard protects the connection that an attempt is sent on. An abort ends the sending before anything else is sent
// for the request, so that no two attempts are out where two are not allowed. If the attempt detaches first, an abort
// no longer touches the connection. It is safe for concurrent use.
type sendGuard struct {
	mu        sync.Mutex
	abortFunc func() // nil before attach and after detach
	aborted   bool
}

// attach sets how to end the sending, which must not block. It returns false if the attempt was aborted already.
func (g *sendGuard) attach(abort func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortFunc = abort
	return !g.aborted
}

// detach notes that the sending is over, and reports whether it was not aborted.
func (g *sendGuard) detach() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortFunc = nil
	return !g.aborted
}

// abort ends the sending, now or once it is attached.
func (g *sendGuard) abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	if g.abortFunc != nil {
		g.abortFunc()
		g.abortFunc = nil
	}
}

// sendGate decides once whether an attempt's first byte is written. It is safe for concurrent use.
type sendGate struct{ state atomic.Int32 }

// The states of a sendGate. The last two are final.
const (
	gateOpen int32 = iota
	gateClaimed
	gateClosed
)

// claim reports whether the first byte may be written.
func (g *sendGate) claim() bool { return g.state.CompareAndSwap(gateOpen, gateClaimed) }

// closeUnsent keeps the first byte from being written, and reports whether that was in time.
func (g *sendGate) closeUnsent() bool {
	g.state.CompareAndSwap(gateOpen, gateClosed)
	return g.state.Load() == gateClosed
}
