package reuse

import (
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

const (
	// delayPeriod is the least time for which a delay of this process counts.
	delayPeriod = 3 * monotime.Second

	// minDelay is the delay from which on this process counts as late. Less is the usual delay of a timer.
	minDelay = 2 * monotime.Millisecond

	// initialDelay is assumed of a process with less than minObservations.
	initialDelay    = 5 * monotime.Millisecond
	minObservations = 20

	// starvedWaitRatio is how many times as long as they run the threads of this process wait for a processor where the
	// machine has far too few.
	starvedWaitRatio = 4

	// minProcessorWait is the least wait, of all threads together, that says something of the machine.
	minProcessorWait = 10 * monotime.Millisecond
)

// delayWindow holds the longest delay of this process in the present period and in the one before it.
type delayWindow struct {
	currentMax   monotime.Micros
	previousMax  monotime.Micros
	currentStart monotime.Micros // instant at which the present period began
	count        int             // observations, up to minObservations
}

// add adds a delay.
func (w *delayWindow) add(now, delay monotime.Micros) {
	w.advance(now)
	w.count = min(w.count+1, minObservations)
	if delay >= minDelay {
		w.currentMax = max(w.currentMax, delay)
	}
}

// longest returns the longest delay of the last delayPeriod, or somewhat longer.
func (w *delayWindow) longest(now monotime.Micros) monotime.Micros {
	w.advance(now)
	if w.count < minObservations {
		return max(w.currentMax, w.previousMax, initialDelay)
	}
	return max(w.currentMax, w.previousMax)
}

// advance begins a new period if the present one is over.
func (w *delayWindow) advance(now monotime.Micros) {
	elapsed := now - w.currentStart
	if elapsed < delayPeriod {
		return
	}
	w.previousMax = w.currentMax
	if elapsed >= 2*delayPeriod {
		w.previousMax = 0
	}
	w.currentMax = 0
	w.currentStart = now
}

// ObserveDelay takes into account that this process runs now and was due a delay ago.
func (d *Decider) ObserveDelay(now, delay monotime.Micros) {
	d.delays.add(now, delay)
	if delay >= minDelay {
		d.stalls.Add(stall.Interval{From: now - delay, To: now})
	}
}

// ObserveProcessorTime takes into account for how long the threads of this process have run, and have waited for a
// processor, since the last call. Where processors are scarce, the delays of a process that mostly sleeps say little:
// the scheduler prefers a thread that wakes up. One that was preempted, as that of an endpoint may be while it
// responds, waits for all others.
func (d *Decider) ObserveProcessorTime(now, runTime, waitTime monotime.Micros) {
	if waitTime >= minProcessorWait && waitTime >= starvedWaitRatio*runTime {
		d.starvedUntil = now + delayPeriod
	}
}

// delayAllowance returns what is added to a rest since this process, or one of an endpoint on the same machine, may be late.
func (d *Decider) delayAllowance(now monotime.Micros) monotime.Micros {
	if now < d.starvedUntil {
		return maxDelayAllowance
	}
	return min(delayFactor*d.delays.longest(now), maxDelayAllowance)
}

// running returns for how much of the time since an instant this process has run. While it did not, endpoints on the
// same machine may not have run either.
func (d *Decider) timeRunning(now, from monotime.Micros) monotime.Micros {
	return now - from - d.stalls.Within(from, now)
}
