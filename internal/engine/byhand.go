package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// This file holds what operators say and ask: endpoints out by hand, and figures.

// ByHand takes an endpoint out of all pools that have it, or lets it in again; at is the instant on the clock of words,
// which all who exchange them read alike. known is false for a name that nobody has: then nothing is changed, and there is
// no word. A name that is out is known whether or not a list has it.
func (x *Engine) ByHand(now monotime.Micros, name string, out bool, at monotime.Micros) (w cordon.Word, known bool) {
	for _, p := range x.pools {
		known = known || p.has(name)
	}
	if !known && !x.bans.Out(name) {
		return cordon.Word{}, false
	}
	w = cordon.Word{Name: name, Out: out, At: max(at, x.bans.Latest(name)+1)}
	x.Hear(now, w)
	return w, true
}

// Hear takes a word in that was said here or elsewhere.
func (x *Engine) Hear(now monotime.Micros, w cordon.Word) {
	x.now = now
	if !x.bans.Say(w) {
		return
	}
	x.config.Host.Log("endpoint by hand", "endpoint", w.Name, "out", w.Out)
	for _, p := range x.pools {
		if e := p.byName[w.Name]; e != nil {
			p.obey(now, w.Name, e)
		}
		p.counted()
	}
	x.pump(now)
}

// Words returns the words on endpoints by hand, for another that is to hold the same.
func (x *Engine) Words() []cordon.Word { return x.bans.Words() }

// ban has the balancer obey, and keeps in what waits for a connection.
func (p *Pool) ban(now monotime.Micros, e *Endpoint, out bool) {
	if e.banned == out {
		return
	}
	if e.banned = out; out {
		e.stopAt.Store(max(1, now))
	} else if e.state == balancer.Ready {
		e.stopAt.Store(0)
	}
	p.balancer.Ban(now, e.Number, out)
}

// has says whether the pool's list has a name.
func (p *Pool) has(name string) bool {
	if p.narrowed != nil {
		_, listed := p.narrowed.whole[name]
		return listed
	}
	return p.byName[name] != nil
}

// Figures are what an engine shows of itself, of one instant.
type Figures struct {
	Listed  int // endpoints in the lists of all pools
	Avoided int // of these, those that get nothing now by hand or by choice

	// Of the overload (package overload), where it is decided.
	Bounded bool
	Level   float64 // the lowest of all pools
	Shed    uint64  // requests turned away by it so far
	KeptIn  uint64  // probes that the budget did not let out so far

	// Of what is decided with the others of the fleet.
	Limited   bool   // tenants have limits
	OverLimit uint64 // requests beyond them so far
	Lent      bool   // a loan is in force
	Suspects  int    // classes at endpoints that are better left out, by what all have seen
}

// Figures returns them.
func (x *Engine) Figures(now monotime.Micros) (f Figures) {
	if t := x.together; t != nil {
		f.Limited, f.OverLimit, f.Suspects = slices.ContainsFunc(t.tenants, func(b string) bool { return b != "" }), t.refused, len(t.suspect)
		f.Lent = t.member.View(now).Loan > 0
	}
	for _, p := range x.pools {
		f.Listed += len(p.byName)
		if p.narrowed != nil {
			f.Listed += len(p.narrowed.whole) - len(p.byName)
		}
		if l := p.loaded; l != nil {
			if !f.Bounded || l.decided.Level < f.Level {
				f.Level = l.decided.Level
			}
			f.Bounded = true
			f.Shed += l.shed
			f.KeptIn += l.keptIn
		}
		for _, e := range p.byName {
			if p.balancer.Avoids(now, e.Number) {
				f.Avoided++
			}
		}
	}
	return f
}
