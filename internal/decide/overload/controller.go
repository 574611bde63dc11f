package overload

import "dunlinsail/internal/monotime"

// Controller controls the overload of one instance. Make one with New; it is for one goroutine at a time.
type Controller struct {
	settings             Settings
	level                admissionLevel
	shedding             sheddingOrder
	retries              secondBudget  // attempts beyond a request's first
	acceptedInLastSecond slidingWindow // first attempts accepted
	retryRatio           float64       // retries for each accepted first attempt, as the latest Bounds has it
	probeTokens          probeBucket
	earnedProbes         secondBudget // probes of the instance's own part of MaxEndpointProbeRate
	discoveryProbes      secondBudget // probes of its part of MinEndpointProbeRate, which are allowed in any case

	endpoints         int
	classDemand       []decayingRate  // by class: requests, without client retries
	tenantDemand      []decayingRate  // by tenant: requests, without client retries
	responseTimes     []movingAverage // by class: time of an answer, in microseconds
	workOffered       decayingRate    // work admitted or rejected, client retries included, in microseconds at an endpoint
	workAdmitted      decayingRate    // the admitted part of workOffered
	acceptedFirstRate decayingRate    // accepted first attempts
	endedFirstRate    decayingRate    // first attempts that ended
	endpointRate      movingAverage   // requests a second that an endpoint reports to serve to all instances
	unleasedShares    localShares

	leasedProbeRate float64 // probes a second leased from the fleet
}

// unleasedShares are the parts of its budgets that an instance may use without a lease, 0 to 1.
type localShares struct {
	retries float64
	probes  float64
}

const (
	// objectiveToResponseTime is the ratio of a class's latency objective to its initial answer time.
	objectiveToResponseTime = 5
	// initialResponseSamples is the number of answers that the initial answer time counts as.
	initialResponseSamples = 4
)

// New returns the controller of an instance that has just started, or a *setting.Error for an invalid setting.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings:        s,
		classDemand:     make([]decayingRate, len(s.Classes)),
		tenantDemand:    make([]decayingRate, len(s.Tenants)),
		responseTimes:   make([]movingAverage, len(s.Classes)),
		shedding:        newSheddingOrder(s),
		retries:         secondBudget{seed: s.Seed},
		earnedProbes:    secondBudget{seed: s.Seed ^ 1},
		discoveryProbes: secondBudget{seed: s.Seed ^ 2},
		retryRatio:      s.OverloadedRetryRatio,
	}
	c.SetLocalShares(1, 1, 0)
	for i := range c.responseTimes {
		c.responseTimes[i] = movingAverage{
			value:   float64(s.Classes[i].LatencyObjective) / objectiveToResponseTime,
			samples: initialResponseSamples,
		}
	}
	c.level.value = 1 // nothing is shed without evidence
	return c, nil
}

// Level returns the admission level in force, minLevel to 1.
func (c *Controller) Level() float64 { return c.level.value }

// RestoreLevel sets the level that the instance's predecessor had at a hot restart: with a level of 1 the instance
// would admit too much until it has learned its own. Budgets are not restored, so that nothing is spent twice. A
// level out of range is ignored.
func (c *Controller) RestoreLevel(level float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
	}
}

// SetLocalShares sets the parts, 0 to 1, of its retry and probe budgets that the instance may use without a lease, and
// the probes a second that it has leased at present.
func (c *Controller) SetLocalShares(retries, probes, leasedProbeRate float64) {
	c.unleasedShares = localShares{retries: retries, probes: probes}
	c.leasedProbeRate = leasedProbeRate
}

// SetEndpointCount sets how many endpoints the instance shares with the others.
func (c *Controller) SetEndpointCount(n int) { c.endpoints = n }

// OnRequest takes in a client's request, which may raise the level. A client's retry adds no demand. The tenant is an
// index in the settings, or negative for one that they do not have.
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

// OnAttemptSent takes in an attempt that was sent. The first one of its request counts as admitted work, each further
// one against the retry budget.
func (c *Controller) OnAttemptSent(now monotime.Micros, class int, first bool) {
	if !first {
		c.retries.sentEvents.add(now)
	} else if class >= 0 && class < len(c.responseTimes) {
		c.workOffered.add(now, c.requestCost(class))
		c.workAdmitted.add(now, c.requestCost(class))
	}
}

// OnRejected takes in a request that was rejected before anything of it was sent: by the bounds, or, if
// afterAdmission is set, by the balancer after the bounds had admitted it. The latter lowers the level.
func (c *Controller) OnRejected(now monotime.Micros, class int, afterAdmission bool) {
	if class >= 0 && class < len(c.responseTimes) {
		c.workOffered.add(now, c.requestCost(class))
	}
	if afterAdmission {
		c.level.onFailure()
	}
}

// requestCost returns the cost of a request of a class: its time at an endpoint, in microseconds.
func (c *Controller) requestCost(class int) float64 {
	return c.responseTimes[class].value
}

// Outcome is how an attempt ended, as far as that depends on load.
type Outcome uint8

// The outcomes of attempts.
const (
	Answered   Outcome = iota
	Overloaded         // rejected by the endpoint, or not answered within its timeout
	Failed             // failed in another way, which is no evidence of load
	Cancelled          // by this instance, which is no evidence
)

// responseTimeWeight is the weight of one answer in the moving average of a class's answer time.
const responseTimeWeight = 0.02

// OnAttemptEnded takes in how an attempt ended, and how long it took; first is set for the first one of its request.
func (c *Controller) OnAttemptEnded(
	now monotime.Micros, class int, first bool, outcome Outcome, responseTime monotime.Micros,
) {
	if class < 0 || class >= len(c.settings.Classes) || outcome == Cancelled {
		return
	}
	c.startSecond(now)
	if first {
		c.endedFirstRate.add(now, 1)
	}
	objective := float64(c.settings.Classes[class].LatencyObjective)
	switch outcome {
	case Answered:
		if first {
			c.acceptedFirstRate.add(now, 1)
			c.acceptedInLastSecond.add(now)
			c.probeTokens.earn(c.probeLimits(now))
		}
		c.responseTimes[class].add(float64(responseTime), responseTimeWeight)
		c.level.addSample(now, float64(responseTime)/objective)
		if float64(responseTime) > objective {
			c.level.onFailure()
		}
	case Overloaded:
		c.level.addSample(now, maxLoadSample)
		c.level.onFailure()
	}
}

// startSecond fixes the budgets of a second when it begins.
func (c *Controller) startSecond(now monotime.Micros) {
	if now/second == c.retries.limitSecond {
		return
	}
	limits := c.probeLimits(now)
	c.retries.start(now, c.retryLimit(now))
	c.earnedProbes.start(now, limits.maxEarnedRate)
	c.discoveryProbes.start(now, limits.minRate)
}
