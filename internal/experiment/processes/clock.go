package processes

import (
	"context"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/monotime"
)

// now is the instant of the run.
func (r *run) now() monotime.Micros { return time.Since(r.base).Microseconds() - r.offset.Load() }

// coarse is how late a timer of Go's may ring where nothing else goes on: its poller counts in milliseconds.
const timerGranularity = 1200 * time.Microsecond

// sleep waits until an instant, more exactly than time.Sleep: what this rig is late must not be taken for the daemon's.
func sleepUntil(until time.Time) {
	if d := time.Until(until); d > timerGranularity {
		time.Sleep(d - timerGranularity)
	}
	if d := time.Until(until); d > 0 {
		t := syscall.NsecToTimespec(d.Nanoseconds())
		_ = syscall.Nanosleep(&t, nil) // cut short by a signal now and then, which is no harm
	}
}

// time is when an instant of the run is.
func (r *run) wallTime(at monotime.Micros) time.Time {
	return r.base.Add(time.Duration(at+r.offset.Load()) * time.Microsecond)
}

// at calls f at an instant, unless the run has ended by then.
func (r *run) scheduleAt(ctx context.Context, beside *sync.WaitGroup, at monotime.Micros, f func()) {
	beside.Go(func() {
		timer := time.NewTimer(time.Until(r.wallTime(at)))
		defer timer.Stop()
		select {
		case <-timer.C:
			f()
		case <-ctx.Done():
		}
	})
}
