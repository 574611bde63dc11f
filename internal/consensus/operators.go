package consensus

import (
	"slices"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

type proposer struct {
	from   string
	number uint64
}

// silentAfter is after how many leases without a word an instance is told of to operators.
const silentLeases = 4

// command takes an operator's word in, at who leads; another voter says who does.
func (n *Node) handleOperatorRequest(now monotime.Micros, from string, c OperatorRequest) {
	switch {
	case !n.IsLeader() || n.coordinator == nil:
		if l := n.knownLeader(); l != "" && l != n.settings.Self {
			n.send(now, from, Message{Leader: l})
		}
	case c.View:
		v := n.view(now)
		n.send(now, from, Message{OperatorReply: &OperatorReply{Number: c.Number, View: v}})
	default:
		n.propose(c.Command, now, &proposer{from, c.Number})
	}
}

func (n *Node) view(now monotime.Micros) *View {
	x := n.state
	v := &View{Leader: n.settings.Self, Now: n.stateClock(now), OnHold: x.OnHold, Events: slices.Clone(x.Events), Silent: n.coordinator.SilentInstances(now, x, silentLeases*n.settings.Maintenance.LeaseDuration)}
	for _, j := range x.Requests {
		v.Requests = append(v.Requests, *j)
	}
	for _, i := range x.Machines {
		i := *i
		if w := n.waitReasons[i.Name]; w != "" {
			i.WaitReason = w
		}
		v.Machines = append(v.Machines, i)
	}
	for name, life := range x.Instances {
		v.Instances = append(v.Instances, maintenance.Instance{Name: name, Incarnation: life})
	}
	slices.SortFunc(v.Requests, func(a, b maintenance.Request) int { return int(a.RequestedAt - b.RequestedAt) })
	slices.SortFunc(v.Machines, func(a, b maintenance.Machine) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	slices.SortFunc(v.Instances, func(a, b maintenance.Instance) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	return v
}

// Say says something for an operator, and returns the number by which Answer has the answer. Nobody may lead just then: whoever asks says it
// again, and a job that is asked for twice is asked for once.
func (n *Node) Submit(now monotime.Micros, order maintenance.Command) (number uint64) {
	return n.submit(now, OperatorRequest{Command: order})
}

// Look asks how all stands; the answer is got as that of Say.
func (n *Node) RequestView(now monotime.Micros) (number uint64) {
	return n.submit(now, OperatorRequest{View: true})
}

func (n *Node) submit(now monotime.Micros, c OperatorRequest) (number uint64) {
	defer n.recoverRaftPanic()
	n.lastNumber++
	c.Number = n.lastNumber
	number = n.lastNumber
	w := Message{OperatorRequest: &c}
	switch {
	case n.IsLeader():
		n.toSelf = append(n.toSelf, w)
		n.process(now)
	case n.leader != "":
		n.outgoing = append(n.outgoing, Outgoing{n.leader, w})
	default:
		n.broadcast(w)
	}
	return number
}

// Answer returns the answer to what was said by a number, once.
func (n *Node) TakeReply(number uint64) (r OperatorReply, ok bool) {
	r, ok = n.replies[number]
	delete(n.replies, number)
	return r, ok
}
