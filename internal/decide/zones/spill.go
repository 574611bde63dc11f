package zones

import (
	"math"

	"dunlinsail/internal/monotime"
)

// reservedFraction is the part of the spare capacity that is reserved for higher classes, from the lowest class.
const reservedFraction = 0.6

// admitsSpill decides whether a zone that is up takes a request of another zone, by its spill in flight: less than
// MaxSpareFraction of the learned limit that its own requests leave, less what is reserved for classes with a higher
// priority weight, times spillFactor. Requests over their tenant's quota rank behind all classes. Less than one
// request is a chance for one.
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
	spillInTimeThreshold = 0.95 // part of the spilled requests in time from which on the spill factor grows
	spillIncrease        = 0.05 // added to the spill factor
	spillDecrease        = 0.6  // factor on the spill factor if fewer are in time
	minSpillFactor       = 0.02
	initialSpillFactor   = 0.3
)

// observeSpill takes in the outcome of a spilled request, and decides on the zone's spill factor after each window of
// minWindowOutcomes of them, or of windowDuration. The requests of other instances take capacity that this instance
// sees only by the outcomes of its spill.
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
