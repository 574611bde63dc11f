package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// checker is a host that checks the rules at each action.
type checker struct {
	settings     Settings
	now          monotime.Micros
	states       map[uint32]Endpoint        // the latest entries
	cordoned     map[uint32]bool            // by endpoint
	warmingUp    map[uint32]monotime.Micros // by endpoint: instant of its start
	warmingSends map[uint32]float64         // by endpoint: requests sent while it warms up
	requests     map[uint64]*checkedRequest // open and ended
	faults       []string
	timers       []pendingTimer
	probes       []uint32 // endpoint IDs
}

type checkedRequest struct {
	in       Request
	answered int  // final answers by the balancer
	closed   bool // by the answer of an attempt, or by its client
	attempts []checkedAttempt
}

type checkedAttempt struct {
	endpoint   Endpoint
	sentAt     monotime.Micros
	inflight   bool
	mayHaveRun bool
}

type pendingTimer struct {
	at    monotime.Micros
	token uint32
}

// fault records a broken rule.
func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

// firstMayHaveRun returns the first attempt that may have run, nil for none.
func (r *checkedRequest) firstMayHaveRun() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *checker) Send(id uint64, endpoint uint32, _ monotime.Micros) {
	r := c.requests[id]
	if r == nil {
		c.fault("send for unknown request %d", id)
		return
	}
	e, known := c.states[endpoint]
	if r.answered > 0 || r.closed {
		c.fault("send after the end of %d", id)
	}
	if !known || e.State != Ready {
		c.fault("send to endpoint %d in state %d", endpoint, e.State)
	}
	if c.cordoned[endpoint] {
		c.fault("send to endpoint %d, which is cordoned", endpoint)
	}
	c.checkAttempts(r)
	c.checkIdempotency(r, e)
	if _, warming := c.warmingUp[endpoint]; warming {
		c.warmingSends[endpoint]++
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: e, sentAt: c.now, inflight: true, mayHaveRun: true})
}

// checkAttempts checks that r may have one more attempt.
func (c *checker) checkAttempts(r *checkedRequest) {
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.fault("attempt %d of %d", len(r.attempts), r.in.ID)
	}
	for _, a := range r.attempts {
		if a.inflight && !c.settings.Limits.Hedging {
			c.fault("hedged attempt of %d", r.in.ID)
		}
	}
}

// checkIdempotency checks that an attempt of r at e has no second effect.
func (c *checker) checkIdempotency(r *checkedRequest, e Endpoint) {
	class := c.settings.Classes[r.in.Class]
	first := r.firstMayHaveRun()
	if first == nil || class.Idempotency == Idempotent {
		return
	}
	inScope := class.DedupScope == DedupAll ||
		class.DedupScope == DedupZone && first.endpoint.Zone == e.Zone ||
		class.DedupScope == DedupCell && first.endpoint.Cell == e.Cell
	if class.Idempotency == NonIdempotent || !inScope || c.now > first.sentAt+class.DedupWindow {
		c.fault("repeat of %d (%s) may have a second effect", r.in.ID, class.Name)
	}
}

// final records the final answer of a request.
func (c *checker) final(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.answered > 0 || r.closed {
		c.fault("final answer for %d, which is not open", id)
		return nil
	}
	r.answered++
	return r
}

func (c *checker) Reject(id uint64, _ monotime.Micros) {
	if r := c.final(id); r != nil && r.firstMayHaveRun() != nil {
		class := c.settings.Classes[r.in.Class]
		if class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != DedupAll {
			c.fault("rejection of %d (%s), which may have run", id, class.Name)
		}
	}
}

func (c *checker) Fail(id uint64) { c.final(id) }

func (c *checker) Cancel(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.fault("cancel of attempt %d of %d, never made", attempt, id)
	}
}

