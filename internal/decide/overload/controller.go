package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

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

const (
	answerTimeWeight     = 0.02
	initialAnswerSamples = 4 // answers that the first guess of how long they take, a fifth of the aim, counts as
	endpointRateWeight   = 0.1
	maxReportFactor      = 4 // times the mean that one report counts as, at most: one that lies must not hide what all serve
)

// reportSlack is what endpoints' reports may fall short of what they serve: they are averages of a second that is over.
const reportTolerance = 1.5

const (
	sharedLevelTTL   = 2 * second // what was told of the others is taken for what holds,
	sharedLoadWeight = 0.5        // and of their load this part, beside what is seen here meanwhile
)

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
