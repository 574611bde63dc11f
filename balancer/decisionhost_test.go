package balancer_test

import (
	"cmp"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// simEndpoint is an endpoint of a run, with its faults.
type simEndpoint struct {
	balancer.Endpoint
	slowness   float64 // factor of the service time
	background float64 // requests of other balancers in flight
	inflight   int
	report     []float32       // the latest one, which is repeated for runOptions.staleFor
	reportAt   monotime.Micros // instant at which it was made

	failing, full, unreachable, silent, nonsense bool
}

type simEvent struct {
	at   monotime.Micros
	seq  int
	call func()
}

type simAttempt struct {
	endpoint *simEndpoint
	sentAt   monotime.Micros
	done     bool
}

type simRequest struct {
	request  balancer.Request
	attempts []*simAttempt
	answered bool
}

// simulation is the host of one balancer. Its own random source is independent of the balancer's.
type simulation struct {
	balancer  *balancer.Balancer
	settings  balancer.Settings
	options   runOptions
	now       monotime.Micros
	seq       int
	queue     []simEvent
	random    *rand.Rand
	endpoints []*simEndpoint
	requests  map[uint64]*simRequest
	nextID    uint64
	digest    hash.Hash
	counts    map[string]int
}

// runOptions is what a run varies besides the settings.
type runOptions struct {
	endpoints       int
	arrivals        float64         // requests per second in the calm phases
	staleFor        monotime.Micros // time between two new reports of an endpoint
	policy          bool            // there is an overload policy
	policyFromStart bool            // and from the start
	handover        bool
	handoverPause   monotime.Micros // from the end of the old balancer to the start of the next
	operatorCalls   bool            // SetCordon, SetPaused and SetSuspicion are called
}

func (s *simulation) note(kind string, args ...any) {
	s.counts[kind]++
	fmt.Fprintln(s.digest, s.now, kind, args)
}

func (s *simulation) after(delay monotime.Micros, call func()) {
	s.seq++
	e := simEvent{at: s.now + max(0, delay), seq: s.seq, call: call}
	at, _ := slices.BinarySearchFunc(s.queue, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	s.queue = slices.Insert(s.queue, at, e)
}

func (s *simulation) runUntil(end monotime.Micros) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.call()
	}
	s.now = end
}

func (s *simulation) endpoint(id uint32) *simEndpoint {
	for _, e := range s.endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

func (s *simulation) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	r := s.requests[id]
	s.note("send", id, endpoint, timeout, s.balancer.FirstByteDeadline(id))
	a := &simAttempt{endpoint: s.endpoint(endpoint), sentAt: s.now}
	number := len(r.attempts)
	r.attempts = append(r.attempts, a)
	e := a.endpoint
	e.inflight++
	class := &s.settings.Classes[r.request.Class]
	work := float64(class.LatencyObjective) / 8 * s.random.ExpFloat64()
	if r.request.HasWorkHint {
		work = float64(r.request.WorkHint) * (0.7 + 0.6*s.random.Float64())
	}
	load := float64(e.inflight) + e.background
	latency := monotime.Micros(400 + work*e.slowness*max(1, load/2))
	status := balancer.OK
	draw := s.random.Float64()
	switch {
	case e.State == balancer.Gone || e.unreachable:
		status, latency = balancer.ConnectFailed, 2*millisecond
	case e.full && draw < 0.7:
		status, latency = balancer.Rejected, millisecond
	case e.failing && draw < 0.8:
		status, latency = balancer.Error, 3*millisecond
	case e.silent:
		latency = 20 * second
	case draw < 0.01:
		status = balancer.Reset
	case draw < 0.015:
		status, latency = balancer.NotSent, 0
	}
	if limit := r.request.Deadline - s.now; latency > limit && limit > 0 {
		status, latency = balancer.Timeout, limit
	}
	if timeout > 0 && latency > timeout {
		status, latency = balancer.Timeout, timeout
	}
	if class.Streaming && status == balancer.OK {
		first := latency / 3
		s.after(first, func() {
			if !a.done && !r.answered {
				s.note("event headers", id, number)
				s.balancer.HandleHeaders(s.now, id, number, first)
			}
		})
	}
	s.after(latency, func() { s.finish(r, number, status) })
}

