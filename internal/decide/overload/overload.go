// Package overload decides, for one instance of a fleet that shares endpoints without words between its instances, what of
// its work is turned away while the endpoints cannot do all that is asked, and what is left then of what only adds to their
// load: further attempts and probes. It is told of its own demand, of its outcomes and of what endpoints report of their
// whole load, in which the others' traffic is. From the same evidence all instances come to the same level, whatever they
// have done before. It is a deterministic state machine for one caller at a time: no I/O, no clock, chance by a seed. It may
// not know balancers, lists, requests or sockets; what it decides reaches the balancer as bounds.
//
// level.go holds how much is turned away, order.go in which order, budget.go what is left of further attempts and probes.
package overload

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Class is a class of requests.
type Class struct {
	Worth float64 // of one request in its aim
	Aim   monotime.Micros
}

// Tenant is one of those who share the service.
type Tenant struct{ Allowance float64 } // requests a second over all instances; 0 is none

// Goal weighs what is judged: all worth, and the class served worst.
type Goal struct{ Whole, WorstClass float64 }

// Settings are an instance's. The zero value of a part is what holds where nothing is said.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	OverShare float64 // what a tenant's request beyond its share is worth, 0 to 1
	Goal      Goal
	Instances int // as far as told, this one included: it divides the least of probes only
	Seed      uint64

	Further     float64 // further attempts for each first one that was accepted, within any second;
	FurtherSick float64 // and so many while work is turned away or many attempts fail
	Probes      float64 // probes for each first attempt that was accepted
	NodeProbes  float64 // probes a second that one endpoint gets of all instances together, at most
	NodeLeast   float64 // and at least, so that one that recovers is found
}

// Shipped returns the budgets that hold where the operators turn this on and say no more. A fifth of further attempts is what
// a pool has without it; a twentieth under overload, since twice as many may have been accepted in the last second as are first
// ones in the next, as endpoints begin to fail, and a tenth of those is the bound. Two probes for each that was accepted are the
// two draws that a request waits for; many requests share one, so that far fewer are made. A hundred a second cost an endpoint a
// hundredth of a core at 0.1 ms each, and one a second finds it again within a second once it recovers.
func Shipped() Settings {
	return Settings{Further: 0.2, FurtherSick: 0.05, Probes: 2, NodeProbes: 100, NodeLeast: 1}
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("overload: %s: %s", e.Key, e.Reason) }

func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return &SettingError{"classes", "at least one is needed"}
	}
	for i, c := range s.Classes {
		if !(c.Worth >= 0) || c.Aim <= 0 || math.IsInf(c.Worth, 0) {
			return &SettingError{fmt.Sprintf("classes.%d", i), "worth must not be negative, aim must be positive"}
		}
	}
	for _, v := range []struct {
		key  string
		v, m float64
	}{{"further", s.Further, 10}, {"further_sick", s.FurtherSick, 10}, {"probes", s.Probes, 100}, {"node_probes", s.NodeProbes, 1e6},
		{"node_least", s.NodeLeast, 1e6}, {"over_share", s.OverShare, 1}, {"goal.whole", s.Goal.Whole, 1e6}, {"goal.worst_class", s.Goal.WorstClass, 1e6}} {
		if !(v.v >= 0 && v.v <= v.m) {
			return &SettingError{v.key, fmt.Sprintf("must be in 0..%v", v.m)}
		}
	}
	if s.Instances < 1 {
		return &SettingError{"instances", "must be at least 1"}
	}
	return nil
}

// Control decides for one instance. Make one with New.
type Control struct {
	s        Settings
	level    level
	order    order
	further  quota // attempts beyond a request's first
	accepted window
	share    float64 // of the accepted ones that further takes, as decided last
	probes   purse
	earned   quota // probes that are earned, by the own part of the fleet's load
	found    quota // probes that go out whatever happens

	endpoints int
	asked     []meter  // by class: requests that are no repeats
	tenants   []meter  // by tenant, the same
	took      []mean   // by class: time of an answer
	came      meter    // work that was decided on, in time at an endpoint, repeats included
	went      meter    // of that, such as went on
	served    meter    // first attempts accepted
	ended     meter    // first attempts ended
	serves    mean     // requests a second that an endpoint serves for all, as it reports
	alone     struct { // the parts of what it may do by itself that are its own, whatever others say
		further, probes float64
	}
	lent float64 // probes a second that others lend
}

