package timesharing

import (
	"testing"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/timeslice"
	"dunlinsail/internal/fake/scriptedpeer"
)

// runFor keeps a processor busy for the given time.
func runFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
	}
}

func TestGoroutineThatDoesNotWaitIsPaused(t *testing.T) {
	run := clock.Duration(timeslice.MaxRun)
	processors := New(clock.New(), scriptedpeer.DiscardLog)
	turn := processors.NewTurn("desk")
	turn.Yield() // starts the turn
	runFor(run)
	turn.Yield()
	if count, total := processors.Pauses(); count != 1 || total < run {
		t.Errorf("%d pauses of %v, want one of at least %v", count, total, run)
	}
	runFor(run)
	turn.Waited()
	turn.Yield()
	startedAt := turn.Start()
	runFor(run) // stands for a call that waits
	turn.End(startedAt)
	turn.Yield()
	if count, _ := processors.Pauses(); count != 1 {
		t.Errorf("%d pauses, none expected after a wait", count)
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