// finish reports the end of an attempt, once.
func (s *simulation) finish(r *simRequest, number int, status balancer.Status) {
	a := r.attempts[number]
	if a.done {
		return
	}
	a.done = true
	a.endpoint.inflight--
	if status == balancer.OK {
		r.answered = true
	}
	o := balancer.Outcome{ID: r.request.ID, Attempt: number, Endpoint: a.endpoint.ID, Status: status,
		Latency: s.now - a.sentAt, Answered: r.answered, NotReplayable: s.random.IntN(40) == 0,
		Load: s.load(a.endpoint)}
	s.note("event outcome", o.ID, o.Attempt, uint8(o.Status), o.Latency, o.Answered, o.NotReplayable)
	s.balancer.HandleOutcome(s.now, o)
}

func (s *simulation) Reject(id uint64, retryAfter monotime.Micros) {
	s.note("reject", id, retryAfter)
	if r := s.requests[id]; r != nil {
		r.answered = true
	}
}

func (s *simulation) Fail(id uint64) {
	s.note("fail", id)
	s.requests[id].answered = true
}

func (s *simulation) Cancel(id uint64, attempt int) {
	s.note("cancel", id, attempt)
	r := s.requests[id]
	s.after(100, func() { s.finish(r, attempt, balancer.Cancelled) })
}

func (s *simulation) SetTimer(delay monotime.Micros, token uint32) {
	s.note("timer", delay, token)
	b := s.balancer
	s.after(delay, func() {
		if s.balancer == b {
			s.balancer.HandleTimer(s.now, token)
		}
	})
}

func (s *simulation) Probe(endpoint uint32) {
	s.note("probe", endpoint)
	e := s.endpoint(endpoint)
	if s.random.IntN(50) == 0 {
		return // lost
	}
	latency := 300 + s.random.Int64N(400)
	s.after(latency, func() {
		status := balancer.OK
		if e.unreachable || e.State == balancer.Gone {
			status = balancer.ConnectFailed
		}
		load := s.load(e)
		s.note("event probed", endpoint, uint8(status), latency, load)
		s.balancer.HandleProbe(s.now, endpoint, status, latency, load)
	})
}

// load returns a load report of e with the metrics of the settings.
func (s *simulation) load(e *simEndpoint) []float32 {
	if e.report != nil && s.now-e.reportAt < s.options.staleFor {
		return e.report
	}
	requests := float64(e.inflight) + e.background
	var load []float32
	for _, f := range s.settings.LoadMetrics {
		v := 0.0
		switch f {
		case balancer.MetricInflight:
			v = requests
		case balancer.MetricQueueLength:
			v = max(0, requests-2)
		case balancer.MetricLatency:
			v = 8 * e.slowness
		case balancer.MetricUtilization:
			v = min(1, requests/2)
		}
		if e.nonsense {
			v = []float64{-1, 1e12, 3}[s.random.IntN(3)]
		}
		load = append(load, float32(v))
	}
	e.report = load
	e.reportAt = s.now
	return load
}

func (s *simulation) Watch(on bool) {
	s.note("watch", on)
	switch s.random.IntN(4) {
	case 0:
		s.after(300*millisecond, func() { s.members(balancer.ListFailed, nil) })
	case 1: // lost
	default:
		s.after(30*millisecond, func() { s.members(balancer.ListFull, s.list()) })
	}
}

func (s *simulation) Log(string, ...any) { s.note("log") }

func (s *simulation) list() []balancer.Endpoint {
	var list []balancer.Endpoint
	for _, e := range s.endpoints {
		if e.State != balancer.Gone {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

func (s *simulation) members(kind balancer.ListKind, entries []balancer.Endpoint) {
	s.note("event members", uint8(kind), len(entries))
	for _, e := range entries {
		s.note("entry", e.ID, e.Zone, e.Kind, e.Cell, uint8(e.State), e.Share, e.StartTime)
	}
	s.balancer.UpdateEndpoints(s.now, kind, entries)
}
