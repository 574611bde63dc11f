package processes

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simendpoint"
)

// endpoint is an endpoint of a plan behind sockets: one listener for each instance, since each has a network path of
// its own to it.
type endpoint struct {
	run   *run
	index int
	plan  *scenario.Endpoint

	mu             *sync.Mutex // of its group
	node           *simendpoint.Endpoint
	timer          *time.Timer
	nextCompletion monotime.Micros // when the next request ends
	draining       bool
	vanished       bool // its machine is gone without closing connections: it accepts requests and never answers
	executions     int64
	maxInFlight    int
	conns          map[net.Conn]struct{}

	frontsMu sync.Mutex // guards listener and http of fronts
	fronts   []*front
}

// pendingJob is a request that an endpoint executes or queues.
type pendingJob struct {
	ended  chan simendpoint.Completion
	killed chan struct{} // closed when the endpoint is killed
}

func newEndpoint(r *run, n int) *endpoint {
	p := &r.plan.Endpoints[n]
	g := r.groupOf(p.Cell)
	e := &endpoint{
		run:   r,
		index: n,
		plan:  p,
		mu:    &g.Mutex,
		node:  simendpoint.New(p.Config, g.keys),
		conns: map[net.Conn]struct{}{},
	}
	e.node.Start(0, !p.StartsWithRun)
	e.timer = time.AfterFunc(time.Hour, e.onTimer)
	for i := range r.plan.Instances {
		e.fronts = append(e.fronts, &front{endpoint: e, instance: i})
	}
	return e
}

// listen opens the listeners, at the same addresses each time.
func (e *endpoint) listen() error {
	e.frontsMu.Lock()
	defer e.frontsMu.Unlock()
	for _, f := range e.fronts {
		if f.addr == "" {
			var err error
			if f.addr, err = freeport.Free(); err != nil { // kept: it listens there again after a restart
				return err
			}
		}
		ln, err := newSilenceableListener(f.addr)
		if err != nil {
			return err
		}
		f.listener = ln
		f.done = make(chan struct{})
		f.http = &http.Server{
			Handler:     f,
			IdleTimeout: time.Duration(e.plan.Idle) * time.Microsecond,
			ConnState:   e.onConnState,
		}
		go func() {
			defer close(f.done)
			f.http.Serve(ln)
		}()
	}
	return e.applySilenceLocked()
}

// applySilence silences the listeners for instances that cannot reach the endpoint now, and opens the others.
func (e *endpoint) applySilence() error {
	e.frontsMu.Lock()
	defer e.frontsMu.Unlock()
	return e.applySilenceLocked()
}

func (e *endpoint) applySilenceLocked() error {
	var g errgroup.Group
	for _, f := range e.fronts {
		if f.http != nil {
			g.Go(func() error { return f.listener.setSilent(f.isSilenced(false) || f.isSilenced(true)) })
		}
	}
	return g.Wait()
}

// onConnState tracks the open connections.
func (e *endpoint) onConnState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.conns[c] = struct{}{}
		e.run.updateCounts(func(c *counts) {
			c.dials++
			e.run.recordArrival(e.index, measure.DialArrival)
		})
		e.node.Connect()
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
		e.node.Disconnect()
	}
}

// close closes the listeners and resets all connections.
func (e *endpoint) close() {
	e.mu.Lock()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	e.frontsMu.Lock()
	defer e.frontsMu.Unlock()
	for _, f := range e.fronts {
		if f.http != nil {
			f.http.Close()
			<-f.done
			f.http = nil
		}
	}
}

// advance completes the requests that have ended by now, and arms the timer for the next. The caller holds mu.
func (e *endpoint) advance() {
	now := e.run.now()
	for _, x := range e.node.Advance(now) {
		e.executions++
		w := x.Job.HostData.(*pendingJob)
		w.ended <- x // buffered
	}
	if at, ok := e.node.NextCompletion(); ok {
		e.nextCompletion = at
		e.timer.Reset(max(0, time.Duration(at-e.run.now())*time.Microsecond-timerGranularity))
	}
}

func (e *endpoint) onTimer() {
	e.mu.Lock()
	due := e.nextCompletion
	e.mu.Unlock()
	sleepUntil(e.run.wallTime(due))
	e.mu.Lock()
	e.advance()
	stop := e.draining && e.node.Up() && e.node.InFlight() == 0
	e.mu.Unlock()
	if stop {
		go e.stop()
	}
}

// setCondition replaces the endpoint's faults.
func (e *endpoint) setCondition(c simendpoint.Condition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.node.SetCondition(c)
	e.advance()
}

// pause suspends the endpoint, in microseconds.
func (e *endpoint) pause(length monotime.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.node.Up() {
		e.node.Pause(e.run.now(), length)
	}
	e.advance()
}

// kill ends the process. A machine that vanishes stays silent instead, on its connections and on new ones.
func (e *endpoint) kill(silent bool) {
	e.mu.Lock()
	if !e.node.Up() {
		e.mu.Unlock()
		return
	}
	e.advance()
	for _, j := range e.node.Kill(e.run.now()) {
		close(j.HostData.(*pendingJob).killed)
	}
	e.draining = false
	e.vanished = silent
	e.mu.Unlock()
	if !silent {
		e.close()
	} else if err := e.applySilence(); err != nil {
		e.run.fail(err)
	}
}

// drain stops the endpoint once it has finished the requests in flight.
func (e *endpoint) drain() {
	e.mu.Lock()
	up := e.node.Up() && !e.draining
	if up {
		e.node.Drain()
		e.draining = true
	}
	empty := e.node.InFlight() == 0
	e.mu.Unlock()
	if !up {
		return
	}
	e.run.announceState(e.index, balancer.Draining, false)
	if empty {
		e.stop()
	}
}

func (e *endpoint) stop() {
	e.kill(false)
	e.run.announceState(e.index, balancer.Gone, false)
}

// start starts the endpoint again, with a slow start.
func (e *endpoint) start() error {
	e.mu.Lock()
	if e.node.Up() && !e.draining {
		e.mu.Unlock()
		return nil
	}
	up := e.node.Up()
	vanished := e.vanished
	e.mu.Unlock()
	if up {
		e.kill(false)
	}
	if vanished {
		e.close()
	}
	e.mu.Lock()
	e.vanished = false
	e.draining = false
	e.node.Start(e.run.now(), false)
	e.mu.Unlock()
	e.run.announceState(e.index, balancer.Ready, false)
	return e.listen()
}
