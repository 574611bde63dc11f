// Package simendpoint models an endpoint as a state machine: cores that requests queue for, a speed that changes, a
// warm-up, draining, collapse under load, connections, idempotency keys whose repeats it drops, and load reports. The
// package does no I/O and reads no clock, so that the same endpoint runs in simulated time (package simulation) and
// behind a socket (package processes).
package simendpoint

import (
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
)

const second monotime.Micros = 1_000_000

// Job is a request at an endpoint.
type Job struct {
	Class          int
	Work           monotime.Micros // at speed 1
	IdempotencyKey uint64          // a repeat of it is dropped; 0 is none
	Chance         float64         // random number in 0..1 that decides whether it fails
	HostData       any             // the caller's own
	duplicate      bool            // its key was known when it arrived
	startedAt      monotime.Micros // while running
	endsAt         monotime.Micros // while running
	state          jobState
	core           int // index of its core, while running
}

type jobState uint8

const (
	idle jobState = iota
	queued
	running
)

// Verdict is how a request ends at an endpoint, or that it was accepted.
type Verdict uint8

// The verdicts.
const (
	Accepted   Verdict = iota // it is queued or runs: its completion follows
	Completed                 // it ran
	Duplicate                 // its key was known: it is answered as before, without effect
	Failed                    // it failed; it may have run
	Rejected                  // it did not run
	Unanswered                // it ran, and no reply is sent
)

// Completion is the end of a request at an endpoint.
type Completion struct {
	Job     *Job
	At      monotime.Micros
	Verdict Verdict
	Effect  bool // it took effect: it was no known duplicate. A request that fails after it ran has its effect, too
}

// Endpoint is the model of an endpoint. Make one with New, and start it with Start.
type Endpoint struct {
	config     Config
	dedupGroup *DedupGroup
	condition  Condition

	up        bool
	draining  bool
	collapsed bool
	startedAt monotime.Micros
	alwaysUp  bool // it was running before the simulation: it is warm

	cores           []*Job // nil where a core is free
	busy            int
	queue           []*Job
	pausedUntil     monotime.Micros // no job makes progress until then
	pendingOverhead monotime.Micros // work of probes and handshakes, which delays the next request
	connections     int
	workDone        float64 // work done, at speed 1

	// Work offered while warming up, by slots of a tenth of Config.CollapseWindow.
	offeredSlot int64
	offeredWork [offeredSlots]float64
	completions []Completion
	report      loadReporter
}

// offeredSlots is the number of slots in the window of the offered work.
const offeredSlots = 10

// New returns an endpoint that is down. group has the idempotency keys that it shares with others, and may be nil.
func New(c Config, group *DedupGroup) *Endpoint {
	return &Endpoint{config: c, dedupGroup: group, cores: make([]*Job, max(1, c.Cores))}
}

// Start starts the process, which warms up. With alwaysUp it is warm at once, as one that has been running for long.
func (n *Endpoint) Start(now monotime.Micros, alwaysUp bool) {
	n.up = true
	n.draining = false
	n.collapsed = false
	n.startedAt = now
	n.alwaysUp = alwaysUp
	n.pendingOverhead = 0
	n.connections = 0
	n.pausedUntil = 0
	n.offeredWork = [offeredSlots]float64{}
	n.offeredSlot = 0
	n.report = loadReporter{windowStart: now}
}

// Kill ends the process at once, and returns its requests in flight, for which no completion follows.
func (n *Endpoint) Kill(now monotime.Micros) []*Job {
	held := slices.Clone(n.queue)
	for i, j := range n.cores {
		if j != nil {
			held = append(held, j)
			n.cores[i] = nil
		}
	}
	for _, j := range held {
		n.discard(j)
	}
	n.up = false
	n.busy = 0
	n.queue = nil
	n.completions = nil
	return held
}

// Drain has the process finish its requests and reject new ones.
func (n *Endpoint) Drain() { n.draining = true }

// Up reports whether its process runs; it may be draining or collapsed.
func (n *Endpoint) Up() bool { return n.up }

// Collapsed reports whether it collapsed under load while warming up. That lasts until it is started again.
func (n *Endpoint) Collapsed() bool { return n.collapsed }

// InFlight returns the number of its running and queued requests.
func (n *Endpoint) InFlight() int { return n.busy + len(n.queue) }

// WorkDone returns the work that it has done, in microseconds at speed 1.
func (n *Endpoint) WorkDone() float64 { return n.workDone }

