package takeover

import "dunlinsail/internal/monotime"

// predecessorState is a state of a Predecessor.
type predecessorState uint8

const (
	serving     predecessorState = iota
	offered                      // Offer is sent to a successor, which is starting
	paused                       // no process accepts; the successor restores the final snapshot
	handingOver                  // the successor accepts; client connections are handed over to it
	draining                     // graceful shutdown without a connection to a successor
	exited
)

var predecessorStateNames = [...]string{"serving", "offered", "paused", "handing over", "draining", "exited"}

// Predecessor is the state machine of the process that serves when a hot restart starts. A Predecessor in which only
// Times is set is in state serving.
type Predecessor struct {
	Times Times

	progress[predecessorState]
	stopping            bool // Stop or Stopping was received: this process must not serve again
	successorHandedOver bool // the successor has handed over to the next successor, which accepts
}

// String returns the name of the state in logs.
func (p *Predecessor) String() string { return predecessorStateNames[p.state] }

// RejectsSuccessors reports whether a hot restart or a shutdown is in progress. Another successor is then rejected.
func (p *Predecessor) RejectsSuccessors() bool { return p.state != serving }

// Draining reports whether a graceful shutdown without a connection to a successor is in progress.
func (p *Predecessor) Draining() bool { return p.state == draining }

// PostponeForPendingMessage postpones the deadline of the current state if it has passed, at most once per
// state, and reports whether it was postponed. The host calls it if a message from the successor has arrived
// and is not handled yet: the deadline may have passed only because this process was suspended for a while.
func (p *Predecessor) PostponeForPendingMessage(now monotime.Micros) bool {
	awaitsMessage := p.state == offered || p.state == paused
	return awaitsMessage && p.postpone(now, p.Times.Reply)
}

// Step handles an event and returns the steps to execute. Events that are not expected in the current state are
// ignored.
func (p *Predecessor) Step(now monotime.Micros, event Event) []Step {
	if p.isPrematureDeadline(now, event) {
		return nil
	}
	switch p.state {
	case serving:
		return p.stepWhileServing(now, event)
	case offered:
		return p.stepWhileOffered(now, event)
	case paused:
		return p.stepWhilePaused(now, event)
	case handingOver:
		return p.stepWhileHandingOver(now, event)
	case draining:
		return p.stepWhileDraining(event)
	}
	return nil
}

func (p *Predecessor) stepWhileServing(now monotime.Micros, event Event) []Step {
	switch event {
	case Hello:
		p.transition(offered, now+p.Times.Ready)
		return []Step{sendMessage(Offer)}
	case Stop:
		p.stopping = true
		p.transition(draining, now+p.Times.Drain)
		return []Step{{Action: Drain}}
	}
	return nil
}

func (p *Predecessor) stepWhileOffered(now monotime.Micros, event Event) []Step {
	switch event {
	case Ready:
		p.transition(paused, now+p.Times.Reply)
		return []Step{{Action: StopAccepting}, sendMessage(Handover)}
	case Stop:
		// The successor already has the sockets, so new connections wait in their accept queues until it accepts them.
		// The deadline for its start does not change.
		p.stopping = true
		p.transition(paused, p.deadline)
		return []Step{{Action: StopAccepting}, sendMessage(Handover)}
	case ConnectionLost, Rejected:
		p.transition(serving, 0)
		return []Step{{Action: Disconnect}}
	case DeadlineReached:
		p.transition(serving, 0)
		return rejectAndDisconnect("not ready in time")
	}
	return nil
}

func (p *Predecessor) stepWhilePaused(now monotime.Micros, event Event) []Step {
	switch event {
	case Prepared:
		p.successorHandedOver = false
		p.transition(handingOver, now+p.Times.Drain)
		return []Step{sendMessage(Activate), {Action: HandOverConnections}}
	case Stop:
		p.stopping = true
	case ConnectionLost, Rejected:
		return append([]Step{{Action: Disconnect}}, p.resume(now)...)
	case DeadlineReached:
		if p.stopping {
			// The successor is not rejected: it has the sockets and is the only process that will serve.
			return append([]Step{{Action: Disconnect}}, p.resume(now)...)
		}
		return append(rejectAndDisconnect("no answer in time"), p.resume(now)...)
	}
	return nil
}

func (p *Predecessor) stepWhileHandingOver(now monotime.Micros, event Event) []Step {
	switch event {
	case Drained:
		p.transition(exited, 0)
		return []Step{sendMessage(Done), {Action: Disconnect}, {Action: Exit}}
	case DeadlineReached:
		p.transition(exited, 0)
		return []Step{{Action: CloseRemaining}, sendMessage(Done), {Action: Disconnect}, {Action: Exit}}
	case Stop:
		p.stopping = true
	case Stopping:
		// Both processes shut down. The deadline for the remaining connections of this process does not change.
		p.stopping = true
		p.transition(draining, p.deadline)
		return []Step{{Action: Disconnect}, {Action: Drain}}
	case HandedOver:
		p.successorHandedOver = true
	case Resumed:
		p.successorHandedOver = false
	case ConnectionLost, Rejected:
		if p.successorHandedOver {
			p.transition(draining, p.deadline)
			return []Step{{Action: Disconnect}, {Action: DrainForSuccessor}}
		}
		return append([]Step{{Action: Disconnect}}, p.resume(now)...)
	}
	return nil
}

func (p *Predecessor) stepWhileDraining(event Event) []Step {
	switch event {
	case Hello:
		return []Step{{Action: Disconnect}} // the draining process cannot hand over, so the new process starts alone
	case Drained:
		p.transition(exited, 0)
		return []Step{{Action: Exit}}
	case DeadlineReached:
		p.transition(exited, 0)
		return []Step{{Action: CloseRemaining}, {Action: Exit}}
	}
	return nil
}

// resume makes this process serve again after it has lost its successor, or shut down if stopping is set.
func (p *Predecessor) resume(now monotime.Micros) []Step {
	if p.stopping {
		p.transition(draining, now+p.Times.Drain)
		return []Step{{Action: Drain}}
	}
	p.transition(serving, 0)
	return []Step{{Action: ResumeServing}}
}
