// Package simendpoint models an endpoint as a state machine with cores and a request queue, variable speed,
// warm-up, draining, collapse under load, connections, deduplication by idempotency key, and load reports.
// The package does no I/O and reads no clock, so that the same endpoint runs in simulated time (package
// simulation) and behind a socket (package processes).
package simendpoint

import (
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
)

// second is one second of simulated time.
const second monotime.Micros = 1_000_000

// Job is a request at an endpoint.
type Job struct {
	Class          int
	Work           monotime.Micros // in microseconds at speed 1
	IdempotencyKey uint64          // repeats of it are recognized; 0 for a request without a key
	Chance         float64         // random number from 0 to 1 that decides whether the request fails
	HostData       any             // data of the caller, not used by the endpoint
	duplicate      bool            // the key was already known when the request arrived
	startedAt      monotime.Micros // when the request started to run, if it is running
	endsAt         monotime.Micros // when the request completes, if it is running
	state          jobState
	core           int // index of the request's core, if it is running
}

// jobState is the progress of a request at an endpoint.
type jobState uint8

const (
	jobIdle jobState = iota // not at the endpoint: it has not arrived, or it has ended
	jobQueued
	jobRunning
)

// Verdict is the result of a request at an endpoint, or its acceptance.
type Verdict uint8

// The verdicts.
const (
	Accepted   Verdict = iota // queued or running; its Completion follows
	Completed                 // executed successfully
	Duplicate                 // its key was known: it gets the earlier response, without another effect
	Failed                    // failed, possibly after it ran
	Rejected                  // not executed
	Unanswered                // executed, but no reply is sent
)

// Completion is the end of a request at an endpoint.
type Completion struct {
	Job     *Job
	At      monotime.Micros
	Verdict Verdict
	Effect  bool // the request took effect: its key was not known. A request that fails after it ran takes effect, too
}

// Endpoint is the model of an endpoint. New creates it, and Start starts its process.
type Endpoint struct {
	config     Config
	dedupGroup *DedupGroup
	condition  Condition

	up          bool
	draining    bool
	collapsed   bool
	startedAt   monotime.Micros
	startedWarm bool // the process started at full speed, without a warm-up

	cores           []*Job          // running request of each core; nil if the core is free
	busyCores       int             // number of cores with a running request
	queue           []*Job          // queued requests, oldest first
	pausedUntil     monotime.Micros // no request makes progress before this time
	pendingOverhead monotime.Micros // work of probes and handshakes that delays the next request to start
	connections     int             // open connections
	workDone        float64         // total work done, in microseconds at speed 1

	// offeredWork is the work offered while the endpoint warms up, in slots of a tenth of
	// Config.CollapseWindow. currentSlot is the number of the latest slot.
	currentSlot int64
	offeredWork [offeredSlotCount]float64
	completions []Completion
	report      loadReporter
}

// offeredSlotCount is the number of slots into which the window of the offered work is divided.
const offeredSlotCount = 10

// New returns an endpoint that is down. group is the deduplication state that it shares with other endpoints;
// nil turns deduplication off.
func New(config Config, group *DedupGroup) *Endpoint {
	return &Endpoint{config: config, dedupGroup: group, cores: make([]*Job, max(1, config.Cores))}
}

// Start starts the process, which warms up. If warm is true, the process is at full speed at once.
func (e *Endpoint) Start(now monotime.Micros, warm bool) {
	e.up = true
	e.draining = false
	e.collapsed = false
	e.startedAt = now
	e.startedWarm = warm
	e.pendingOverhead = 0
	e.connections = 0
	e.pausedUntil = 0
	e.offeredWork = [offeredSlotCount]float64{}
	e.currentSlot = 0
	e.report = loadReporter{windowStart: now}
}

// Kill ends the process at once, and returns its requests in flight. No completion follows for them.
func (e *Endpoint) Kill(now monotime.Micros) []*Job {
	inFlight := slices.Clone(e.queue)
	for core, job := range e.cores {
		if job != nil {
			inFlight = append(inFlight, job)
			e.cores[core] = nil
		}
	}
	for _, job := range inFlight {
		e.discard(job)
	}
	e.up = false
	e.busyCores = 0
	e.queue = nil
	e.completions = nil
	return inFlight
}

// Drain makes the process reject new requests and finish those in flight.
func (e *Endpoint) Drain() { e.draining = true }

// Up reports whether the process runs. A running process may be draining or collapsed.
func (e *Endpoint) Up() bool { return e.up }

// Collapsed reports whether the endpoint collapsed under load while warming up. It stays collapsed until it
// is started again.
func (e *Endpoint) Collapsed() bool { return e.collapsed }

// InFlight returns the number of running and queued requests.
func (e *Endpoint) InFlight() int { return e.busyCores + len(e.queue) }

// WorkDone returns the total work that the endpoint has done, in microseconds at speed 1.
func (e *Endpoint) WorkDone() float64 { return e.workDone }

