package engine

import (
	"fmt"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Restore restores the snapshot of another engine, which was taken age before now, and returns descriptions of
// the parts that were skipped. The engine should have no open requests. A pool is restored from the snapshot's
// pool of the same name if both have the same list source. The endpoint list is applied only if it is not older
// than the pool's own list and the pool's list is not static.
func (eng *Engine) Restore(now, age monotime.Micros, snapshot *Snapshot) (skipped []string) {
	eng.now = now
	eng.RestoreCoordination(now, age, snapshot.Fleet)
	eng.restoreReservedIDs(now, age, snapshot.ReservedIDs)
	for _, entry := range snapshot.Cordons {
		eng.ReceiveCordon(now, entry)
	}
	for _, p := range eng.pools {
		poolSnapshot := snapshot.Pool(p.name)
		if p.closed || poolSnapshot == nil {
			continue
		}
		if poolSnapshot.Source != p.source {
			skipped = append(skipped,
				fmt.Sprintf("pool %q: its endpoint list came from source %s, not from %s",
					p.name, poolSnapshot.Source, p.source))
			continue
		}
		if poolSnapshot.Generation >= p.generation && !p.config.StaticList {
			p.applyUpdate(now, EndpointUpdate{
				Kind:       balancer.ListCached,
				Generation: poolSnapshot.Generation,
				Endpoints:  p.markKnownCells(poolSnapshot),
			})
		}
		p.balancer.ResumePolling(now)
		for _, description := range p.restore(now, age, poolSnapshot) {
			if p.name != "" {
				description = fmt.Sprintf("pool %q: %s", p.name, description)
			}
			skipped = append(skipped, description)
		}
	}
	eng.dispatchQueued(now)
	return skipped
}

// notFound is the index of a class or tenant that the snapshot does not contain, or contains with different
// settings.
const notFound = -1

// poolRestore is the state of restoring one pool from a snapshot.
type poolRestore struct {
	pool     *Pool
	snapshot *PoolSnapshot
	// learned is the state that the balancer restores: the snapshot's learned state, rearranged in the order of
	// the pool's own classes, tenants and endpoints.
	learned balancer.LearnedState
	// snapshotIndices has the index in the snapshot, or notFound, of each of the pool's classes, followed by
	// each of its tenants. Indices of tenants are offset by the number of classes in the snapshot, as in
	// balancer.LearnedEndpoint.PartOutliers.
	snapshotIndices []int
	skipped         []string
}

// restore restores the learned state of a pool of another engine, and returns descriptions of the parts that
// were skipped.
func (p *Pool) restore(now, age monotime.Micros, snapshot *PoolSnapshot) (skipped []string) {
	learned := snapshot.Learned
	if learned == nil || len(snapshot.LearnedNames) != len(learned.Endpoints) ||
		len(learned.Classes) != len(snapshot.Classes) {
		return []string{"all learned state"}
	}
	if p.overload != nil && snapshot.OverloadLevel > 0 {
		p.overload.controller.RestoreLevel(snapshot.OverloadLevel)
	}
	r := &poolRestore{pool: p, snapshot: snapshot, learned: *learned}
	r.learned.Classes = nil
	r.learned.Endpoints = nil
	r.learned.TenantRates = nil
	r.restoreClasses()
	r.restoreTenants()
	r.restoreEndpoints()
	p.balancer.Restore(now, age, &r.learned)
	if p.concurrency != nil {
		p.concurrency.Restore(now, snapshot.ConcurrencyLimit, r.unloadedLatency())
	}
	return r.skipped
}

// restoreClasses restores the learned state of classes whose settings are unchanged.
func (r *poolRestore) restoreClasses() {
	site := r.pool.engine.config.Site
	for i, name := range site.Classes {
		index := slices.IndexFunc(r.snapshot.Classes, func(c LearnedClass) bool {
			return c.Name == name && c.Fingerprint == classFingerprint(&site.Settings.Classes[i])
		})
		r.snapshotIndices = append(r.snapshotIndices, index)
		if index == notFound {
			r.skipped = append(r.skipped, "class "+name)
			r.learned.Classes = append(r.learned.Classes, balancer.LearnedClass{})
			continue
		}
		r.learned.Classes = append(r.learned.Classes, r.snapshot.Learned.Classes[index])
		r.pool.queue.requests.RestoreServiceTime(i, r.snapshot.Classes[index].ServiceTimes)
	}
}

// restoreTenants restores the request rates of tenants whose settings are unchanged.
func (r *poolRestore) restoreTenants() {
	site := r.pool.engine.config.Site
	for i, name := range site.Tenants {
		index := slices.IndexFunc(r.snapshot.Tenants, func(t LearnedTenant) bool {
			return t.Name == name && t.Fingerprint == tenantFingerprint(&site.Settings.Tenants[i])
		})
		rate := 0.0
		if index != notFound && index < len(r.snapshot.Learned.TenantRates) {
			rate = r.snapshot.Learned.TenantRates[index]
		}
		r.learned.TenantRates = append(r.learned.TenantRates, rate)
		if index == notFound {
			r.skipped = append(r.skipped, "tenant "+name)
		} else {
			index += len(r.snapshot.Classes)
		}
		r.snapshotIndices = append(r.snapshotIndices, index)
	}
}

// restoreEndpoints restores the learned state of endpoints that are still listed.
func (r *poolRestore) restoreEndpoints() {
	for i, learned := range r.snapshot.Learned.Endpoints {
		e := r.pool.byName[r.snapshot.LearnedNames[i]]
		if e == nil {
			continue // the endpoint is no longer listed
		}
		learned.ID = e.Number
		outliers := make([]balancer.LearnedOutlier, len(r.snapshotIndices))
		for part, index := range r.snapshotIndices {
			if index != notFound && index < len(learned.PartOutliers) {
				outliers[part] = learned.PartOutliers[index]
			}
		}
		learned.PartOutliers = outliers
		r.learned.Endpoints = append(r.learned.Endpoints, learned)
	}
}

// unloadedLatency returns the unloaded latency of each of the pool's classes, in microseconds; 0 for classes
// that were skipped.
func (r *poolRestore) unloadedLatency() []float64 {
	names := r.pool.engine.config.Site.Classes
	latencies := make([]float64, len(names))
	for i, name := range names {
		if r.snapshotIndices[i] != notFound {
			latencies[i] = r.snapshot.UnloadedLatency[name]
		}
	}
	return latencies
}