// New returns the control of an instance that has just started, or a *SettingError.
func New(s Settings) (*Control, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	c := &Control{s: s, asked: make([]meter, len(s.Classes)), tenants: make([]meter, len(s.Tenants)), took: make([]mean, len(s.Classes)),
		order: newOrder(s), further: quota{seed: s.Seed}, earned: quota{seed: s.Seed ^ 1}, found: quota{seed: s.Seed ^ 2}, share: s.FurtherSick}
	c.Alone(1, 1, 0)
	for i := range c.took {
		c.took[i] = mean{float64(s.Classes[i].Aim) / 5, guess}
	}
	c.level.y = 1 // what an instance has not seen it does not turn away; the balancer's limits hold meanwhile
	return c, nil
}

// Level returns the level that holds, 1 for all work.
func (c *Control) Level() float64 { return c.level.y }

// Begin has a control that takes over from another begin at its level: what it would let in until it had learned that
// comes on top of what the other has let in. Budgets are not taken over: nothing is spent twice.
func (c *Control) Begin(level float64) {
	if level >= levelMin && level <= 1 {
		c.level.y = level
	}
}

// Alone says that of further attempts and of probes the instance has these parts by itself. The rest of what the fleet has is
// lent to it by others, so many probes a second for now.
func (c *Control) Alone(further, probes, lent float64) {
	c.alone.further, c.alone.probes, c.lent = further, probes, lent
}

// Earns returns what further attempts a second this instance's accepted first ones add to what all have, and the most that
// all can add by what endpoints report; infinite where they report nothing.
func (c *Control) Earns(now monotime.Micros) (own, all float64) {
	all = math.Inf(1)
	if reported := c.serves.or(0) * float64(c.endpoints); reported > 0 {
		all = c.s.Further * reported * reportSlack
	}
	return c.share * float64(c.accepted.count(now, false)), all
}

// reportSlack is what endpoints' reports may fall short of what they serve: they are averages of a second that is over.
const reportSlack = 1.5

// Probes returns how many probes a second all instances have together; 0 is that there is no such number.
func (c *Control) Probes() float64 { return c.s.NodeProbes * float64(c.endpoints) }

// Evidence returns what others should know of: the level, the part of their aim that requests spend at endpoints, and, since
// it was called last, the requests that came and such as went on in vain.
func (c *Control) Evidence() (level, load float64, asked, vain int) {
	l := &c.level
	asked, vain = l.came, min(l.lost, l.came)
	l.came, l.lost = 0, 0
	return l.y, l.x, asked, vain
}

// Others tells at what level all instances are together (Joint), and what part of their aim requests spend at endpoints. For a
// while the instance goes by that, and moves its level by itself again where nothing more is told.
func (c *Control) Others(now monotime.Micros, level, load float64) {
	if level >= levelMin && level <= 1 {
		c.level.y, c.level.joint = level, now+jointFor
	}
	if load >= 0 && load <= 1 {
		c.level.x += othersPart * (load - c.level.x)
	}
}

const (
	jointFor   = 2 * second // what was told of the others is taken for what holds,
	othersPart = 0.5        // and of their load this part, beside what is seen here meanwhile
)

// Endpoints tells how many endpoints the instance shares with the others.
func (c *Control) Endpoints(n int) { c.endpoints = n }

// Asked tells of a client's request. A repeat of one that the client asked for before is no new worth. A tenant that is
// none of the settings' is a negative number.
func (c *Control) Asked(now monotime.Micros, class, tenant int, repeat bool) {
	if class < 0 || class >= len(c.asked) {
		return
	}
	c.roll(now)
	c.level.asked(now)
	if repeat {
		return
	}
	c.asked[class].add(now, 1)
	if tenant >= 0 && tenant < len(c.tenants) {
		c.tenants[tenant].add(now, 1)
	}
}

