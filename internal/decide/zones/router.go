package zones

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// Request is a request to be routed.
type Request struct {
	Group        int  // index in Settings.ZonePreferences
	Class        int  // index in Settings.ClassWeights
	OverQuota    bool // it is over its tenant's quota
	RequiredZone int  // the only zone that it may go to, since an attempt may have run there; -1 is none
}

// Reason is why a request is rejected.
type Reason uint8

// The reasons.
const (
	None              Reason = iota
	NoZoneUp                 // none of its zones is up
	NoSpareCapacity          // the other zones that are up have no spare capacity for it
	SpillLimitReached        // Settings.MaxSpillFraction of its zone's requests spill
	RequiredZoneDown         // its required zone is down
)

var reasonTexts = [...]string{
	"",
	"no zone is up",
	"the other zones have no spare capacity",
	"no more of this zone's traffic may spill",
	"the zone that may have run it is down",
}

// String returns the reason as text for people.
func (r Reason) String() string { return reasonTexts[r] }

// Decision is where a request goes.
type Decision struct {
	Zone       int             // -1 is none: it is rejected
	Spill      bool            // the zone is not the first one of its preferences
	Reason     Reason          // of a request that is rejected
	RetryAfter monotime.Micros // of a request that is rejected; 0 is no advice
}

// Router routes requests to zones. Make one with New; it is for one goroutine at a time.
type Router struct {
	settings   Settings
	rand       hash64.Source
	classRanks []float64 // by class: part of the classes with a higher priority weight, 0 to 1
	zones      []zone
}

// New returns a router with all zones up, or an error if the settings are invalid.
func New(s Settings) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	router := &Router{settings: s, rand: hash64.Source(s.Seed), zones: make([]zone, s.Zones)}
	for _, weight := range s.ClassWeights {
		router.classRanks = append(router.classRanks, classRank(s.ClassWeights, weight))
	}
	for i := range router.zones {
		limiter, err := newZoneLimiter(&s, i)
		if err != nil {
			return nil, err
		}
		z := &router.zones[i]
		z.limiter = limiter
		z.nextDownTime = s.MinDownTime
		z.readyEndpoints = 1
		z.spillFactor = initialSpillFactor
	}
	return router, nil
}

// classRank returns the part of the classes with a priority weight higher than weight.
func classRank(classWeights []float64, weight float64) float64 {
	higher := 0
	for _, other := range classWeights {
		if other > weight {
			higher++
		}
	}
	return float64(higher) / float64(len(classWeights))
}

// initialFleetLimit is the first limit of all instances together, in requests in flight to a zone.
const initialFleetLimit = 16

// The thresholds of a zone's limit, as parts of it (concurrency.Settings). They are tighter than the defaults: requests
// must hardly wait in spare capacity.
const (
	growThreshold   = 1.0 / 16
	shrinkThreshold = 1.0 / 8
)

// newZoneLimiter returns the limiter of requests in flight to a zone.
func newZoneLimiter(s *Settings, zoneIndex int) (*concurrency.Limiter, error) {
	return concurrency.New(concurrency.Settings{
		Classes:         len(s.ClassWeights),
		Min:             s.MinInFlight,
		Max:             s.MaxInFlight,
		Initial:         min(s.MaxInFlight, max(s.MinInFlight, initialFleetLimit/s.Instances)),
		Seed:            s.Seed + uint64(zoneIndex),
		GrowThreshold:   growThreshold,
		ShrinkThreshold: shrinkThreshold,
	})
}

// Choose decides which zone a request goes to, or that it is rejected. A request with a required zone goes there
// unless it is down. Another one goes to its first zone if that admits it (admitsHomeRequest), and otherwise spills to the
// first of the next zones that is up and has spare capacity for it (admitsSpill), within MaxSpillFraction of its
// first zone's requests a second. If there is no other zone that is up, it goes to its first zone unless that is
// down: the balancer then decides what is sent.
//
// The caller has the balancer pick an endpoint within the zone, and calls OnAttemptSent for each attempt that it sends
// there, retries included.
func (router *Router) Choose(now monotime.Micros, r Request) Decision {
	if r.RequiredZone >= 0 {
		return router.chooseRequired(now, r.RequiredZone)
	}
	preferences := router.settings.ZonePreferences[r.Group]
	homeZone := &router.zones[preferences[0]]
	homeZone.homeRequests.add(now)
	router.updateState(now, homeZone)
	if router.admitsHomeRequest(homeZone) {
		return Decision{Zone: preferences[0]}
	}
	maxSpillRate := router.settings.MaxSpillFraction * homeZone.homeRequests.rate(now)
	if homeZone.spilledRequests.rate(now) >= maxSpillRate && len(preferences) > 1 {
		return router.reject(SpillLimitReached)
	}
	reason := NoZoneUp
	for _, zoneIndex := range preferences[1:] {
		z := &router.zones[zoneIndex]
		router.updateState(now, z)
		if z.state != Up {
			continue
		}
		if router.admitsSpill(z, r) {
			homeZone.spilledRequests.add(now)
			return Decision{Zone: zoneIndex, Spill: true}
		}
		reason = NoSpareCapacity
	}
	if reason == NoZoneUp && homeZone.state != Down {
		return Decision{Zone: preferences[0]}
	}
	return router.reject(reason)
}

