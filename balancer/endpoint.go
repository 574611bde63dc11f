package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// assumedCores is how many requests an endpoint is assumed to work at side by side.
const assumedCores = 2.0

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed   bool // named by the list being read
	cordoned bool // SetCordon
	paused   bool // SetPaused

	isWarmingUp        bool // as of the latest call of warmingUp
	warmupStart        monotime.Micros
	warmupTokens       float64 // work that it may get, by this balancer's demand
	warmupRefilledAt   monotime.Micros
	servedTokens       float64 // work that it may get, by what this balancer was served
	servedWorkAtRefill float64

	inflight    int             // own attempts without outcome
	streaming   int             // of these, those on which bytes flow
	lastSentAt  monotime.Micros // latest own attempt
	silentSince monotime.Micros // its latest answer, or the first attempt in flight after none was

	probing         bool
	probedAt        monotime.Micros
	awaitedInRound  uint32 // the queue round that waits for its probe; 0 is none
	rtt             ewma   // of probes
	hasReport       bool
	reportedAt      monotime.Micros // latest load report
	reportSum       float32         // of its figures, to see whether they change
	othersLoad      float64         // load by other balancers in it
	ownLoadAtReport float64

	serviceTimeRatio      ewma // service time per work and queue delay factor, once warm
	serviceTimeObservedAt monotime.Micros
	outliers              []outlierStats // by part of the traffic (trafficParts)
	breaker               breaker
	suspicions            []float64 // by class: chance of being left out (SetSuspicion); nil is 0
}

// outlierStats counts an endpoint's consecutive failures of a part of the traffic.
type outlierStats struct {
	consecutiveFailures int
	ejectedUntil        monotime.Micros
	ejectionTime        monotime.Micros // of the latest ejection
	trialPending        bool            // an attempt since the latest ejection has no outcome yet
}

// resetEndpoint drops what was learned of an endpoint's earlier process. Attempts and probes in flight stay.
func (b *Balancer) resetEndpoint(e *endpoint) {
	*e = endpoint{
		Endpoint:       e.Endpoint,
		cordoned:       e.cordoned,
		paused:         e.paused,
		inflight:       e.inflight,
		streaming:      e.streaming,
		probing:        e.probing,
		probedAt:       e.probedAt,
		awaitedInRound: e.awaitedInRound,
		outliers:       b.newOutliers(),
	}
}

// addToPool puts e at the end of the pool of endpoints with load reports, in place of the oldest if it is full.
func (b *Balancer) addToPool(e *endpoint) {
	b.removeFromPool(e)
	if len(b.probePool) == probePoolSize {
		b.probePool = slices.Delete(b.probePool, 0, 1)
	}
	b.probePool = append(b.probePool, e)
}

func (b *Balancer) removeFromPool(e *endpoint) {
	b.probePool = slices.DeleteFunc(b.probePool, func(other *endpoint) bool { return other == e })
}

// isEligible says whether e may get anything new.
func (e *endpoint) isEligible() bool { return e.State == Ready && !e.cordoned && !e.paused }

// isEjected says whether e is ejected for all traffic.
func (e *endpoint) isEjected(now monotime.Micros) bool {
	return now < e.outliers[allTraffic].ejectedUntil
}

// isAvoided says whether this balancer itself keeps all requests from e.
func (e *endpoint) isAvoided(now monotime.Micros) bool {
	return e.cordoned || e.paused || e.isEjected(now)
}

// ShouldAvoid says whether an endpoint gets nothing by this balancer's own choice: cordoned, paused or ejected.
func (b *Balancer) ShouldAvoid(now monotime.Micros, id uint32) bool {
	e := b.endpointsByID[id]
	return e != nil && e.isAvoided(now)
}

// IsEjected says whether an endpoint is ejected for its failures, for all traffic.
func (b *Balancer) IsEjected(now monotime.Micros, id uint32) bool {
	e := b.endpointsByID[id]
	return e != nil && e.isEjected(now)
}

// activeAttempts is how many of our attempts e may be working at: not those on which bytes flow, which it has
// answered or not begun with.
func (e *endpoint) activeAttempts() float64 { return float64(e.inflight - e.streaming) }

// warmingUp says whether e still warms up.
func (e *endpoint) warmingUp(now monotime.Micros, b *Balancer) bool {
	if e.isWarmingUp && now-e.warmupStart >= b.settings.Contract.WarmupTime {
		e.isWarmingUp = false
	}
	return e.isWarmingUp
}

// capacityFraction is the least part of its capacity that e has by now.
func (e *endpoint) capacityFraction(now monotime.Micros, b *Balancer) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	start := b.settings.Contract.WarmupStartCapacity
	return start + (1-start)*float64(now-e.warmupStart)/float64(b.settings.Contract.WarmupTime)
}

// suspicion is the chance by which other balancers have e left out for a class.
func (e *endpoint) suspicion(class int) float64 {
	if e.suspicions == nil {
		return 0
	}
	return e.suspicions[class]
}
