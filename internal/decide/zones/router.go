package zones

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// Request is a request for which Choose decides the zone.
type Request struct {
	Group        int  // index in Settings.ZonePreferences
	Class        int  // index in Settings.ClassWeights
	OverQuota    bool // the request exceeds its tenant's quota
	RequiredZone int  // the only zone it may be sent to, because an attempt may have run there; -1 if none
}

// Reason is the reason why a request is rejected.
type Reason uint8

// The reasons. None is the reason of a request that is not rejected.
const (
	None              Reason = iota
	NoZoneUp                 // no zone of the request's preferences is up
	NoSpareCapacity          // the other zones that are up have no spare capacity for the request
	SpillLimitReached        // the fraction MaxSpillFraction of its home zone's requests already spills
	RequiredZoneDown         // the request's required zone is down
)

var reasonTexts = [...]string{
	"",
	"no zone is up",
	"the other zones have no spare capacity",
	"no more of this zone's traffic may spill",
	"the zone that may have run it is down",
}

// String returns a text that explains the reason to operators.
func (r Reason) String() string { return reasonTexts[r] }

// Decision is the zone to which a request is sent, or the rejection of the request.
type Decision struct {
	Zone       int             // -1 if the request is rejected
	Spill      bool            // the request has no required zone, and is not sent to its home zone
	Reason     Reason          // why the request is rejected, or None
	RetryAfter monotime.Micros // Retry-After of a rejected request; 0 if the client gets none
}

// Router routes requests to zones. Create one with New. It is not safe for concurrent use.
type Router struct {
	settings   Settings
	rand       hash64.Source
	classRanks []float64 // by class: fraction of the classes that have a higher priority weight
	zones      []zone
}

// New returns a router in which all zones are up, or an error if the settings are invalid.
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

// classRank returns the fraction of the classes whose priority weight is higher than weight.
func classRank(classWeights []float64, weight float64) float64 {
	higherCount := 0
	for _, otherWeight := range classWeights {
		if otherWeight > weight {
			higherCount++
		}
	}
	return float64(higherCount) / float64(len(classWeights))
}

// initialFleetLimit is the initial limit of the requests in flight to a zone from all instances together.
const initialFleetLimit = 16

// The thresholds of a zone's limiter, as fractions of the limit; concurrency.Settings describes them. They are tighter
// than the defaults, because requests that use spare capacity must hardly wait.
const (
	growThreshold   = 1.0 / 16
	shrinkThreshold = 1.0 / 8
)

// newZoneLimiter returns the limiter for this instance's requests in flight to a zone.
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

// Choose decides which zone a request is sent to, or that it is rejected. A request with a required zone is sent there
// unless the zone is down. Any other request is sent to its home zone, the first zone of its preferences, if
// admitsHomeRequest allows that. Otherwise it spills to the first of the next zones that is up and has spare capacity
// for it (admitsSpill), as long as at most the fraction MaxSpillFraction of the home zone's requests spills. If no
// other zone is up, the request is sent to its home zone unless that is down; the balancer then decides whether to send
// it.
//
// The caller lets the balancer pick an endpoint within the zone, and calls OnAttemptSent for each attempt that it sends
// to the zone, including retries.
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
		return router.rejection(SpillLimitReached)
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
	return router.rejection(reason)
}

// chooseRequired decides whether a request is sent to its required zone or rejected.
func (router *Router) chooseRequired(now monotime.Micros, zoneIndex int) Decision {
	router.updateState(now, &router.zones[zoneIndex])
	if router.zones[zoneIndex].state == Down {
		return Decision{Zone: -1, Reason: RequiredZoneDown}
	}
	return Decision{Zone: zoneIndex}
}

// meanRetryAfter is the mean Retry-After of a rejected request; the actual one has jitter.
const meanRetryAfter = second / 2

// rejection returns the decision to reject a request for a reason.
func (router *Router) rejection(reason Reason) Decision {
	return Decision{Zone: -1, Reason: reason, RetryAfter: router.jittered(meanRetryAfter)}
}

// maxOwnLoadFactor limits the requests in flight in a zone, as a multiple of the zone's learned limit. Above it, the
// zone's own requests spill. It is greater than 1, so that these may queue a little: the learned limit also shrinks
// when spill fills the zone, and then the spill must decrease before the zone's own requests are sent elsewhere.
const maxOwnLoadFactor = 3.0

// admitsHomeRequest decides whether a zone admits one more of its own requests. A zone that is up admits requests until
// maxOwnLoadFactor times its learned limit are in flight. A zone that is down admits none. A recovering zone admits its
// recovery share of the requests, evenly spaced, and only while less than that share of its learned limit, or less than
// one request, is in flight.
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

// OnAttemptSent records that an attempt was sent to a zone. It must be called for first attempts and retries alike.
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
	Duration     monotime.Micros // time from the sending of the attempt to its end
	InFlight     int             // attempts in flight in the zone when it was sent, including itself
	Served       bool            // a response was received
	InTime       bool            // a response was received within the latency objective
	Inconclusive bool            // the attempt was cancelled or never sent: no evidence of the zone's state
}

// OnAttemptEnded records the outcome of an attempt, and updates the zone's state.
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

// InFlight returns the number of this instance's attempts in flight in a zone.
func (router *Router) InFlight(zoneIndex int) int { return router.zones[zoneIndex].inFlight }

// maxJitterFraction is the largest fraction of a duration that jittered adds or subtracts.
const maxJitterFraction = 0.25

// jittered returns a random duration with mean d, so that instances with the same evidence do not act at the
// same time.
func (router *Router) jittered(d monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(d) * (1 + maxJitterFraction*(2*router.rand.Float64()-1)))
}
