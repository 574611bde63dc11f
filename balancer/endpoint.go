package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// endpoint is the record of an endpoint.
type endpoint struct {
	Endpoint
	listed   bool // named by the list that is being applied
	cordoned bool // by SetCordon
	paused   bool // by SetPaused

	// Warm-up (warmup.go).
	isWarmingUp        bool            // as of the latest call of warmingUp
	warmupStart        monotime.Micros // instant
	warmupTokens       float64         // microseconds of work in the demand bucket
	servedTokens       float64         // microseconds of work in the served bucket
	warmupRefilledAt   monotime.Micros // instant of the latest refill of both buckets
	servedWorkAtRefill float64         // Balancer.servedWork at that instant

	// This balancer's attempts.
	inflight    int             // attempts without outcome
	streaming   int             // of these, those whose request or answer is being streamed
	lastSentAt  monotime.Micros // instant of the latest attempt
	silentSince monotime.Micros // instant of the latest answer, or of the first attempt sent after all had one

	// Probes and load reports (proberounds.go, loadreports.go).
	probing         bool            // a probe is in flight
	probedAt        monotime.Micros // instant of the latest probe
	awaitedInRound  uint32          // queue round that waits for the probe in flight; 0 is none
	rtt             ewma            // microseconds, of probes
	hasReport       bool
	reportedAt      monotime.Micros // instant of the latest load report
	reportSum       float32         // weighted sum of its figures, by which a changed report is recognized
	othersLoad      float64         // requests of other balancers at the endpoint, by the latest report
	ownLoadAtReport float64         // activeAttempts at the latest report

	// Latency, outliers and breaker.
	serviceTimeRatio      ewma            // service time per work and queue delay factor, of the warm endpoint
	serviceTimeObservedAt monotime.Micros // instant of its latest sample
	outliers              []outlierStats  // by part of the traffic (trafficParts)
	breaker               breaker
	suspicions            []float64 // by class, 0 to 1 (SetSuspicion); nil is 0 for each

	// lastForcedPass is the instant of the latest attempt that passed without regard to the chances of breaker
	// and suspicions (breakerAllows). The start of a suspicion sets it as well (SetSuspicion).
	lastForcedPass monotime.Micros
}

// outlierStats counts an endpoint's consecutive failures of a part of the traffic, and holds the ejection for
// them.
type outlierStats struct {
	consecutiveFailures int
	ejectedUntil        monotime.Micros // instant
	ejectionTime        monotime.Micros // of the latest ejection, before jitter; 0 is none since a success
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

// addToPool adds e to the end of the pool of endpoints with load reports. A full pool drops the oldest.
func (b *Balancer) addToPool(e *endpoint) {
	b.removeFromPool(e)
	if len(b.probePool) == probePoolSize {
		b.probePool = slices.Delete(b.probePool, 0, 1)
	}
	b.probePool = append(b.probePool, e)
}

// removeFromPool removes e from the pool, if it is there.
func (b *Balancer) removeFromPool(e *endpoint) {
	b.probePool = slices.DeleteFunc(b.probePool, func(other *endpoint) bool { return other == e })
}

// activeAttempts returns how many of this balancer's attempts e may be working at. A streamed attempt does
// not count: e has answered it, or has not begun with it.
func (e *endpoint) activeAttempts() float64 { return float64(e.inflight - e.streaming) }
