package reuse

import (
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

const (
	// delayPeriod is the least time for which an observed delay of this process is taken into account.
	delayPeriod = 3 * monotime.Second

	// minDelay is the least delay at which this process counts as late. Shorter delays are usual for timers.
	minDelay = 2 * monotime.Millisecond

	// initialDelay is the least delay that is assumed for a process with fewer than minObservations.
	initialDelay    = 5 * monotime.Millisecond
	minObservations = 20

	// starvedWaitRatio is the ratio of the time that the threads of this process wait for a processor to the
	// time that they run at which the machine counts as having far too few processors.
	starvedWaitRatio = 4

	// minProcessorWait is the least total wait of all threads for a processor that is taken as evidence of too
	// few processors.
	minProcessorWait = 10 * monotime.Millisecond
)

// delayWindow holds the longest delay of this process in the current period of delayPeriod and in the previous
// one.
type delayWindow struct {
	currentMax   monotime.Micros // longest delay in the current period
	previousMax  monotime.Micros // longest delay in the previous period
	currentStart monotime.Micros // instant at which the current period started
	count        int             // number of observations, up to minObservations
}

// add records a delay that was observed at the instant now.
func (w *delayWindow) add(now, delay monotime.Micros) {
	w.advance(now)
	w.count = min(w.count+1, minObservations)
	if delay >= minDelay {
		w.currentMax = max(w.currentMax, delay)
	}
}

// longest returns the longest delay of at least the last delayPeriod and at most the last two; with fewer than
// minObservations, at least initialDelay.
func (w *delayWindow) longest(now monotime.Micros) monotime.Micros {
	w.advance(now)
	if w.count < minObservations {
		return max(w.currentMax, w.previousMax, initialDelay)
	}
	return max(w.currentMax, w.previousMax)
}

// advance starts a new period if the current one is over.
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

// ObserveDelay records that this process runs now and was due to run earlier, by the given delay.
func (d *Decider) ObserveDelay(now, delay monotime.Micros) {
	d.delays.add(now, delay)
	if delay >= minDelay {
		d.stalls.Add(stall.Interval{From: now - delay, To: now})
	}
}

// ObserveProcessorTime records for how long the threads of this process have run, and have waited for a
// processor, since the last call. If processors are scarce, the delays of a process that mostly sleeps are no
// good evidence, since the scheduler prefers a thread that wakes up. A preempted thread, such as that of an
// endpoint while it responds, waits for all other threads.
func (d *Decider) ObserveProcessorTime(now, runTime, waitTime monotime.Micros) {
	if waitTime >= minProcessorWait && waitTime >= starvedWaitRatio*runTime {
		d.starvedUntil = now + delayPeriod
	}
}

// delayAllowance returns the time that is added to a reuse delay because this process, or an endpoint on the
// same machine, may run late.
func (d *Decider) delayAllowance(now monotime.Micros) monotime.Micros {
	if now < d.starvedUntil {
		return maxDelayAllowance
	}
	return min(delayFactor*d.delays.longest(now), maxDelayAllowance)
}

// timeRunning returns for how much of the time since an instant this process has run. While it did not run,
// endpoints on the same machine may not have run either.
func (d *Decider) timeRunning(now, from monotime.Micros) monotime.Micros {
	return now - from - d.stalls.Within(from, now)
}