func (c *checker) SetTimer(delay monotime.Micros, token uint32) {
	if delay <= 0 {
		c.fault("timer delay %d", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *checker) Probe(e uint32) {
	if _, known := c.states[e]; !known {
		c.fault("probe of unknown endpoint %d", e)
	}
	if c.cordoned[e] {
		c.fault("probe of endpoint %d, which is cordoned", e)
	}
	c.probes = append(c.probes, e)
}

func (c *checker) Watch(bool) {
	if !c.settings.Subscribe {
		c.fault("subscription where changes are pushed")
	}
}

func (c *checker) Log(string, ...any) {}

// randomRun gives a balancer random events that a host may give, with a checker as its host.
type randomRun struct {
	*checker
	balancer *Balancer
	random   *rand.Rand
	list     []Endpoint
	open     []uint64
	lastID   uint64
}

// playRandomEvents runs random events from a seed, and returns the broken rules.
func playRandomEvents(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	x := &randomRun{random: rand.New(rand.NewSource(seed))}
	x.checker = &checker{
		settings:     s,
		now:          1_000_000,
		states:       map[uint32]Endpoint{},
		cordoned:     map[uint32]bool{},
		warmingUp:    map[uint32]monotime.Micros{},
		warmingSends: map[uint32]float64{},
		requests:     map[uint64]*checkedRequest{},
	}
	var err error
	x.balancer, err = New(s, uint64(seed), x.checker)
	require.NoError(t, err)
	x.balancer.Start(x.now)
	x.list = readyEndpoints(1 + x.random.Intn(6))
	x.update(ListCached, slices.Clone(x.list))
	for range 3000 {
		x.now += monotime.Micros(x.random.Intn(20_000))
		x.fireTimers(0)
		x.step()
	}
	// Each request that is still open must be answered by its deadline.
	for range 400 {
		x.now += 5000
		x.fireTimers(firstRequestToken)
	}
	for id, r := range x.requests {
		if r.answered == 0 && !r.closed {
			x.fault("request %d never got a final answer", id)
		}
	}
	return x.faults
}

// fireTimers fires the timers that are due, of tokens from the given one on.
func (x *randomRun) fireTimers(from uint32) {
	for i := 0; i < len(x.timers); {
		if p := x.timers[i]; p.at <= x.now && p.token >= from {
			x.timers = slices.Delete(x.timers, i, i+1)
			x.balancer.HandleTimer(x.now, p.token)
			continue
		}
		i++
	}
}

// status draws the status of an attempt or a probe; OK is the most frequent.
func (x *randomRun) status() Status {
	statuses := []Status{OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	return statuses[x.random.Intn(len(statuses))]
}

// step gives the balancer one random event.
func (x *randomRun) step() {
	switch n := x.random.Intn(20); {
	case n < 8:
		x.lastID++
		in := Request{ID: x.lastID, Class: uint8(x.random.Intn(len(x.settings.Classes))),
			Deadline: x.now + monotime.Micros(x.random.Intn(1_000_000)) - 50_000}
		x.requests[in.ID] = &checkedRequest{in: in}
		x.open = append(x.open, in.ID)
		x.balancer.HandleRequest(x.now, in)
	case n < 15 && len(x.open) > 0:
		x.endAttempt(x.requests[x.open[x.random.Intn(len(x.open))]])
	case n < 16 && len(x.open) > 0:
		r := x.requests[x.open[x.random.Intn(len(x.open))]]
		if r.answered == 0 {
			r.closed = true
		}
		x.balancer.HandleClientGone(x.now, r.in.ID)
	case n == 16 && x.random.Intn(3) == 0:
		id := x.list[x.random.Intn(len(x.list))].ID
		x.cordoned[id] = true
		if x.random.Intn(2) == 0 {
			delete(x.cordoned, id)
		}
		x.balancer.SetCordon(x.now, id, x.cordoned[id])
	case n < 18:
		for _, e := range x.probes {
			status := x.status()
			x.balancer.HandleProbe(x.now, e, status, 500, []float32{float32(x.random.Intn(8))})
		}
		x.probes = x.probes[:0]
	default:
		x.changeList()
	}
}

// endAttempt ends the first attempt of r that is in flight.
func (x *randomRun) endAttempt(r *checkedRequest) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inflight {
			continue
		}
		a.inflight = false
		status := x.status()
		if status == Rejected || status == ConnectFailed || status == NotSent {
			a.mayHaveRun = false
		}
		if status == OK && r.answered == 0 && !r.closed {
			r.closed = true
		}
		x.balancer.HandleOutcome(x.now, Outcome{ID: r.in.ID, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
			Latency: x.now - a.sentAt, Answered: r.answered > 0 || r.closed})
		break
	}
}

// changeList changes an endpoint and sends a list with or without it, or a failure.
func (x *randomRun) changeList() {
	e := &x.list[x.random.Intn(len(x.list))]
	e.State = EndpointState(x.random.Intn(3))
	if x.random.Intn(4) == 0 {
		e.State = Ready
		e.StartTime = x.now - monotime.Micros(x.random.Intn(1_000_000))
	}
	if e.State == Ready && x.random.Intn(4) == 0 {
		e.Zone = uint8(x.random.Intn(3))
	}
	switch x.random.Intn(6) {
	case 0:
		x.update(ListFull, slices.Clone(x.list[:x.random.Intn(len(x.list)+1)]))
	case 1:
		x.update(ListFailed, nil)
	default:
		x.update(ListDelta, []Endpoint{*e, *e})
	}
}

// update sends a list to the balancer, and cordons as the host does: cordons are its own, and an entry may be new.
func (x *randomRun) update(kind ListKind, entries []Endpoint) {
	if kind != ListDelta && kind != ListFailed {
		clear(x.states)
	}
	for _, e := range entries {
		x.states[e.ID] = e
	}
	x.balancer.UpdateEndpoints(x.now, kind, entries)
	for id := range x.cordoned {
		x.balancer.SetCordon(x.now, id, true)
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range int64(40) {
		s := testSettings()
		s.Subscribe = seed%2 == 0
		s.Limits.Hedging = seed%3 != 0
		s.Limits.Probes = seed%5 != 0
		s.Limits.MaxAttempts = 1 + int(seed%4)
		s.Prices.Probe *= float64(seed % 7 / 3) // 0 for some, so that requests are queued
		for i, bad := range playRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, bad)
			}
		}
	}
}

