package core

import (
	"context"
	"math"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

// loop is the event loop of a core.
type loop struct {
	*Core
	timer    *time.Timer
	detector stall.Detector
	catchUp  catchUp
}

// Run handles events and fires the engine's timers until ctx ends. It does not wait for attempts and probes
// that are in flight at that time; their outcomes are dropped.
func (core *Core) Run(ctx context.Context) {
	defer close(core.stopped)
	l := &loop{Core: core, timer: time.NewTimer(0)}
	defer l.timer.Stop()
	for l.step(ctx) {
	}
}

// step fires the engine's timers that are due, and then handles the next event unless the next timer expires
// first. It returns false once ctx has ended.
func (l *loop) step(ctx context.Context) bool {
	now := l.readClock()
	l.startPendingPools(now)
	if !l.catchUp.active(now) {
		l.endCatchUp(now)
		l.engine.Advance(now)
	}
	l.armTimer(now, l.nextWakeup(now))
	select {
	case queued := <-l.events:
		l.handle(queued)
	case <-l.timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// readClock returns the present instant. If the process has stalled, it notifies the engine before any other
// event is handled, and starts the catch-up.
func (l *loop) readClock() monotime.Micros {
	now := l.config.Clock.Now()
	if interval, found := l.detector.Run(now); found {
		l.engine.Stalled(now, interval)
		l.catchUp.stalled(interval)
		l.logStall(interval)
	}
	return now
}

// minLoggedStall is the shortest stall that is logged.
const minLoggedStall = 100 * monotime.Millisecond

// logStall logs a stall of at least minLoggedStall.
func (l *loop) logStall(interval stall.Interval) {
	if interval.Length() >= minLoggedStall {
		l.config.Log.Warn("process stalled", "for_ms", interval.Length()/monotime.Millisecond,
			"queued_events", len(l.events), "deferred_events", len(l.catchUp.deferred))
	}
}

// nextWakeup returns the instant at which the loop must run even if no event arrives.
func (l *loop) nextWakeup(now monotime.Micros) monotime.Micros {
	if l.catchUp.active(now) {
		return l.catchUp.endsAt
	}
	wakeup := monotime.Micros(math.MaxInt64)
	if due, ok := l.engine.NextTimer(); ok {
		wakeup = due
	}
	if l.engine.AwaitsEndpoint() {
		wakeup = min(wakeup, now+stall.HeartbeatInterval)
	}
	return wakeup
}

// armTimer sets the timer to the instant wakeup, unless that is math.MaxInt64, which means no wakeup.
func (l *loop) armTimer(now, wakeup monotime.Micros) {
	l.detector.WaitUntil(wakeup)
	if wakeup < math.MaxInt64 {
		l.timer.Reset(clock.Duration(wakeup - now))
	}
}

// handle handles an event, or defers it if it is deferrable and the catch-up requires that.
func (l *loop) handle(queued queuedEvent) {
	now := l.readClock()
	l.catchUp.extend(now)
	l.startPendingPools(now)
	if queued.deferrable {
		if l.catchUp.active(now) {
			l.catchUp.deferred = append(l.catchUp.deferred, queued)
			return
		}
		l.endCatchUp(now) // earlier events come first
	}
	l.handleNow(now, queued)
}

// handleNow handles an event without deferring it.
func (l *loop) handleNow(now monotime.Micros, queued queuedEvent) {
	l.eventWait = now - queued.postedAt
	queued.handle(now)
}

// endCatchUp handles the deferred events in the order in which they were posted.
func (l *loop) endCatchUp(now monotime.Micros) {
	for _, queued := range l.catchUp.end() {
		l.handleNow(now, queued)
	}
}
