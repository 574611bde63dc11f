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

// endpoint is an endpoint of a plan behind sockets: one listener for each instance, since the way from each is its own.
type endpoint struct {
	run   *run
	index int
	plan  *scenario.Endpoint

	mu             *sync.Mutex // of its group
	node           *simendpoint.Endpoint
	timer          *time.Timer
	nextCompletion monotime.Micros // when the next request ends
	draining       bool
	vanished       bool // its machine has vanished: it takes what comes, and says nothing
	executions     int64
	maxInFlight    int
	conns          map[net.Conn]struct{}

	frontsMu sync.Mutex // guards ln and http of fronts
	fronts   []*front
}

// waiting is a request that an endpoint holds.
type pendingJob struct {
	ended  chan simendpoint.Completion
	killed chan struct{} // closed when its process dies
}

func newEndpoint(r *run, n int) *endpoint {
	p := &r.plan.Endpoints[n]
	g := r.groupOf(p.Cell)
	e := &endpoint{run: r, index: n, plan: p, mu: &g.Mutex, node: simendpoint.New(p.Config, g.keys), conns: map[net.Conn]struct{}{}}
	e.node.Start(0, !p.StartsWithRun)
	e.timer = time.AfterFunc(time.Hour, e.onTimer)
	for i := range r.plan.Instances {
		e.fronts = append(e.fronts, &front{endpoint: e, instance: i})
	}
	return e
}

// listen opens the listeners, at the addresses that they had before.
func (e *endpoint) listen() error {
	e.frontsMu.Lock()
	defer e.frontsMu.Unlock()
	for _, f := range e.fronts {
		if f.addr == "" {
			var err error
			if f.addr, err = freeport.Free(); err != nil { // it listens there again after each fall
				return err
			}
		}
		ln, err := newSilenceableListener(f.addr)
		if err != nil {
			return err
		}
		f.listener, f.done = ln, make(chan struct{})
		f.http = &http.Server{Handler: f, IdleTimeout: time.Duration(e.plan.Idle) * time.Microsecond, ConnState: e.onConnState}
		go func() {
			defer close(f.done)
			f.http.Serve(ln)
		}()
	}
	return e.applySilenceLocked()
}

// hush has the listeners be silent or not, as things stand.
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

// state counts connections.
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

// close ends the listeners and all connections, which are reset.
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

// work takes what has ended by now, and arms the timer for what ends next. The caller holds mu.
func (e *endpoint) advance() {
	now := e.run.now()
	for _, x := range e.node.Advance(now) {
		e.executions++
		w := x.Job.HostData.(*pendingJob)
		w.ended <- x // has room for one
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

// set changes what goes wrong.
func (e *endpoint) setCondition(c simendpoint.Condition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.node.SetCondition(c)
	e.advance()
}

// pause stops it for a while.
func (e *endpoint) pause(length monotime.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.node.Up() {
		e.node.Pause(e.run.now(), length)
	}
	e.advance()
}

// kill ends the process. Of a machine that vanishes nothing is heard any more, neither on its connections nor on new ones.
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
	e.draining, e.vanished = false, silent
	e.mu.Unlock()
	if !silent {
		e.close()
	} else if err := e.applySilence(); err != nil {
		e.run.fail(err)
	}
}

// drain has it finish what it holds, and end.
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

// start has it come up, cold.
func (e *endpoint) start() error {
	e.mu.Lock()
	if e.node.Up() && !e.draining {
		e.mu.Unlock()
		return nil
	}
	up, mute := e.node.Up(), e.vanished
	e.mu.Unlock()
	if up {
		e.kill(false)
	}
	if mute {
		e.close()
	}
	e.mu.Lock()
	e.vanished, e.draining = false, false
	e.node.Start(e.run.now(), false)
	e.mu.Unlock()
	e.run.announceState(e.index, balancer.Ready, false)
	return e.listen()
}