// The checker must detect each broken rule.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	newChecker := func() *checker {
		c := &checker{settings: testSettings(), states: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{}}
		for _, e := range readyEndpoints(4) {
			c.states[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{in: newTestRequest(uint64(class), class, 0)}
		}
		return c
	}
	for name, do := range map[string]func(*checker){
		"two final answers":      func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":     func(c *checker) { c.Fail(0); c.Send(0, 1, 0) },
		"send to the drained":    func(c *checker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.Send(0, 1, 0) },
		"send to the cordoned":   func(c *checker) { c.cordoned = map[uint32]bool{1: true}; c.Send(0, 1, 0) },
		"write sent twice":       func(c *checker) { c.Send(4, 1, 0); c.Send(4, 2, 0) },
		"write rejected":         func(c *checker) { c.Send(4, 1, 0); c.Reject(4, 0) },
		"keyed outside its zone": func(c *checker) { c.Send(2, 1, 0); c.Send(2, 3, 0) },
		"keyed outside its cell": func(c *checker) { c.Send(3, 1, 0); c.Send(3, 3, 0) },
		"keyed after its window": func(c *checker) { c.Send(1, 1, 0); c.now = second; c.Send(1, 2, 0) },
		"too many attempts": func(c *checker) {
			c.Send(0, 1, 0)
			c.Send(0, 2, 0)
			c.Send(0, 3, 0)
			c.Send(0, 4, 0)
		},
	} {
		c := newChecker()
		if do(c); len(c.faults) == 0 {
			t.Errorf("%s: not detected", name)
		}
	}
}
