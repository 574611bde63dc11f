package core

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/limit"
	"dunlinsail/internal/decide/shares"
)

// Client is whose requests are shared out together, and whose ids must differ while they are open.
type Client struct {
	account *shares.Client
	ids     map[string]*Call // owned by the core's goroutine
}

// NewClient returns a client of a core, or the error of a spec that makes no sense.
func (x *Core) NewClient(s shares.Spec) (*Client, error) {
	account, err := shares.NewClient(s)
	if err != nil {
		return nil, err
	}
	return &Client{account: account, ids: map[string]*Call{}}, nil
}

// ChangeClient gives a client another spec; what it has open stays open.
func (x *Core) ChangeClient(c *Client, s shares.Spec) error {
	if err := s.Validate(); err != nil {
		return err
	}
	x.post(func(balancer.Micros) { x.shares.Change(c.account, s) })
	return nil
}

// Sharing says how many requests may go on together.
type Sharing struct {
	Slots    int             // in flight at once; 0 is no bound. With Adaptive it is not used
	Open     int             // in flight and waiting; 0 is no bound
	Adaptive *limit.Settings // learns how many may be in flight; its Classes are filled in
}

// share makes the decisions between clients.
func (x *Core) share(s Sharing, seed uint64) error {
	expect := make([]shares.Micros, len(x.config.Site.Settings.Classes))
	for i, class := range x.config.Site.Settings.Classes {
		expect[i] = class.Aim / 5 // as the balancer's own first guess
	}
	if s.Adaptive != nil {
		l := *s.Adaptive
		l.Classes, l.Seed = len(expect), seed
		var err error
		if x.limit, err = limit.New(l); err != nil {
			return err
		}
		s.Slots = x.limit.Value()
	}
	x.shares = shares.New(shares.Settings{Classes: expect, Slots: s.Slots, Open: s.Open})
	return nil
}

// offer asks whether a call may go on. What the decision is shows in pump.
func (x *Core) offer(now balancer.Micros, c *Call) {
	class := &x.config.Site.Settings.Classes[c.In.Class]
	until := c.In.Deadline
	if class.LateWorth == 0 {
		until = min(until, c.Arrived+class.Aim)
	}
	x.shares.Offer(now, c.Client.account, shares.Request{ID: c.In.ID, Class: int(c.In.Class), Until: until})
}

// pump carries out the decisions between clients that have become due. It is called once after each event and
// never from within one: what it does may free a place, which the next turn of its loop sees.
func (x *Core) pump(now balancer.Micros) {
	if x.limit != nil {
		x.shares.Slots(x.limit.Value())
	}
	for {
		d, ok := x.shares.Next(now)
		if !ok {
			break
		}
		c := x.calls[d.ID]
		if d.Verb == shares.TurnAway {
			x.finish(c, x.turnedAway(d))
			continue
		}
		_, inFlight := x.shares.Counts()
		c.admitted, c.inFlight = now, inFlight
		x.balancer.Request(now, c.In)
	}
	// Whoever waits is looked at again when no answer could be in time any more.
	if at := x.shares.Wake(); at != x.wakeAt {
		x.callOff(x.wake)
		if x.wake, x.wakeAt = nil, at; at != 0 {
			x.wake = x.at(at, func(balancer.Micros) { x.wakeAt = 0 })
		}
	}
}

// turnedAway is the answer to a request that is not admitted.
func (x *Core) turnedAway(d shares.Decision) Answer {
	a := Answer{Verdict: Refused, Reason: d.Reason.String()}
	if d.Reason == shares.TooFast {
		a.Verdict = Limited
	}
	limits := &x.config.Site.Settings.Limits
	if limits.RetryAfter && d.RetryAfter > 0 {
		// Spread, so that those turned away together do not return together.
		after := balancer.Micros(float64(d.RetryAfter) * (1 + x.rng.Float64()/2))
		a.RetryAfter = clock.Duration(min(after, limits.MaxRetryAfter))
	}
	return a
}

// learn takes in what a request that was served tells of how long such take.
func (x *Core) learn(now balancer.Micros, c *Call) {
	took := now - c.admitted
	x.shares.Learn(int(c.In.Class), took)
	if x.limit != nil {
		waiting, _ := x.shares.Counts()
		x.limit.Sample(now, int(c.In.Class), took, c.inFlight, waiting > 0 || c.admitted > c.Arrived+waitedLeast)
	}
}

// waitedLeast is how long a request must have been on its way to the balancer to count as one that waited for its
// turn: less is the way from its front.
const waitedLeast = 1000

// Counts returns how many requests wait and are in flight, how many may be (0 is no bound), and how many calls
// are not forgotten yet.
func (x *Core) Counts() (waiting, inFlight, slots, calls int) {
	got := make(chan struct{})
	x.post(func(balancer.Micros) {
		waiting, inFlight = x.shares.Counts()
		if calls = len(x.calls); x.limit != nil {
			slots = x.limit.Value()
		}
		close(got)
	})
	select {
	case <-got:
	case <-x.over:
	}
	return waiting, inFlight, slots, calls
}
