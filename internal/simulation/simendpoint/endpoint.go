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
	Chance         float64
	HostData       any             // the host's own
	duplicate      bool            // its key was known as it came
	startedAt      monotime.Micros // working only
	endsAt         monotime.Micros
	state          jobState
	core           int // among the cores, Working only
}

type jobState uint8

const (
	idle jobState = iota
	queued
	running
)

// Verdict is what becomes of a request at an endpoint.
type Verdict uint8

// The verdicts.
const (
	Accepted   Verdict = iota // it waits or is at work: its end will come
	Completed                 // it ran
	Duplicate                 // it had run before, and was answered as then
	Failed                    // it failed; it may have run
	Rejected                  // rejected unseen
	Unanswered                // it ran, and nothing is said of it
)

// Completion is a request's end at an endpoint.
type Completion struct {
	Job     *Job
	At      monotime.Micros
	Verdict Verdict
	Effect  bool // it took effect: it was no repeat that the endpoint knew. What fails after its work has, too
}

// Endpoint is an endpoint. Make one with New, and start it.
type Endpoint struct {
	config     Config
	dedupGroup *DedupGroup
	condition  Condition

	up        bool
	draining  bool
	collapsed bool
	startedAt monotime.Micros
	alwaysUp  bool // it was up before everything began: it is warm

	cores           []*Job // nil where a core is free
	busy            int
	queue           []*Job
	pausedUntil     monotime.Micros // nothing goes on until then
	pendingOverhead monotime.Micros // work for probes and handshakes that the next request waits for
	connections     int
	workDone        float64 // work done, at speed 1

	// What was sent while warming up, in tenths of the time after which it falls over.
	offeredSlot int64
	offeredWork [10]float64
	completions []Completion
	report      loadReporter
}

// New returns an endpoint that is down. group is that of its keys, and may be nil.
func New(c Config, group *DedupGroup) *Endpoint {
	return &Endpoint{config: c, dedupGroup: group, cores: make([]*Job, max(1, c.Cores))}
}

// Start has it come up. One that was always up is warm.
func (n *Endpoint) Start(now monotime.Micros, always bool) {
	n.up = true
	n.draining = false
	n.collapsed = false
	n.startedAt = now
	n.alwaysUp = always
	n.pendingOverhead = 0
	n.connections = 0
	n.pausedUntil = 0
	n.offeredWork = [10]float64{}
	n.offeredSlot = 0
	n.report = loadReporter{windowStart: now}
}

// Kill ends it at once, and returns what it held: nobody will be told of those.
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

// Drain has it finish what it holds and take nothing new.
func (n *Endpoint) Drain() { n.draining = true }

// Up says whether its process runs; it may be draining, or have fallen over.
func (n *Endpoint) Up() bool { return n.up }

// Collapsed says whether it was pushed over while warming up. It stays so until it is started again.
func (n *Endpoint) Collapsed() bool { return n.collapsed }

// InFlight returns how many requests it holds.
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

// SetCondition changes what goes wrong there.
func (n *Endpoint) SetCondition(c Condition) { n.condition = c }

// Condition returns what goes wrong there.
func (n *Endpoint) Condition() Condition { return n.condition }

// Pause stops it for a while, as a collector of garbage does: what is at work takes so much longer.
func (n *Endpoint) Pause(now, length monotime.Micros) {
	n.pausedUntil = max(n.pausedUntil, now) + length
	for _, j := range n.cores {
		if j != nil {
			j.endsAt += length
		}
	}
}

// Connect takes in a new connection, and says whether there was room.
func (n *Endpoint) Connect() bool {
	if !n.up || n.config.MaxConnections > 0 && n.connections >= n.config.MaxConnections {
		return false
	}
	n.connections++
	n.pendingOverhead += n.config.HandshakeWork
	return true
}

// Disconnect gives a connection back.
func (n *Endpoint) Disconnect() { n.connections = max(0, n.connections-1) }

