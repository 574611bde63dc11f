package core

import (
	"sync"
	"sync/atomic"
)

// sendGuard coordinates the goroutine of an attempt with an abort. An abort stops the sending before the
// request is sent anywhere else, so that two attempts are never in flight where only one is allowed. Once the
// attempt has detached its connection, an abort no longer touches it. A sendGuard is safe for concurrent use.
type sendGuard struct {
	mu        sync.Mutex
	abortFunc func() // stops the sending; nil before attach and after detach
	aborted   bool
}

// attach sets the function that stops the sending; it must not block. attach returns false if the attempt has
// already been aborted.
func (g *sendGuard) attach(abort func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortFunc = abort
	return !g.aborted
}

// detach records that the sending has ended. It returns false if the attempt was aborted.
func (g *sendGuard) detach() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortFunc = nil
	return !g.aborted
}

// abort stops the sending if a function is attached. If an attempt attaches later, attach returns false.
func (g *sendGuard) abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	if g.abortFunc != nil {
		g.abortFunc()
		g.abortFunc = nil
	}
}

// sendGate decides once whether the first byte of an attempt may be written. It is safe for concurrent use.
type sendGate struct{ state atomic.Int32 }

// States of a sendGate. gateClaimed and gateClosed are final.
const (
	gateOpen int32 = iota
	gateClaimed
	gateClosed
)

// claim reports whether the first byte may be written. If so, the attempt can no longer be closed unsent.
func (g *sendGate) claim() bool { return g.state.CompareAndSwap(gateOpen, gateClaimed) }

// closeUnsent closes the gate, so that the first byte is never written. It returns false if the gate was
// claimed first.
func (g *sendGate) closeUnsent() bool {
	g.state.CompareAndSwap(gateOpen, gateClosed)
	return g.state.Load() == gateClosed
}
