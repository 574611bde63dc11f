// Package timesharing pauses goroutines that serve connections without ever waiting for input, so that those of other
// connections run in time. Package decide/timeslice decides on the pauses.
package timesharing

import (
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/timeslice"
	"dunlinsail/internal/monotime"
)

// minWait is the duration from which on a blocking call counts as one that has waited. A call that does not wait
// takes some microseconds.
const minWait = monotime.Millisecond / 10

// minLoggedPause is the shortest pause that is logged.
const minLoggedPause = 2 * monotime.Millisecond

// logInterval is the shortest time between two log lines about pauses.
const logInterval = time.Second

// Processors shares the processors of the process among the goroutines of its connections. It is safe for concurrent
// use. A nil *Processors never pauses a goroutine.
type Processors struct {
	clock clock.Clock
	log   *slog.Logger

	pauses     atomic.Uint64
	pausedTime atomic.Int64 // monotime.Micros

	mu        sync.Mutex
	scheduler timeslice.Scheduler
	nextLog   monotime.Micros
}

// New returns the processors of this process.
func New(clk clock.Clock, log *slog.Logger) *Processors { return &Processors{clock: clk, log: log} }

// Pauses returns how many pauses there were, and their total length.
func (p *Processors) Pauses() (count uint64, total time.Duration) {
	return p.pauses.Load(), clock.Duration(p.pausedTime.Load())
}

// NewTurn returns the turn of a goroutine that serves the named client.
func (p *Processors) NewTurn(client string) *Turn { return &Turn{processors: p, client: client} }

// pause waits until a goroutine may run again that has run for the given length until the instant now.
func (p *Processors) pause(now, run monotime.Micros, client string) {
	p.mu.Lock()
	length := p.scheduler.NextStart(now, run, runtime.GOMAXPROCS(0)) - now
	p.mu.Unlock()
	p.sleep(now, length, client)
}

// sleep sleeps for the given length from the instant now, and counts and logs the pause.
func (p *Processors) sleep(now, length monotime.Micros, client string) {
	p.mu.Lock()
	mustLog := length >= minLoggedPause && now >= p.nextLog
	if mustLog {
		p.nextLog = now + clock.Micros(logInterval)
	}
	p.mu.Unlock()
	count := p.pauses.Add(1)
	total := p.pausedTime.Add(length)
	if mustLog {
		// The line is logged in a goroutine, because a slow reader of the log must not prolong the pause.
		go p.log.Info("busy client paused", "client", client,
			"for_us", length, "pauses", count, "paused_ms", total/monotime.Millisecond)
	}
	time.Sleep(clock.Duration(length))
}

// Turn is the share of a connection in the processors. It is safe for concurrent use.
type Turn struct {
	processors *Processors
	client     string

	mu    sync.Mutex
	slice timeslice.Slice
}

// Waited records that the goroutine has just waited for something else than a processor.
func (t *Turn) Waited() {
	if t.processors != nil {
		t.restart(t.processors.clock.Now())
	}
}

func (t *Turn) restart(now monotime.Micros) {
	t.mu.Lock()
	t.slice.Restart(now)
	t.mu.Unlock()
}

// Yield pauses the goroutine if it has run for too long without waiting.
func (t *Turn) Yield() {
	if t.processors == nil {
		return
	}
	now := t.processors.clock.Now()
	t.mu.Lock()
	length, usedUp := t.slice.Step(now)
	t.mu.Unlock()
	if !usedUp {
		return
	}
	t.processors.pause(now, length, t.client)
	t.restart(t.processors.clock.Now())
}

// Pause pauses the goroutine, however short it has run. It counts as a run of timeslice.MaxRun, since its time includes
// that of others.
func (t *Turn) Pause() {
	if t.processors == nil {
		return
	}
	t.processors.pause(t.processors.clock.Now(), timeslice.MaxRun, t.client)
	t.restart(t.processors.clock.Now())
}

// Transfer records that a piece of a body has been transferred, and pauses the goroutine if all transfers together take
// more than their share of the processors.
func (t *Turn) Transfer(pieceBytes int) {
	if t.processors == nil {
		return
	}
	p := t.processors
	now := p.clock.Now()
	p.mu.Lock()
	resumeAt := p.scheduler.Transfer(now, pieceBytes, runtime.GOMAXPROCS(0))
	p.mu.Unlock()
	if resumeAt > now {
		p.sleep(now, resumeAt-now, t.client)
		t.Waited()
	}
}

// Start returns the instant at which a call starts that may block, for End.
func (t *Turn) Start() monotime.Micros {
	if t.processors == nil {
		return 0
	}
	return t.processors.clock.Now()
}

// End records that a call has ended that started at the given instant and may have waited.
func (t *Turn) End(startedAt monotime.Micros) {
	if t.processors == nil {
		return
	}
	if now := t.processors.clock.Now(); now-startedAt >= minWait {
		t.restart(now)
	}
}
