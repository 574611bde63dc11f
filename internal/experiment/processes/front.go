package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/simendpoint"
)

// front is the address of an endpoint for one instance.
type front struct {
	endpoint *endpoint
	instance int
	addr     string
	listener *silenceableListener
	http     *http.Server
	done     chan struct{}
}

// isSilenced reports whether the endpoint is unreachable for the instance; back says that the way of responses is
// meant.
func (f *front) isSilenced(back bool) bool {
	e := f.endpoint
	e.mu.Lock()
	mute := e.vanished
	e.mu.Unlock()
	now := e.run.now()
	for i := range e.run.plan.PlannedEvents {
		if e.run.plan.PlannedEvents[i].BlocksPath(now, f.instance, e.index, back) {
			return true
		}
	}
	return mute || e.run.isPartitioned(e.run.plan.Instances[f.instance].Zone, e.plan.Zone)
}

// networkDelay sleeps for the network's latency between the instance and the endpoint.
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

// ServeHTTP serves a request or a health check.
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
		return // an incomplete request is not executed
	}
	job, err := e.run.parseJob(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	f.countAttempt(job)
	pending := &pendingJob{make(chan simendpoint.Completion, 1), make(chan struct{})}
	job.Job.HostData = pending
	verdict := e.arrive(job)
	if verdict == simendpoint.Accepted {
		verdict = f.awaitJob(r.Context(), job, pending)
	}
	f.networkDelay()
	if f.isSilenced(true) {
		verdict = simendpoint.Unanswered
	}
	switch verdict {
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

// countAttempt counts a request that has arrived.
func (f *front) countAttempt(j *job) {
	e := f.endpoint
	e.run.maintenance.countRequest(e.index)
	e.run.updateCounts(func(c *counts) {
		c.attempts++
		if j.retry {
			e.run.recordArrival(e.index, measure.ExtraAttempt)
		} else {
			e.run.recordArrival(e.index, measure.FirstAttempt)
		}
		if e.run.plan.Instances[f.instance].Zone != e.plan.Zone {
			c.crossZone++
		}
	})
}

// arrive hands a request to the endpoint's state machine.
func (e *endpoint) arrive(j *job) simendpoint.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	hadCollapsed := e.node.Collapsed()
	verdict := simendpoint.Rejected
	if e.node.Up() {
		verdict = e.node.Arrive(e.run.now(), &j.Job)
	}
	if !hadCollapsed && e.node.Collapsed() {
		e.run.updateCounts(func(c *counts) { c.collapses++ })
	}
	e.maxInFlight = max(e.maxInFlight, e.node.InFlight())
	e.advance()
	return verdict
}

// awaitJob waits until a request has been executed, and aborts the response where its client or the endpoint has gone.
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

// serveProbe answers a health check with a load report.
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
	values := map[balancer.LoadMetric]float64{
		balancer.MetricInflight:    l.Inflight,
		balancer.MetricQueueLength: l.Queue,
		balancer.MetricUtilization: l.Util,
		balancer.MetricLatency:     l.LatencyMS,
		balancer.MetricServedRate:  l.Served,
		balancer.MetricErrorRate:   l.Errors,
	}
	var parts []string
	for i, name := range e.run.reportFields() {
		value := values[e.run.site.Settings.LoadMetrics[i]]
		parts = append(parts, fmt.Sprintf("%s=%s", name, strconv.FormatFloat(value, 'f', 4, 64)))
	}
	f.networkDelay()
	if f.isSilenced(true) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "TEXT "+strings.Join(parts, ", ")) // a client that has gone needs none
}
