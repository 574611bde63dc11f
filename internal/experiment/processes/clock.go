package processes

import (
	"context"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/monotime"
)

// now returns the time since the start of the run, in microseconds.
func (r *run) now() monotime.Micros {
	return time.Since(r.clockBase).Microseconds() - r.clockOffset.Load()
}

// timerGranularity is how late a Go timer may fire on an idle machine, because the runtime's network poller waits
// in whole milliseconds.
const timerGranularity = 1200 * time.Microsecond

// sleepUntil sleeps until the given time, more precisely than time.Sleep does, so that delays of the runner are not
// measured as delays of the daemon.
func sleepUntil(until time.Time) {
	if remaining := time.Until(until); remaining > timerGranularity {
		time.Sleep(remaining - timerGranularity)
	}
	if remaining := time.Until(until); remaining > 0 {
		timespec := syscall.NsecToTimespec(remaining.Nanoseconds())
		_ = syscall.Nanosleep(&timespec, nil) // a signal may shorten the sleep, which does no harm
	}
}

// wallTime converts a time of the run, in microseconds since its start, to wall-clock time.
func (r *run) wallTime(instant monotime.Micros) time.Time {
	return r.clockBase.Add(time.Duration(instant+r.clockOffset.Load()) * time.Microsecond)
}

// scheduleAt calls callback at the given time of the run, unless ctx is canceled first. The goroutine that waits
// for this time is added to background.
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
