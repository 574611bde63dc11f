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
	Zones   int
	Classes []float64 // worth of a request of each class
	Ranks   [][]int   // of each group of clients: its zones, the preferred one first

	SpillSpare   float64 // part of another zone's spare room that may be taken, over 0 to 1
	SpillTraffic float64 // part of a zone's requests that may go elsewhere, over 0 to 1
	ReturnShare  float64 // part of its requests that a zone gets at first when it is back, over 0 to 1

	Step      monotime.Micros // a step of a return is held for so long, more or less
	Away      monotime.Micros // a zone that was lost stays out for so long at least; twice as long each time it flaps
	AwayMost  monotime.Micros // but no longer than this
	Least     int             // requests in flight to a zone, bounds of what is learned
	Most      int
	Seed      uint64
	Instances int // that decide alike, this one included
}

// Validate says which setting makes no sense.
func (s *Settings) Validate() error {
	part := func(v float64) bool { return v > 0 && v <= 1 }
	switch {
	case s.Zones < 1 || s.Zones > 64:
		return fmt.Errorf("zones %d: must be in 1..64", s.Zones)
	case len(s.Classes) < 1:
		return fmt.Errorf("classes: at least one is needed")
	case len(s.Ranks) < 1:
		return fmt.Errorf("ranks: at least one group is needed")
	case !part(s.SpillSpare):
		return fmt.Errorf("spill of spare room %v: must be over 0, to 1", s.SpillSpare)
	case !part(s.SpillTraffic):
		return fmt.Errorf("spill of traffic %v: must be over 0, to 1", s.SpillTraffic)
	case !part(s.ReturnShare):
		return fmt.Errorf("share at return %v: must be over 0, to 1", s.ReturnShare)
	case s.Step < 1 || s.Away < 1 || s.AwayMost < s.Away:
		return fmt.Errorf("step %d, away %d..%d: must be positive, in order", s.Step, s.Away, s.AwayMost)
	case s.Least < 1 || s.Most < s.Least:
		return fmt.Errorf("in flight %d..%d: must be a range from 1", s.Least, s.Most)
	case s.Instances < 1:
		return fmt.Errorf("instances %d: must be at least 1", s.Instances)
	}
	for g, ranks := range s.Ranks {
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
	Up        State = iota
	Lost            // nothing goes there
	Returning       // a share of its requests goes there
)

var states = [...]string{"up", "lost", "returning"}

func (s State) String() string { return states[s] }

// Request is a request that asks where it may go.
type Request struct {
	Group  int
	Class  int
	Excess bool // it is beyond its tenant's share
	Bound  int  // the one zone that it may go to, since a copy may have run there; -1 is none
}

// Reason says why a request is turned away.
type Reason uint8

// The reasons.
const (
	None     Reason = iota
	NoZone          // none of its ranks is up
	NoSpare         // the others have no room to spare for it
	NoShare         // as much of its zone's traffic goes elsewhere as may
	BoundOut        // the one zone that it may go to is lost
)

var reasons = [...]string{"", "no zone is up", "the other zones have no room to spare", "no more of this zone's traffic may go elsewhere",
	"the zone that may have run it is lost"}

func (r Reason) String() string { return reasons[r] }

// Answer says where a request may go.
type Answer struct {
	Zone       int // -1 is nowhere: it is turned away
	Spill      bool
	Reason     Reason
	RetryAfter monotime.Micros // of one that is turned away
}

// Table decides. Make one with New.
type Table struct {
	s     Settings
	rng   uint64
	rank  []float64 // of each class: what part of all classes is worth more
	zones []zone
}

// zone is what is known of one.
type zone struct {
	state  State
	ready  int // endpoints
	limit  *concurrency.Limiter
	flight int // attempts in flight, those of others' traffic included
	guests int // of these, others' traffic

	// welcome is the part of the spare room that others' traffic may take, by how it fared: what a zone's own requests
	// need more of, this instance sees in its guests' answers only.
	welcome              float64
	guestFrom            monotime.Micros
	guestGood, guestsAll int

	share  float64         // Returning: of its requests
	owed   float64         // of the share, not yet asked for
	until  monotime.Micros // Lost: out at least until then. Returning: of the present step
	away   monotime.Micros // for how long it is out next time
	upFrom monotime.Micros

	asked  meter // requests whose first zone it is
	spilt  meter // of these, what went elsewhere
	window window
}

// window counts what came of attempts of late.
type window struct {
	from       monotime.Micros
	good, all  int
	silentFrom monotime.Micros // since when nothing has come while attempts were in flight; 0 is not so
}

// New returns a table in which all zones are up, or the error of settings that make no sense.
func New(s Settings) (*Table, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	t := &Table{s: s, rng: s.Seed, zones: make([]zone, s.Zones)}
	for _, w := range s.Classes {
		more := 0
		for _, o := range s.Classes {
			if o > w {
				more++
			}
		}
		t.rank = append(t.rank, float64(more)/float64(len(s.Classes)))
	}
	for i := range t.zones {
		z := &t.zones[i]
		l, err := concurrency.New(concurrency.Settings{Classes: len(s.Classes), Min: s.Least, Max: s.Most, Initial: min(s.Most, max(s.Least, firstOfAll/s.Instances)),
			Seed: s.Seed + uint64(i), GrowThreshold: 1.0 / 16, ShrinkThreshold: 1.0 / 8}) // what is spare must hardly wait
		if err != nil {
			return nil, err
		}
		z.limit, z.away, z.ready, z.welcome = l, s.Away, 1, guestFirst
	}
	return t, nil
}

const (
	firstOfAll  = 16 // requests in flight to a zone at first, by all instances together
	windowTime  = second / 2
	windowLeast = 8      // outcomes by which a zone is judged
	goodPart    = 0.9    // a step of a return goes on while so many are good,
	badPart     = 0.3    // and a zone is lost when no more are
	silence     = second // so many attempts in flight and no answer for so long: it is cut off
	silentLeast = 4
	growth      = 1.5
	ownOver     = 3.0
	guestGood   = 0.95 // while so many of others' requests are good, more are welcome,
	guestMore   = 0.05 // by so much a window,
	guestLess   = 0.6  // else so many times as many
	guestLeast  = 0.02
	guestFirst  = 0.3
	reserved    = 0.6         // of the spare room, kept from what is worth least
	calm        = 30 * second // up for so long, a zone's flaps are forgotten
	jitter      = 0.25
)

// Members tells how many endpoints of a zone are ready.
func (t *Table) Members(now monotime.Micros, number, ready int) {
	z := &t.zones[number]
	z.ready = ready
	if ready == 0 && z.state != Lost {
		t.lose(now, z)
	}
}

// lose takes a zone out.
func (t *Table) lose(now monotime.Micros, z *zone) {
	if z.state == Up && now-z.upFrom > calm {
		z.away = t.s.Away
	}
	z.state, z.share, z.owed = Lost, 0, 0
	z.until = now + t.spread(z.away)
	z.away = min(2*z.away, t.s.AwayMost)
	z.window = window{from: now}
}

// spread draws a time around d, so that instances that decide alike do not decide at once.
func (t *Table) spread(d monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(d) * (1 + jitter*(2*t.chance()-1)))
}

