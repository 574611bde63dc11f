package engine

import (
	"fmt"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Restore takes over the snapshot that another engine made an age ago, and returns descriptions of the parts that were
// skipped. The engine should have no open requests. A pool takes over from the one of its name, if both have their
// endpoint lists from the same source; the list itself is applied if it is not older than the pool's own, and never to
// a pool whose list is static.
func (x *Engine) Restore(now, age monotime.Micros, s *Snapshot) (skipped []string) {
	x.now = now
	x.RestoreCoordination(now, age, s.Fleet)
	for _, entry := range s.Cordons {
		x.ReceiveCordon(now, entry)
	}
	for _, p := range x.pools {
		from := s.Pool(p.name)
		if p.closed || from == nil {
			continue
		}
		if from.Source != p.source {
			skipped = append(skipped,
				fmt.Sprintf("pool %q: its list is that of %s, not of %s", p.name, from.Source, p.source))
			continue
		}
		if from.Generation >= p.generation && !p.config.StaticList {
			p.applyUpdate(now, EndpointUpdate{
				Kind:       balancer.ListCached,
				Generation: from.Generation,
				Endpoints:  from.Endpoints,
			})
		}
		for _, part := range p.restore(now, age, from) {
			if p.name != "" {
				part = fmt.Sprintf("pool %q: %s", p.name, part)
			}
			skipped = append(skipped, part)
		}
	}
	x.dispatchQueued(now)
	return skipped
}

// notFound is the index of a class or tenant that a snapshot does not have, or has with other settings.
const notFound = -1

// poolRestore is a snapshot on its way into a pool.
type poolRestore struct {
	pool *Pool
	from *PoolSnapshot
	// learned is the state that the balancer restores: the snapshot's, in the order of the pool's own classes,
	// tenants and endpoints.
	learned balancer.LearnedState
	// indices are, for each of the pool's classes and then for each of its tenants, the index in the snapshot, or
	// notFound. A tenant's index is offset by the number of the snapshot's classes, as in
	// balancer.LearnedEndpoint.PartOutliers.
	indices []int
	skipped []string
}

// restore takes over what a pool of another engine had learned, and returns descriptions of the parts that were
// skipped.
func (p *Pool) restore(now, age monotime.Micros, from *PoolSnapshot) (skipped []string) {
	learned := from.Learned
	if learned == nil || len(from.LearnedNames) != len(learned.Endpoints) || len(learned.Classes) != len(from.Classes) {
		return []string{"all that was learned"}
	}
	if p.overload != nil && from.OverloadLevel > 0 {
		p.overload.control.RestoreLevel(from.OverloadLevel)
	}
	r := &poolRestore{pool: p, from: from, learned: *learned}
	r.learned.Classes = nil
	r.learned.Endpoints = nil
	r.learned.TenantRates = nil
	r.classes()
	r.tenants()
	r.endpoints()
	p.balancer.Restore(now, age, &r.learned)
	if p.concurrency != nil {
		p.concurrency.Restore(now, from.ConcurrencyLimit, r.unloadedLatency())
	}
	return r.skipped
}

// classes restores what was learned of classes with the same settings.
func (r *poolRestore) classes() {
	site := r.pool.engine.config.Site
	for i, name := range site.Classes {
		index := slices.IndexFunc(r.from.Classes, func(c LearnedClass) bool {
			return c.Name == name && c.Fingerprint == classFingerprint(&site.Settings.Classes[i])
		})
		r.indices = append(r.indices, index)
		if index == notFound {
			r.skipped = append(r.skipped, "class "+name)
			r.learned.Classes = append(r.learned.Classes, balancer.LearnedClass{})
			continue
		}
		r.learned.Classes = append(r.learned.Classes, r.from.Learned.Classes[index])
		r.pool.queue.RestoreServiceTime(i, r.from.Classes[index].ServiceTimes)
	}
}

// tenants restores the rates of tenants with the same settings.
func (r *poolRestore) tenants() {
	site := r.pool.engine.config.Site
	for i, name := range site.Tenants {
		index := slices.IndexFunc(r.from.Tenants, func(t LearnedTenant) bool {
			return t.Name == name && t.Fingerprint == tenantFingerprint(&site.Settings.Tenants[i])
		})
		rate := 0.0
		if index != notFound && index < len(r.from.Learned.TenantRates) {
			rate = r.from.Learned.TenantRates[index]
		}
		r.learned.TenantRates = append(r.learned.TenantRates, rate)
		if index == notFound {
			r.skipped = append(r.skipped, "tenant "+name)
		} else {
			index += len(r.from.Classes)
		}
		r.indices = append(r.indices, index)
	}
}

// endpoints restores what was learned of endpoints that are still listed.
func (r *poolRestore) endpoints() {
	for i, learned := range r.from.Learned.Endpoints {
		e := r.pool.byName[r.from.LearnedNames[i]]
		if e == nil {
			continue // gone since
		}
		learned.ID = e.Number
		parts := make([]balancer.LearnedOutlier, len(r.indices))
		for k, index := range r.indices {
			if index != notFound && index < len(learned.PartOutliers) {
				parts[k] = learned.PartOutliers[index]
			}
		}
		learned.PartOutliers = parts
		r.learned.Endpoints = append(r.learned.Endpoints, learned)
	}
}

// unloadedLatency returns the latencies of the pool's classes, 0 for those that were skipped.
func (r *poolRestore) unloadedLatency() []float64 {
	names := r.pool.engine.config.Site.Classes
	latency := make([]float64, len(names))
	for i, name := range names {
		if r.indices[i] != notFound {
			latency[i] = r.from.UnloadedLatency[name]
		}
	}
	return latency
}
