package upstream

import (
	"io"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/monotime"
)

// responsePollInterval is the longest time between two checks of a responseTimer.
const responsePollInterval = 50 * time.Millisecond

// responseTimer bounds an attempt whose request body is streamed: the time from the start of the request's time
// (package decide/upload) until the response is complete, or until a response that is not buffered is passed on. When
// that time is over, the timer closes the connection, which ends each pending read and write of the attempt, and each
// later one. A nil responseTimer, of an attempt without such a limit, never expires.
type responseTimer struct {
	conn    io.Closer
	clock   clock.Clock
	timeout monotime.Micros
	// startOfTime returns the instant from which the request's time counts, as known at the instant now.
	startOfTime func(now monotime.Micros) monotime.Micros

	mu      sync.Mutex
	timer   *time.Timer // nil until start is called
	stopped bool
	expired bool
}

// start starts the checks of the timer.
func (t *responseTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.timer = time.AfterFunc(t.untilCheck(now, t.startOfTime(now)+t.timeout), t.check)
}

// untilCheck returns the time until the next check if the request's time is over at the instant due.
func (t *responseTimer) untilCheck(now, due monotime.Micros) time.Duration {
	return min(responsePollInterval, clock.Duration(due-now))
}

// check expires the timer if the request's time is over, and otherwise schedules the next check.
func (t *responseTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	due := t.startOfTime(now) + t.timeout
	switch {
	case t.stopped:
	case now >= due:
		t.expireLocked()
	default:
		t.timer.Reset(t.untilCheck(now, due))
	}
}

// expire ends the attempt at once, unless the timer has been stopped.
func (t *responseTimer) expire() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.expireLocked()
	}
}

func (t *responseTimer) expireLocked() {
	t.expired = true
	t.conn.Close()
}

// stop stops the timer. It reports whether the timer has not expired: it has not closed the connection then.
func (t *responseTimer) stop() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return !t.expired
}

// hasExpired reports whether the timer has closed the connection.
func (t *responseTimer) hasExpired() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expired
}