// Sent tells that an attempt has gone out; first says that it is its request's first.
func (c *Control) Sent(now monotime.Micros, class int, first bool) {
	if !first {
		c.further.sent.add(now)
	} else if class >= 0 && class < len(c.took) {
		c.came.add(now, c.work(class))
		c.went.add(now, c.work(class))
	}
}

// Away tells that a request was turned away unsent: by the bounds, or by the balancer although they had let it in.
func (c *Control) Away(now monotime.Micros, class int, let bool) {
	if class >= 0 && class < len(c.took) {
		c.came.add(now, c.work(class))
	}
	if let {
		c.level.vain()
	}
}

// work is what a request of a class costs, as time at an endpoint.
func (c *Control) work(class int) float64 {
	return c.took[class].v
}

// Ending is how an attempt ended.
type Ending uint8

// The ways in which an attempt ends, as far as they tell of load.
const (
	Answered  Ending = iota
	Full             // turned away by the endpoint, or no answer in its time
	Broken           // failed in another way, which tells nothing of load
	Withdrawn        // by ourselves: tells nothing
)

// Ended tells of an attempt's end; first says that it was its request's first.
func (c *Control) Ended(now monotime.Micros, class int, first bool, how Ending, took monotime.Micros) {
	if class < 0 || class >= len(c.s.Classes) || how == Withdrawn {
		return
	}
	c.roll(now)
	if first {
		c.ended.add(now, 1)
	}
	aim := float64(c.s.Classes[class].Aim)
	switch how {
	case Answered:
		if first {
			c.served.add(now, 1)
			c.accepted.add(now)
			c.probes.earn(c.rates(now))
		}
		c.took[class].add(float64(took), tookWeight)
		c.level.see(now, float64(took)/aim)
		if float64(took) > aim {
			c.level.vain()
		}
	case Full:
		c.level.see(now, xMost)
		c.level.vain()
	}
}

// Load is what an endpoint reports of its whole load; what it does not report is negative.
type Load struct {
	Inflight float64 // requests that it holds
	Served   float64 // requests served a second
}

// Reported tells what an endpoint reports. By Little's law the time that a request spends there is what it holds over what
// it serves a second: that holds for all instances' requests, without knowing its cores or the requests' work. What makes no
// sense is passed over.
func (c *Control) Reported(now monotime.Micros, l Load) {
	if !(l.Served >= 1) || math.IsInf(l.Served, 0) || !(l.Inflight >= 0) || math.IsInf(l.Inflight, 0) {
		return // an endpoint that serves nothing tells nothing of how long it takes
	}
	c.serves.add(min(l.Served, servesMost*c.serves.or(l.Served)), servesWeight)
	c.level.see(now, l.Inflight/l.Served*float64(second)/c.aim(now))
}

// aim is the mean aim of what is asked for, in microseconds.
func (c *Control) aim(now monotime.Micros) float64 {
	var sum, n float64
	for i := range c.asked {
		r := c.asked[i].rate(now)
		sum += r * float64(c.s.Classes[i].Aim)
		n += r
	}
	if n == 0 {
		return float64(c.s.Classes[0].Aim)
	}
	return sum / n
}

const (
	tookWeight   = 0.02
	guess        = 4 // answers that the first guess of how long they take, a fifth of the aim, counts as
	servesWeight = 0.1
	servesMost   = 4 // times the mean that one report counts as, at most: one that lies must not hide what all serve
)

// Reason says why something is bounded, for logs and figures.
type Reason uint8

// The reasons.
const (
	None     Reason = iota // nothing is
	Waits                  // endpoints' requests take too large a part of their aim
	Failures               // many attempts fail
)

// String names the reason.
func (r Reason) String() string {
	return [...]string{"none", "endpoints are full", "many attempts fail"}[r]
}

// Bounds is what is decided, as of an instant.
type Bounds struct {
	Level  float64   // 1: all work goes on; towards 0 ever less does
	Admit  []float64 // by class, the part of the requests that goes on
	Excess []float64 // the same of what tenants ask beyond their share
	Inside []float64 // by tenant, the part of its requests that lies within its share
	Again  float64   // of what goes on by that, the part of the requests that say that they repeat an earlier one
	Waits  []float64 // by class, the part of what its aim leaves that a request may wait at an endpoint
	First  float64   // the same of what ranks first, whatever its class,
	Floor  float64   // which is this part of the requests

	Further   bool            // one more further attempt may go out
	Probes    float64         // probes a second that there is room for
	PassEvery monotime.Micros // one request of a class may go on against its limit after so long: a wrong guess must not feed itself

	Load   float64 // the part of its aim that a request spends at an endpoint
	Let    float64 // the part of what was asked for that went on lately
	Reason Reason
}

