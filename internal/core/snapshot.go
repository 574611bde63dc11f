package core

import (
	"context"
	"fmt"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/shares"
)

// Snapshot is what a core holds that another which takes its place should know: the list and what was learned,
// by names, since the numbers of one core mean nothing to another. Parts that do not fit the other's settings
// are passed over there, part by part.
type Snapshot struct {
	Generation int64
	Members    []Member

	Classes []ClassLearned
	Tenants []TenantLearned
	Names   []string // of the endpoints in Learned, in its order
	Learned *balancer.Learned

	Limit float64            // requests in flight; 0 where that is not learned
	Alone map[string]float64 // time of a class's request with hardly any others, in microseconds
}

// ClassLearned is what is known of a class. Meaning tells whether another's class of this name is the same.
type ClassLearned struct {
	Name, Meaning string
	Times         shares.Times
}

// TenantLearned is a tenant of the settings.
type TenantLearned struct{ Name, Meaning string }

// meaning is what a class is, apart from its place.
func meaning(v any) string { return fmt.Sprintf("%+v", v) }

// Snapshot returns what the core holds; nil once it has ended.
func (x *Core) Snapshot() *Snapshot { return x.snapshot(false) }

// HandOver returns what the core holds, and from that instant on leaves what cold endpoints may still get to who
// takes it over. TakeBack ends that.
func (x *Core) HandOver() *Snapshot { return x.snapshot(true) }

// TakeBack goes on as before HandOver. What cold endpoints were to get counts as spent.
func (x *Core) TakeBack() {
	x.post(func(now balancer.Micros) { x.balancer.HandOver(now, false) })
}

func (x *Core) snapshot(handOver bool) *Snapshot {
	got := make(chan *Snapshot, 1)
	x.post(func(now balancer.Micros) {
		s := x.take(now)
		if handOver {
			x.balancer.HandOver(now, true)
		}
		got <- s
	})
	select {
	case s := <-got:
		return s
	case <-x.over:
		return nil
	}
}

func (x *Core) take(now balancer.Micros) *Snapshot {
	s := &Snapshot{Generation: x.generation, Learned: x.balancer.Learned(now)}
	for _, m := range x.list {
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b Member) int {
		return int(x.byName[a.Name].number) - int(x.byName[b.Name].number)
	})
	times := x.shares.Learned()
	settings := &x.config.Site.Settings
	for i := range settings.Classes {
		s.Classes = append(s.Classes, ClassLearned{x.config.Site.Classes[i], meaning(settings.Classes[i]), times[i]})
	}
	for i := range settings.Tenants {
		s.Tenants = append(s.Tenants, TenantLearned{x.config.Site.Tenants[i], meaning(settings.Tenants[i])})
	}
	names := map[uint32]string{}
	for name, e := range x.byName {
		names[e.number] = name
	}
	s.Learned.Endpoints = slices.DeleteFunc(s.Learned.Endpoints, func(e balancer.LearnedEndpoint) bool { return names[e.ID] == "" })
	for _, e := range s.Learned.Endpoints {
		s.Names = append(s.Names, names[e.ID])
	}
	if x.limit != nil {
		value, alone := x.limit.Learned()
		s.Limit, s.Alone = value, map[string]float64{}
		for i, name := range x.config.Site.Classes {
			s.Alone[name] = alone[i]
		}
	}
	return s
}

// Restore takes over what another core held so long ago. It is meant for one that has no request open. The list
// counts if it is not older than this core's own. It returns once that is done, with what was passed over.
func (x *Core) Restore(s *Snapshot, age balancer.Micros) (passedOver []string) {
	done := make(chan struct{})
	x.post(func(now balancer.Micros) {
		defer close(done)
		if s.Generation >= x.generation {
			x.members(now, Told{Kind: balancer.ListCached, Generation: s.Generation, Members: s.Members})
		}
		passedOver = x.restore(now, age, s)
	})
	select {
	case <-done:
		return passedOver
	case <-x.over:
		return nil
	}
}

func (x *Core) restore(now, age balancer.Micros, s *Snapshot) (passedOver []string) {
	if s.Learned == nil || len(s.Names) != len(s.Learned.Endpoints) || len(s.Learned.Classes) != len(s.Classes) {
		return []string{"all that was learned"}
	}
	settings := &x.config.Site.Settings
	l := *s.Learned
	l.Classes, l.Endpoints, l.Tenants = nil, nil, nil
	from := make([]int, 0, len(settings.Classes)+len(settings.Tenants)) // places of our parts among theirs, or -1
	for i, name := range x.config.Site.Classes {
		at := slices.IndexFunc(s.Classes, func(c ClassLearned) bool {
			return c.Name == name && c.Meaning == meaning(settings.Classes[i])
		})
		from = append(from, at)
		if at < 0 {
			passedOver = append(passedOver, "class "+name)
			l.Classes = append(l.Classes, balancer.LearnedClass{})
			continue
		}
		l.Classes = append(l.Classes, s.Learned.Classes[at])
		x.shares.Restore(i, s.Classes[at].Times)
	}
	for i, name := range x.config.Site.Tenants {
		at := slices.IndexFunc(s.Tenants, func(t TenantLearned) bool {
			return t.Name == name && t.Meaning == meaning(settings.Tenants[i])
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
		own := x.byName[s.Names[i]]
		if own == nil {
			continue // gone since
		}
		e.ID = own.number
		theirs := e.Parts
		e.Parts = make([]balancer.Ejection, len(from))
		for i, at := range from {
			if at >= 0 && at < len(theirs) {
				e.Parts[i] = theirs[at]
			}
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	x.balancer.Restore(now, age, &l)
	if x.limit != nil {
		alone := make([]float64, len(x.config.Site.Classes))
		for i, name := range x.config.Site.Classes {
			if from[i] >= 0 {
				alone[i] = s.Alone[name]
			}
		}
		x.limit.Restore(now, s.Limit, alone)
	}
	return passedOver
}

// Wait waits until the core is ready, or ctx ends.
func (x *Core) Wait(ctx context.Context) error {
	select {
	case <-x.isReady:
		return nil
	case <-x.over:
		return context.Canceled
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
