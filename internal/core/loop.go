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
	held     *queuedEvent // of a client; handled once the core has caught up
}

// Run handles events and fires the engine's timers until ctx ends. It does not wait for attempts and probes that are in
// flight then; what they report is dropped.
func (x *Core) Run(ctx context.Context) {
	defer close(x.stopped)
	l := &loop{Core: x, timer: time.NewTimer(0)}
	defer l.timer.Stop()
	for l.step(ctx) {
	}
}

// step fires what is due and handles the next event, if one comes before the next timer. What clients do comes after
// all other events: a request is decided by what has become of those before it. It returns false once ctx has ended.
func (l *loop) step(ctx context.Context) bool {
	now := l.now()
	l.runPendingStarts(now)
	clientEvents := l.clientEvents
	if l.catchUp.active(now) {
		clientEvents = nil // they wait
	} else {
		l.handleHeld()
		l.engine.Advance(now)
	}
	select {
	case queued := <-l.events:
		l.handle(queued)
		return true
	default:
	}
	l.waitUntil(now, l.nextWakeup(now))
	select {
	case queued := <-l.events:
		l.handle(queued)
	case queued := <-clientEvents:
		l.handleClientEvent(queued)
	case <-l.timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// now returns the present instant. If the process has stalled, the engine is notified before anything else, and the
// loop begins to catch up.
func (l *loop) now() monotime.Micros {
	now := l.config.Clock.Now()
	if stalled, found := l.detector.Run(now); found {
		l.engine.Stalled(now, stalled)
		l.catchUp.start(stalled)
		l.logStall(stalled)
	}
	return now
}

// minLoggedStall is the length from which on a stall is logged.
const minLoggedStall = 100 * monotime.Millisecond

// logStall logs a long stall.
func (l *loop) logStall(stalled stall.Interval) {
	if stalled.Length() >= minLoggedStall {
		l.config.Log.Warn("process stalled", "for_ms", stalled.Length()/monotime.Millisecond)
	}
}

// nextWakeup returns the instant at which the loop has to run even if no event comes.
func (l *loop) nextWakeup(now monotime.Micros) monotime.Micros {
	if l.catchUp.active(now) {
		return l.catchUp.until
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

// waitUntil sets the timer to an instant.
func (l *loop) waitUntil(now, instant monotime.Micros) {
	l.detector.WaitUntil(instant)
	if instant < math.MaxInt64 {
		l.timer.Reset(clock.Duration(instant - now))
	}
}

// handle handles an event.
func (l *loop) handle(queued queuedEvent) {
	now := l.now()
	l.catchUp.extend(now)
	l.runPendingStarts(now)
	l.eventWait = now - queued.postedAt
	queued.handle(now)
}

// handleClientEvent handles an event of a client, or holds it if the process has just stalled.
func (l *loop) handleClientEvent(queued queuedEvent) {
	if now := l.now(); l.catchUp.active(now) {
		l.held = &queued
		return
	}
	l.handle(queued)
}

// handleHeld handles the event that was held, if there is one.
func (l *loop) handleHeld() {
	if held := l.held; held != nil {
		l.held = nil
		l.handle(*held)
	}
}
