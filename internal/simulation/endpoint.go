package simulation

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simendpoint"
)

// endpoint is an endpoint of the run, with what its machine does.
type endpoint struct {
	run  *run
	n    int
	node *simendpoint.Endpoint
	life uint32          // changes at each start
	mute bool            // its machine has vanished: nothing is heard of it
	at   monotime.Micros // the instant of the event that is scheduled; 0 is none
	runs int64
	most int

	line     []int64 // requests that came, by bins
	draining bool    // ended once it is empty
	groups   uint64  // pauses so far
}

// linesMost is of how many endpoints at most it is noted when requests came.
const linesMost = 100

func newEndpoint(r *run, n int) *endpoint {
	p := &r.plan.Endpoints[n]
	e := &endpoint{run: r, n: n, node: simendpoint.New(p.Config, r.truth.group(p.Cell)), life: 1}
	e.node.Start(0, !p.StartsWithRun)
	if p.PauseEvery > 0 && p.PauseFor > 0 {
		e.nextPause()
	}
	return e
}

func (e *endpoint) zone() int { return e.run.plan.Endpoints[e.n].Zone }

// arrive takes in a request.
func (e *endpoint) arrive(j *simendpoint.Job) simendpoint.Verdict {
	e.work()
	fell := e.node.Collapsed()
	v := e.node.Arrive(e.run.now, j)
	if len(e.run.endpoints) <= linesMost {
		at := int(e.run.now / e.run.meter.Bin())
		for len(e.line) <= at {
			e.line = append(e.line, 0)
		}
		e.line[at]++
	}
	if !fell && e.node.Collapsed() {
		e.run.meter.Costs.Collapses++
	}
	e.most = max(e.most, e.node.InFlight())
	e.arm()
	return v
}

// work takes what has ended by now.
func (e *endpoint) work() {
	for _, x := range e.node.Advance(e.run.now) {
		e.ended(x)
	}
}

// arm schedules the next end.
func (e *endpoint) arm() {
	if at, ok := e.node.NextCompletion(); ok && (e.at == 0 || at < e.at) {
		e.at = max(at, e.run.now)
		e.run.queue.push(e.at, evNode, uint32(e.n), nil)
	}
}

func (e *endpoint) woken(at monotime.Micros) {
	if e.at != at {
		return
	}
	e.at = 0
	e.work()
	if e.draining && e.node.InFlight() == 0 {
		e.stop()
	}
	e.arm()
}

// ended tells what came of a request.
func (e *endpoint) ended(x simendpoint.Completion) {
	s := x.Job.HostData.(*sending)
	m := &e.run.meter.Costs
	m.ExecutedWork += float64(x.Job.Work)
	e.runs++
	story := s.try.story
	story.Executions++
	s.counted = false
	if x.Effect {
		story.Effects++
		s.try.effects++
		if story.class.Idempotency != balancer.Idempotent && story.Effects > 1 {
			if s.try.effects > 1 {
				m.DuplicateEffects++
			} else {
				m.ClientDuplicateEffects++
			}
		}
	}
	if e.mute || s.phase == cutOff {
		return
	}
	switch x.Verdict {
	case simendpoint.Completed, simendpoint.Duplicate:
		s.reply(balancer.OK)
	case simendpoint.Failed:
		s.reply(balancer.Error)
	}
}

// disconnect closes a connection that was opened in a life of the endpoint.
func (e *endpoint) disconnect(life uint32) {
	if life == e.life {
		e.node.Disconnect()
	}
}

// kill ends the process. What it held is reset; one that vanishes says nothing.
func (e *endpoint) kill(silent bool) {
	if !e.node.Up() {
		return
	}
	e.work()
	held := e.node.Kill(e.run.now)
	e.life++
	e.draining, e.mute = false, silent
	for _, j := range held {
		s := j.HostData.(*sending)
		s.counted = false
		if !silent && s.phase == out {
			s.reply(balancer.Reset)
		}
	}
	if silent {
		return
	}
	for _, in := range e.run.instances { // kept connections are seen to be closed
		in.conns -= len(in.upstream[e.n])
		delete(in.upstream, e.n)
	}
}

// stop ends a process that has drained.
func (e *endpoint) stop() {
	e.kill(false)
	e.run.truth.change(e.n, balancer.Gone, false)
}

// start has the process come up, cold.
func (e *endpoint) start(always bool) {
	if e.node.Up() {
		if !e.draining {
			return
		}
		e.kill(false)
	}
	e.life++
	e.mute, e.draining = false, false
	e.node.Start(e.run.now, always)
	e.run.truth.change(e.n, balancer.Ready, false)
}

// drain has it finish what it holds, and end.
func (e *endpoint) drain() {
	if !e.node.Up() || e.draining {
		return
	}
	e.node.Drain()
	e.draining = true
	e.run.truth.change(e.n, balancer.Draining, false)
	if e.node.InFlight() == 0 {
		e.stop()
	}
}

// nextPause schedules the next moment at which it stops.
func (e *endpoint) nextPause() {
	p := &e.run.plan.Endpoints[e.n]
	e.groups++
	r := randstream.New(e.run.plan.Seed, "pauses").For(uint64(e.n), e.groups)
	e.run.queue.push(e.run.now+1+monotime.Micros(r.ExpFloat64()*float64(p.PauseEvery)), evPause, uint32(e.n), nil)
}

func (e *endpoint) pause() {
	p := &e.run.plan.Endpoints[e.n]
	r := randstream.New(e.run.plan.Seed, "pauses").For(uint64(e.n), e.groups, 1)
	e.work()
	if e.node.Up() {
		e.node.Pause(e.run.now, monotime.Micros(r.ExpFloat64()*float64(p.PauseFor)))
	}
	if e.run.now < e.run.plan.Length.Micros() {
		e.nextPause()
	}
}
