package simulation

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simendpoint"
)

// endpoint is a simulated endpoint: the model of its process, its connections and its machine.
type endpoint struct {
	run         *run
	index       int
	model       *simendpoint.Endpoint
	incarnation uint32          // increased at each start and kill of the process
	unreachable bool            // the machine is lost: it sends neither replies nor resets
	wakeupAt    monotime.Micros // time of the scheduled wake-up; 0 if no wake-up is scheduled
	executions  int64           // requests that the endpoint has executed
	maxInFlight int             // largest number of requests in flight so far

	arrivalsByBin []int64 // arrived requests by time bin of the meter
	draining      bool    // the process stops when it has no request in flight
	pauseCount    uint64  // pauses scheduled so far
}

// maxEndpointsWithArrivals is the largest number of endpoints in a run for which arrivals are counted by time
// bin.
const maxEndpointsWithArrivals = 100

// newEndpoint returns an endpoint of the plan with a running process.
func newEndpoint(r *run, index int) *endpoint {
	planned := &r.plan.Endpoints[index]
	e := &endpoint{
		run:         r,
		index:       index,
		model:       simendpoint.New(planned.Config, r.discovery.dedupGroup(planned.Cell)),
		incarnation: 1,
	}
	e.model.Start(0, !planned.StartsWithRun)
	if planned.PauseEvery > 0 && planned.PauseFor > 0 {
		e.schedulePause()
	}
	return e
}

func (e *endpoint) zone() int { return e.run.plan.Endpoints[e.index].Zone }

// arrive passes a request to the endpoint's model and counts the arrival.
func (e *endpoint) arrive(job *simendpoint.Job) simendpoint.Verdict {
	e.advance()
	collapsedBefore := e.model.Collapsed()
	verdict := e.model.Arrive(e.run.now, job)
	if len(e.run.endpoints) <= maxEndpointsWithArrivals {
		bin := int(e.run.now / e.run.meter.BinWidth())
		for len(e.arrivalsByBin) <= bin {
			e.arrivalsByBin = append(e.arrivalsByBin, 0)
		}
		e.arrivalsByBin[bin]++
	}
	if !collapsedBefore && e.model.Collapsed() {
		e.run.meter.Costs.Collapses++
	}
	e.maxInFlight = max(e.maxInFlight, e.model.InFlight())
	e.scheduleWakeup()
	return verdict
}

// advance handles the jobs that have completed by now.
func (e *endpoint) advance() {
	for _, completion := range e.model.Advance(e.run.now) {
		e.jobEnded(completion)
	}
}

// scheduleWakeup schedules a wake-up for the next completion of a job.
func (e *endpoint) scheduleWakeup() {
	if at, ok := e.model.NextCompletion(); ok && (e.wakeupAt == 0 || at < e.wakeupAt) {
		e.wakeupAt = max(at, e.run.now)
		e.run.events.push(e.wakeupAt, endpointWakeup, uint32(e.index), nil)
	}
}

// onWakeup handles a wake-up that was scheduled for an instant, unless an earlier wake-up has replaced it.
func (e *endpoint) onWakeup(at monotime.Micros) {
	if e.wakeupAt != at {
		return
	}
	e.wakeupAt = 0
	e.advance()
	if e.draining && e.model.InFlight() == 0 {
		e.stop()
	}
	e.scheduleWakeup()
}

// jobEnded counts the execution and the effect of a completed job, and sends its reply.
func (e *endpoint) jobEnded(completion simendpoint.Completion) {
	a := completion.Job.HostData.(*attempt)
	costs := &e.run.meter.Costs
	costs.ExecutedWork += float64(completion.Job.Work)
	e.executions++
	operation := a.request.operation
	operation.Executions++
	a.atEndpoint = false
	if completion.Effect {
		operation.Effects++
		a.request.effects++
		if operation.class.Idempotency != balancer.Idempotent && operation.Effects > 1 {
			if a.request.effects > 1 {
				costs.DuplicateEffects++
			} else {
				costs.ClientDuplicateEffects++
			}
		}
	}
	if e.unreachable || a.phase == phaseAborted {
		return
	}
	switch completion.Verdict {
	case simendpoint.Completed, simendpoint.Duplicate:
		a.reply(balancer.OK)
	case simendpoint.Failed:
		a.reply(balancer.Error)
	}
}

// disconnect closes a connection to the endpoint, if the incarnation that accepted it still runs.
func (e *endpoint) disconnect(incarnation uint32) {
	if incarnation == e.incarnation {
		e.model.Disconnect()
	}
}

// kill ends the process, which resets its requests in flight. If silent is true the whole machine is lost,
// and no reset is sent.
func (e *endpoint) kill(silent bool) {
	if !e.model.Up() {
		return
	}
	e.advance()
	killedJobs := e.model.Kill(e.run.now)
	e.incarnation++
	e.draining = false
	e.unreachable = silent
	for _, job := range killedJobs {
		a := job.HostData.(*attempt)
		a.atEndpoint = false
		if !silent && a.phase == phaseSent {
			a.reply(balancer.Reset)
		}
	}
	if silent {
		return
	}
	for _, in := range e.run.instances { // instances notice that their idle connections were closed
		in.upstreamConns -= len(in.idleUpstreamConns[e.index])
		delete(in.idleUpstreamConns, e.index)
	}
}

// stop ends a process that has drained, and notifies discovery.
func (e *endpoint) stop() {
	e.kill(false)
	e.run.discovery.endpointChanged(e.index, balancer.Gone, false)
}

// start starts the process and notifies discovery. The process warms up first, unless warm is true. A
// draining process is replaced.
func (e *endpoint) start(warm bool) {
	if e.model.Up() {
		if !e.draining {
			return
		}
		e.kill(false)
	}
	e.incarnation++
	e.unreachable = false
	e.draining = false
	e.model.Start(e.run.now, warm)
	e.run.discovery.endpointChanged(e.index, balancer.Ready, false)
}

// drain makes the process finish its requests in flight and then stop.
func (e *endpoint) drain() {
	if !e.model.Up() || e.draining {
		return
	}
	e.model.Drain()
	e.draining = true
	e.run.discovery.endpointChanged(e.index, balancer.Draining, false)
	if e.model.InFlight() == 0 {
		e.stop()
	}
}

// schedulePause schedules the next pause of the process.
func (e *endpoint) schedulePause() {
	planned := &e.run.plan.Endpoints[e.index]
	e.pauseCount++
	random := randstream.New(e.run.plan.Seed, "pauses").For(uint64(e.index), e.pauseCount)
	e.run.events.push(e.run.now+1+monotime.Micros(random.ExpFloat64()*float64(planned.PauseEvery)), endpointPauses,
		uint32(e.index), nil)
}

// pause pauses the process for a random time and schedules its next pause.
func (e *endpoint) pause() {
	planned := &e.run.plan.Endpoints[e.index]
	random := randstream.New(e.run.plan.Seed, "pauses").For(uint64(e.index), e.pauseCount, 1)
	e.advance()
	if e.model.Up() {
		e.model.Pause(e.run.now, monotime.Micros(random.ExpFloat64()*float64(planned.PauseFor)))
	}
	if e.run.now < e.run.plan.Length.Micros() {
		e.schedulePause()
	}
}
