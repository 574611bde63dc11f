package zones

import (
	"math"

	"dunlinsail/internal/monotime"
)

// reservedFraction is the fraction of the spare capacity that requests of rank 1, the lowest priority, must leave to
// requests of higher priority. For other ranks (Router.classRanks) the fraction is multiplied by the rank.
const reservedFraction = 0.6

// admitsSpill decides whether a zone that is up admits a request that spills from another zone. It does if the zone's
// spill in flight is less than a limit: the part of the zone's learned limit that its own requests do not use, times
// MaxSpareFraction, times the fraction that is not reserved for classes with a higher priority weight, times
// spillFactor. Requests over their tenant's quota rank behind all classes. If the limit is less than 1, it is the
// probability that the request is admitted while no spill is in flight.
func (router *Router) admitsSpill(z *zone, r Request) bool {
	freeCapacity := math.Max(0, float64(z.limiter.Limit()-(z.inFlight-z.spillInFlight)))
	spillLimit := router.settings.MaxSpareFraction * freeCapacity
	rank := router.classRanks[r.Class]
	if r.OverQuota {
		rank = 1
	}
	spillLimit *= (1 - reservedFraction*rank) * z.spillFactor
	if spillLimit < 1 {
		return z.spillInFlight == 0 && router.rand.Float64() < spillLimit
	}
	return float64(z.spillInFlight) < spillLimit
}

const (
	spillInTimeThreshold = 0.95 // minimum fraction of spilled attempts in time for the spill factor to grow
	spillIncrease        = 0.05 // increment of the spill factor when it grows
	spillDecrease        = 0.6  // multiplier of the spill factor when too few spilled attempts are in time
	minSpillFactor       = 0.02
	initialSpillFactor   = 0.3
)

// observeSpill records the outcome of a spilled attempt. At the end of each window it adjusts the zone's spill factor.
// A window ends after minWindowOutcomes outcomes, or at the first outcome after windowDuration. The spill factor is
// needed because other instances also use the zone's capacity, and this instance notices that only from the outcomes of
// its spill.
func (z *zone) observeSpill(now monotime.Micros, inTime bool) {
	z.spillOutcomes++
	if inTime {
		z.spillInTime++
	}
	if z.spillOutcomes < minWindowOutcomes && now-z.spillWindowStart < windowDuration {
		return
	}
	if float64(z.spillInTime) >= spillInTimeThreshold*float64(z.spillOutcomes) {
		z.spillFactor = min(1, z.spillFactor+spillIncrease)
	} else {
		z.spillFactor = max(minSpillFactor, z.spillFactor*spillDecrease)
	}
	z.spillWindowStart = now
	z.spillInTime = 0
	z.spillOutcomes = 0
}
