package timesharing

import (
	"testing"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/timeslice"
	"dunlinsail/internal/fake/scriptedpeer"
)

// steps is how many steps of work a goroutine does before it may be paused, at least.
const steps = 16

// runFor keeps a processor busy for the given time.
func runFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
	}
}

func TestGoroutineThatDoesNotWaitIsPaused(t *testing.T) {
	run := clock.Duration(timeslice.MaxRun)
	processors := New(clock.New(), scriptedpeer.DiscardLog)
	turn := processors.NewTurn("desk")
	for range steps { // none of them is long enough by itself
		runFor(run / steps)
		turn.Yield()
	}
	runFor(run)
	turn.Yield()
	before, total := processors.Pauses()
	if before < 1 || total < run {
		t.Errorf("%d pauses of %v, want some of at least %v", before, total, run)
	}
	turn.Waited()
	runFor(run)
	turn.Yield() // a single step
	startedAt := turn.Start()
	runFor(run) // stands for a call that waits
	turn.End(startedAt)
	turn.Yield()
	if count, _ := processors.Pauses(); count != before {
		t.Errorf("%d pauses after %d, none expected after a wait", count, before)
	}
}

func TestTurnWithoutProcessorsNeverPauses(t *testing.T) {
	turn := (*Processors)(nil).NewTurn("desk")
	turn.Yield()
	startedAt := turn.Start()
	runFor(clock.Duration(timeslice.MaxRun))
	turn.End(startedAt)
	turn.Waited()
	turn.Yield()
}
