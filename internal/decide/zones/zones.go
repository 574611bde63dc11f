// Package zones decides which zone a request may go to: the first of its ranks while that suffices, the next ones with
// as much as it lacks and no more than they can spare, and a zone that comes back in steps. It knows zones by number,
// what was sent there and what came of it; it knows nothing of endpoints, which the balancer picks within the zone that
// is open, nor of sockets. It is a deterministic state machine for one caller at a time.
//
// What a zone can do is not told by the number of its endpoints. It is learned as in package concurrency: how many requests of
// this instance may be in flight there before they only wait for one another. What is left of that is the zone's spare
// room, of which others' traffic may take a stated part. Of the requests that compete for it those of more worth have
// the more room to themselves (trunk reservation, as telephone exchanges have had it: Akinpelu, "The overload performance
// of engineered networks with nonhierarchical and hierarchical routing", BSTJ 1984): so what is worth least is turned
// away first, and nothing need be known of what will come.
package zones

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Table needs.
type Settings struct {
	Zones           int
	ClassWeights    []float64 // worth of a request of each class
	ZonePreferences [][]int   // of each group of clients: its zones, the preferred one first

	MaxSpareFraction     float64 // part of another zone's spare room that may be taken, over 0 to 1
	MaxSpillFraction     float64 // part of a zone's requests that may go elsewhere, over 0 to 1
	InitialRecoveryShare float64 // part of its requests that a zone gets at first when it is back, over 0 to 1

	RecoveryStep monotime.Micros // a step of a return is held for so long, more or less
	MinDownTime  monotime.Micros // a zone that was lost stays out for so long at least; twice as long each time it flaps
	MaxDownTime  monotime.Micros // but no longer than this
	MinInFlight  int             // requests in flight to a zone, bounds of what is learned
	MaxInFlight  int
	Seed         uint64
	Instances    int // that decide alike, this one included
}

// Validate says which setting makes no sense.
func (s *Settings) Validate() error {
	part := func(v float64) bool { return v > 0 && v <= 1 }
	switch {
	case s.Zones < 1 || s.Zones > 64:
		return fmt.Errorf("zones %d: must be in 1..64", s.Zones)
	case len(s.ClassWeights) < 1:
		return fmt.Errorf("classes: at least one is needed")
	case len(s.ZonePreferences) < 1:
		return fmt.Errorf("ranks: at least one group is needed")
	case !part(s.MaxSpareFraction):
		return fmt.Errorf("spill of spare room %v: must be over 0, to 1", s.MaxSpareFraction)
	case !part(s.MaxSpillFraction):
		return fmt.Errorf("spill of traffic %v: must be over 0, to 1", s.MaxSpillFraction)
	case !part(s.InitialRecoveryShare):
		return fmt.Errorf("share at return %v: must be over 0, to 1", s.InitialRecoveryShare)
	case s.RecoveryStep < 1 || s.MinDownTime < 1 || s.MaxDownTime < s.MinDownTime:
		return fmt.Errorf("step %d, away %d..%d: must be positive, in order", s.RecoveryStep, s.MinDownTime, s.MaxDownTime)
	case s.MinInFlight < 1 || s.MaxInFlight < s.MinInFlight:
		return fmt.Errorf("in flight %d..%d: must be a range from 1", s.MinInFlight, s.MaxInFlight)
	case s.Instances < 1:
		return fmt.Errorf("instances %d: must be at least 1", s.Instances)
	}
	for g, ranks := range s.ZonePreferences {
		seen := map[int]bool{}
		for _, z := range ranks {
			if z < 0 || z >= s.Zones || seen[z] {
				return fmt.Errorf("ranks of group %d: zone %d is none, or stands twice", g, z)
			}
			seen[z] = true
		}
		if len(ranks) == 0 {
			return fmt.Errorf("ranks of group %d: are empty", g)
		}
	}
	return nil
}

// State is what a zone is to the others.
type State uint8

// The states.
const (
	Up         State = iota
	Down             // nothing goes there
	Recovering       // a share of its requests goes there
)

var stateNames = [...]string{"up", "lost", "returning"}

func (s State) String() string { return stateNames[s] }

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

