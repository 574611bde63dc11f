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
	run     *run
	index   int
	planned *scenario.Endpoint

	mu              *sync.Mutex // of its group
	model           *simendpoint.Endpoint
	completionTimer *time.Timer
	nextCompletion  monotime.Micros // when the next request ends
	draining        bool
	vanished        bool // its machine is gone without closing connections: it accepts requests and never answers
	executions      int64
	maxInFlight     int
	openConns       map[net.Conn]struct{}

	listenersMu sync.Mutex // guards listener and http of fronts
	listeners   []*endpointListener
}

// pendingJob is a request that an endpoint executes or queues.
type pendingJob struct {
	completion chan simendpoint.Completion
	killed     chan struct{} // closed when the endpoint is killed
}

func newEndpoint(r *run, index int) *endpoint {
	planned := &r.plan.Endpoints[index]
	dedup := r.dedupGroupOf(planned.Cell)
	e := &endpoint{
		run:       r,
		index:     index,
		planned:   planned,
		mu:        &dedup.Mutex,
		model:     simendpoint.New(planned.Config, dedup.keys),
		openConns: map[net.Conn]struct{}{},
	}
	e.model.Start(0, !planned.StartsWithRun)
	e.completionTimer = time.AfterFunc(time.Hour, e.onCompletionTimer)
	for instanceIndex := range r.plan.Instances {
		e.listeners = append(e.listeners, &endpointListener{endpoint: e, instance: instanceIndex})
	}
	return e
}

// listen opens the listeners, at the same addresses each time.
func (e *endpoint) listen() error {
	e.listenersMu.Lock()
	defer e.listenersMu.Unlock()
	for _, listener := range e.listeners {
		if listener.addr == "" {
			var err error
			if listener.addr, err = freeport.Free(); err != nil { // kept: it listens there again after a restart
				return err
			}
		}
		tcpListener, err := newSilenceableListener(listener.addr)
		if err != nil {
			return err
		}
		listener.listener = tcpListener
		listener.serveDone = make(chan struct{})
		listener.server = &http.Server{
			Handler:     listener,
			IdleTimeout: time.Duration(e.planned.Idle) * time.Microsecond,
			ConnState:   e.onConnState,
		}
		go func() {
			defer close(listener.serveDone)
			listener.server.Serve(tcpListener)
		}()
	}
	return e.applySilenceLocked()
}

// applySilence silences the listeners for instances that cannot reach the endpoint now, and opens the others.
func (e *endpoint) applySilence() error {
	e.listenersMu.Lock()
	defer e.listenersMu.Unlock()
	return e.applySilenceLocked()
}

func (e *endpoint) applySilenceLocked() error {
	var silencing errgroup.Group
	for _, listener := range e.listeners {
		if listener.server != nil {
			silencing.Go(func() error {
				return listener.listener.setSilent(listener.isUnreachable(false) || listener.isUnreachable(true))
			})
		}
	}
	return silencing.Wait()
}

// onConnState tracks the open connections.
func (e *endpoint) onConnState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.openConns[c] = struct{}{}
		e.run.updateCounts(func(c *counts) {
			c.dials++
			e.run.recordEndpointArrival(e.index, measure.DialArrival)
		})
		e.model.Connect()
	case http.StateClosed, http.StateHijacked:
		delete(e.openConns, c)
		e.model.Disconnect()
	}
}

// close closes the listeners and resets all connections.
func (e *endpoint) close() {
	e.mu.Lock()
	for conn := range e.openConns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	e.listenersMu.Lock()
	defer e.listenersMu.Unlock()
	for _, listener := range e.listeners {
		if listener.server != nil {
			listener.server.Close()
			<-listener.serveDone
			listener.server = nil
		}
	}
}

// advance completes the requests that have ended by now, and arms the timer for the next. The caller holds mu.
func (e *endpoint) completeDueJobs() {
	now := e.run.now()
	for _, completion := range e.model.Advance(now) {
		e.executions++
		pending := completion.Job.HostData.(*pendingJob)
		pending.completion <- completion // buffered
	}
	if completesAt, ok := e.model.NextCompletion(); ok {
		e.nextCompletion = completesAt
		e.completionTimer.Reset(max(0, time.Duration(completesAt-e.run.now())*time.Microsecond-timerGranularity))
	}
}

func (e *endpoint) onCompletionTimer() {
	e.mu.Lock()
	completesAt := e.nextCompletion
	e.mu.Unlock()
	sleepUntil(e.run.wallTime(completesAt))
	e.mu.Lock()
	e.completeDueJobs()
	drained := e.draining && e.model.Up() && e.model.InFlight() == 0
	e.mu.Unlock()
	if drained {
		go e.stop()
	}
}

// applyCondition replaces the endpoint's faults.
func (e *endpoint) applyCondition(condition simendpoint.Condition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueJobs()
	e.model.SetCondition(condition)
	e.completeDueJobs()
}

// pause suspends the endpoint, in microseconds.
func (e *endpoint) pause(duration monotime.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueJobs()
	if e.model.Up() {
		e.model.Pause(e.run.now(), duration)
	}
	e.completeDueJobs()
}

// kill ends the process. A machine that vanishes stays silent instead, on its connections and on new ones.
func (e *endpoint) kill(silent bool) {
	e.mu.Lock()
	if !e.model.Up() {
		e.mu.Unlock()
		return
	}
	e.completeDueJobs()
	for _, killedJob := range e.model.Kill(e.run.now()) {
		close(killedJob.HostData.(*pendingJob).killed)
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
	accepting := e.model.Up() && !e.draining
	if accepting {
		e.model.Drain()
		e.draining = true
	}
	idle := e.model.InFlight() == 0
	e.mu.Unlock()
	if !accepting {
		return
	}
	e.run.announceState(e.index, balancer.Draining, false)
	if idle {
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
	if e.model.Up() && !e.draining {
		e.mu.Unlock()
		return nil
	}
	running := e.model.Up()
	vanished := e.vanished
	e.mu.Unlock()
	if running {
		e.kill(false)
	}
	if vanished {
		e.close()
	}
	e.mu.Lock()
	e.vanished = false
	e.draining = false
	e.model.Start(e.run.now(), false)
	e.mu.Unlock()
	e.run.announceState(e.index, balancer.Ready, false)
	return e.listen()
}