const (
	// The part of first attempts whose failing makes further ones few: beyond it the others could not serve them all anyway.
	sickFrom = 0.3
	// Below this part of its requests an instance is turning work away.
	letFew = 0.9
	// Requests a second that may go on against their limits at one endpoint, of all instances together: an eighth or so of
	// what an endpoint of two cores serves. Were it one for each class and instance, as it is without bounds, at 300 instances
	// it would be all that they are asked for: that is what the number of instances did harm by.
	passes = 4.0
)

// Bounds returns what holds now. Its lists are the control's own, until its next event.
func (c *Control) Bounds(now monotime.Micros) Bounds {
	let := 1.0
	if n := c.came.rate(now); n > 0 {
		let = min(1, c.went.rate(now)/n)
	}
	b := Bounds{Level: c.level.y, Load: c.level.x, Let: let, Probes: c.rates(now).rate()}
	b.Admit, b.Excess = c.order.parts(b.Level, c.took)
	b.Again = again(b.Level)
	b.Waits, b.First, b.Floor = c.order.waits, waitFirst, c.order.least
	b.Inside = c.order.inside(now, c.tenants)
	b.PassEvery = max(second, monotime.Micros(float64(len(c.s.Classes)*c.s.Instances)/(passes*float64(max(1, c.endpoints)))*float64(second)))
	share := c.s.Further
	ended := c.ended.rate(now)
	switch {
	case c.level.full() || let < letFew:
		b.Reason, share = Waits, c.s.FurtherSick
	case ended >= 1 && 1-c.served.rate(now)/ended > sickFrom:
		b.Reason, share = Failures, c.s.FurtherSick
	}
	c.share = share
	c.roll(now)
	b.Further = c.Further(now)
	return b
}

// Further says whether one more further attempt is within what the instance has by itself.
func (c *Control) Further(now monotime.Micros) bool {
	c.roll(now)
	return c.further.may(now, c.furtherMost(now))
}

// furtherMost is how many further attempts the latest second has earned.
func (c *Control) furtherMost(now monotime.Micros) float64 {
	return c.alone.further * c.share * float64(c.accepted.count(now, false))
}

// roll settles what a second that begins has.
func (c *Control) roll(now monotime.Micros) {
	if now/second == c.further.second {
		return
	}
	r := c.rates(now)
	c.further.roll(now, c.furtherMost(now))
	c.earned.roll(now, r.most)
	c.found.roll(now, r.least)
}

// Probe says whether a probe may go out, and takes it out of the budget: of what the instance has by itself, or else of what
// lent takes of what others lend; nil lends nothing.
func (c *Control) Probe(now monotime.Micros, lent func() bool) bool {
	c.roll(now)
	switch {
	case c.found.may(now, math.Inf(1)):
		c.found.sent.add(now)
	case c.probes.tokens < 1:
		return false
	case c.earned.may(now, math.Inf(1)):
		c.earned.sent.add(now)
		c.probes.take()
	case lent != nil && lent():
		c.probes.take()
	default:
		return false
	}
	return true
}

// rates returns what probes are bounded by.
func (c *Control) rates(now monotime.Micros) rates {
	r := rates{part: c.s.Probes, served: c.served.rate(now), least: c.s.NodeLeast * float64(c.endpoints) / float64(c.s.Instances), most: math.Inf(1), lent: c.lent}
	// The own part of the fleet's load: what is served to this instance, of what endpoints say that they serve to all.
	if all := c.serves.or(0) * float64(c.endpoints); c.s.NodeProbes > 0 && all > 0 {
		r.most = c.alone.probes * max(0, c.s.NodeProbes-c.s.NodeLeast) * float64(c.endpoints) * min(1, r.served/all)
	}
	return r
}