// zone is what is known of one.
type zone struct {
	state          State
	readyEndpoints int // endpoints
	limiter        *concurrency.Limiter
	inFlight       int // attempts in flight, those of others' traffic included
	spillInFlight  int // of these, others' traffic

	// welcome is the part of the spare room that others' traffic may take, by how it fared: what a zone's own requests
	// need more of, this instance sees in its guests' answers only.
	spillFactor                float64
	spillWindowStart           monotime.Micros
	spillInTime, spillOutcomes int

	recoveryShare  float64         // Returning: of its requests
	recoveryCredit float64         // of the share, not yet asked for
	until          monotime.Micros // Lost: out at least until then. Returning: of the present step
	nextDownTime   monotime.Micros // for how long it is out next time
	upSince        monotime.Micros

	requests rateMeter // requests whose first zone it is
	spilled  rateMeter // of these, what went elsewhere
	outcomes outcomeWindow
}

// window counts what came of attempts of late.
type outcomeWindow struct {
	start         monotime.Micros
	inTime, total int
	silentSince   monotime.Micros // since when nothing has come while attempts were in flight; 0 is not so
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

// Members tells how many endpoints of a zone are ready.
func (t *Router) SetReadyEndpoints(now monotime.Micros, number, ready int) {
	z := &t.zones[number]
	z.readyEndpoints = ready
	if ready == 0 && z.state != Down {
		t.markDown(now, z)
	}
}

// lose takes a zone out.
func (t *Router) markDown(now monotime.Micros, z *zone) {
	if z.state == Up && now-z.upSince > flapMemory {
		z.nextDownTime = t.settings.MinDownTime
	}
	z.state, z.recoveryShare, z.recoveryCredit = Down, 0, 0
	z.until = now + t.jittered(z.nextDownTime)
	z.nextDownTime = min(2*z.nextDownTime, t.settings.MaxDownTime)
	z.outcomes = outcomeWindow{start: now}
}

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

// fared learns from what came of a guest how many more are welcome.
func (t *Router) observeSpill(now monotime.Micros, z *zone, good bool) {
	z.spillOutcomes++
	if good {
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
	z.spillWindowStart, z.spillInTime, z.spillOutcomes = now, 0, 0
}

// InFlight returns how many attempts are in flight in a zone.
func (t *Router) InFlight(number int) int { return t.zones[number].inFlight }

// Zone tells what a zone is now.
func (t *Router) ZoneState(number int) (state State, share float64, limit int) {
	z := &t.zones[number]
	switch z.state {
	case Down:
		return Down, 0, 0
	case Recovering:
		return Recovering, z.recoveryShare, z.limiter.Limit()
	}
	return Up, 1, z.limiter.Limit()
}

// step moves a zone on by what is known now.
func (t *Router) updateState(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	if z.state != Down && outcomes.silentSince > 0 && now-outcomes.silentSince > silenceTimeout {
		t.markDown(now, z) // cut off, whatever discovery says
		return
	}
	conclusive := outcomes.total >= minWindowOutcomes
	switch z.state {
	case Down:
		if now >= z.until && z.readyEndpoints > 0 {
			z.state, z.recoveryShare = Recovering, t.settings.InitialRecoveryShare
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now}
		}
	case Recovering:
		inTimeFraction := float64(outcomes.inTime) / float64(max(1, outcomes.total))
		switch {
		case conclusive && inTimeFraction <= downThreshold:
			t.markDown(now, z)
		case outcomes.total > 0 && inTimeFraction < recoverThreshold && (conclusive || now >= z.until):
			z.recoveryShare = max(t.settings.InitialRecoveryShare/2, z.recoveryShare/2)
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now}
		case now >= z.until && outcomes.total > 0: // a step without any answer tells nothing
			if z.recoveryShare *= recoveryGrowth; z.recoveryShare >= 1 {
				z.state, z.upSince = Up, now
			}
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
		}
	case Up:
		if conclusive && float64(outcomes.inTime) <= downThreshold*float64(outcomes.total) && now-outcomes.start >= windowDuration/2 {
			t.markDown(now, z)
			return
		}
		if now-outcomes.start >= windowDuration {
			*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
		}
	}
}

// meter counts events of the last second or so.
type rateMeter struct {
	secondStart       monotime.Micros
	current, previous float64
}

func (m *rateMeter) advance(now monotime.Micros) {
	switch past := now - m.secondStart; {
	case past >= 2*second:
		m.secondStart, m.current, m.previous = now, 0, 0
	case past >= second:
		m.secondStart, m.current, m.previous = m.secondStart+second, 0, m.current
	}
}

func (m *rateMeter) add(now monotime.Micros) {
	m.advance(now)
	m.current++
}

// rate is how many there were in the last second, the present one counted by its part.
func (m *rateMeter) rate(now monotime.Micros) float64 {
	m.advance(now)
	return m.current + m.previous*(1-float64(now-m.secondStart)/float64(second))
}
