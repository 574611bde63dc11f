package consensus

import (
	"cmp"
	"slices"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// This file forwards operators' requests from the instance at which they are submitted to the leader, and the
// leader's replies back to that instance.

// operatorCall identifies an operator's request to which the leader has not replied yet.
type operatorCall struct {
	callingInstance string // instance at which the request was submitted
	requestNumber   uint64 // OperatorRequest.Number
}

// Submit sends an operator's command to the leader and returns the number with which TakeReply finds the reply. No
// reply arrives if there is no leader or a message is lost. The caller may then submit the command again: the id of
// the maintenance request serves as an idempotency key.
func (n *Node) Submit(now monotime.Micros, command maintenance.Command) (number uint64) {
	return n.sendOperatorRequest(now, OperatorRequest{Command: command})
}

// RequestView requests the View from the leader and returns the number with which TakeReply finds the reply. As for
// Submit, the reply may be lost.
func (n *Node) RequestView(now monotime.Micros) (number uint64) {
	return n.sendOperatorRequest(now, OperatorRequest{View: true})
}

// TakeReply returns the reply to the request with the given number, and removes it. ok is false if the reply has
// not arrived or was taken before.
func (n *Node) TakeReply(number uint64) (reply OperatorReply, ok bool) {
	reply, ok = n.receivedReplies[number]
	delete(n.receivedReplies, number)
	return reply, ok
}

// sendOperatorRequest sends a request to the leader, or to all voters if the leader is unknown, and returns the
// request's number. The result is named so that the number is returned even if raft panics and recoverRaftPanic
// recovers.
func (n *Node) sendOperatorRequest(now monotime.Micros, request OperatorRequest) (number uint64) {
	defer n.recoverRaftPanic()
	n.lastNumber++
	number = n.lastNumber
	request.Number = number
	m := Message{OperatorRequest: &request}
	switch {
	case n.isLeader():
		n.selfMessages = append(n.selfMessages, m)
		n.processPending(now)
	case n.leader != "":
		n.outgoing = append(n.outgoing, Outgoing{To: n.leader, Message: m})
	default:
		n.broadcast(m)
	}
	return number
}

// handleOperatorRequest replies to a request for the View, or proposes the operator's command. The reply to a
// command is sent when its entry is applied. A voter that does not lead replies with the leader's name.
func (n *Node) handleOperatorRequest(now monotime.Micros, from string, request OperatorRequest) {
	if !n.isLeader() || n.term == nil {
		n.sendLeader(from)
		return
	}
	if request.View {
		reply := OperatorReply{Number: request.Number, View: n.buildView(now)}
		n.send(from, Message{OperatorReply: &reply})
		return
	}
	if proposalID, ok := n.propose(now, request.Command); ok {
		n.pendingCalls[proposalID] = operatorCall{callingInstance: from, requestNumber: request.Number}
	}
}

// silentAfterLeases is the time without a report, in lease durations, after which the View lists an instance as
// silent.
const silentAfterLeases = 4

// buildView returns the View. It must be called only while this instance leads.
func (n *Node) buildView(now monotime.Micros) *View {
	state := n.state
	silentAfter := silentAfterLeases * n.settings.Maintenance.LeaseDuration
	view := &View{
		Leader:          n.settings.Self,
		Now:             n.stateClock(now),
		OnHold:          state.OnHold,
		Events:          slices.Clone(state.Events),
		SilentInstances: n.term.coordinator.SilentInstances(now, state, silentAfter),
	}
	for _, request := range state.Requests {
		view.Requests = append(view.Requests, *request)
	}
	for _, m := range state.Machines {
		machine := *m
		if reason := n.waitReasons[machine.Name]; reason != "" {
			machine.WaitReason = reason
		}
		view.Machines = append(view.Machines, machine)
	}
	for name, incarnation := range state.Instances {
		view.Instances = append(view.Instances, maintenance.Instance{Name: name, Incarnation: incarnation})
	}
	slices.SortFunc(view.Requests,
		func(a, b maintenance.Request) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	slices.SortFunc(view.Machines, func(a, b maintenance.Machine) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(view.Instances, func(a, b maintenance.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return view
}
