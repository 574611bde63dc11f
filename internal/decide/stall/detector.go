package stall

import "dunlinsail/internal/monotime"

const (
	// HeartbeatInterval is the longest time that an event loop should wait while it wants stalls to be found: a stall
	// is found short by up to that time.
	HeartbeatInterval = 20 * monotime.Millisecond

	// minStall is the lateness from which on a loop counts as stalled. Less is the usual delay of a timer.
	minStall = 10 * monotime.Millisecond
)

// Detector finds stalls of an event loop: the loop was due to run at one instant, and ran later. The loop calls Run
// each time it runs, and WaitUntil before it waits.
type Detector struct {
	due     monotime.Micros // instant at which the loop is due to run
	started bool
}

// Run notes that the loop runs, and returns the stall that has just ended, if found is true.
func (d *Detector) Run(now monotime.Micros) (interval Interval, found bool) {
	interval = Interval{From: d.due, To: now}
	found = d.started && interval.Length() >= minStall
	d.started = true
	d.due = now
	return interval, found
}

// WaitUntil notes that the loop waits until an instant at most.
func (d *Detector) WaitUntil(until monotime.Micros) { d.due = max(d.due, until) }
