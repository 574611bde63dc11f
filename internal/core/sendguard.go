package core

import (
	"sync"
	"sync/atomic"
)

// line is what an attempt is sent on. Whoever withdraws the attempt ends the sending on it before anything else goes out for its
// request, so that no two are out where two may not be; whoever lets go of it first keeps what it was.
type sendGuard struct {
	mu        sync.Mutex
	abortFunc func()
	aborted   bool
}

// hold notes how to end the sending, which must not wait. It says no if that is to be ended already.
func (l *sendGuard) attach(end func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortFunc = end
	return !l.aborted
}

// letGo says that the sending is over, and whether nobody has ended it.
func (l *sendGuard) detach() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortFunc = nil
	return !l.aborted
}

func (l *sendGuard) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted = true; l.abortFunc != nil {
		l.abortFunc()
		l.abortFunc = nil
	}
}

// gate decides once whether an attempt's first byte goes out.
type sendGate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gateClaimed
	gateClosed
)

func (g *sendGate) claim() bool { return g.state.CompareAndSwap(gateOpen, gateClaimed) }

// shut keeps the attempt in, and says whether that was in time: then it never runs.
func (g *sendGate) closeUnsent() bool {
	g.state.CompareAndSwap(gateOpen, gateClosed)
	return g.state.Load() == gateClosed
}
