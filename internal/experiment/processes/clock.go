package processes

import (
	"context"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/monotime"
)

// now returns the time since the run began, in microseconds.
func (r *run) now() monotime.Micros {
	return time.Since(r.clockBase).Microseconds() - r.clockOffset.Load()
}

// timerGranularity is how late a timer of Go may fire on an idle machine: its network poller waits in milliseconds.
const timerGranularity = 1200 * time.Microsecond

// sleepUntil sleeps until an instant, more exactly than time.Sleep: delays of the runner must not be measured as the
// daemon's.
func sleepUntil(until time.Time) {
	if remaining := time.Until(until); remaining > timerGranularity {
		time.Sleep(remaining - timerGranularity)
	}
	if remaining := time.Until(until); remaining > 0 {
		timespec := syscall.NsecToTimespec(remaining.Nanoseconds())
		_ = syscall.Nanosleep(&timespec, nil) // cut short by a signal now and then, which is no harm
	}
}

// wallTime returns the wall clock time of an instant of the run.
func (r *run) wallTime(instant monotime.Micros) time.Time {
	return r.clockBase.Add(time.Duration(instant+r.clockOffset.Load()) * time.Microsecond)
}

// scheduleAt calls f at an instant of the run, unless ctx ends before. The goroutine that waits is one of background.
func (r *run) scheduleAt(ctx context.Context, background *sync.WaitGroup, instant monotime.Micros, callback func()) {
	background.Go(func() {
		timer := time.NewTimer(time.Until(r.wallTime(instant)))
		defer timer.Stop()
		select {
		case <-timer.C:
			callback()
		case <-ctx.Done():
		}
	})
}