// chance returns a number in [0,1) (SplitMix64).
func (t *Table) chance() float64 {
	t.rng += 0x9e3779b97f4a7c15
	x := t.rng
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// Ask says where a request may go. The host then has the balancer pick within that zone, and tells with Sent what it
// sent there, further tries included.
func (t *Table) Ask(now monotime.Micros, r Request) Answer {
	if r.Bound >= 0 {
		t.step(now, &t.zones[r.Bound])
		if t.zones[r.Bound].state == Lost {
			return Answer{Zone: -1, Reason: BoundOut}
		}
		return Answer{Zone: r.Bound}
	}
	ranks := t.s.Ranks[r.Group]
	home := &t.zones[ranks[0]]
	home.asked.add(now)
	t.step(now, home)
	if t.admits(home) {
		return Answer{Zone: ranks[0]}
	}
	why := NoZone
	if home.spilt.rate(now) >= t.s.SpillTraffic*home.asked.rate(now) && len(ranks) > 1 {
		return t.turnAway(NoShare)
	}
	for _, number := range ranks[1:] {
		z := &t.zones[number]
		t.step(now, z)
		if z.state != Up {
			continue
		}
		if t.room(z, r) {
			home.spilt.add(now)
			return Answer{Zone: number, Spill: true}
		}
		why = NoSpare
	}
	if why == NoZone && home.state != Lost {
		return Answer{Zone: ranks[0]} // there is nowhere else: the balancer decides what is still worth sending
	}
	return t.turnAway(why)
}

// turnAway advises when to return: when the room of a few requests may be free, not all at once.
func (t *Table) turnAway(why Reason) Answer {
	return Answer{Zone: -1, Reason: why, RetryAfter: t.spread(second / 2)}
}

// admits says whether a zone takes one more of its own requests.
func (t *Table) admits(z *zone) bool {
	switch z.state {
	case Lost:
		return false
	case Returning:
		// An even part of the requests, and never more in flight than that part of what is known to fit.
		if z.owed += z.share; z.owed < 1 || z.flight >= max(1, int(z.share*float64(z.limit.Limit()))) {
			z.owed = min(z.owed, 1)
			return false
		}
		z.owed--
		return true
	}
	// Its own requests may wait for one another a little before they go elsewhere: what is learned to fit shrinks also
	// when others' traffic fills it, and that must give way first.
	return float64(z.flight) < ownOver*float64(z.limit.Limit())
}

// room says whether a zone has room to spare for a request of others' traffic.
func (t *Table) room(z *zone, r Request) bool {
	spare := t.s.SpillSpare * math.Max(0, float64(z.limit.Limit()-(z.flight-z.guests)))
	rank := t.rank[r.Class]
	if r.Excess {
		rank = 1 // after all that is within a share
	}
	spare *= (1 - reserved*rank) * z.welcome
	if spare < 1 { // less than one place: that part of the time
		return z.guests == 0 && t.chance() < spare
	}
	return float64(z.guests) < spare
}

// Sent notes an attempt that went to a zone. Further tries of a request count like first ones.
func (t *Table) Sent(now monotime.Micros, number int, spill bool) {
	z := &t.zones[number]
	z.flight++
	if spill {
		z.guests++
	}
	if z.flight >= silentLeast && z.window.silentFrom == 0 {
		z.window.silentFrom = now
	}
}

// Outcome is what came of an attempt.
type Outcome struct {
	Class    int
	Spill    bool
	Took     monotime.Micros
	InFlight int  // in the zone when it went out, itself included
	Served   bool // it was answered
	Good     bool // within the wanted time
	Nothing  bool // it says nothing of the zone: withdrawn, or never sent
}

// Done notes what came of an attempt.
func (t *Table) Done(now monotime.Micros, number int, o Outcome) {
	z := &t.zones[number]
	z.flight--
	if o.Spill {
		z.guests--
	}
	if o.Nothing {
		return
	}
	if o.Served {
		z.window.silentFrom = 0
		if z.flight >= silentLeast {
			z.window.silentFrom = now
		}
		z.limit.AddSample(now, o.Class, o.Took, o.InFlight, o.InFlight >= z.limit.Limit())
	}
	if o.Spill {
		t.fared(now, z, o.Good)
	}
	z.window.all++
	if o.Good {
		z.window.good++
	}
	t.step(now, z)
}

// fared learns from what came of a guest how many more are welcome.
func (t *Table) fared(now monotime.Micros, z *zone, good bool) {
	z.guestsAll++
	if good {
		z.guestGood++
	}
	if z.guestsAll < windowLeast && now-z.guestFrom < windowTime {
		return
	}
	if float64(z.guestGood) >= guestGood*float64(z.guestsAll) {
		z.welcome = min(1, z.welcome+guestMore)
	} else {
		z.welcome = max(guestLeast, z.welcome*guestLess)
	}
	z.guestFrom, z.guestGood, z.guestsAll = now, 0, 0
}

// InFlight returns how many attempts are in flight in a zone.
func (t *Table) InFlight(number int) int { return t.zones[number].flight }

// Zone tells what a zone is now.
func (t *Table) Zone(number int) (s State, share float64, room int) {
	z := &t.zones[number]
	switch z.state {
	case Lost:
		return Lost, 0, 0
	case Returning:
		return Returning, z.share, z.limit.Limit()
	}
	return Up, 1, z.limit.Limit()
}

// step moves a zone on by what is known now.
func (t *Table) step(now monotime.Micros, z *zone) {
	w := &z.window
	if z.state != Lost && w.silentFrom > 0 && now-w.silentFrom > silence {
		t.lose(now, z) // cut off, whatever discovery says
		return
	}
	enough := w.all >= windowLeast
	switch z.state {
	case Lost:
		if now >= z.until && z.ready > 0 {
			z.state, z.share = Returning, t.s.ReturnShare
			z.until = now + t.spread(t.s.Step)
			*w = window{from: now}
		}
	case Returning:
		part := float64(w.good) / float64(max(1, w.all))
		switch {
		case enough && part <= badPart:
			t.lose(now, z)
		case w.all > 0 && part < goodPart && (enough || now >= z.until):
			z.share = max(t.s.ReturnShare/2, z.share/2)
			z.until = now + t.spread(t.s.Step)
			*w = window{from: now}
		case now >= z.until && w.all > 0: // a step without any answer tells nothing
			if z.share *= growth; z.share >= 1 {
				z.state, z.upFrom = Up, now
			}
			z.until = now + t.spread(t.s.Step)
			*w = window{from: now, silentFrom: w.silentFrom}
		}
	case Up:
		if enough && float64(w.good) <= badPart*float64(w.all) && now-w.from >= windowTime/2 {
			t.lose(now, z)
			return
		}
		if now-w.from >= windowTime {
			*w = window{from: now, silentFrom: w.silentFrom}
		}
	}
}

// meter counts events of the last second or so.
type meter struct {
	from      monotime.Micros
	now, last float64
}

func (m *meter) slide(now monotime.Micros) {
	switch past := now - m.from; {
	case past >= 2*second:
		m.from, m.now, m.last = now, 0, 0
	case past >= second:
		m.from, m.now, m.last = m.from+second, 0, m.now
	}
}

func (m *meter) add(now monotime.Micros) {
	m.slide(now)
	m.now++
}

// rate is how many there were in the last second, the present one counted by its part.
func (m *meter) rate(now monotime.Micros) float64 {
	m.slide(now)
	return m.now + m.last*(1-float64(now-m.from)/float64(second))
}
