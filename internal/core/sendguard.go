package core

import (
	"sync"
	"sync/atomic"
)

// sendGuard protects the connection of an attempt. An abort ends the sending before anything else is sent
// for the request, so that no two attempts are in flight where two are not allowed. Once the attempt has detached, an
// abort no longer touches the connection. It is safe for concurrent use.
type sendGuard struct {
	mu        sync.Mutex
	abortFunc func() // nil before attach and after detach
	aborted   bool
}

// attach sets the function that ends the sending, which must not block. It returns false if the attempt was aborted
// already.
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

// abort ends the sending if it is attached. An attempt that attaches later is notified by the result of attach.
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