// WarmupShare is the part of its speed that it has by now.
func (n *Endpoint) WarmupShare(now monotime.Micros) float64 {
	if n.alwaysUp || n.config.WarmupDuration <= 0 || n.config.WarmupFrom <= 0 ||
		now-n.startedAt >= n.config.WarmupDuration {
		return 1
	}
	return n.config.WarmupFrom + (1-n.config.WarmupFrom)*float64(now-n.startedAt)/float64(n.config.WarmupDuration)
}

// Capacity is the work that it can do in a microsecond, by all its cores, as things stand.
func (n *Endpoint) Capacity(now monotime.Micros) float64 {
	if !n.up || n.collapsed {
		return 0
	}
	return float64(len(n.cores)) * n.coreSpeed(now)
}

// coreSpeed is that of one core.
func (n *Endpoint) coreSpeed(now monotime.Micros) float64 {
	v := n.config.Speed * n.WarmupShare(now) * (1 - n.condition.StolenShare)
	if n.condition.Slowdown > 0 {
		v /= n.condition.Slowdown
	}
	if n.config.ContentionLoss > 0 && float64(n.InFlight()) > n.config.ContentionThreshold*float64(len(n.cores)) {
		v *= 1 - n.config.ContentionLoss
	}
	return max(v, 1e-3)
}

// Arrive takes a request in, or says at once what becomes of it: Full, or Error of one that has not run.
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

// recordOffered counts what is sent to an endpoint that is warming up, which falls over when that is too much for too
// long.
func (n *Endpoint) recordOffered(now monotime.Micros, j *Job) {
	warmth := n.WarmupShare(now)
	if n.config.CollapseLoad <= 0 || n.config.CollapseWindow <= 0 || warmth >= 1 || n.collapsed {
		return
	}
	width := max(1, n.config.CollapseWindow/int64(len(n.offeredWork)))
	at := now / width
	for ; n.offeredSlot < at; n.offeredSlot++ {
		if at-n.offeredSlot > int64(len(n.offeredWork)) {
			n.offeredSlot = at - 1
			n.offeredWork = [10]float64{}
		}
		n.offeredWork[(n.offeredSlot+1)%int64(len(n.offeredWork))] = 0
	}
	n.offeredWork[at%int64(len(n.offeredWork))] += float64(j.Work)
	var sent float64
	for _, v := range n.offeredWork {
		sent += v
	}
	can := float64(len(n.cores)) * n.config.Speed * warmth * float64(n.config.CollapseWindow)
	if sent > n.config.CollapseLoad*can*1.1 { // a tenth for chance
		n.collapsed = true
	}
}

// startJob has a request go to work on a free core.
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

// NextCompletion returns the instant of the next end; ok says whether there is one.
func (n *Endpoint) NextCompletion() (at monotime.Micros, ok bool) {
	for _, j := range n.cores {
		if j != nil && (!ok || j.endsAt < at) {
			at = j.endsAt
			ok = true
		}
	}
	return at, ok
}

// Advance works on until an instant, and returns what has ended by then. The result is good until the next call.
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

// startQueued has what waits go to work.
func (n *Endpoint) startQueued(now monotime.Micros) {
	for n.busy < len(n.cores) && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		n.startJob(now, j)
	}
}

// complete is what came of a request that was worked at to its end. Its luck decides, so that it is the same whatever
// else goes on.
func (n *Endpoint) complete(now monotime.Micros, j *Job) Completion {
	n.workDone += float64(j.Work)
	n.report.served++
	n.report.current.LatencyMS += (float64(j.Work)/n.coreSpeed(now)/1000 - n.report.current.LatencyMS) * 0.1
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

// Cancel tells that a request's sender waits no longer, and says whether that ends it.
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

// discard ends a request that has not run to its end. A repeat of it that comes now runs.
func (n *Endpoint) discard(j *Job) {
	j.state = idle
	if j.IdempotencyKey != 0 && n.dedupGroup != nil && !j.duplicate {
		n.dedupGroup.forget(j.IdempotencyKey)
	}
}

// DrawWork draws what an attempt of a request costs: the request's own work, and what differs from one run to the next.
func DrawWork(r *rand.Rand, work monotime.Micros, noise float64) monotime.Micros {
	return max(1, monotime.Micros(randstream.LogNormal(r, float64(work), noise)))
}
