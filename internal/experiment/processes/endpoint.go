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

// endpoint serves one endpoint of the plan on real sockets. It has one listener for each instance, because each
// instance reaches the endpoint over a separate network path.
type endpoint struct {
	run     *run
	index   int
	planned *scenario.Endpoint

	mu              *sync.Mutex // the lock of the endpoint's deduplication group
	model           *simendpoint.Endpoint
	completionTimer *time.Timer
	nextCompletion  monotime.Micros // time of the run at which the next request completes
	draining        bool
	vanished        bool // the machine disappeared without closing connections: it accepts requests and never responds
	executions      int64
	maxInFlight     int
	openConns       map[net.Conn]struct{}

	listenersMu sync.Mutex // guards the fields listener and server of each element of listeners
	listeners   []*endpointListener
}

// pendingJob notifies the HTTP handler of a request that the endpoint is executing or has queued.
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

// listen opens the listeners of the endpoint. Every call uses the same addresses.
func (e *endpoint) listen() error {
	e.listenersMu.Lock()
	defer e.listenersMu.Unlock()
	for _, listener := range e.listeners {
		if listener.addr == "" {
			var err error
			// The address is kept, so that a restarted endpoint listens on it again.
			if listener.addr, err = freeport.Free(); err != nil {
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

// applySilence silences the listeners of instances that cannot reach the endpoint now, and ends the silence of all
// others.
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

// onConnState tracks the open connections and counts new ones.
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

// completeDueJobs completes the requests whose service time has passed, and sets the timer to the next completion.
// The caller holds mu.
func (e *endpoint) completeDueJobs() {
	now := e.run.now()
	for _, completion := range e.model.Advance(now) {
		e.executions++
		pending := completion.Job.HostData.(*pendingJob)
		pending.completion <- completion // never blocks: the channel is buffered
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

// applyCondition replaces the endpoint's active faults by the given condition.
func (e *endpoint) applyCondition(condition simendpoint.Condition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueJobs()
	e.model.SetCondition(condition)
	e.completeDueJobs()
}

// pause suspends the endpoint for the given duration in microseconds.
func (e *endpoint) pause(duration monotime.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueJobs()
	if e.model.Up() {
		e.model.Pause(e.run.now(), duration)
	}
	e.completeDueJobs()
}

// kill ends the endpoint's process and resets its connections. If silent is true, as for a machine that vanishes,
// existing and new connections stay without a response instead.
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

// drain marks the endpoint as draining, and stops it once no request is in flight.
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

// start restarts the endpoint with a warm-up, unless it is already running.
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
