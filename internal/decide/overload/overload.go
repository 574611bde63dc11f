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
	PriorityWeight   float64 // of one request in its aim
	LatencyObjective monotime.Micros
}

// Tenant is one of those who share the service.
type Tenant struct{ Allowance float64 } // requests a second over all instances; 0 is none

// Goal weighs what is judged: all worth, and the class served worst.
type Goal struct{ Overall, WorstClass float64 }

// Settings are an instance's. The zero value of a part is what holds where nothing is said.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverShareWeight float64 // what a tenant's request beyond its share is worth, 0 to 1
	Goal            Goal
	Instances       int // as far as told, this one included: it divides the least of probes only
	Seed            uint64

	RetryRatio           float64 // further attempts for each first one that was accepted, within any second;
	OverloadedRetryRatio float64 // and so many while work is turned away or many attempts fail
	ProbeRatio           float64 // probes for each first attempt that was accepted
	MaxEndpointProbes    float64 // probes a second that one endpoint gets of all instances together, at most
	MinEndpointProbes    float64 // and at least, so that one that recovers is found
}

// Shipped returns the budgets that hold where the operators turn this on and say no more. A fifth of further attempts is what
// a pool has without it; a twentieth under overload, since twice as many may have been accepted in the last second as are first
// ones in the next, as endpoints begin to fail, and a tenth of those is the bound. Two probes for each that was accepted are the
// two draws that a request waits for; many requests share one, so that far fewer are made. A hundred a second cost an endpoint a
// hundredth of a core at 0.1 ms each, and one a second finds it again within a second once it recovers.
func DefaultSettings() Settings {
	return Settings{RetryRatio: 0.2, OverloadedRetryRatio: 0.05, ProbeRatio: 2, MaxEndpointProbes: 100, MinEndpointProbes: 1}
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("overload: %s: %s", e.Key, e.Reason) }

func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingError{"classes", "at least one is needed"}
	}
	for i, c := range s.Classes {
		if !(c.PriorityWeight >= 0) || c.LatencyObjective <= 0 || math.IsInf(c.PriorityWeight, 0) {
			return &SettingError{fmt.Sprintf("classes.%d", i), "worth must not be negative, aim must be positive"}
		}
	}
	for _, v := range []struct {
		key  string
		v, m float64
	}{{"further", s.RetryRatio, 10}, {"further_sick", s.OverloadedRetryRatio, 10}, {"probes", s.ProbeRatio, 100}, {"node_probes", s.MaxEndpointProbes, 1e6},
		{"node_least", s.MinEndpointProbes, 1e6}, {"over_share", s.OverShareWeight, 1}, {"goal.whole", s.Goal.Overall, 1e6}, {"goal.worst_class", s.Goal.WorstClass, 1e6}} {
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
type Controller struct {
	settings        Settings
	level           admissionLevel
	shedding        sheddingOrder
	retries         secondBudget // attempts beyond a request's first
	acceptedFirst   slidingWindow
	retryRatio      float64 // of the accepted ones that further takes, as decided last
	probeTokens     probeBucket
	earnedProbes    secondBudget // probes that are earned, by the own part of the fleet's load
	discoveryProbes secondBudget // probes that go out whatever happens

	endpoints    int
	classDemand  []decayingRate  // by class: requests that are no repeats
	tenantDemand []decayingRate  // by tenant, the same
	answerTimes  []movingAverage // by class: time of an answer
	workOffered  decayingRate    // work that was decided on, in time at an endpoint, repeats included
	workAdmitted decayingRate    // of that, such as went on
	servedFirst  decayingRate    // first attempts accepted
	endedFirst   decayingRate    // first attempts ended
	endpointRate movingAverage   // requests a second that an endpoint serves for all, as it reports
	local        struct {        // the parts of what it may do by itself that are its own, whatever others say
		further, probes float64
	}
	borrowedProbeRate float64 // probes a second that others lend
}

// New returns the control of an instance that has just started, or a *SettingError.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{settings: s, classDemand: make([]decayingRate, len(s.Classes)), tenantDemand: make([]decayingRate, len(s.Tenants)), answerTimes: make([]movingAverage, len(s.Classes)),
		shedding: newSheddingOrder(s), retries: secondBudget{seed: s.Seed}, earnedProbes: secondBudget{seed: s.Seed ^ 1}, discoveryProbes: secondBudget{seed: s.Seed ^ 2}, retryRatio: s.OverloadedRetryRatio}
	c.SetLocalShares(1, 1, 0)
	for i := range c.answerTimes {
		c.answerTimes[i] = movingAverage{float64(s.Classes[i].LatencyObjective) / 5, initialAnswerSamples}
	}
	c.level.value = 1 // what an instance has not seen it does not turn away; the balancer's limits hold meanwhile
	return c, nil
}