// StartedAt returns when the process last started, or 0 if it started warm.
func (e *Endpoint) StartedAt() monotime.Micros {
	if e.startedWarm {
		return 0
	}
	return e.startedAt
}

// SetCondition replaces the endpoint's faults.
func (e *Endpoint) SetCondition(condition Condition) { e.condition = condition }

// Condition returns the endpoint's faults.
func (e *Endpoint) Condition() Condition { return e.condition }

// Pause stops the process for a time, as a garbage collection does. Running requests complete that much
// later.
func (e *Endpoint) Pause(now, duration monotime.Micros) {
	e.pausedUntil = max(e.pausedUntil, now) + duration
	for _, job := range e.cores {
		if job != nil {
			job.endsAt += duration
		}
	}
}

// Connect accepts a new connection, and reports whether the endpoint accepted it.
func (e *Endpoint) Connect() bool {
	if !e.up || e.config.MaxConnections > 0 && e.connections >= e.config.MaxConnections {
		return false
	}
	e.connections++
	e.pendingOverhead += e.config.HandshakeWork
	return true
}

// Disconnect closes one of the endpoint's connections.
func (e *Endpoint) Disconnect() { e.connections = max(0, e.connections-1) }

// WarmupShare returns the fraction of the full speed that the process has reached in its warm-up.
func (e *Endpoint) WarmupShare(now monotime.Micros) float64 {
	if e.startedWarm || e.config.WarmupDuration <= 0 || e.config.WarmupStartShare <= 0 ||
		now-e.startedAt >= e.config.WarmupDuration {
		return 1
	}
	return e.config.WarmupStartShare +
		(1-e.config.WarmupStartShare)*float64(now-e.startedAt)/float64(e.config.WarmupDuration)
}

// Capacity returns the microseconds of work that all cores together do in a microsecond now.
func (e *Endpoint) Capacity(now monotime.Micros) float64 {
	if !e.up || e.collapsed {
		return 0
	}
	return float64(len(e.cores)) * e.coreSpeed(now)
}

// minCoreSpeed is a lower bound of a core's speed, which keeps service times finite under any combination of
// faults.
const minCoreSpeed = 1e-3

// coreSpeed returns the present speed of one core.
func (e *Endpoint) coreSpeed(now monotime.Micros) float64 {
	speed := e.config.Speed * e.WarmupShare(now) * (1 - e.condition.StolenShare)
	if e.condition.Slowdown > 0 {
		speed /= e.condition.Slowdown
	}
	if e.config.ContentionLoss > 0 && float64(e.InFlight()) > e.config.ContentionThreshold*float64(len(e.cores)) {
		speed *= 1 - e.config.ContentionLoss
	}
	return max(speed, minCoreSpeed)
}

// Arrive handles the arrival of a request. The verdict is Accepted, Rejected, or Failed for a request that
// fails without having run.
func (e *Endpoint) Arrive(now monotime.Micros, job *Job) Verdict {
	if e.draining || e.collapsed || e.config.QueueCapacity > 0 && len(e.queue) >= e.config.QueueCapacity &&
		e.busyCores == len(e.cores) {
		e.recordOffered(now, job)
		return Rejected
	}
	e.recordOffered(now, job)
	if e.collapsed || job.Chance < e.condition.RejectRate {
		return Rejected
	}
	if (!e.condition.ErrorsInOneClassOnly || e.condition.Class == job.Class) && job.Chance >= e.config.ErrorRate &&
		job.Chance < e.config.ErrorRate+e.condition.ErrorRate {
		e.report.windowErrors++
		return Failed
	}
	job.duplicate = job.IdempotencyKey != 0 && e.dedupGroup != nil && e.dedupGroup.seenBefore(now, job.IdempotencyKey)
	if e.busyCores < len(e.cores) && len(e.queue) == 0 {
		e.startJob(now, job)
		return Accepted
	}
	job.state = jobQueued
	e.queue = append(e.queue, job)
	return Accepted
}

// collapseTolerance is the factor by which the offered work may exceed Config.CollapseLoad without a
// collapse, because random arrivals vary.
const collapseTolerance = 1.1

// recordOffered counts the work that is offered to an endpoint while it warms up. The endpoint collapses when
// the work offered within Config.CollapseWindow exceeds Config.CollapseLoad times its capacity, by more than
// collapseTolerance.
func (e *Endpoint) recordOffered(now monotime.Micros, job *Job) {
	warmupShare := e.WarmupShare(now)
	if e.config.CollapseLoad <= 0 || e.config.CollapseWindow <= 0 || warmupShare >= 1 || e.collapsed {
		return
	}
	slotWidth := max(1, e.config.CollapseWindow/int64(len(e.offeredWork)))
	slot := now / slotWidth
	for ; e.currentSlot < slot; e.currentSlot++ {
		if slot-e.currentSlot > int64(len(e.offeredWork)) {
			e.currentSlot = slot - 1
			e.offeredWork = [offeredSlotCount]float64{}
		}
		e.offeredWork[(e.currentSlot+1)%int64(len(e.offeredWork))] = 0
	}
	e.offeredWork[slot%int64(len(e.offeredWork))] += float64(job.Work)
	var offered float64
	for _, work := range e.offeredWork {
		offered += work
	}
	capacity := float64(len(e.cores)) * e.config.Speed * warmupShare * float64(e.config.CollapseWindow)
	if offered > e.config.CollapseLoad*capacity*collapseTolerance {
		e.collapsed = true
	}
}

