package overload

import "dunlinsail/internal/monotime"

// Controller limits the load that one instance adds to the endpoints during an overload. Create it with New. It
// must not be used by several goroutines at once.
type Controller struct {
	settings                 Settings
	level                    admissionLevel
	shedding                 sheddingOrder
	retryBudget              secondBudget  // budget for attempts after the first attempt of a request
	acceptedInLastSecond     slidingWindow // accepted first attempts of the last second
	retryRatio               float64       // allowed retries per accepted first attempt, set by Bounds
	probeTokens              probeBucket   // tokens for probes, earned by accepted first attempts
	earnedProbeBudget        secondBudget  // this instance's share of MaxEndpointProbeRate
	unconditionalProbeBudget secondBudget  // this instance's share of MinEndpointProbeRate

	endpointCount     int             // number of endpoints shared with the other instances
	classDemand       []decayingRate  // by class: requests per second, without client retries
	tenantDemand      []decayingRate  // by tenant: requests per second, without client retries
	responseTimes     []movingAverage // by class: mean response time, in microseconds
	workOffered       decayingRate    // admitted and rejected work with client retries, in microseconds at an endpoint
	workAdmitted      decayingRate    // admitted work, in microseconds at an endpoint
	acceptedFirstRate decayingRate    // rate of accepted first attempts, per second
	endedFirstRate    decayingRate    // rate of ended first attempts, per second
	endpointRate      movingAverage   // mean served rate that endpoints report, in requests per second
	unleasedShares    localShares     // fractions of the budgets usable without a quota lease

	leasedProbeRate float64 // rate of probes, per second, that is leased from the fleet
}

// localShares are the fractions of its retry and probe budgets, 0 to 1, that an instance may use without a
// quota lease.
type localShares struct {
	retryBudget float64
	probeBudget float64
}

const (
	// objectiveToResponseTime is the ratio of a class's latency objective to its initial mean response time.
	objectiveToResponseTime = 5
	// initialResponseSamples is the number of samples that the initial mean response time of a class counts as.
	initialResponseSamples = 4
)

// New returns the controller of an instance that has just started, or a *setting.Error if a setting is invalid.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings:                 s,
		classDemand:              make([]decayingRate, len(s.Classes)),
		tenantDemand:             make([]decayingRate, len(s.Tenants)),
		responseTimes:            make([]movingAverage, len(s.Classes)),
		shedding:                 newSheddingOrder(s),
		retryBudget:              secondBudget{seed: s.Seed},
		earnedProbeBudget:        secondBudget{seed: s.Seed ^ 1},
		unconditionalProbeBudget: secondBudget{seed: s.Seed ^ 2},
		retryRatio:               s.OverloadedRetryRatio,
	}
	c.SetLocalShares(1, 1, 0)
	for i := range c.responseTimes {
		c.responseTimes[i] = movingAverage{
			value:   float64(s.Classes[i].LatencyObjective) / objectiveToResponseTime,
			samples: initialResponseSamples,
		}
	}
	c.level.value = 1 // no work is shed until there is evidence of an overload
	return c, nil
}

// Level returns the current admission level, minLevel to 1.
func (c *Controller) Level() float64 { return c.level.value }

// RestoreLevel sets the admission level that the instance's predecessor had at a hot restart. With the initial
// level of 1 the instance would admit too much until it has found its own level. Budgets are not restored, so
// that no budget is spent twice. A level out of range is ignored.
func (c *Controller) RestoreLevel(level float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
	}
}

// SetLocalShares sets the fractions, 0 to 1, of its retry and probe budgets that the instance may use without a
// quota lease, and the rate of probes, per second, that it currently leases.
func (c *Controller) SetLocalShares(retryBudget, probeBudget, leasedProbeRate float64) {
	c.unleasedShares = localShares{retryBudget: retryBudget, probeBudget: probeBudget}
	c.leasedProbeRate = leasedProbeRate
}

// SetEndpointCount sets the number of endpoints that the instance shares with the other instances.
func (c *Controller) SetEndpointCount(n int) { c.endpointCount = n }

// OnRequest processes the arrival of a client's request, which may raise the admission level. A client's retry
// does not count as demand. tenant is an index in Settings.Tenants, or negative for a tenant that is not listed
// there.
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

// OnAttemptSent records that an attempt was sent. The first attempt of a request counts as admitted work, each
// retry counts against the retry budget.
func (c *Controller) OnAttemptSent(now monotime.Micros, class int, firstAttempt bool) {
	if !firstAttempt {
		c.retryBudget.sentEvents.add(now)
	} else if class >= 0 && class < len(c.responseTimes) {
		c.workOffered.add(now, c.requestCost(class))
		c.workAdmitted.add(now, c.requestCost(class))
	}
}

// OnRejected records that a request was rejected before any part of it was sent. If afterAdmission is set, the
// bounds admitted the request and the balancer rejected it; this lowers the admission level.
func (c *Controller) OnRejected(now monotime.Micros, class int, afterAdmission bool) {
	if class >= 0 && class < len(c.responseTimes) {
		c.workOffered.add(now, c.requestCost(class))
	}
	if afterAdmission {
		c.level.onFailure()
	}
}

// requestCost returns the mean cost of a request of a class, in microseconds: the time that it takes at an
// endpoint.
func (c *Controller) requestCost(class int) float64 {
	return c.responseTimes[class].value
}

// Outcome is the result of an attempt, as far as it depends on load.
type Outcome uint8

// The outcomes of attempts. Responded means that the endpoint has responded.
const (
	Responded  Outcome = iota
	Overloaded         // rejected by the endpoint, or no response within the timeout
	Failed             // failed for another reason, which is no evidence of load
	Cancelled          // canceled by this instance, which is no evidence of load
)

// responseTimeWeight is the weight of one sample in the moving average of a class's response time.
const responseTimeWeight = 0.02

// OnAttemptEnded records the outcome and the response time of an attempt. first is set for the first attempt of
// a request.
func (c *Controller) OnAttemptEnded(
	now monotime.Micros, class int, firstAttempt bool, outcome Outcome, responseTime monotime.Micros,
) {
	if class < 0 || class >= len(c.settings.Classes) || outcome == Cancelled {
		return
	}
	c.startSecond(now)
	if firstAttempt {
		c.endedFirstRate.add(now, 1)
	}
	objective := float64(c.settings.Classes[class].LatencyObjective)
	switch outcome {
	case Responded:
		if firstAttempt {
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

// startSecond sets the budgets of a second, once at its start.
func (c *Controller) startSecond(now monotime.Micros) {
	if now/second == c.retryBudget.limitSecond {
		return
	}
	limits := c.probeLimits(now)
	c.retryBudget.start(now, c.retryLimit(now))
	c.earnedProbeBudget.start(now, limits.maxEarnedRate)
	c.unconditionalProbeBudget.start(now, limits.minRate)
}