// Level returns the level that holds, 1 for all work.
func (c *Controller) Level() float64 { return c.level.value }

// Begin has a control that takes over from another begin at its level: what it would let in until it had learned that
// comes on top of what the other has let in. Budgets are not taken over: nothing is spent twice.
func (c *Controller) RestoreLevel(level float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
	}
}

// Alone says that of further attempts and of probes the instance has these parts by itself. The rest of what the fleet has is
// lent to it by others, so many probes a second for now.
func (c *Controller) SetLocalShares(retries, probes, borrowedProbeRate float64) {
	c.local.further, c.local.probes, c.borrowedProbeRate = retries, probes, borrowedProbeRate
}

// Earns returns what further attempts a second this instance's accepted first ones add to what all have, and the most that
// all can add by what endpoints report; infinite where they report nothing.
func (c *Controller) EarnedRetryRate(now monotime.Micros) (local, fleetMax float64) {
	fleetMax = math.Inf(1)
	if reported := c.endpointRate.valueOr(0) * float64(c.endpoints); reported > 0 {
		fleetMax = c.settings.RetryRatio * reported * reportTolerance
	}
	return c.retryRatio * float64(c.acceptedFirst.count(now, false)), fleetMax
}

// reportSlack is what endpoints' reports may fall short of what they serve: they are averages of a second that is over.
const reportTolerance = 1.5

// Probes returns how many probes a second all instances have together; 0 is that there is no such number.
func (c *Controller) FleetProbeRate() float64 {
	return c.settings.MaxEndpointProbes * float64(c.endpoints)
}

// Evidence returns what others should know of: the level, the part of their aim that requests spend at endpoints, and, since
// it was called last, the requests that came and such as went on in vain.
func (c *Controller) TakeObservations() (level, load float64, requests, failed int) {
	l := &c.level
	requests, failed = l.requests, min(l.failed, l.requests)
	l.requests, l.failed = 0, 0
	return l.value, l.load, requests, failed
}

// Others tells at what level all instances are together (Joint), and what part of their aim requests spend at endpoints. For a
// while the instance goes by that, and moves its level by itself again where nothing more is told.
func (c *Controller) ApplySharedLevel(now monotime.Micros, level, load float64) {
	if level >= minLevel && level <= 1 {
		c.level.value, c.level.sharedUntil = level, now+sharedLevelTTL
	}
	if load >= 0 && load <= 1 {
		c.level.load += sharedLoadWeight * (load - c.level.load)
	}
}

const (
	sharedLevelTTL   = 2 * second // what was told of the others is taken for what holds,
	sharedLoadWeight = 0.5        // and of their load this part, beside what is seen here meanwhile
)

// Endpoints tells how many endpoints the instance shares with the others.
func (c *Controller) SetEndpointCount(n int) { c.endpoints = n }

// Asked tells of a client's request. A repeat of one that the client asked for before is no new worth. A tenant that is
// none of the settings' is a negative number.
func (c *Controller) OnRequest(now monotime.Micros, class, tenant int, repeat bool) {
	if class < 0 || class >= len(c.classDemand) {
		return
	}
	c.startSecond(now)
	c.level.onRequest(now)
	if repeat {
		return
	}
	c.classDemand[class].add(now, 1)
	if tenant >= 0 && tenant < len(c.tenantDemand) {
		c.tenantDemand[tenant].add(now, 1)
	}
}

// Sent tells that an attempt has gone out; first says that it is its request's first.
func (c *Controller) OnAttemptSent(now monotime.Micros, class int, first bool) {
	if !first {
		c.retries.sent.add(now)
	} else if class >= 0 && class < len(c.answerTimes) {
		c.workOffered.add(now, c.requestCost(class))
		c.workAdmitted.add(now, c.requestCost(class))
	}
}

// Away tells that a request was turned away unsent: by the bounds, or by the balancer although they had let it in.
func (c *Controller) OnRejected(now monotime.Micros, class int, admitted bool) {
	if class >= 0 && class < len(c.answerTimes) {
		c.workOffered.add(now, c.requestCost(class))
	}
	if admitted {
		c.level.onFailure()
	}
}

// work is what a request of a class costs, as time at an endpoint.
func (c *Controller) requestCost(class int) float64 {
	return c.answerTimes[class].value
}

// Ending is how an attempt ended.
type Outcome uint8

