package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// front is where one instance finds the endpoint.
type front struct {
	endpoint *endpoint
	instance int
	addr     string
	listener *silenceableListener
	http     *http.Server
	done     chan struct{}
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

// silent says whether nothing comes through between an instance and the endpoint, towards the endpoint or back.
func (f *front) isSilenced(back bool) bool {
	e := f.endpoint
	e.mu.Lock()
	mute := e.vanished
	e.mu.Unlock()
	now := e.run.now()
	for i := range e.run.plan.PlannedEvents {
		if e.run.plan.PlannedEvents[i].Blocks(now, f.instance, e.index, back) {
			return true
		}
	}
	return mute || e.run.isPartitioned(e.run.plan.Instances[f.instance].Zone, e.plan.Zone)
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

// ---- The endpoint's life ------------------------------------------------------

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

// ---- Requests -------------------------------------------------------------------

// way waits for as long as a message takes between an instance and the endpoint.
func (f *front) networkDelay() {
	p := f.endpoint.run.plan
	mean := p.Network.Between.Duration
	if p.Instances[f.instance].Zone == f.endpoint.plan.Zone {
		mean = p.Network.Within.Duration
	}
	mean += time.Duration(p.Network.Jitter * rand.ExpFloat64() * float64(mean))
	mean += time.Duration(p.ExtraDelay(f.endpoint.run.now(), f.instance, f.endpoint.index)) * time.Microsecond
	sleepUntil(time.Now().Add(mean))
}

// ServeHTTP takes a request or a probe.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := f.endpoint
	f.networkDelay()
	if f.isSilenced(false) {
		_, _ = io.Copy(io.Discard, r.Body) // package http notices that its connection ends only once the body is read
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		f.serveProbe(r.Context(), w)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it has not come whole, so it has not run
	}
	job, err := e.run.parseJob(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	e.run.maintenance.countRequest(e.index)
	e.run.updateCounts(func(c *counts) {
		c.attempts++
		if job.retry {
			e.run.recordArrival(e.index, measure.ExtraAttempt)
		} else {
			e.run.recordArrival(e.index, measure.FirstAttempt)
		}
		if e.run.plan.Instances[f.instance].Zone != e.plan.Zone {
			c.crossZone++
		}
	})
	wait := &pendingJob{make(chan simendpoint.Completion, 1), make(chan struct{})}
	job.Job.HostData = wait
	e.mu.Lock()
	e.advance()
	fell := e.node.Collapsed()
	v := simendpoint.Rejected
	if e.node.Up() {
		v = e.node.Arrive(e.run.now(), &job.Job)
	}
	if !fell && e.node.Collapsed() {
		e.run.updateCounts(func(c *counts) { c.collapses++ })
	}
	e.maxInFlight = max(e.maxInFlight, e.node.InFlight())
	e.advance()
	e.mu.Unlock()
	if v == simendpoint.Accepted {
		v = f.awaitJob(r.Context(), job, wait)
	}
	f.networkDelay()
	if f.isSilenced(true) {
		v = simendpoint.Unanswered
	}
	switch v {
	case simendpoint.Rejected:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case simendpoint.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case simendpoint.Unanswered:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, r.Header.Get("X-Trace-Id")) // a client that has gone needs none
	}
}

// wait waits for a request's end at the endpoint.
func (f *front) awaitJob(ctx context.Context, j *job, w *pendingJob) simendpoint.Verdict {
	select {
	case x := <-w.ended:
		f.endpoint.run.recordExecution(j, x)
		return x.Verdict
	case <-w.killed:
		panic(http.ErrAbortHandler) // the process died
	case <-ctx.Done():
	}
	e := f.endpoint
	e.mu.Lock()
	gone := e.node.Cancel(e.run.now(), &j.Job)
	e.advance()
	e.mu.Unlock()
	if !gone { // it runs all the same
		go func() {
			select {
			case x := <-w.ended:
				e.run.recordExecution(j, x)
			case <-w.killed:
			}
		}()
	}
	panic(http.ErrAbortHandler)
}

// probe answers with a load report.
func (f *front) serveProbe(ctx context.Context, w http.ResponseWriter) {
	e := f.endpoint
	e.run.updateCounts(func(c *counts) {
		c.probes++
		e.run.recordArrival(e.index, measure.ProbeArrival)
	})
	e.mu.Lock()
	e.advance()
	l := e.node.Probe(e.run.now(), e.run.reportRand)
	e.mu.Unlock()
	values := map[balancer.LoadMetric]float64{balancer.MetricInflight: l.Inflight, balancer.MetricQueueLength: l.Queue, balancer.MetricUtilization: l.Util,
		balancer.MetricLatency: l.LatencyMS, balancer.MetricServedRate: l.Served, balancer.MetricErrorRate: l.Errors}
	var parts []string
	for i, name := range e.run.reportFields() {
		parts = append(parts, fmt.Sprintf("%s=%s", name, strconv.FormatFloat(values[e.run.site.Settings.LoadMetrics[i]], 'f', 4, 64)))
	}
	f.networkDelay()
	if f.isSilenced(true) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "TEXT "+strings.Join(parts, ", ")) // a client that has gone needs none
}
