package endpoint

import (
	"sync"
	"time"
)

// Run is one request that reached an endpoint.
type Run struct {
	Endpoint       string
	Class          string
	TraceID        string // X-Trace-Id
	IdempotencyKey string // Idempotency-Key
	StartedAt      time.Time
	TookEffect     bool // false for a repeat that the endpoints recognized by its key
}

// Ledger records the requests that ran at the endpoints that share it, and recognizes repeats of a key among them. The
// zero Ledger is ready to use; it is safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	runs        []Run
	lastEffects map[string]time.Time // by idempotency key
}

// Runs returns the requests that ran so far, in the order in which they started.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// add records a request; one that repeats a key within the window takes no effect.
func (l *Ledger) add(run Run, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.IdempotencyKey != "" && window > 0 {
		run.TookEffect = l.takesEffect(run, window)
	}
	l.runs = append(l.runs, run)
}

// takesEffect reports whether a run's key is new within the window, and remembers the key; l.mu must be held.
func (l *Ledger) takesEffect(run Run, window time.Duration) bool {
	if l.lastEffects == nil {
		l.lastEffects = map[string]time.Time{}
	}
	lastEffect, known := l.lastEffects[run.IdempotencyKey]
	if known && run.StartedAt.Sub(lastEffect) < window {
		return false
	}
	l.lastEffects[run.IdempotencyKey] = run.StartedAt
	return true
}