// The ways in which an attempt ends, as far as they tell of load.
const (
	Answered   Outcome = iota
	Overloaded         // turned away by the endpoint, or no answer in its time
	Failed             // failed in another way, which tells nothing of load
	Cancelled          // by ourselves: tells nothing
)

// Ended tells of an attempt's end; first says that it was its request's first.
func (c *Controller) OnAttemptEnded(now monotime.Micros, class int, first bool, outcome Outcome, took monotime.Micros) {
	if class < 0 || class >= len(c.settings.Classes) || outcome == Cancelled {
		return
	}
	c.startSecond(now)
	if first {
		c.endedFirst.add(now, 1)
	}
	objective := float64(c.settings.Classes[class].LatencyObjective)
	switch outcome {
	case Answered:
		if first {
			c.servedFirst.add(now, 1)
			c.acceptedFirst.add(now)
			c.probeTokens.earn(c.probeLimits(now))
		}
		c.answerTimes[class].add(float64(took), answerTimeWeight)
		c.level.addSample(now, float64(took)/objective)
		if float64(took) > objective {
			c.level.onFailure()
		}
	case Overloaded:
		c.level.addSample(now, maxLoadSample)
		c.level.onFailure()
	}
}

// Load is what an endpoint reports of its whole load; what it does not report is negative.
type LoadReport struct {
	InFlight   float64 // requests that it holds
	ServedRate float64 // requests served a second
}

// Reported tells what an endpoint reports. By Little's law the time that a request spends there is what it holds over what
// it serves a second: that holds for all instances' requests, without knowing its cores or the requests' work. What makes no
// sense is passed over.
func (c *Controller) OnLoadReport(now monotime.Micros, report LoadReport) {
	if !(report.ServedRate >= 1) || math.IsInf(report.ServedRate, 0) || !(report.InFlight >= 0) || math.IsInf(report.InFlight, 0) {
		return // an endpoint that serves nothing tells nothing of how long it takes
	}
	c.endpointRate.add(min(report.ServedRate, maxReportFactor*c.endpointRate.valueOr(report.ServedRate)), endpointRateWeight)
	c.level.addSample(now, report.InFlight/report.ServedRate*float64(second)/c.meanObjective(now))
}

// aim is the mean aim of what is asked for, in microseconds.
func (c *Controller) meanObjective(now monotime.Micros) float64 {
	var sum, n float64
	for i := range c.classDemand {
		r := c.classDemand[i].rate(now)
		sum += r * float64(c.settings.Classes[i].LatencyObjective)
		n += r
	}
	if n == 0 {
		return float64(c.settings.Classes[0].LatencyObjective)
	}
	return sum / n
}

const (
	answerTimeWeight     = 0.02
	initialAnswerSamples = 4 // answers that the first guess of how long they take, a fifth of the aim, counts as
	endpointRateWeight   = 0.1
	maxReportFactor      = 4 // times the mean that one report counts as, at most: one that lies must not hide what all serve
)

// Reason says why something is bounded, for logs and figures.
type Reason uint8

// The reasons.
const (
	None               Reason = iota // nothing is
	EndpointsSaturated               // endpoints' requests take too large a part of their aim
	AttemptsFailing                  // many attempts fail
)

// String names the reason.
func (r Reason) String() string {
	return [...]string{"none", "endpoints are full", "many attempts fail"}[r]
}

// Bounds is what is decided, as of an instant.
type Bounds struct {
	Level                  float64   // 1: all work goes on; towards 0 ever less does
	AdmitRatio             []float64 // by class, the part of the requests that goes on
	ExcessAdmitRatio       []float64 // the same of what tenants ask beyond their share
	WithinShareRatio       []float64 // by tenant, the part of its requests that lies within its share
	RepeatAdmitRatio       float64   // of what goes on by that, the part of the requests that say that they repeat an earlier one
	QueueWaitFraction      []float64 // by class, the part of what its aim leaves that a request may wait at an endpoint
	FloorQueueWaitFraction float64   // the same of what ranks first, whatever its class,
	FloorRatio             float64   // which is this part of the requests

	RetryAllowed        bool            // one more further attempt may go out
	ProbeRate           float64         // probes a second that there is room for
	ForcedAdmitInterval monotime.Micros // one request of a class may go on against its limit after so long: a wrong guess must not feed itself

	Load          float64 // the part of its aim that a request spends at an endpoint
	AdmittedRatio float64 // the part of what was asked for that went on lately
	Reason        Reason
}

