package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// This file decides which machine enters its next phase, and in which order.

// advance makes all phase changes that have become due or possible: machines that are out first, then recalls, since
// both change what may be announced and drained.
func (x *State) advance() {
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		x.advanceOut(x.Machines[name])
	}
	x.recallUnaffordable()
	queue := x.queue()
	x.announce(queue)
	x.drain(queue)
}

// advanceOut marks a machine under maintenance as overdue, or removes one from the plan that has returned, is warmed up
// and healthy.
func (x *State) advanceOut(m *Machine) {
	warmedUp := m.Phase == Returning && x.Now >= m.Since+x.settings.Warmup
	switch {
	case m.Phase == UnderMaintenance && x.Now >= m.DueAt && !m.Overdue:
		m.Overdue = true
		x.recordEvent("%s was to be done by now: work done, or ask for longer", m.Name)
	case warmedUp && x.isHealthy(m.Name):
		delete(x.Machines, m.Name)
		x.recordEvent("%s is back", m.Name)
	case warmedUp && m.WaitReason == "":
		m.WaitReason = "it is back, and not well"
		x.recordEvent("%s is back, and not well", m.Name)
	}
}

// announce announces the first machines of the queue, up to Settings.MaxAnnounced. An urgent machine takes the place of
// an announced one that is not urgent.
func (x *State) announce(queue []*Machine) {
	announced := 0
	for _, m := range x.Machines {
		if listOf(m.Phase) == listAnnounced {
			announced++
		}
	}
	// A machine whose drain was undone is announced again, which may exceed the bound: the last of the queue yields.
	for _, m := range slices.Backward(queue) {
		if announced > x.settings.MaxAnnounced && listOf(m.Phase) == listAnnounced {
			x.setPhase(m, Requested)
			announced--
		}
	}
	for _, m := range queue {
		if m.Phase != Requested {
			continue
		}
		if announced >= x.settings.MaxAnnounced && x.preemptFor(m, queue) {
			announced--
		}
		if announced < x.settings.MaxAnnounced {
			x.setPhase(m, Announced)
			announced++
		} else {
			m.WaitReason = fmt.Sprintf("%d are next in line before it", announced)
		}
	}
}

// drain starts to drain the acknowledged machines, in the order of the queue, that drainBlockedBy does not block.
func (x *State) drain(queue []*Machine) {
	for _, m := range queue {
		if m.Phase != Acknowledged {
			continue
		}
		m.WaitReason = x.drainBlockedBy(m)
		if m.WaitReason != "" {
			continue
		}
		x.DrainsByRequester[x.firstRequest(m).Requester]++
		x.setPhase(m, Draining)
		x.recordEvent("%s is drained", m.Name)
	}
}

// preemptFor withdraws the announcement of the last machine of the queue that is not urgent, if the given machine is
// urgent. It reports whether it has withdrawn one.
func (x *State) preemptFor(urgent *Machine, queue []*Machine) bool {
	if !x.firstRequest(urgent).Urgent {
		return false
	}
	for _, m := range slices.Backward(queue) {
		if listOf(m.Phase) == listAnnounced && !x.firstRequest(m).Urgent {
			x.setPhase(m, Requested)
			return true
		}
	}
	return false
}

// firstRequest returns the oldest of the requests that need a machine out.
func (x *State) firstRequest(m *Machine) *Request { return x.Requests[m.Requests[0]] }

// queue returns the machines that are not drained yet, in the order in which they are announced and drained: urgent
// ones first, then those whose requester has had the fewest drains, so that one requester does not block others, then
// those of the oldest request.
func (x *State) queue() []*Machine {
	var queue []*Machine
	for _, m := range x.Machines {
		if m.Phase < Draining && len(m.Requests) > 0 {
			queue = append(queue, m)
		}
	}
	slices.SortFunc(queue, x.compareInQueue)
	return queue
}

// compareInQueue compares two machines by their place in the queue.
func (x *State) compareInQueue(a, b *Machine) int {
	requestA := x.firstRequest(a)
	requestB := x.firstRequest(b)
	return cmp.Or(
		cmp.Compare(urgencyRank(requestA), urgencyRank(requestB)),
		cmp.Compare(x.DrainsByRequester[requestA.Requester], x.DrainsByRequester[requestB.Requester]),
		cmp.Compare(requestA.RequestedAt, requestB.RequestedAt),
		cmp.Compare(a.Name, b.Name),
	)
}

// urgencyRank returns 0 for an urgent request and 1 for others.
func urgencyRank(request *Request) int {
	if request.Urgent {
		return 0
	}
	return 1
}
