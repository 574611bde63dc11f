package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// step does what has become due or possible.
func (x *State) advance() {
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		i := x.Machines[name]
		switch {
		case i.Phase == UnderMaintenance && x.Now >= i.DueAt && !i.Overdue:
			i.Overdue = true
			x.recordEvent("%s was to be done by now: work done, or ask for longer", name)
		case i.Phase == Returning && x.Now >= i.Since+x.settings.Warmup && x.isHealthy(name):
			delete(x.Machines, name)
			x.recordEvent("%s is back", name)
		case i.Phase == Returning && x.Now >= i.Since+x.settings.Warmup && i.WaitReason == "":
			i.WaitReason = "it is back, and not well"
			x.recordEvent("%s is back, and not well", name)
		}
	}
	x.recallUnaffordable()
	next := x.queue()
	ahead := 0
	for _, i := range x.Machines {
		ahead += map[bool]int{true: 1}[i.Phase == Announced || i.Phase == Acknowledged]
	}
	// What was drained and stays in is next in line again: the last of those gives way.
	for _, i := range slices.Backward(next) {
		if ahead > x.settings.MaxAnnounced && (i.Phase == Announced || i.Phase == Acknowledged) {
			x.setPhase(i, Requested)
			ahead--
		}
	}
	for _, i := range next {
		if i.Phase != Requested {
			continue
		}
		if ahead >= x.settings.MaxAnnounced && x.preemptFor(next, i) {
			ahead--
		}
		if ahead < x.settings.MaxAnnounced {
			x.setPhase(i, Announced)
			ahead++
		} else {
			i.WaitReason = fmt.Sprintf("%d are next in line before it", ahead)
		}
	}
	for _, i := range next {
		if i.Phase != Acknowledged {
			continue
		}
		if i.WaitReason = x.drainBlockedBy(i); i.WaitReason == "" {
			x.DrainsByRequester[x.Requests[i.Requests[0]].Requester]++
			x.setPhase(i, Draining)
			x.recordEvent("%s is drained", i.Name)
		}
	}
}

// giveWay has the last that is next in line and not urgent give way to one that is, and says whether there was one.
func (x *State) preemptFor(next []*Machine, to *Machine) bool {
	if !x.Requests[to.Requests[0]].Urgent {
		return false
	}
	for _, i := range slices.Backward(next) {
		if (i.Phase == Announced || i.Phase == Acknowledged) && !x.Requests[i.Requests[0]].Urgent {
			x.setPhase(i, Requested)
			return true
		}
	}
	return false
}

// order returns the machines that are not out in their turn: urgent ones first, then by how many who asked has had, then by age.
func (x *State) queue() (all []*Machine) {
	for _, i := range x.Machines {
		if i.Phase < Draining && len(i.Requests) > 0 {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b *Machine) int {
		p, q := x.Requests[a.Requests[0]], x.Requests[b.Requests[0]]
		urgent := func(j *Request) int { return map[bool]int{true: 0, false: 1}[j.Urgent] }
		return cmp.Or(cmp.Compare(urgent(p), urgent(q)), cmp.Compare(x.DrainsByRequester[p.Requester], x.DrainsByRequester[q.Requester]), cmp.Compare(p.RequestedAt, q.RequestedAt), cmp.Compare(a.Name, b.Name))
	})
	return all
}
