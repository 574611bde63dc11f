package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// Controller controls the overload of one instance. Make one with New; it is for one goroutine at a time.
type Controller struct {
	settings        Settings
	level           admissionLevel
	shedding        sheddingOrder
	retries         secondBudget  // attempts beyond a request's first
	acceptedFirst   slidingWindow // first attempts accepted
	retryRatio      float64       // of the accepted first attempts, as decided last
	probeTokens     probeBucket
	earnedProbes    secondBudget // probes earned by accepted first attempts
	discoveryProbes secondBudget // probes sent in any case, up to MinEndpointProbeRate

	endpoints    int
	classDemand  []decayingRate  // by class: requests but client retries
	tenantDemand []decayingRate  // by tenant: the same
	answerTimes  []movingAverage // by class: time of an answer, in microseconds
	workOffered  decayingRate    // work that was admitted or rejected, as time at an endpoint, client retries included
	workAdmitted decayingRate    // the admitted part of it
	servedFirst  decayingRate    // first attempts accepted
	endedFirst   decayingRate    // first attempts ended
	endpointRate movingAverage   // requests a second that an endpoint serves to all instances, as reported
	local        localShares

	borrowedProbeRate float64 // probes a second lent by other instances
}

// localShares are the parts of its budgets that an instance may use without other instances' consent, 0 to 1.
type localShares struct {
	retries float64
	probes  float64
}

const (
	answerTimeWeight     = 0.02
	initialAnswerSamples = 4 // answers that the initial estimate, a fifth of the objective, counts as
	endpointRateWeight   = 0.1

	// maxReportFactor is the multiple of the mean that one report counts as at most: a false report of one
	// endpoint must not hide what all of them serve.
	maxReportFactor = 4

	// reportTolerance is the factor by which endpoints' reports may fall short of what they serve: they are
	// averages over a second that is past.
	reportTolerance = 1.5

	sharedLevelTTL   = 2 * second // how long a shared level holds after it was received
	sharedLoadWeight = 0.5        // weight of the shared load against the local one
)

// New returns the controller of an instance that has just started, or a *setting.Error.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings:        s,
		classDemand:     make([]decayingRate, len(s.Classes)),
		tenantDemand:    make([]decayingRate, len(s.Tenants)),
		answerTimes:     make([]movingAverage, len(s.Classes)),
		shedding:        newSheddingOrder(s),
		retries:         secondBudget{seed: s.Seed},
		earnedProbes:    secondBudget{seed: s.Seed ^ 1},
		discoveryProbes: secondBudget{seed: s.Seed ^ 2},
		retryRatio:      s.OverloadedRetryRatio,
	}
	c.SetLocalShares(1, 1, 0)
	for i := range c.answerTimes {
		c.answerTimes[i] = movingAverage{float64(s.Classes[i].LatencyObjective) / 5, initialAnswerSamples}
	}
	c.level.value = 1 // nothing is shed without evidence; until there is some, the balancer's limits hold
	return c, nil
}

// Level returns the admission level in force, 1 for all work.
func (c *Controller) Level() float64 { return c.level.value }

// RestoreLevel sets the level that the instance's predecessor had at a hot restart. Otherwise the work that is
// admitted until the level is learned would come on top of what the predecessor admitted. Budgets are not
// restored, so that nothing is spent twice. Levels out of range are ignored.
func (c *Controller) RestoreLevel(level float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
	}
}

// SetLocalShares sets which parts of its retry and probe budgets, 0 to 1, the instance may use on its own. The rest is
// granted by other instances; borrowedProbeRate is how many probes a second they lend at present.
func (c *Controller) SetLocalShares(retries, probes, borrowedProbeRate float64) {
	c.local = localShares{retries: retries, probes: probes}
	c.borrowedProbeRate = borrowedProbeRate
}

// EarnedRetryRate returns the retries a second that this instance's accepted first attempts add to the fleet's
// budget, and the most that the fleet can earn by the rates that endpoints report; infinite where they report
// none.
func (c *Controller) EarnedRetryRate(now monotime.Micros) (local, fleetMax float64) {
	fleetMax = math.Inf(1)
	if reported := c.endpointRate.valueOr(0) * float64(c.endpoints); reported > 0 {
		fleetMax = c.settings.RetryRatio * reported * reportTolerance
	}
	return c.retryRatio * float64(c.acceptedFirst.count(now, false)), fleetMax
}

// MaxFleetProbeRate returns the probes a second that all instances may send together; 0 is no bound.
func (c *Controller) MaxFleetProbeRate() float64 {
	return c.settings.MaxEndpointProbeRate * float64(c.endpoints)
}

