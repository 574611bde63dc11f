package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// This file decides which machine goes on to its next phase, and what stands against it.

// advance carries out all phase changes that have become due or possible.
func (x *State) advance() {
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		x.advanceOut(x.Machines[name])
	}
	x.recallUnaffordable()
	queue := x.queue()
	x.announce(queue)
	x.drain(queue)
}

// advanceOut has a machine that is out become overdue, or go back into service after its warm-up.
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

// announce has the first of the queue be announced, as many as may be.
func (x *State) announce(queue []*Machine) {
	announced := 0
	for _, m := range x.Machines {
		if listOf(m.Phase) == listAnnounced {
			announced++
		}
	}
	// A machine whose drain was recalled is announced again, which may be one too many: the last of the queue yields.
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

// drain starts to drain the acknowledged machines against which nothing stands.
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

// preemptFor has the last announced machine of the queue that is not urgent yield to one that is, and reports whether
// there was one.
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

func (x *State) firstRequest(m *Machine) *Request { return x.Requests[m.Requests[0]] }

// queue returns the machines that are not out, in the order in which they are to go: urgent ones first, then those
// whose requester has had the fewest machines out, then the oldest request.
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

func urgencyRank(request *Request) int {
	if request.Urgent {
		return 0
	}
	return 1
}
