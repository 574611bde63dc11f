package zones

import (
	"math"

	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/monotime"
)

const (
	initialFleetLimit    = 16 // requests in flight to a zone at first, by all instances together
	windowDuration       = second / 2
	minWindowOutcomes    = 8      // outcomes by which a zone is judged
	recoverThreshold     = 0.9    // a step of a return goes on while so many are good,
	downThreshold        = 0.3    // and a zone is lost when no more are
	silenceTimeout       = second // so many attempts in flight and no answer for so long: it is cut off
	minSilentInFlight    = 4
	recoveryGrowth       = 1.5
	ownOverLimit         = 3.0
	spillInTimeThreshold = 0.95 // while so many of others' requests are good, more are welcome,
	spillIncrease        = 0.05 // by so much a window,
	spillDecrease        = 0.6  // else so many times as many
	minSpillFactor       = 0.02
	initialSpillFactor   = 0.3
	reservedFraction     = 0.6         // of the spare room, kept from what is worth least
	flapMemory           = 30 * second // up for so long, a zone's flaps are forgotten
	jitter               = 0.25
)

// Request is a request that asks where it may go.
type Request struct {
	Group        int
	Class        int
	OverShare    bool // it is beyond its tenant's share
	RequiredZone int  // the one zone that it may go to, since a copy may have run there; -1 is none
}

// Reason says why a request is turned away.
type Reason uint8

// The reasons.
const (
	None              Reason = iota
	NoZoneUp                 // none of its ranks is up
	NoSpareCapacity          // the others have no room to spare for it
	SpillLimitReached        // as much of its zone's traffic goes elsewhere as may
	RequiredZoneDown         // the one zone that it may go to is lost
)

var reasonTexts = [...]string{"", "no zone is up", "the other zones have no room to spare", "no more of this zone's traffic may go elsewhere",
	"the zone that may have run it is lost"}

func (r Reason) String() string { return reasonTexts[r] }

// Answer says where a request may go.
type Decision struct {
	Zone       int // -1 is nowhere: it is turned away
	Spill      bool
	Reason     Reason
	RetryAfter monotime.Micros // of one that is turned away
}

// Table decides. Make one with New.
type Router struct {
	settings   Settings
	randState  uint64
	classRanks []float64 // of each class: what part of all classes is worth more
	zones      []zone
}

// New returns a table in which all zones are up, or the error of settings that make no sense.
func New(s Settings) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	t := &Router{settings: s, randState: s.Seed, zones: make([]zone, s.Zones)}
	for _, w := range s.ClassWeights {
		higher := 0
		for _, o := range s.ClassWeights {
			if o > w {
				higher++
			}
		}
		t.classRanks = append(t.classRanks, float64(higher)/float64(len(s.ClassWeights)))
	}
	for i := range t.zones {
		z := &t.zones[i]
		limiter, err := concurrency.New(concurrency.Settings{Classes: len(s.ClassWeights), Min: s.MinInFlight, Max: s.MaxInFlight, Initial: min(s.MaxInFlight, max(s.MinInFlight, initialFleetLimit/s.Instances)),
			Seed: s.Seed + uint64(i), GrowThreshold: 1.0 / 16, ShrinkThreshold: 1.0 / 8}) // what is spare must hardly wait
		if err != nil {
			return nil, err
		}
		z.limiter, z.nextDownTime, z.readyEndpoints, z.spillFactor = limiter, s.MinDownTime, 1, initialSpillFactor
	}
	return t, nil
}

// Ask says where a request may go. The host then has the balancer pick within that zone, and tells with Sent what it
// sent there, further tries included.
func (t *Router) Choose(now monotime.Micros, r Request) Decision {
	if r.RequiredZone >= 0 {
		t.updateState(now, &t.zones[r.RequiredZone])
		if t.zones[r.RequiredZone].state == Down {
			return Decision{Zone: -1, Reason: RequiredZoneDown}
		}
		return Decision{Zone: r.RequiredZone}
	}
	preferences := t.settings.ZonePreferences[r.Group]
	home := &t.zones[preferences[0]]
	home.requests.add(now)
	t.updateState(now, home)
	if t.admitsOwn(home) {
		return Decision{Zone: preferences[0]}
	}
	reason := NoZoneUp
	if home.spilled.rate(now) >= t.settings.MaxSpillFraction*home.requests.rate(now) && len(preferences) > 1 {
		return t.reject(SpillLimitReached)
	}
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
		return Decision{Zone: preferences[0]} // there is nowhere else: the balancer decides what is still worth sending
	}
	return t.reject(reason)
}

// turnAway advises when to return: when the room of a few requests may be free, not all at once.
func (t *Router) reject(reason Reason) Decision {
	return Decision{Zone: -1, Reason: reason, RetryAfter: t.jittered(second / 2)}
}

// admits says whether a zone takes one more of its own requests.
func (t *Router) admitsOwn(z *zone) bool {
	switch z.state {
	case Down:
		return false
	case Recovering:
		// An even part of the requests, and never more in flight than that part of what is known to fit.
		if z.recoveryCredit += z.recoveryShare; z.recoveryCredit < 1 || z.inFlight >= max(1, int(z.recoveryShare*float64(z.limiter.Limit()))) {
			z.recoveryCredit = min(z.recoveryCredit, 1)
			return false
		}
		z.recoveryCredit--
		return true
	}
	// Its own requests may wait for one another a little before they go elsewhere: what is learned to fit shrinks also
	// when others' traffic fills it, and that must give way first.
	return float64(z.inFlight) < ownOverLimit*float64(z.limiter.Limit())
}

// room says whether a zone has room to spare for a request of others' traffic.
func (t *Router) admitsSpill(z *zone, r Request) bool {
	spare := t.settings.MaxSpareFraction * math.Max(0, float64(z.limiter.Limit()-(z.inFlight-z.spillInFlight)))
	rank := t.classRanks[r.Class]
	if r.OverShare {
		rank = 1 // after all that is within a share
	}
	spare *= (1 - reservedFraction*rank) * z.spillFactor
	if spare < 1 { // less than one place: that part of the time
		return z.spillInFlight == 0 && t.randomFloat() < spare
	}
	return float64(z.spillInFlight) < spare
}

// Sent notes an attempt that went to a zone. Further tries of a request count like first ones.
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

// Outcome is what came of an attempt.
type Outcome struct {
	Class        int
	Spill        bool
	Duration     monotime.Micros
	InFlight     int  // in the zone when it went out, itself included
	Served       bool // it was answered
	InTime       bool // within the wanted time
	Inconclusive bool // it says nothing of the zone: withdrawn, or never sent
}

// Done notes what came of an attempt.
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
		t.observeSpill(now, z, o.InTime)
	}
	z.outcomes.total++
	if o.InTime {
		z.outcomes.inTime++
	}
	t.updateState(now, z)
}

// InFlight returns how many attempts are in flight in a zone.
func (t *Router) InFlight(number int) int { return t.zones[number].inFlight }

// spread draws a time around d, so that instances that decide alike do not decide at once.
func (t *Router) jittered(d monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(d) * (1 + jitter*(2*t.randomFloat()-1)))
}

// chance returns a number in [0,1) (SplitMix64).
func (t *Router) randomFloat() float64 {
	t.randState += 0x9e3779b97f4a7c15
	x := t.randState
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
