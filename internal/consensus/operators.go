package consensus

import (
	"cmp"
	"slices"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// This file carries operators' requests from any instance to the leader, and its replies back.

// silentLeases is for how many leases an instance may go without a report before operators see it as silent.
const silentLeases = 4

// operatorCall identifies an operator's request that awaits a reply.
type operatorCall struct {
	from   string // the instance where the operator called
	number uint64 // of the request
}

// Submit sends an operator's command to the leader and returns the number by which TakeReply has the reply. There may
// be none, since nobody leads just then, or a message is lost: the caller then submits it again, which does no harm,
// since a request's id is an idempotency key.
func (n *Node) Submit(now monotime.Micros, command maintenance.Command) (number uint64) {
	return n.sendOperatorRequest(now, OperatorRequest{Command: command})
}

// RequestView asks the leader for its View. TakeReply has the reply, as that of Submit.
func (n *Node) RequestView(now monotime.Micros) (number uint64) {
	return n.sendOperatorRequest(now, OperatorRequest{View: true})
}

// TakeReply returns the reply to a request, once; ok is false if none has arrived.
func (n *Node) TakeReply(number uint64) (reply OperatorReply, ok bool) {
	reply, ok = n.replies[number]
	delete(n.replies, number)
	return reply, ok
}

// sendOperatorRequest sends a request to the leader, or to all voters where it is not known. number is a named
// result, so that it is returned also where raft panics.
func (n *Node) sendOperatorRequest(now monotime.Micros, request OperatorRequest) (number uint64) {
	defer n.recoverRaftPanic()
	n.lastNumber++
	number = n.lastNumber
	request.Number = number
	m := Message{OperatorRequest: &request}
	switch {
	case n.isLeader():
		n.toSelf = append(n.toSelf, m)
		n.process(now)
	case n.leader != "":
		n.outgoing = append(n.outgoing, Outgoing{To: n.leader, Message: m})
	default:
		n.broadcast(m)
	}
	return number
}

// handleOperatorRequest handles an operator's request. A voter that does not lead answers with the name of the one
// that does.
func (n *Node) handleOperatorRequest(now monotime.Micros, from string, request OperatorRequest) {
	if !n.isLeader() || n.term == nil {
		n.sendLeader(from)
		return
	}
	if request.View {
		reply := OperatorReply{Number: request.Number, View: n.view(now)}
		n.send(from, Message{OperatorReply: &reply})
		return
	}
	if proposalID, ok := n.propose(now, request.Command); ok {
		n.proposers[proposalID] = operatorCall{from: from, number: request.Number}
	}
}

// view returns the plan as this instance, the leader, has it.
func (n *Node) view(now monotime.Micros) *View {
	x := n.state
	silentAfter := silentLeases * n.settings.Maintenance.LeaseDuration
	v := &View{
		Leader: n.settings.Self,
		Now:    n.stateClock(now),
		OnHold: x.OnHold,
		Events: slices.Clone(x.Events),
		Silent: n.term.coordinator.SilentInstances(now, x, silentAfter),
	}
	for _, request := range x.Requests {
		v.Requests = append(v.Requests, *request)
	}
	for _, m := range x.Machines {
		machine := *m
		if reason := n.waitReasons[machine.Name]; reason != "" {
			machine.WaitReason = reason
		}
		v.Machines = append(v.Machines, machine)
	}
	for name, incarnation := range x.Instances {
		v.Instances = append(v.Instances, maintenance.Instance{Name: name, Incarnation: incarnation})
	}
	slices.SortFunc(v.Requests, func(a, b maintenance.Request) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	slices.SortFunc(v.Machines, func(a, b maintenance.Machine) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Instances, func(a, b maintenance.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
