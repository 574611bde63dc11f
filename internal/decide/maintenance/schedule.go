package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// This file decides which machines enter their next phase, and in which order they do.

// advance makes all phase changes that are due or possible. Machines that are out are advanced and recalled first,
// because that changes how many machines may be announced and drained.
func (state *State) advance() {
	for _, name := range slices.Sorted(maps.Keys(state.Machines)) {
		state.advanceMachine(state.Machines[name])
	}
	state.updateRecalls()
	queue := state.queue()
	state.announce(queue)
	state.drain(queue)
}

// advanceMachine marks a machine under maintenance as overdue after its due time, and removes a returning
// machine from the plan once it is warmed up and healthy.
func (state *State) advanceMachine(m *Machine) {
	warmedUp := m.Phase == Returning && state.Now >= m.PhaseSince+state.settings.Warmup
	switch {
	case m.Phase == UnderMaintenance && state.Now >= m.DueAt && !m.Overdue:
		m.Overdue = true
		state.recordEvent("%s was to be done by now: work done, or ask for longer", m.Name)
	case warmedUp && state.isHealthy(m.Name):
		delete(state.Machines, m.Name)
		state.recordEvent("%s is back", m.Name)
	case warmedUp && m.WaitReason == "":
		m.WaitReason = "it is back, and not well"
		state.recordEvent("%s is back, and not well", m.Name)
	}
}

// announce announces machines in the order of the queue, up to Settings.MaxAnnounced. An urgent machine replaces an
// announced machine that is not urgent.
func (state *State) announce(queue []*Machine) {
	announcedCount := 0
	for _, m := range state.Machines {
		if planListOf(m.Phase) == listAnnounced {
			announcedCount++
		}
	}
	// A recall makes a draining machine an announced one again, which may exceed MaxAnnounced. The announcements of the
	// last machines in the queue are then canceled.
	for _, m := range slices.Backward(queue) {
		if announcedCount > state.settings.MaxAnnounced && planListOf(m.Phase) == listAnnounced {
			state.setPhase(m, Requested)
			announcedCount--
		}
	}
	for _, m := range queue {
		if m.Phase != Requested {
			continue
		}
		if announcedCount >= state.settings.MaxAnnounced && state.preemptFor(m, queue) {
			announcedCount--
		}
		if announcedCount < state.settings.MaxAnnounced {
			state.setPhase(m, Announced)
			announcedCount++
		} else {
			m.WaitReason = fmt.Sprintf("%d are next in line before it", announcedCount)
		}
	}
}

// drain starts to drain acknowledged machines in the order of the queue. A machine for which drainBlockReason returns a
// reason is skipped.
func (state *State) drain(queue []*Machine) {
	for _, m := range queue {
		if m.Phase != Acknowledged {
			continue
		}
		m.WaitReason = state.drainBlockReason(m)
		if m.WaitReason != "" {
			continue
		}
		state.DrainsByRequester[state.oldestRequest(m).Requester]++
		state.setPhase(m, Draining)
		state.recordEvent("%s is drained", m.Name)
	}
}

// preemptFor cancels the announcement of the last announced machine in the queue that is not urgent, if the given
// machine is urgent. It reports whether it has canceled an announcement.
func (state *State) preemptFor(urgent *Machine, queue []*Machine) bool {
	if !state.oldestRequest(urgent).Urgent {
		return false
	}
	for _, m := range slices.Backward(queue) {
		if planListOf(m.Phase) == listAnnounced && !state.oldestRequest(m).Urgent {
			state.setPhase(m, Requested)
			return true
		}
	}
	return false
}

// oldestRequest returns the oldest of the requests that need a machine to be out.
func (state *State) oldestRequest(m *Machine) *Request { return state.Requests[m.Requests[0]] }

// queue returns the machines that are not draining yet, in the order in which they are to be announced and drained.
// Urgent machines come first, then machines whose requester has had the fewest drains, so that one requester does not
// block others, and then machines of the oldest request.
func (state *State) queue() []*Machine {
	var queue []*Machine
	for _, m := range state.Machines {
		if m.Phase < Draining && len(m.Requests) > 0 {
			queue = append(queue, m)
		}
	}
	slices.SortFunc(queue, state.compareInQueue)
	return queue
}

// compareInQueue returns a negative number if machine a comes before machine b in the queue, and a positive number if
// it comes after b.
func (state *State) compareInQueue(a, b *Machine) int {
	requestA := state.oldestRequest(a)
	requestB := state.oldestRequest(b)
	return cmp.Or(
		cmp.Compare(urgencyRank(requestA), urgencyRank(requestB)),
		cmp.Compare(state.DrainsByRequester[requestA.Requester], state.DrainsByRequester[requestB.Requester]),
		cmp.Compare(requestA.RequestedAt, requestB.RequestedAt),
		cmp.Compare(a.Name, b.Name),
	)
}

// urgencyRank returns 0 for an urgent request, and 1 for a request that is not urgent.
func urgencyRank(request *Request) int {
	if request.Urgent {
		return 0
	}
	return 1
}