// TakeObservations returns what other instances need for a shared level: the local level, the load (see
// Bounds.Load), and the requests, and the failed ones among them, since the last call.
func (c *Controller) TakeObservations() (level, load float64, requests, failed int) {
	l := &c.level
	requests = l.requests
	failed = min(l.failed, l.requests)
	l.requests = 0
	l.failed = 0
	return l.value, l.load, requests, failed
}

// ApplySharedLevel sets the level of all instances together (SharedLevel), and the load that they see. For a while the
// instance goes by that level; without further calls it controls its own again. Values out of range are ignored.
func (c *Controller) ApplySharedLevel(now monotime.Micros, level, load float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
		c.level.sharedUntil = now + sharedLevelTTL
	}
	if load >= 0 && load <= 1 {
		c.level.load += sharedLoadWeight * (load - c.level.load)
	}
}

// SetEndpointCount sets how many endpoints the instance shares with the others.
func (c *Controller) SetEndpointCount(n int) { c.endpoints = n }

// OnRequest notes a client's request. A client's retry adds no demand. A tenant that is not in the settings is a
// negative number.
func (c *Controller) OnRequest(now monotime.Micros, class, tenant int, clientRetry bool) {
	if class < 0 || class >= len(c.classDemand) {
		return
	}
	c.startSecond(now)
	c.level.onRequest(now)
	if clientRetry {
		return
	}
	c.classDemand[class].add(now, 1)
	if tenant >= 0 && tenant < len(c.tenantDemand) {
		c.tenantDemand[tenant].add(now, 1)
	}
}

// OnAttemptSent notes that an attempt was sent; first is set for the first one of its request.
func (c *Controller) OnAttemptSent(now monotime.Micros, class int, first bool) {
	if !first {
		c.retries.sent.add(now)
	} else if class >= 0 && class < len(c.answerTimes) {
		c.workOffered.add(now, c.requestCost(class))
		c.workAdmitted.add(now, c.requestCost(class))
	}
}

// OnRejected notes that a request was rejected before anything of it was sent: by the bounds, or, where
// afterAdmission is set, by the balancer although the bounds had admitted it.
func (c *Controller) OnRejected(now monotime.Micros, class int, afterAdmission bool) {
	if class >= 0 && class < len(c.answerTimes) {
		c.workOffered.add(now, c.requestCost(class))
	}
	if afterAdmission {
		c.level.onFailure()
	}
}

// requestCost is what a request of a class costs, as time at an endpoint in microseconds.
func (c *Controller) requestCost(class int) float64 {
	return c.answerTimes[class].value
}

// Outcome is how an attempt ended, as far as that depends on load.
type Outcome uint8

// The outcomes of attempts.
const (
	Answered   Outcome = iota
	Overloaded         // rejected by the endpoint, or not answered within its timeout
	Failed             // in another way, which is no evidence of load
	Cancelled          // by this instance, which is no evidence of anything
)

// OnAttemptEnded notes how an attempt ended, and how long it took; first is set for the first one of its request.
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

// LoadReport is what an endpoint reports of its load by all instances; a figure that it does not report is negative.
type LoadReport struct {
	InFlight   float64 // requests in flight at the endpoint
	ServedRate float64 // requests served a second
}

// OnLoadReport notes an endpoint's load report. By Little's law the time that a request spends at the endpoint
// is the requests in flight over the rate served, for the requests of all instances and without knowledge of
// the endpoint's cores or of the requests' cost. Reports that cannot be true are ignored.
func (c *Controller) OnLoadReport(now monotime.Micros, report LoadReport) {
	if !(report.ServedRate >= 1) || math.IsInf(report.ServedRate, 0) {
		return // of an endpoint that serves nothing the time in flight cannot be derived
	}
	if !(report.InFlight >= 0) || math.IsInf(report.InFlight, 0) {
		return
	}
	rate := min(report.ServedRate, maxReportFactor*c.endpointRate.valueOr(report.ServedRate))
	c.endpointRate.add(rate, endpointRateWeight)
	c.level.addSample(now, report.InFlight/report.ServedRate*float64(second)/c.meanObjective(now))
}

// meanObjective is the mean latency objective over the demand, in microseconds.
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

// startSecond sets the budgets of a second that begins.
func (c *Controller) startSecond(now monotime.Micros) {
	if now/second == c.retries.currentSecond {
		return
	}
	limits := c.probeLimits(now)
	c.retries.start(now, c.retryLimit(now))
	c.earnedProbes.start(now, limits.maxEarnedRate)
	c.discoveryProbes.start(now, limits.minRate)
}