// StartedAt returns when it last started, 0 if it was always up.
func (n *Endpoint) StartedAt() monotime.Micros {
	if n.alwaysUp {
		return 0
	}
	return n.startedAt
}

// SetCondition sets its faults.
func (n *Endpoint) SetCondition(c Condition) { n.condition = c }

// Condition returns its faults.
func (n *Endpoint) Condition() Condition { return n.condition }

// Pause stops the process for a while, as a garbage collection does. Running requests end that much later.
func (n *Endpoint) Pause(now, length monotime.Micros) {
	n.pausedUntil = max(n.pausedUntil, now) + length
	for _, j := range n.cores {
		if j != nil {
			j.endsAt += length
		}
	}
}

// Connect accepts a new connection, and reports whether it could.
func (n *Endpoint) Connect() bool {
	if !n.up || n.config.MaxConnections > 0 && n.connections >= n.config.MaxConnections {
		return false
	}
	n.connections++
	n.pendingOverhead += n.config.HandshakeWork
	return true
}

// Disconnect closes a connection.
func (n *Endpoint) Disconnect() { n.connections = max(0, n.connections-1) }

// WarmupShare is the part of its speed that it has by now.
func (n *Endpoint) WarmupShare(now monotime.Micros) float64 {
	if n.alwaysUp || n.config.WarmupDuration <= 0 || n.config.WarmupFrom <= 0 ||
		now-n.startedAt >= n.config.WarmupDuration {
		return 1
	}
	return n.config.WarmupFrom + (1-n.config.WarmupFrom)*float64(now-n.startedAt)/float64(n.config.WarmupDuration)
}

// Capacity is the work in microseconds that all its cores do in a microsecond now.
func (n *Endpoint) Capacity(now monotime.Micros) float64 {
	if !n.up || n.collapsed {
		return 0
	}
	return float64(len(n.cores)) * n.coreSpeed(now)
}

// minCoreSpeed keeps service times finite whatever the faults.
const minCoreSpeed = 1e-3

// coreSpeed is the present speed of one core.
func (n *Endpoint) coreSpeed(now monotime.Micros) float64 {
	v := n.config.Speed * n.WarmupShare(now) * (1 - n.condition.StolenShare)
	if n.condition.Slowdown > 0 {
		v /= n.condition.Slowdown
	}
	if n.config.ContentionLoss > 0 && float64(n.InFlight()) > n.config.ContentionThreshold*float64(len(n.cores)) {
		v *= 1 - n.config.ContentionLoss
	}
	return max(v, minCoreSpeed)
}

// Arrive accepts a request, or returns at once that it was Rejected or has Failed without having run.
func (n *Endpoint) Arrive(now monotime.Micros, j *Job) Verdict {
	if n.draining || n.collapsed || n.config.QueueCapacity > 0 && len(n.queue) >= n.config.QueueCapacity &&
		n.busy == len(n.cores) {
		n.recordOffered(now, j)
		return Rejected
	}
	n.recordOffered(now, j)
	if n.collapsed || j.Chance < n.condition.RejectRate {
		return Rejected
	}
	if (!n.condition.OneClass || n.condition.Class == j.Class) && j.Chance >= n.config.ErrorRate &&
		j.Chance < n.config.ErrorRate+n.condition.ErrorRate {
		n.report.errors++
		return Failed
	}
	j.duplicate = j.IdempotencyKey != 0 && n.dedupGroup != nil && n.dedupGroup.seenBefore(now, j.IdempotencyKey)
	if n.busy < len(n.cores) && len(n.queue) == 0 {
		n.startJob(now, j)
		return Accepted
	}
	j.state = queued
	n.queue = append(n.queue, j)
	return Accepted
}

// collapseSlack is the factor by which chance may raise the offered work.
const collapseSlack = 1.1

// recordOffered counts the work offered to an endpoint that is warming up. The endpoint collapses when that exceeds
// Config.CollapseLoad over Config.CollapseWindow.
func (n *Endpoint) recordOffered(now monotime.Micros, j *Job) {
	warmupShare := n.WarmupShare(now)
	if n.config.CollapseLoad <= 0 || n.config.CollapseWindow <= 0 || warmupShare >= 1 || n.collapsed {
		return
	}
	width := max(1, n.config.CollapseWindow/int64(len(n.offeredWork)))
	at := now / width
	for ; n.offeredSlot < at; n.offeredSlot++ {
		if at-n.offeredSlot > int64(len(n.offeredWork)) {
			n.offeredSlot = at - 1
			n.offeredWork = [offeredSlots]float64{}
		}
		n.offeredWork[(n.offeredSlot+1)%int64(len(n.offeredWork))] = 0
	}
	n.offeredWork[at%int64(len(n.offeredWork))] += float64(j.Work)
	var offered float64
	for _, work := range n.offeredWork {
		offered += work
	}
	capacity := float64(len(n.cores)) * n.config.Speed * warmupShare * float64(n.config.CollapseWindow)
	if offered > n.config.CollapseLoad*capacity*collapseSlack {
		n.collapsed = true
	}
}

