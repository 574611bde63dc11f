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

// endpointListener serves the requests and probes that one instance sends to an endpoint, on a separate address.
type endpointListener struct {
	endpoint  *endpoint
	instance  int
	addr      string
	listener  *silenceableListener
	server    *http.Server
	serveDone chan struct{}
}

// isUnreachable reports whether the network between the instance and the endpoint drops traffic now: responses if
// responses is true, requests otherwise.
func (l *endpointListener) isUnreachable(responses bool) bool {
	e := l.endpoint
	e.mu.Lock()
	vanished := e.vanished
	e.mu.Unlock()
	now := e.run.now()
	for eventIndex := range e.run.plan.PlannedEvents {
		if e.run.plan.PlannedEvents[eventIndex].BlocksPath(now, l.instance, e.index, responses) {
			return true
		}
	}
	return vanished || e.run.isPartitioned(e.run.plan.Instances[l.instance].Zone, e.planned.Zone)
}

// sleepNetworkDelay sleeps for the one-way network latency between the instance and the endpoint.
func (l *endpointListener) sleepNetworkDelay() {
	plan := l.endpoint.run.plan
	delay := plan.Network.CrossZoneDelay.Duration
	if plan.Instances[l.instance].Zone == l.endpoint.planned.Zone {
		delay = plan.Network.SameZoneDelay.Duration
	}
	delay += time.Duration(plan.Network.Jitter * rand.ExpFloat64() * float64(delay))
	delay += time.Duration(plan.ExtraDelay(l.endpoint.run.now(), l.instance, l.endpoint.index)) * time.Microsecond
	sleepUntil(time.Now().Add(delay))
}

// ServeHTTP serves an attempt or a probe.
func (l *endpointListener) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	e := l.endpoint
	l.sleepNetworkDelay()
	if l.isUnreachable(false) {
		// Package net/http detects that the connection has ended only after the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(request.URL.Path, "/-/") {
		l.serveProbe(request.Context(), w)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // an incomplete request is not executed
	}
	job, err := e.run.parseJob(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	l.recordAttempt(job)
	pending := &pendingJob{make(chan simendpoint.Completion, 1), make(chan struct{})}
	job.Job.HostData = pending
	verdict := e.admit(job)
	if verdict == simendpoint.Accepted {
		verdict = l.awaitJob(request.Context(), job, pending)
	}
	l.sleepNetworkDelay()
	if l.isUnreachable(true) {
		verdict = simendpoint.Unanswered
	}
	switch verdict {
	case simendpoint.Rejected:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case simendpoint.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case simendpoint.Unanswered:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		// A write error only means that the client has disconnected.
		_, _ = io.WriteString(w, request.Header.Get("X-Trace-Id"))
	}
}

// recordAttempt counts an attempt that has arrived at the endpoint.
func (l *endpointListener) recordAttempt(arrived *job) {
	e := l.endpoint
	e.run.maintenance.countRequest(e.index)
	e.run.updateCounts(func(c *counts) {
		c.attempts++
		if arrived.retry {
			e.run.recordEndpointArrival(e.index, measure.ExtraAttempt)
		} else {
			e.run.recordEndpointArrival(e.index, measure.FirstAttempt)
		}
		if e.run.plan.Instances[l.instance].Zone != e.planned.Zone {
			c.crossZoneAttempts++
		}
	})
}

// admit passes an attempt to the endpoint's state machine and returns the verdict. An endpoint that is down rejects
// the attempt.
func (e *endpoint) admit(arrived *job) simendpoint.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueJobs()
	hadCollapsed := e.model.Collapsed()
	verdict := simendpoint.Rejected
	if e.model.Up() {
		verdict = e.model.Arrive(e.run.now(), &arrived.Job)
	}
	if !hadCollapsed && e.model.Collapsed() {
		e.run.updateCounts(func(c *counts) { c.collapses++ })
	}
	e.maxInFlight = max(e.maxInFlight, e.model.InFlight())
	e.completeDueJobs()
	return verdict
}

// awaitJob waits until an attempt has been executed. It aborts the HTTP response if the client disconnects or the
// endpoint is killed first.
func (l *endpointListener) awaitJob(ctx context.Context, arrived *job, pending *pendingJob) simendpoint.Verdict {
	select {
	case completion := <-pending.completion:
		l.endpoint.run.recordExecution(arrived, completion)
		return completion.Verdict
	case <-pending.killed:
		panic(http.ErrAbortHandler) // the endpoint was killed
	case <-ctx.Done():
	}
	e := l.endpoint
	e.mu.Lock()
	canceled := e.model.Cancel(e.run.now(), &arrived.Job)
	e.completeDueJobs()
	e.mu.Unlock()
	if !canceled { // the endpoint executes the attempt in spite of the cancellation
		go func() {
			select {
			case completion := <-pending.completion:
				e.run.recordExecution(arrived, completion)
			case <-pending.killed:
			}
		}()
	}
	panic(http.ErrAbortHandler)
}

// serveProbe responds to a probe with a load report.
func (l *endpointListener) serveProbe(ctx context.Context, w http.ResponseWriter) {
	e := l.endpoint
	e.run.updateCounts(func(c *counts) {
		c.probes++
		e.run.recordEndpointArrival(e.index, measure.ProbeArrival)
	})
	e.mu.Lock()
	e.completeDueJobs()
	report := e.model.Probe(e.run.now(), e.run.reportRand)
	e.mu.Unlock()
	metrics := map[balancer.LoadMetric]float64{
		balancer.MetricInflight:    report.Inflight,
		balancer.MetricQueueLength: report.Queue,
		balancer.MetricUtilization: report.Util,
		balancer.MetricLatency:     report.LatencyMS,
		balancer.MetricServedRate:  report.Served,
		balancer.MetricErrorRate:   report.Errors,
	}
	var fields []string
	for metricIndex, name := range e.run.reportFields() {
		value := metrics[e.run.site.Settings.LoadMetrics[metricIndex]]
		fields = append(fields, fmt.Sprintf("%s=%s", name, strconv.FormatFloat(value, 'f', 4, 64)))
	}
	l.sleepNetworkDelay()
	if l.isUnreachable(true) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	// A write error only means that the instance has disconnected.
	_, _ = io.WriteString(w, "TEXT "+strings.Join(fields, ", "))
}
