package stall

import "dunlinsail/internal/monotime"

const (
	// HeartbeatInterval is the longest time for which an event loop should wait if its stalls are to be
	// detected. A stall is measured too short by up to this time.
	HeartbeatInterval = 20 * monotime.Millisecond

	// minStall is the least lateness at which a loop counts as stalled. Shorter delays are usual for timers.
	minStall = 10 * monotime.Millisecond
)

// Detector detects stalls of an event loop: the loop runs later than it was due to run. The loop calls Run each
// time it runs, and WaitUntil before it waits.
type Detector struct {
	dueAt   monotime.Micros // instant at which the loop is due to run
	started bool            // Run has been called
}

// Run records that the loop runs at the instant now. If found is true, it also returns the stall that has just
// ended.
func (d *Detector) Run(now monotime.Micros) (interval Interval, found bool) {
	interval = Interval{From: d.dueAt, To: now}
	found = d.started && interval.Length() >= minStall
	d.started = true
	d.dueAt = now
	return interval, found
}

// WaitUntil records that the loop waits until the given instant at the latest.
func (d *Detector) WaitUntil(until monotime.Micros) { d.dueAt = max(d.dueAt, until) }
