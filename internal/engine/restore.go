package engine

import (
	"fmt"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Restore takes over what another engine held so long ago, and returns what was passed over. It is meant for one that
// has no request open. A pool takes over from the one of its name, if both have their lists from the same source; the
// list counts if it is not older than its own.
func (x *Engine) Restore(now, age monotime.Micros, s *Snapshot) (passedOver []string) {
	x.now = now
	x.RestoreCoordination(now, age, s.Fleet)
	for _, w := range s.Cordons {
		x.ReceiveCordon(now, w)
	}
	for _, p := range x.pools {
		from := s.Pool(p.name)
		switch {
		case p.closed || from == nil:
			continue
		case from.Source != p.source:
			passedOver = append(passedOver, fmt.Sprintf("pool %q: its list is that of %s, not of %s", p.name, from.Source, p.source))
			continue
		}
		if from.Generation >= p.generation && !p.config.StaticList {
			p.applyUpdate(now, EndpointUpdate{Kind: balancer.ListCached, Generation: from.Generation, Endpoints: from.Endpoints})
		}
		for _, part := range p.restore(now, age, from) {
			if p.name != "" {
				part = fmt.Sprintf("pool %q: %s", p.name, part)
			}
			passedOver = append(passedOver, part)
		}
	}
	x.dispatchQueued(now)
	return passedOver
}

func (p *Pool) restore(now, age monotime.Micros, s *PoolSnapshot) (passedOver []string) {
	if s.Learned == nil || len(s.LearnedNames) != len(s.Learned.Endpoints) || len(s.Learned.Classes) != len(s.Classes) {
		return []string{"all that was learned"}
	}
	if p.overload != nil && s.OverloadLevel > 0 {
		p.overload.control.RestoreLevel(s.OverloadLevel)
	}
	settings := &p.engine.config.Site.Settings
	l := *s.Learned
	l.Classes, l.Endpoints, l.Tenants = nil, nil, nil
	from := make([]int, 0, len(settings.Classes)+len(settings.Tenants)) // places of our parts among theirs, or -1
	for i, name := range p.engine.config.Site.Classes {
		at := slices.IndexFunc(s.Classes, func(c LearnedClass) bool {
			return c.Name == name && c.Fingerprint == classFingerprint(&settings.Classes[i])
		})
		from = append(from, at)
		if at < 0 {
			passedOver = append(passedOver, "class "+name)
			l.Classes = append(l.Classes, balancer.LearnedClass{})
			continue
		}
		l.Classes = append(l.Classes, s.Learned.Classes[at])
		p.queue.RestoreServiceTime(i, s.Classes[at].ServiceTimes)
	}
	for i, name := range p.engine.config.Site.Tenants {
		at := slices.IndexFunc(s.Tenants, func(t LearnedTenant) bool {
			return t.Name == name && t.Fingerprint == tenantFingerprint(&settings.Tenants[i])
		})
		rate := 0.0
		if at >= 0 && at < len(s.Learned.Tenants) {
			rate = s.Learned.Tenants[at]
		}
		l.Tenants = append(l.Tenants, rate)
		if at >= 0 {
			at += len(s.Classes)
		} else {
			passedOver = append(passedOver, "tenant "+name)
		}
		from = append(from, at)
	}
	for i, e := range s.Learned.Endpoints {
		own := p.byName[s.LearnedNames[i]]
		if own == nil {
			continue // gone since
		}
		e.ID = own.Number
		theirs := e.Parts
		e.Parts = make([]balancer.Ejection, len(from))
		for i, at := range from {
			if at >= 0 && at < len(theirs) {
				e.Parts[i] = theirs[at]
			}
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	p.balancer.Restore(now, age, &l)
	if p.concurrency != nil {
		alone := make([]float64, len(p.engine.config.Site.Classes))
		for i, name := range p.engine.config.Site.Classes {
			if from[i] >= 0 {
				alone[i] = s.UnloadedLatency[name]
			}
		}
		p.concurrency.Restore(now, s.ConcurrencyLimit, alone)
	}
	return passedOver
}
