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

// Run handles events and fires the engine's timers until ctx ends. It does not wait for attempts and probes that are in
// flight then; what they report is dropped.
func (core *Core) Run(ctx context.Context) {
	defer close(core.stopped)
	l := &loop{Core: core, timer: time.NewTimer(0)}
	defer l.timer.Stop()
	for l.step(ctx) {
	}
}

// step fires what is due and handles the next event, if one comes before the next timer. It returns false once ctx has
// ended.
func (l *loop) step(ctx context.Context) bool {
	now := l.advanceClock()
	l.startPendingPools(now)
	if !l.catchUp.active(now) {
		l.handleDeferred(now)
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

// now returns the present instant. If the process has stalled, the engine is notified before anything else, and the
// loop begins to catch up.
func (l *loop) advanceClock() monotime.Micros {
	now := l.config.Clock.Now()
	if interval, found := l.detector.Run(now); found {
		l.engine.Stalled(now, interval)
		l.catchUp.start(interval)
		l.logStall(interval)
	}
	return now
}

// minLoggedStall is the length from which on a stall is logged.
const minLoggedStall = 100 * monotime.Millisecond

// logStall logs a long stall.
func (l *loop) logStall(interval stall.Interval) {
	if interval.Length() >= minLoggedStall {
		l.config.Log.Warn("process stalled", "for_ms", interval.Length()/monotime.Millisecond)
	}
}

// nextWakeup returns the instant at which the loop has to run even if no event comes.
func (l *loop) nextWakeup(now monotime.Micros) monotime.Micros {
	if l.catchUp.active(now) {
		return l.catchUp.endsAt
	}
	wakeup := monotime.Micros(math.MaxInt64)
	if due, ok := l.engine.Next(); ok {
		wakeup = due
	}
	if l.engine.Waiting() {
		wakeup = min(wakeup, now+stall.HeartbeatInterval)
	}
	return wakeup
}

// armTimer sets the timer to an instant.
func (l *loop) armTimer(now, wakeup monotime.Micros) {
	l.detector.WaitUntil(wakeup)
	if wakeup < math.MaxInt64 {
		l.timer.Reset(clock.Duration(wakeup - now))
	}
}

// handle handles an event, or defers it until the loop has caught up.
func (l *loop) handle(queued queuedEvent) {
	now := l.advanceClock()
	l.catchUp.extend(now)
	l.startPendingPools(now)
	if queued.deferrable && l.catchUp.active(now) {
		l.catchUp.deferred = append(l.catchUp.deferred, queued)
		return
	}
	l.handleNow(now, queued)
}

// handleNow handles an event.
func (l *loop) handleNow(now monotime.Micros, queued queuedEvent) {
	l.eventWait = now - queued.postedAt
	queued.handle(now)
}

// handleDeferred handles the events that were deferred, in their order.
func (l *loop) handleDeferred(now monotime.Micros) {
	deferred := l.catchUp.deferred
	l.catchUp.deferred = nil
	for _, queued := range deferred {
		l.handleNow(now, queued)
	}
}
