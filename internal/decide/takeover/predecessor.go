package takeover

import "dunlinsail/internal/monotime"

type predecessorState uint8

const (
	serving     predecessorState = iota
	offered                      // to a successor that is starting
	paused                       // nobody accepts
	handingOver                  // the successor accepts; connections are handed over
	draining                     // without a successor, after a stop
	exited
)

var predecessorStateNames = [...]string{"serving", "offered", "paused", "handing over", "draining", "exited"}

// Predecessor is the process that serves. The zero value with Times set serves.
type Predecessor struct {
	Times Times

	state               predecessorState
	stopping            bool // told to stop: it does not serve on, whatever becomes of the successor
	successorHandedOver bool // the successor has a successor of its own, which accepts
	deadline            monotime.Micros
}

// String returns the state's name in logs.
func (p *Predecessor) String() string { return predecessorStateNames[p.state] }

// HandingOver reports whether a successor is served, or the process ends: another successor is rejected.
func (p *Predecessor) HandingOver() bool { return p.state != serving }

// Deadline returns the instant at which DeadlineReached is due, 0 for none.
func (p *Predecessor) Deadline() monotime.Micros { return p.deadline }

// Step handles an event. Events that cannot come in a state change nothing.
func (p *Predecessor) Step(now monotime.Micros, e Event) []Step {
	if e == DeadlineReached && (p.deadline == 0 || now < p.deadline) {
		return nil // an old one
	}
	switch p.state {
	case serving:
		return p.whileServing(now, e)
	case offered:
		return p.whileOffered(now, e)
	case paused:
		return p.whilePaused(now, e)
	case handingOver:
		return p.whileHandingOver(now, e)
	case draining:
		return p.whileDraining(e)
	}
	return nil
}

func (p *Predecessor) whileServing(now monotime.Micros, e Event) []Step {
	switch e {
	case Hello:
		p.transition(offered, now+p.Times.Ready)
		return []Step{send(Offer)}
	case Stop:
		p.stopping = true
		p.transition(draining, now+p.Times.Drain)
		return []Step{{Action: Drain}}
	}
	return nil
}

func (p *Predecessor) whileOffered(now monotime.Micros, e Event) []Step {
	switch e {
	case Ready:
		p.transition(paused, now+p.Times.Answer)
		return []Step{{Action: StopAccepting}, send(Handover)}
	case Stop:
		// The successor has the sockets, so clients that connect wait for it. It is given the time to start
		// that it had.
		p.stopping = true
		p.transition(paused, p.deadline)
		return []Step{{Action: StopAccepting}, send(Handover)}
	case ConnectionLost, Rejected:
		p.transition(serving, 0)
		return []Step{{Action: Disconnect}}
	case DeadlineReached:
		p.transition(serving, 0)
		return rejectWith("not ready in time")
	}
	return nil
}

func (p *Predecessor) whilePaused(now monotime.Micros, e Event) []Step {
	switch e {
	case Prepared:
		p.successorHandedOver = false
		p.transition(handingOver, now+p.Times.Drain)
		return []Step{send(Activate), {Action: HandOverConnections}}
	case Stop:
		p.stopping = true
	case ConnectionLost, Rejected:
		return append([]Step{{Action: Disconnect}}, p.resume(now)...)
	case DeadlineReached:
		if p.stopping {
			// The successor has the sockets, and no other process will: not rejected, it serves once it can.
			return append([]Step{{Action: Disconnect}}, p.resume(now)...)
		}
		return append(rejectWith("no answer in time"), p.resume(now)...)
	}
	return nil
}

func (p *Predecessor) whileHandingOver(now monotime.Micros, e Event) []Step {
	switch e {
	case Drained:
		p.transition(exited, 0)
		return []Step{send(Done), {Action: Disconnect}, {Action: Exit}}
	case DeadlineReached:
		p.transition(exited, 0)
		return []Step{{Action: CloseRemaining}, send(Done), {Action: Disconnect}, {Action: Exit}}
	case Stop:
		p.stopping = true
	case Stopping:
		// No process is to serve any more. What is open here has the time that it had.
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

func (p *Predecessor) whileDraining(e Event) []Step {
	switch e {
	case Hello:
		return []Step{{Action: Disconnect}} // there is nothing to take over: it starts alone
	case Drained:
		p.transition(exited, 0)
		return []Step{{Action: Exit}}
	case DeadlineReached:
		p.transition(exited, 0)
		return []Step{{Action: CloseRemaining}, {Action: Exit}}
	}
	return nil
}

// resume is what follows when a successor to which all was left is lost.
func (p *Predecessor) resume(now monotime.Micros) []Step {
	if p.stopping {
		p.transition(draining, now+p.Times.Drain)
		return []Step{{Action: Drain}}
	}
	p.transition(serving, 0)
	return []Step{{Action: ResumeServing}}
}

func (p *Predecessor) transition(state predecessorState, deadline monotime.Micros) {
	p.state = state
	p.deadline = deadline
}
