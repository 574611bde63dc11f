package simulation

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simendpoint"
)

// endpoint is an endpoint of the run: its model, its connections and its machine.
type endpoint struct {
	run         *run
	index       int
	model       *simendpoint.Endpoint
	incarnation uint32          // changes at each start
	unreachable bool            // its machine is lost: it sends no reply and no reset
	wakeupAt    monotime.Micros // instant of the scheduled wake-up; 0 is none
	executions  int64
	maxInFlight int

	arrivals []int64 // requests by bin of time
	draining bool    // it stops once it has no request in flight
	pauses   uint64  // pauses so far
}

// maxEndpointsWithArrivals is the largest number of endpoints for which arrivals are counted by time.
const maxEndpointsWithArrivals = 100

func newEndpoint(r *run, n int) *endpoint {
	p := &r.plan.Endpoints[n]
	e := &endpoint{run: r, index: n, model: simendpoint.New(p.Config, r.discovery.dedupGroup(p.Cell)), incarnation: 1}
	e.model.Start(0, !p.StartsWithRun)
	if p.PauseEvery > 0 && p.PauseFor > 0 {
		e.schedulePause()
	}
	return e
}

func (e *endpoint) zone() int { return e.run.plan.Endpoints[e.index].Zone }

// arrive gives a request to the endpoint's model.
func (e *endpoint) arrive(j *simendpoint.Job) simendpoint.Verdict {
	e.advance()
	collapsedBefore := e.model.Collapsed()
	v := e.model.Arrive(e.run.now, j)
	if len(e.run.endpoints) <= maxEndpointsWithArrivals {
		at := int(e.run.now / e.run.meter.BinWidth())
		for len(e.arrivals) <= at {
			e.arrivals = append(e.arrivals, 0)
		}
		e.arrivals[at]++
	}
	if !collapsedBefore && e.model.Collapsed() {
		e.run.meter.Costs.Collapses++
	}
	e.maxInFlight = max(e.maxInFlight, e.model.InFlight())
	e.scheduleWakeup()
	return v
}

// advance handles the jobs that have ended by now.
func (e *endpoint) advance() {
	for _, x := range e.model.Advance(e.run.now) {
		e.jobEnded(x)
	}
}

// scheduleWakeup schedules a wake-up for the next job that completes.
func (e *endpoint) scheduleWakeup() {
	if at, ok := e.model.NextCompletion(); ok && (e.wakeupAt == 0 || at < e.wakeupAt) {
		e.wakeupAt = max(at, e.run.now)
		e.run.events.push(e.wakeupAt, endpointWakeup, uint32(e.index), nil)
	}
}

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

// jobEnded counts a finished job and sends its reply.
func (e *endpoint) jobEnded(x simendpoint.Completion) {
	s := x.Job.HostData.(*attempt)
	m := &e.run.meter.Costs
	m.ExecutedWork += float64(x.Job.Work)
	e.executions++
	op := s.request.operation
	op.Executions++
	s.held = false
	if x.Effect {
		op.Effects++
		s.request.effects++
		if op.class.Idempotency != balancer.Idempotent && op.Effects > 1 {
			if s.request.effects > 1 {
				m.DuplicateEffects++
			} else {
				m.ClientDuplicateEffects++
			}
		}
	}
	if e.unreachable || s.phase == aborted {
		return
	}
	switch x.Verdict {
	case simendpoint.Completed, simendpoint.Duplicate:
		s.reply(balancer.OK)
	case simendpoint.Failed:
		s.reply(balancer.Error)
	}
}

// disconnect closes a connection that was opened in an incarnation of the endpoint.
func (e *endpoint) disconnect(incarnation uint32) {
	if incarnation == e.incarnation {
		e.model.Disconnect()
	}
}

// kill ends the process. Its requests are reset; with silent the machine is lost, and no reset is sent.
func (e *endpoint) kill(silent bool) {
	if !e.model.Up() {
		return
	}
	e.advance()
	held := e.model.Kill(e.run.now)
	e.incarnation++
	e.draining = false
	e.unreachable = silent
	for _, j := range held {
		s := j.HostData.(*attempt)
		s.held = false
		if !silent && s.phase == sent {
			s.reply(balancer.Reset)
		}
	}
	if silent {
		return
	}
	for _, in := range e.run.instances { // idle connections are seen to be closed
		in.upstreamConns -= len(in.idleUpstream[e.index])
		delete(in.idleUpstream, e.index)
	}
}

// stop ends a process that has drained.
func (e *endpoint) stop() {
	e.kill(false)
	e.run.discovery.endpointChanged(e.index, balancer.Gone, false)
}

// start starts the process, which warms up. With alwaysUp it is warm at once.
func (e *endpoint) start(alwaysUp bool) {
	if e.model.Up() {
		if !e.draining {
			return
		}
		e.kill(false)
	}
	e.incarnation++
	e.unreachable = false
	e.draining = false
	e.model.Start(e.run.now, alwaysUp)
	e.run.discovery.endpointChanged(e.index, balancer.Ready, false)
}

// drain has the process finish its requests, and stop.
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
	p := &e.run.plan.Endpoints[e.index]
	e.pauses++
	r := randstream.New(e.run.plan.Seed, "pauses").For(uint64(e.index), e.pauses)
	e.run.events.push(e.run.now+1+monotime.Micros(r.ExpFloat64()*float64(p.PauseEvery)), endpointPauses,
		uint32(e.index), nil)
}

func (e *endpoint) pause() {
	p := &e.run.plan.Endpoints[e.index]
	r := randstream.New(e.run.plan.Seed, "pauses").For(uint64(e.index), e.pauses, 1)
	e.advance()
	if e.model.Up() {
		e.model.Pause(e.run.now, monotime.Micros(r.ExpFloat64()*float64(p.PauseFor)))
	}
	if e.run.now < e.run.plan.Length.Micros() {
		e.schedulePause()
	}
}
