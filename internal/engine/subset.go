package engine

import (
	"maps"
	"math"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// narrowed is a pool whose instance deals with a part of the list only (package subset): the whole list, and what is told
// of it to the balancer.
type narrowed struct {
	set    *subset.Set
	whole  map[string]Member          // by name
	asked  bool                       // discovery answers only when asked: a list that was known may be old
	listed bool                       // there is a list that is not
	fails  map[string]int             // of members, failures in a row
	until  map[string]monotime.Micros // those that are unwell by them, and until when that is believed
	alarm  *alarm                     // for the set's next step
	probes subset.TokenBucket
	rest   func(n float64)
	first  float64 // part of a probe that the bucket begins with

	open   int             // attempts without outcome
	load   float64         // on the mean of loadSpan, with what was refused for want of room as if it had been sent (Little's law)
	takes  float64         // how long an attempt that is served takes, on the mean
	loadAt monotime.Micros // when that was counted
	toldAt monotime.Micros // and told to the set
}

const (
	unwellAfter = 3           // failures in a row make an endpoint unwell for the set: as many as the balancer ejects it for.
	unwellFor   = 30 * second // It is believed for so long after the last: the balancer hardly ever asks there meanwhile
	second      = 1_000_000

	// Own load is a mean over about as long as Finagle's aperture smooths it (5 s), shorter, since an instance may turn
	// busy within a second; and the set is told of it so often at most.
	loadSpan = 2 * second
	loadTold = second / 10

	takesWeight = 0.05 // of one attempt in the mean of how long they take
)

func (p *Pool) narrow(s subset.Settings, seed uint64) error {
	s.Seed = seed
	set, err := subset.New(s)
	if err != nil {
		return err
	}
	p.narrowed = &narrowed{set: set, whole: map[string]Member{}, asked: p.engine.config.Site.Settings.Subscribe, fails: map[string]int{}, until: map[string]monotime.Micros{},
		rest: p.config.Rest, first: p.engine.rng.Float64()}
	return nil
}

// take takes news of the whole list and returns what the balancer is told in its place.
func (n *narrowed) take(now monotime.Micros, told Told) Told {
	before := n.whole
	if told.Kind == balancer.ListDelta {
		before = maps.Clone(n.whole)
	} else {
		n.whole = map[string]Member{}
	}
	for _, m := range told.Members {
		if m.Name == "" || m.State == balancer.Gone {
			delete(n.whole, m.Name)
			continue
		}
		if m.Started == 0 {
			// The balancer takes what is new to it for just started, once it has a list. Of what leaves the subset and comes
			// back that is not so: it started when it was first told.
			if old, ok := before[m.Name]; ok {
				m.Started = old.Started
			} else if m.Started = 1; n.listed && told.Kind != balancer.ListCached {
				m.Started = now
			}
		}
		n.whole[m.Name] = m
	}
	n.listed = n.listed || told.Kind != balancer.ListCached || !n.asked
	maps.DeleteFunc(n.fails, func(name string, _ int) bool { return n.whole[name].Name == "" })
	maps.DeleteFunc(n.until, func(name string, _ monotime.Micros) bool { return n.whole[name].Name == "" })
	list := make([]subset.Endpoint, 0, len(n.whole))
	for _, m := range n.whole {
		// Weights that tell of load would move the subsets with it: what is registered is not told apart from that.
		list = append(list, subset.Endpoint{ID: m.Name, Zone: int(text(m.Zone)), Weight: 1})
	}
	slices.SortFunc(list, func(a, b subset.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	n.set.SetEndpoints(now, list)
	for _, e := range list { // in their order: what is left to chance must not depend on a map's
		n.set.SetUnhealthy(now, e.ID, n.whole[e.ID].State != balancer.Ready || n.until[e.ID] > now)
	}
	budgets := n.set.Budgets()
	n.probes.Rate, n.probes.Burst = budgets.Probes, budgets.Probes
	if n.rest != nil && budgets.IdleConnections > 0 {
		n.rest(budgets.IdleConnections)
	}
	out := told
	out.Members = n.members()
	if out.Kind == balancer.ListDelta {
		out.Kind = balancer.ListFull
	}
	return out
}

func (n *narrowed) members() []Member {
	var list []Member
	for _, m := range n.set.Members() {
		list = append(list, n.whole[m.ID])
	}
	return list
}

// heard tells the set how an attempt at an endpoint ended.
func (p *Pool) heard(now monotime.Micros, e *Endpoint, status balancer.Status, took monotime.Micros) {
	n := p.narrowed
	if n == nil || n.whole[e.Name].Name == "" {
		return
	}
	switch status {
	case balancer.OK:
		if n.takes == 0 {
			n.takes = float64(took)
		}
		n.takes += (float64(took) - n.takes) * takesWeight
		if n.fails[e.Name] == 0 {
			return
		}
		delete(n.fails, e.Name)
		delete(n.until, e.Name)
	case balancer.Cancelled, balancer.Moot:
		return
	default:
		if n.fails[e.Name]++; n.fails[e.Name] >= unwellAfter {
			n.until[e.Name] = now + unwellFor
		}
	}
	n.set.SetUnhealthy(now, e.Name, n.whole[e.Name].State != balancer.Ready || n.until[e.Name] > now)
	p.setAlarm()
}

// opened notes attempts that were started, or that ended for a negative number.
func (n *narrowed) opened(now monotime.Micros, attempts int) {
	n.load += (float64(n.open) - n.load) * -math.Expm1(-float64(now-n.loadAt)/float64(loadSpan))
	n.open, n.loadAt = n.open+attempts, now
}

// turnedAway notes a request that was turned away unsent: endpoints that have no room for it hold no more than they can, and
// what they hold would never say that the instance needs others.
func (p *Pool) turnedAway(now monotime.Micros) {
	if n := p.narrowed; n != nil {
		n.load += n.takes / float64(loadSpan)
		p.weigh(now, 0)
	}
}

// weigh tells the set of the own load.
func (p *Pool) weigh(now monotime.Micros, attempts int) {
	n := p.narrowed
	if n == nil {
		return
	}
	if n.opened(now, attempts); now-n.toldAt >= loadTold {
		n.toldAt = now
		n.set.SetLoad(now, n.load)
		p.setAlarm()
	}
}

// setAlarm has the set's next step made when it is due.
func (p *Pool) setAlarm() {
	n := p.narrowed
	p.engine.callOff(n.alarm)
	n.alarm = nil
	at, ok := n.set.NextStep()
	for _, until := range n.until {
		if !ok || until < at {
			at, ok = until, true
		}
	}
	if ok && !p.gone {
		n.alarm = p.engine.at(at, func(now monotime.Micros) {
			n.alarm = nil
			n.age(now)
			n.opened(now, 0)
			n.set.SetLoad(now, n.load)
			if n.set.Advance(now) && !p.gone {
				p.engine.config.Host.Log("subset changed", "pool", p.name, "members", len(n.set.Members()), "of", len(n.whole),
					"widened", n.set.Doublings())
				p.apply(now, Told{Kind: balancer.ListFull, Members: n.members()})
			}
			p.setAlarm()
		})
	}
}

// age believes no longer what is old: one more failure makes such an endpoint unwell again.
func (n *narrowed) age(now monotime.Micros) {
	for _, name := range slices.Sorted(maps.Keys(n.until)) {
		if now >= n.until[name] {
			delete(n.until, name)
			n.fails[name] = unwellAfter - 1
			n.set.SetUnhealthy(now, name, n.whole[name].State != balancer.Ready)
		}
	}
}

// mayProbe says whether a probe is within what nodes have for this instance. A balancer whose probe is not sent is told
// so at once: a request may wait for its answer.
func (p *Pool) mayProbe(now monotime.Micros, number uint32) bool {
	ok := true
	if l := p.loaded; l != nil && !l.control.TakeProbe(now, p.lentProbe(now)) {
		ok = false
		l.keptIn++
	}
	if n := p.narrowed; ok && n != nil {
		ok, _ = n.probes.Take(now, n.first)
	}
	if !ok {
		p.engine.at(now, func(now monotime.Micros) {
			if !p.gone {
				p.balancer.Probed(now, number, balancer.Moot, 0, nil)
			}
		})
	}
	return ok
}

// Subset returns how many endpoints the instance deals with, of how many, and how often it has widened; of a pool that deals
// with all, all three say so.
func (p *Pool) Subset() (members, of, widened int) {
	if p.narrowed == nil {
		return len(p.byName), len(p.byName), 0
	}
	return len(p.narrowed.set.Members()), len(p.narrowed.whole), p.narrowed.set.Doublings()
}