// chooseRequired decides on a request that may go to one zone only.
func (router *Router) chooseRequired(now monotime.Micros, zoneIndex int) Decision {
	router.updateState(now, &router.zones[zoneIndex])
	if router.zones[zoneIndex].state == Down {
		return Decision{Zone: -1, Reason: RequiredZoneDown}
	}
	return Decision{Zone: zoneIndex}
}

// meanRetryAfter is the mean Retry-After of a request that is rejected.
const meanRetryAfter = second / 2

// reject returns the decision to reject a request.
func (router *Router) reject(reason Reason) Decision {
	return Decision{Zone: -1, Reason: reason, RetryAfter: router.jittered(meanRetryAfter)}
}

// maxOwnLoadFactor is the multiple of a zone's learned limit up to which its own requests are in flight before they
// spill. They may wait for one another a little: the learned limit also shrinks when spill fills the zone, and the
// spill must give way first.
const maxOwnLoadFactor = 3.0

// admitsHomeRequest decides whether a zone takes one more of its own requests: up to maxOwnLoadFactor times its learned limit of
// requests in flight if it is up; none if it is down. While it recovers it takes its share of them, evenly, and never
// has more in flight than that share of the limit.
func (router *Router) admitsHomeRequest(z *zone) bool {
	switch z.state {
	case Down:
		return false
	case Recovering:
		z.recoveryCredit += z.recoveryShare
		if z.recoveryCredit < 1 || z.inFlight >= max(1, int(z.recoveryShare*float64(z.limiter.Limit()))) {
			z.recoveryCredit = min(z.recoveryCredit, 1)
			return false
		}
		z.recoveryCredit--
		return true
	}
	return float64(z.inFlight) < maxOwnLoadFactor*float64(z.limiter.Limit())
}

// OnAttemptSent takes in an attempt that was sent to a zone. Retries count as first attempts do.
func (router *Router) OnAttemptSent(now monotime.Micros, zoneIndex int, spill bool) {
	z := &router.zones[zoneIndex]
	z.inFlight++
	if spill {
		z.spillInFlight++
	}
	if z.inFlight >= minSilentInFlight && z.outcomes.silentSince == 0 {
		z.outcomes.silentSince = now
	}
}

// Outcome is how an attempt ended.
type Outcome struct {
	Class        int
	Spill        bool
	Duration     monotime.Micros // from when it was sent to its end
	InFlight     int             // attempts in flight in the zone when it was sent, itself included
	Served       bool            // it was answered
	InTime       bool            // it was answered within its latency objective
	Inconclusive bool            // it is no evidence of the zone's state: cancelled, or never sent
}

// OnAttemptEnded takes in how an attempt ended.
func (router *Router) OnAttemptEnded(now monotime.Micros, zoneIndex int, o Outcome) {
	z := &router.zones[zoneIndex]
	z.inFlight--
	if o.Spill {
		z.spillInFlight--
	}
	if o.Inconclusive {
		return
	}
	if o.Served {
		z.outcomes.silentSince = 0
		if z.inFlight >= minSilentInFlight {
			z.outcomes.silentSince = now
		}
		z.limiter.AddSample(now, o.Class, o.Duration, o.InFlight, o.InFlight >= z.limiter.Limit())
	}
	if o.Spill {
		z.observeSpill(now, o.InTime)
	}
	z.outcomes.total++
	if o.InTime {
		z.outcomes.inTime++
	}
	router.updateState(now, z)
}

// InFlight returns how many attempts are in flight in a zone.
func (router *Router) InFlight(zoneIndex int) int { return router.zones[zoneIndex].inFlight }

// jitter is the greatest part of a duration that is added or subtracted at random.
const maxJitterFraction = 0.25

// jittered returns a random duration around d, so that instances with the same evidence do not act at once.
func (router *Router) jittered(d monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(d) * (1 + maxJitterFraction*(2*router.rand.Float64()-1)))
}
