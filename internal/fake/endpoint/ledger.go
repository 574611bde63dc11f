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

// SecondResponseRecord is a second response that an endpoint sent to one request.
type SecondResponseRecord struct {
	Endpoint string
	TraceID  string // X-Trace-Id of the request
	// Lateness is the time between the two responses, each measured right before it was written: a busy machine may
	// make it longer than the delay. After a write the process that reads may run first, which would falsify it.
	Lateness time.Duration
}

// Ledger records the requests that ran at the endpoints that share it, recognizes repeats of a key among them, and
// records second responses. The zero Ledger is ready to use; it is safe for concurrent use.
type Ledger struct {
	mu              sync.Mutex
	runs            []Run
	lastEffects     map[string]time.Time // by idempotency key
	secondResponses []SecondResponseRecord
}

// Runs returns the requests that ran so far, in the order in which they started.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// SecondResponses returns the second responses that were sent so far, in their order.
func (l *Ledger) SecondResponses() []SecondResponseRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]SecondResponseRecord(nil), l.secondResponses...)
}

// AddSecondResponse records a second response, right before it is written.
func (l *Ledger) AddSecondResponse(record SecondResponseRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secondResponses = append(l.secondResponses, record)
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
