package zones

import (
	"math"

	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

const (
	initialFleetLimit = 16  // requests in flight to a zone at first, by all instances together
	ownOverLimit      = 3.0 // times the learned limit up to which a zone's own requests do not spill
	reservedFraction  = 0.6 // of the spare capacity, kept from the lowest class
	jitter            = 0.25

	// The learned limits of zones are tighter than a Limiter's default: requests must hardly wait in spare capacity.
	growThreshold   = 1.0 / 16
	shrinkThreshold = 1.0 / 8
)

// Request is a request to be routed.
type Request struct {
	Group        int  // index in Settings.ZonePreferences
	Class        int  // index in Settings.ClassWeights
	OverShare    bool // it is over its tenant's share
	RequiredZone int  // the only zone it may go to, as an attempt may have run there; -1 is none
}

// Reason is why a request is rejected.
type Reason uint8

// The reasons.
const (
	None              Reason = iota
	NoZoneUp                 // none of its zones is up
	NoSpareCapacity          // the other zones have no spare capacity for it
	SpillLimitReached        // Settings.MaxSpillFraction of its zone's traffic spills
	RequiredZoneDown         // its required zone is down
)

var reasonTexts = [...]string{
	"",
	"no zone is up",
	"the other zones have no spare capacity",
	"no more of this zone's traffic may spill",
	"the zone that may have run it is down",
}

// String returns the reason in words.
func (r Reason) String() string { return reasonTexts[r] }

// Decision is where a request goes.
type Decision struct {
	Zone       int  // -1 is none: it is rejected
	Spill      bool // the zone is not its first one
	Reason     Reason
	RetryAfter monotime.Micros // of a request that is rejected
}

// Router routes requests to zones. Make one with New; it is for one goroutine at a time.
type Router struct {
	settings   Settings
	rand       hash64.Source
	classRanks []float64 // by class: part of the classes that has a higher priority weight
	zones      []zone
}

// New returns a router with all zones up, or the error of settings that are invalid.
func New(s Settings) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	t := &Router{settings: s, rand: hash64.Source(s.Seed), zones: make([]zone, s.Zones)}
	for _, weight := range s.ClassWeights {
		higher := 0
		for _, other := range s.ClassWeights {
			if other > weight {
				higher++
			}
		}
		t.classRanks = append(t.classRanks, float64(higher)/float64(len(s.ClassWeights)))
	}
	for i := range t.zones {
		limiter, err := concurrency.New(concurrency.Settings{
			Classes:         len(s.ClassWeights),
			Min:             s.MinInFlight,
			Max:             s.MaxInFlight,
			Initial:         min(s.MaxInFlight, max(s.MinInFlight, initialFleetLimit/s.Instances)),
			Seed:            s.Seed + uint64(i),
			GrowThreshold:   growThreshold,
			ShrinkThreshold: shrinkThreshold,
		})
		if err != nil {
			return nil, err
		}
		z := &t.zones[i]
		z.limiter = limiter
		z.nextDownTime = s.MinDownTime
		z.readyEndpoints = 1
		z.spillFactor = initialSpillFactor
	}
	return t, nil
}

// Choose returns the zone of a request. The caller has the balancer pick within it, and calls OnAttemptSent for
// each attempt it sends there, retries included.
func (t *Router) Choose(now monotime.Micros, r Request) Decision {
	if r.RequiredZone >= 0 {
		return t.chooseRequired(now, r.RequiredZone)
	}
	preferences := t.settings.ZonePreferences[r.Group]
	home := &t.zones[preferences[0]]
	home.requests.add(now)
	t.updateState(now, home)
	if t.admitsOwn(home) {
		return Decision{Zone: preferences[0]}
	}
	spillLimit := t.settings.MaxSpillFraction * home.requests.rate(now)
	if home.spilled.rate(now) >= spillLimit && len(preferences) > 1 {
		return t.reject(SpillLimitReached)
	}
	reason := NoZoneUp
	for _, number := range preferences[1:] {
		z := &t.zones[number]
		t.updateState(now, z)
		if z.state != Up {
			continue
		}
		if t.admitsSpill(z, r) {
			home.spilled.add(now)
			return Decision{Zone: number, Spill: true}
		}
		reason = NoSpareCapacity
	}
	if reason == NoZoneUp && home.state != Down {
		return Decision{Zone: preferences[0]} // there is no other zone: the balancer decides what is still sent
	}
	return t.reject(reason)
}

// chooseRequired decides on a request that may go to one zone only.
func (t *Router) chooseRequired(now monotime.Micros, number int) Decision {
	t.updateState(now, &t.zones[number])
	if t.zones[number].state == Down {
		return Decision{Zone: -1, Reason: RequiredZoneDown}
	}
	return Decision{Zone: number}
}

// reject returns the decision to reject a request, with jitter on its Retry-After.
func (t *Router) reject(reason Reason) Decision {
	return Decision{Zone: -1, Reason: reason, RetryAfter: t.jittered(second / 2)}
}

// admitsOwn reports whether a zone takes one more of its own requests.
func (t *Router) admitsOwn(z *zone) bool {
	switch z.state {
	case Down:
		return false
	case Recovering:
		// An even part of the requests, and never more in flight than that part of what is known to fit.
		z.recoveryCredit += z.recoveryShare
		if z.recoveryCredit < 1 || z.inFlight >= max(1, int(z.recoveryShare*float64(z.limiter.Limit()))) {
			z.recoveryCredit = min(z.recoveryCredit, 1)
			return false
		}
		z.recoveryCredit--
		return true
	}
	// Own requests may wait for one another a little before they spill: the learned limit also shrinks when
	// spill fills the zone, and the spill must give way first.
	return float64(z.inFlight) < ownOverLimit*float64(z.limiter.Limit())
}

// admitsSpill reports whether a zone has spare capacity for a request of another zone.
func (t *Router) admitsSpill(z *zone, r Request) bool {
	free := math.Max(0, float64(z.limiter.Limit()-(z.inFlight-z.spillInFlight)))
	spare := t.settings.MaxSpareFraction * free
	rank := t.classRanks[r.Class]
	if r.OverShare {
		rank = 1 // behind all that is within a share
	}
	spare *= (1 - reservedFraction*rank) * z.spillFactor
	if spare < 1 { // less than one request: with that probability
		return z.spillInFlight == 0 && t.rand.Float64() < spare
	}
	return float64(z.spillInFlight) < spare
}

// OnAttemptSent notes an attempt that was sent to a zone. Retries count as first attempts do.
func (t *Router) OnAttemptSent(now monotime.Micros, number int, spill bool) {
	z := &t.zones[number]
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
	Duration     monotime.Micros
	InFlight     int  // in the zone when it was sent, itself included
	Served       bool // it was answered
	InTime       bool // within its latency objective
	Inconclusive bool // it tells nothing of the zone: cancelled, or never sent
}

// OnAttemptEnded notes how an attempt ended.
func (t *Router) OnAttemptEnded(now monotime.Micros, number int, o Outcome) {
	z := &t.zones[number]
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
	t.updateState(now, z)
}

// InFlight returns how many attempts are in flight in a zone.
func (t *Router) InFlight(number int) int { return t.zones[number].inFlight }

// jittered returns a duration around d, so that instances that decide alike do not act at once.
func (t *Router) jittered(d monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(d) * (1 + jitter*(2*t.rand.Float64()-1)))
}