const (
	// The part of first attempts whose failing makes further ones few: beyond it the others could not serve them all anyway.
	failingThreshold = 0.3
	// Below this part of its requests an instance is turning work away.
	sheddingThreshold = 0.9
	// Requests a second that may go on against their limits at one endpoint, of all instances together: an eighth or so of
	// what an endpoint of two cores serves. Were it one for each class and instance, as it is without bounds, at 300 instances
	// it would be all that they are asked for: that is what the number of instances did harm by.
	forcedAdmitRate = 4.0
)

// Bounds returns what holds now. Its lists are the control's own, until its next event.
func (c *Controller) Bounds(now monotime.Micros) Bounds {
	admitted := 1.0
	if n := c.workOffered.rate(now); n > 0 {
		admitted = min(1, c.workAdmitted.rate(now)/n)
	}
	b := Bounds{Level: c.level.value, Load: c.level.load, AdmittedRatio: admitted, ProbeRate: c.probeLimits(now).total()}
	b.AdmitRatio, b.ExcessAdmitRatio = c.shedding.ratios(b.Level, c.answerTimes)
	b.RepeatAdmitRatio = repeatRatio(b.Level)
	b.QueueWaitFraction, b.FloorQueueWaitFraction, b.FloorRatio = c.shedding.queueWaits, floorQueueWait, c.shedding.floorRatio
	b.WithinShareRatio = c.shedding.shareRatios(now, c.tenantDemand)
	b.ForcedAdmitInterval = max(second, monotime.Micros(float64(len(c.settings.Classes)*c.settings.Instances)/(forcedAdmitRate*float64(max(1, c.endpoints)))*float64(second)))
	ratio := c.settings.RetryRatio
	endedRate := c.endedFirst.rate(now)
	switch {
	case c.level.saturated() || admitted < sheddingThreshold:
		b.Reason, ratio = EndpointsSaturated, c.settings.OverloadedRetryRatio
	case endedRate >= 1 && 1-c.servedFirst.rate(now)/endedRate > failingThreshold:
		b.Reason, ratio = AttemptsFailing, c.settings.OverloadedRetryRatio
	}
	c.retryRatio = ratio
	c.startSecond(now)
	b.RetryAllowed = c.RetryAllowed(now)
	return b
}

// Further says whether one more further attempt is within what the instance has by itself.
func (c *Controller) RetryAllowed(now monotime.Micros) bool {
	c.startSecond(now)
	return c.retries.allows(now, c.retryLimit(now))
}

// furtherMost is how many further attempts the latest second has earned.
func (c *Controller) retryLimit(now monotime.Micros) float64 {
	return c.local.further * c.retryRatio * float64(c.acceptedFirst.count(now, false))
}

// roll settles what a second that begins has.
func (c *Controller) startSecond(now monotime.Micros) {
	if now/second == c.retries.currentSecond {
		return
	}
	r := c.probeLimits(now)
	c.retries.start(now, c.retryLimit(now))
	c.earnedProbes.start(now, r.maxEarnedRate)
	c.discoveryProbes.start(now, r.minRate)
}

// Probe says whether a probe may go out, and takes it out of the budget: of what the instance has by itself, or else of what
// lent takes of what others lend; nil lends nothing.
func (c *Controller) TakeProbe(now monotime.Micros, borrow func() bool) bool {
	c.startSecond(now)
	switch {
	case c.discoveryProbes.allows(now, math.Inf(1)):
		c.discoveryProbes.sent.add(now)
	case c.probeTokens.tokens < 1:
		return false
	case c.earnedProbes.allows(now, math.Inf(1)):
		c.earnedProbes.sent.add(now)
		c.probeTokens.take()
	case borrow != nil && borrow():
		c.probeTokens.take()
	default:
		return false
	}
	return true
}

// rates returns what probes are bounded by.
func (c *Controller) probeLimits(now monotime.Micros) probeLimits {
	limits := probeLimits{ratio: c.settings.ProbeRatio, servedRate: c.servedFirst.rate(now), minRate: c.settings.MinEndpointProbes * float64(c.endpoints) / float64(c.settings.Instances), maxEarnedRate: math.Inf(1), borrowedRate: c.borrowedProbeRate}
	// The own part of the fleet's load: what is served to this instance, of what endpoints say that they serve to all.
	if fleetRate := c.endpointRate.valueOr(0) * float64(c.endpoints); c.settings.MaxEndpointProbes > 0 && fleetRate > 0 {
		limits.maxEarnedRate = c.local.probes * max(0, c.settings.MaxEndpointProbes-c.settings.MinEndpointProbes) * float64(c.endpoints) * min(1, limits.servedRate/fleetRate)
	}
	return limits
}