// startJob runs a request on a free core.
func (n *Endpoint) startJob(now monotime.Micros, j *Job) {
	j.state = running
	speed := n.coreSpeed(now)
	length := monotime.Micros(float64(j.Work+n.pendingOverhead)/speed) + 1
	n.pendingOverhead = 0
	j.startedAt = now
	j.endsAt = max(now, n.pausedUntil) + length
	n.report.coreTime += length
	n.busy++
	for i := range n.cores {
		if n.cores[i] == nil {
			n.cores[i] = j
			j.core = i
			return
		}
	}
}

// NextCompletion returns the instant of the next completion; ok reports whether there is one.
func (n *Endpoint) NextCompletion() (at monotime.Micros, ok bool) {
	for _, j := range n.cores {
		if j != nil && (!ok || j.endsAt < at) {
			at = j.endsAt
			ok = true
		}
	}
	return at, ok
}

// Advance runs the endpoint until an instant, and returns the completions by then. They are valid until the next call.
func (n *Endpoint) Advance(now monotime.Micros) []Completion {
	n.completions = n.completions[:0]
	for {
		at, ok := n.NextCompletion()
		if !ok || at > now {
			return n.completions
		}
		for i, j := range n.cores {
			if j == nil || j.endsAt != at {
				continue
			}
			n.cores[i] = nil
			n.busy--
			j.state = idle
			n.completions = append(n.completions, n.complete(at, j))
		}
		n.startQueued(at)
	}
}

// startQueued runs queued requests on free cores.
func (n *Endpoint) startQueued(now monotime.Micros) {
	for n.busy < len(n.cores) && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		n.startJob(now, j)
	}
}

// latencyWeight is the weight of one request in the average service time of load reports.
const latencyWeight = 0.1

// complete returns the completion of a request that has run. Job.Chance decides how it ends, so that it does not depend
// on other requests.
func (n *Endpoint) complete(now monotime.Micros, j *Job) Completion {
	n.workDone += float64(j.Work)
	n.report.served++
	n.report.current.LatencyMS += (float64(j.Work)/n.coreSpeed(now)/1000 - n.report.current.LatencyMS) * latencyWeight
	e := Completion{Job: j, At: now, Verdict: Completed, Effect: true}
	if j.duplicate {
		e.Verdict = Duplicate
		e.Effect = false
	}
	switch {
	case j.Chance < n.config.ErrorRate:
		n.report.errors++
		e.Verdict = Failed
	case j.Chance > 1-n.condition.UnansweredRate:
		e.Verdict = Unanswered
	}
	return e
}

// Cancel notifies the endpoint that a request's sender has cancelled it, and reports whether that ends the request.
func (n *Endpoint) Cancel(now monotime.Micros, j *Job) bool {
	switch {
	case j.state == queued && n.config.Cancellation != CancelNone:
		if i := slices.Index(n.queue, j); i >= 0 {
			n.queue = slices.Delete(n.queue, i, i+1)
		}
	case j.state == running && n.config.Cancellation == CancelAll:
		n.cores[j.core] = nil
		n.busy--
		if length := float64(j.endsAt - j.startedAt); length > 0 {
			n.workDone += float64(j.Work) * max(0, min(1, float64(now-j.startedAt)/length))
		}
		n.startQueued(now)
	default:
		return false
	}
	n.discard(j)
	return true
}

// discard ends a request that did not complete. A repeat of its key that arrives later runs.
func (n *Endpoint) discard(j *Job) {
	j.state = idle
	if j.IdempotencyKey != 0 && n.dedupGroup != nil && !j.duplicate {
		n.dedupGroup.forget(j.IdempotencyKey)
	}
}

// DrawWork draws the work of an attempt: that of its request, with the noise between two runs of it.
func DrawWork(r *rand.Rand, work monotime.Micros, noise float64) monotime.Micros {
	return max(1, monotime.Micros(randstream.LogNormal(r, float64(work), noise)))
}
