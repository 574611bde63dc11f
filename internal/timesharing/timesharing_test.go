package timesharing

import (
	"runtime"
	"sync"
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

// Guards against clients that are rejected and get their error only after the 3 s that they are owed it within, because
// each pause was as long as the time in which others ran.
func TestPausesOfRejectedClientsAreShort(t *testing.T) {
	const clients = 500
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	processors := New(clock.New(), scriptedpeer.DiscardLog)
	started := make(chan struct{})
	var pausing sync.WaitGroup
	for range clients {
		turn := processors.NewTurn("desk")
		turn.Yield() // starts the turn
		pausing.Go(func() {
			<-started
			turn.Pause()
		})
	}
	runFor(10 * time.Millisecond) // others run
	startedAt := time.Now()
	close(started)
	pausing.Wait()
	if took := time.Since(startedAt); took > 3*time.Second {
		t.Errorf("the last of %d clients was paused for %v", clients, took)
	}
	if _, total := processors.Pauses(); total > clients*clients*clock.Duration(2*timeslice.MaxRun) {
		t.Errorf("%d clients were paused for %v in all", clients, total)
	}
}
