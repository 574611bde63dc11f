package engine

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// text is a hash of a text.
func hashString(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// narrowed is a pool whose instance deals with a part of the list only (package subset): the whole list, and what is told
// of it to the balancer.
type subsetState struct {
	set                 *subset.Set
	endpoints           map[string]EndpointInfo    // by name
	pollsDiscovery      bool                       // discovery answers only when asked: a list that was known may be old
	hasCurrentList      bool                       // there is a list that is not
	consecutiveFailures map[string]int             // of members, failures in a row
	unhealthyUntil      map[string]monotime.Micros // those that are unwell by them, and until when that is believed
	timer               *timer                     // for the set's next step
	probeBudget         subset.TokenBucket
	onIdleConnections   func(n float64)
	initialProbeTokens  float64 // part of a probe that the bucket begins with

	openAttempts   int             // attempts without outcome
	meanInFlight   float64         // on the mean of loadSpan, with what was refused for want of room as if it had been sent (Little's law)
	meanLatency    float64         // how long an attempt that is served takes, on the mean
	loadMeasuredAt monotime.Micros // when that was counted
	loadReportedAt monotime.Micros // and told to the set
}

const (
	unhealthyAfterFailures = 3           // failures in a row make an endpoint unwell for the set: as many as the balancer ejects it for.
	unhealthyDuration      = 30 * second // It is believed for so long after the last: the balancer hardly ever asks there meanwhile
	second                 = 1_000_000

	// Own load is a mean over about as long as Finagle's aperture smooths it (5 s), shorter, since an instance may turn
	// busy within a second; and the set is told of it so often at most.
	loadSpan           = 2 * second
	loadReportInterval = second / 10

	latencyWeight = 0.05 // of one attempt in the mean of how long they take
)

func (p *Pool) initSubset(s subset.Settings, seed uint64) error {
	s.Seed = seed
	set, err := subset.New(s)
	if err != nil {
		return err
	}
	p.subset = &subsetState{set: set, endpoints: map[string]EndpointInfo{}, pollsDiscovery: p.engine.config.Site.Settings.Subscribe, consecutiveFailures: map[string]int{}, unhealthyUntil: map[string]monotime.Micros{},
		onIdleConnections: p.config.OnIdleConnections, initialProbeTokens: p.engine.rng.Float64()}
	return nil
}

// take takes news of the whole list and returns what the balancer is told in its place.
func (n *subsetState) applyUpdate(now monotime.Micros, told EndpointUpdate) EndpointUpdate {
	before := n.endpoints
	if told.Kind == balancer.ListDelta {
		before = maps.Clone(n.endpoints)
	} else {
		n.endpoints = map[string]EndpointInfo{}
	}
	for _, m := range told.Endpoints {
		if m.Name == "" || m.State == balancer.Gone {
			delete(n.endpoints, m.Name)
			continue
		}
		if m.StartedAt == 0 {
			// The balancer takes what is new to it for just started, once it has a list. Of what leaves the subset and comes
			// back that is not so: it started when it was first told.
			if old, ok := before[m.Name]; ok {
				m.StartedAt = old.StartedAt
			} else if m.StartedAt = 1; n.hasCurrentList && told.Kind != balancer.ListCached {
				m.StartedAt = now
			}
		}
		n.endpoints[m.Name] = m
	}
	n.hasCurrentList = n.hasCurrentList || told.Kind != balancer.ListCached || !n.pollsDiscovery
	maps.DeleteFunc(n.consecutiveFailures, func(name string, _ int) bool { return n.endpoints[name].Name == "" })
	maps.DeleteFunc(n.unhealthyUntil, func(name string, _ monotime.Micros) bool { return n.endpoints[name].Name == "" })
	list := make([]subset.Endpoint, 0, len(n.endpoints))
	for _, m := range n.endpoints {
		// Weights that tell of load would move the subsets with it: what is registered is not told apart from that.
		list = append(list, subset.Endpoint{ID: m.Name, Zone: int(hashString(m.Zone)), Weight: 1})
	}
	slices.SortFunc(list, func(a, b subset.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	n.set.SetEndpoints(now, list)
	for _, e := range list { // in their order: what is left to chance must not depend on a map's
		n.set.SetUnhealthy(now, e.ID, n.endpoints[e.ID].State != balancer.Ready || n.unhealthyUntil[e.ID] > now)
	}
	budgets := n.set.Budgets()
	n.probeBudget.Rate, n.probeBudget.Burst = budgets.Probes, budgets.Probes
	if n.onIdleConnections != nil && budgets.IdleConnections > 0 {
		n.onIdleConnections(budgets.IdleConnections)
	}
	out := told
	out.Endpoints = n.members()
	if out.Kind == balancer.ListDelta {
		out.Kind = balancer.ListFull
	}
	return out
}

func (n *subsetState) members() []EndpointInfo {
	var list []EndpointInfo
	for _, m := range n.set.Members() {
		list = append(list, n.endpoints[m.ID])
	}
	return list
}

// heard tells the set how an attempt at an endpoint ended.
func (p *Pool) observeEndpointHealth(now monotime.Micros, e *Endpoint, status balancer.Status, took monotime.Micros) {
	n := p.subset
	if n == nil || n.endpoints[e.Name].Name == "" {
		return
	}
	switch status {
	case balancer.OK:
		if n.meanLatency == 0 {
			n.meanLatency = float64(took)
		}
		n.meanLatency += (float64(took) - n.meanLatency) * latencyWeight
		if n.consecutiveFailures[e.Name] == 0 {
			return
		}
		delete(n.consecutiveFailures, e.Name)
		delete(n.unhealthyUntil, e.Name)
	case balancer.Cancelled, balancer.Moot:
		return
	default:
		if n.consecutiveFailures[e.Name]++; n.consecutiveFailures[e.Name] >= unhealthyAfterFailures {
			n.unhealthyUntil[e.Name] = now + unhealthyDuration
		}
	}
	n.set.SetUnhealthy(now, e.Name, n.endpoints[e.Name].State != balancer.Ready || n.unhealthyUntil[e.Name] > now)
	p.scheduleSubsetStep()
}

// opened notes attempts that were started, or that ended for a negative number.
func (n *subsetState) observeOpenAttempts(now monotime.Micros, attempts int) {
	n.meanInFlight += (float64(n.openAttempts) - n.meanInFlight) * -math.Expm1(-float64(now-n.loadMeasuredAt)/float64(loadSpan))
	n.openAttempts, n.loadMeasuredAt = n.openAttempts+attempts, now
}

// turnedAway notes a request that was turned away unsent: endpoints that have no room for it hold no more than they can, and
// what they hold would never say that the instance needs others.
func (p *Pool) observeRejection(now monotime.Micros) {
	if n := p.subset; n != nil {
		n.meanInFlight += n.meanLatency / float64(loadSpan)
		p.observeLoad(now, 0)
	}
}

// weigh tells the set of the own load.
func (p *Pool) observeLoad(now monotime.Micros, attempts int) {
	n := p.subset
	if n == nil {
		return
	}
	if n.observeOpenAttempts(now, attempts); now-n.loadReportedAt >= loadReportInterval {
		n.loadReportedAt = now
		n.set.SetLoad(now, n.meanInFlight)
		p.scheduleSubsetStep()
	}
}

// setAlarm has the set's next step made when it is due.
func (p *Pool) scheduleSubsetStep() {
	n := p.subset
	p.engine.cancelTimer(n.timer)
	n.timer = nil
	at, ok := n.set.NextStep()
	for _, until := range n.unhealthyUntil {
		if !ok || until < at {
			at, ok = until, true
		}
	}
	if ok && !p.dissolved {
		n.timer = p.engine.schedule(at, func(now monotime.Micros) {
			n.timer = nil
			n.expireUnhealthy(now)
			n.observeOpenAttempts(now, 0)
			n.set.SetLoad(now, n.meanInFlight)
			if n.set.Advance(now) && !p.dissolved {
				p.engine.config.Host.Log("subset changed", "pool", p.name, "members", len(n.set.Members()), "of", len(n.endpoints),
					"widened", n.set.Doublings())
				p.updateBalancer(now, EndpointUpdate{Kind: balancer.ListFull, Endpoints: n.members()})
			}
			p.scheduleSubsetStep()
		})
	}
}

// age believes no longer what is old: one more failure makes such an endpoint unwell again.
func (n *subsetState) expireUnhealthy(now monotime.Micros) {
	for _, name := range slices.Sorted(maps.Keys(n.unhealthyUntil)) {
		if now >= n.unhealthyUntil[name] {
			delete(n.unhealthyUntil, name)
			n.consecutiveFailures[name] = unhealthyAfterFailures - 1
			n.set.SetUnhealthy(now, name, n.endpoints[name].State != balancer.Ready)
		}
	}
}

// mayProbe says whether a probe is within what nodes have for this instance. A balancer whose probe is not sent is told
// so at once: a request may wait for its answer.
func (p *Pool) allowProbe(now monotime.Micros, number uint32) bool {
	ok := true
	if l := p.overload; l != nil && !l.control.TakeProbe(now, p.probeQuota(now)) {
		ok = false
		l.suppressedProbes++
	}
	if n := p.subset; ok && n != nil {
		ok, _ = n.probeBudget.Take(now, n.initialProbeTokens)
	}
	if !ok {
		p.engine.schedule(now, func(now monotime.Micros) {
			if !p.dissolved {
				p.balancer.Probed(now, number, balancer.Moot, 0, nil)
			}
		})
	}
	return ok
}

// Subset returns how many endpoints the instance deals with, of how many, and how often it has widened; of a pool that deals
// with all, all three say so.
func (p *Pool) Subset() (members, of, widened int) {
	if p.subset == nil {
		return len(p.byName), len(p.byName), 0
	}
	return len(p.subset.set.Members()), len(p.subset.endpoints), p.subset.set.Doublings()
}