// startJob starts a request on a free core.
func (e *Endpoint) startJob(now monotime.Micros, job *Job) {
	job.state = jobRunning
	speed := e.coreSpeed(now)
	duration := monotime.Micros(float64(job.Work+e.pendingOverhead)/speed) + 1
	e.pendingOverhead = 0
	job.startedAt = now
	job.endsAt = max(now, e.pausedUntil) + duration
	e.report.windowCoreTime += duration
	e.busyCores++
	for core := range e.cores {
		if e.cores[core] == nil {
			e.cores[core] = job
			job.core = core
			return
		}
	}
}

// NextCompletion returns the time of the next completion; ok is false if no request is running.
func (e *Endpoint) NextCompletion() (at monotime.Micros, ok bool) {
	for _, job := range e.cores {
		if job != nil && (!ok || job.endsAt < at) {
			at = job.endsAt
			ok = true
		}
	}
	return at, ok
}

// Advance runs the endpoint until an instant, and returns the completions up to it. The slice is valid until
// the next call.
func (e *Endpoint) Advance(now monotime.Micros) []Completion {
	e.completions = e.completions[:0]
	for {
		at, ok := e.NextCompletion()
		if !ok || at > now {
			return e.completions
		}
		for core, job := range e.cores {
			if job == nil || job.endsAt != at {
				continue
			}
			e.cores[core] = nil
			e.busyCores--
			job.state = jobIdle
			e.completions = append(e.completions, e.complete(at, job))
		}
		e.startQueued(at)
	}
}

// startQueued starts queued requests on free cores.
func (e *Endpoint) startQueued(now monotime.Micros) {
	for e.busyCores < len(e.cores) && len(e.queue) > 0 {
		job := e.queue[0]
		e.queue[0] = nil
		e.queue = e.queue[1:]
		e.startJob(now, job)
	}
}

// serviceTimeWeight is the weight of one request in the moving average of the service time, which load
// reports contain.
const serviceTimeWeight = 0.1

// complete returns the completion of a request that has run. Job.Chance decides its verdict, so that the
// verdict does not depend on other requests.
func (e *Endpoint) complete(now monotime.Micros, job *Job) Completion {
	e.workDone += float64(job.Work)
	e.report.windowServed++
	e.report.measured.LatencyMS += (float64(job.Work)/e.coreSpeed(now)/1000 - e.report.measured.LatencyMS) *
		serviceTimeWeight
	completion := Completion{Job: job, At: now, Verdict: Completed, Effect: true}
	if job.duplicate {
		completion.Verdict = Duplicate
		completion.Effect = false
	}
	switch {
	case job.Chance < e.config.ErrorRate:
		e.report.windowErrors++
		completion.Verdict = Failed
	case job.Chance > 1-e.condition.UnansweredRate:
		completion.Verdict = Unanswered
	}
	return completion
}

// Cancel notifies the endpoint that a request's sender has canceled it, and reports whether that ended the
// request.
func (e *Endpoint) Cancel(now monotime.Micros, job *Job) bool {
	switch {
	case job.state == jobQueued && e.config.Cancellation != CancelNone:
		if position := slices.Index(e.queue, job); position >= 0 {
			e.queue = slices.Delete(e.queue, position, position+1)
		}
	case job.state == jobRunning && e.config.Cancellation == CancelAll:
		e.cores[job.core] = nil
		e.busyCores--
		if duration := float64(job.endsAt - job.startedAt); duration > 0 {
			e.workDone += float64(job.Work) * max(0, min(1, float64(now-job.startedAt)/duration))
		}
		e.startQueued(now)
	default:
		return false
	}
	e.discard(job)
	return true
}

// discard forgets the key of a request that did not complete, so that a repeat of it is executed.
func (e *Endpoint) discard(job *Job) {
	job.state = jobIdle
	if job.IdempotencyKey != 0 && e.dedupGroup != nil && !job.duplicate {
		e.dedupGroup.forget(job.IdempotencyKey)
	}
}

// DrawWork draws the work of one attempt: the work of its request, with the random variation between
// executions.
func DrawWork(random *rand.Rand, work monotime.Micros, noise float64) monotime.Micros {
	return max(1, monotime.Micros(randstream.LogNormal(random, float64(work), noise)))
}
