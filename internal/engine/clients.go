package engine

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// Client is whose requests are shared out together, and whose ids must differ while they are open. It belongs to its
// engine.
type Client struct {
	account *fairqueue.Client
	ids     map[string]*Call // owned by the engine
}

// NewClient returns a client, or the error of a spec that makes no sense.
func NewClient(s fairqueue.ClientSpec) (*Client, error) {
	account, err := fairqueue.NewClient(s)
	if err != nil {
		return nil, err
	}
	return &Client{account: account, ids: map[string]*Call{}}, nil
}

// Open returns how many of the client's calls are not forgotten yet.
func (c *Client) Open() int { return len(c.ids) }

// Change gives a client another spec, or returns the error of one that makes no sense; what it has open stays open.
func (c *Client) Change(s fairqueue.ClientSpec) error { return c.account.Update(s) }

// Sharing says how many requests may go on together.
type Sharing struct {
	Slots    int                   // in flight at once in each pool; 0 is no bound. With Adaptive it is not used
	Open     int                   // in flight and waiting, in all pools together; 0 is no bound
	Adaptive *concurrency.Settings // learns how many may be in flight in each pool; its Classes are filled in
}

// share makes the decisions between clients.
func (p *Pool) share(s Sharing, seed uint64) error {
	expect := make([]monotime.Micros, len(p.engine.config.Site.Settings.Classes))
	for i, class := range p.engine.config.Site.Settings.Classes {
		expect[i] = class.Aim / 5 // as the balancer's own first guess
	}
	if s.Adaptive != nil {
		l := *s.Adaptive
		l.Classes, l.Seed = len(expect), seed
		var err error
		if p.limit, err = concurrency.New(l); err != nil {
			return err
		}
		s.Slots = p.limit.Limit()
	}
	p.shares = fairqueue.New(fairqueue.Settings{InitialTimes: expect, MaxInFlight: s.Slots, Shared: p.engine.total})
	return nil
}

// offer asks whether a call may go on. What the decision is shows in pump.
func (p *Pool) offer(now monotime.Micros, c *Call) {
	if p.limited(now, c) || p.turnsAway(now, c) {
		return
	}
	class := &p.engine.config.Site.Settings.Classes[c.In.Class]
	until := c.In.Deadline
	if class.LateWorth == 0 {
		until = min(until, c.Arrived+class.Aim)
	}
	p.shares.Enqueue(now, c.Client.account, fairqueue.Request{ID: c.In.ID, Class: int(c.In.Class), Deadline: until, MaxWaitFraction: p.balancer.Patience(now, c.In)})
	p.engine.touch(p)
}

// touch notes that decisions between a pool's clients may have become due.
func (x *Engine) touch(p *Pool) {
	if !p.touched {
		p.touched = true
		x.touched = append(x.touched, p)
	}
}

// pump carries out the decisions between clients that have become due. It is called once after each event and
// never from within one: what it does may free a place, which its next turn sees.
func (x *Engine) pump(now monotime.Micros) {
	for len(x.touched) > 0 {
		p := x.touched[len(x.touched)-1]
		x.touched = x.touched[:len(x.touched)-1]
		p.touched = false
		p.pump(now)
	}
}

func (p *Pool) pump(now monotime.Micros) {
	x := p.engine
	if p.limit != nil {
		p.shares.SetMaxInFlight(p.limit.Limit())
	}
	for {
		d, ok := p.shares.Next(now)
		if !ok {
			break
		}
		c := x.calls[d.ID]
		if d.Action == fairqueue.Reject {
			x.finish(c, x.turnedAway(d))
			continue
		}
		_, inFlight := p.shares.Counts()
		c.admitted, c.inFlight, c.In.Waited = now, inFlight, now-c.Arrived
		p.balancer.Request(now, c.In)
	}
	// Whoever waits is looked at again when no answer could be in time any more.
	if at := p.shares.NextExpiry(); at != p.wakeAt {
		x.callOff(p.wake)
		if p.wake, p.wakeAt = nil, at; at != 0 {
			p.wake = x.at(at, func(monotime.Micros) {
				p.wakeAt = 0
				x.touch(p)
			})
		}
	}
}

// turnedAway is the answer to a request that is not admitted.
func (x *Engine) turnedAway(d fairqueue.Decision) Answer {
	a := Answer{Verdict: Refused, Reason: d.Reason.String()}
	if d.Reason == fairqueue.ClientOverRate {
		a.Verdict = Limited
	}
	limits := &x.config.Site.Settings.Limits
	if limits.RetryAfter && d.RetryAfter > 0 {
		// Spread, so that those turned away together do not return together.
		after := monotime.Micros(float64(d.RetryAfter) * (1 + x.rng.Float64()/2))
		a.RetryAfter = min(after, limits.MaxRetryAfter)
	}
	return a
}

// learn takes in what a request that was served tells of how long such take.
func (p *Pool) learn(now monotime.Micros, c *Call) {
	took := now - c.admitted
	p.shares.ObserveServiceTime(int(c.In.Class), took)
	if p.limit != nil {
		waiting, _ := p.shares.Counts()
		p.limit.AddSample(now, int(c.In.Class), took, c.inFlight, waiting > 0 || c.admitted > c.Arrived+waitedLeast)
	}
}

// waitedLeast is how long a request must have been on its way to the balancer to count as one that waited for its
// turn: less is the way from its front.
const waitedLeast = 1000

// Counts returns how many of the pool's requests wait and are in flight, and how many may be (0 is no bound that is
// learned).
func (p *Pool) Counts() (waiting, inFlight, slots int) {
	waiting, inFlight = p.shares.Counts()
	if p.limit != nil {
		slots = p.limit.Limit()
	}
	return waiting, inFlight, slots
}
