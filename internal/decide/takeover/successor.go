package takeover

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

type successorState uint8

const (
	requesting successorState = iota // Hello is sent
	starting                         // with what was offered
	ready                            // waits for Handover
	prepared                         // waits for Activate, which may be on its way as the predecessor ends
	accepting                        // the predecessor may still hand connections over
	alone                            // there is no predecessor any more
	failed
)

var successorStateNames = [...]string{
	"requesting", "starting", "ready", "prepared", "accepting", "alone", "failed",
}

// Successor is the process that is to serve. The zero value with Times set has not started: call Connected, or
// ServeAlone where no process serves.
type Successor struct {
	Times Times

	// OwnsSockets says that the successor has its sockets whatever the predecessor does: it does not fail
	// because of the predecessor, but goes on with what it has received so far. A predecessor that hangs may
	// recover and serve beside it for a moment; the budget of endpoints that are warming up is then spent by
	// both, unless the predecessor was told to stop.
	OwnsSockets bool

	state            successorState
	handoverReceived bool // Handover came before the host could serve
	predecessorLost  bool // the predecessor ended before the host could serve
	deadline         monotime.Micros
}

// String returns the state's name in logs.
func (s *Successor) String() string { return successorStateNames[s.state] }

// Connected returns the first steps, once there is a connection to a predecessor.
func (s *Successor) Connected(now monotime.Micros) []Step {
	s.transition(requesting, now+s.Times.Answer)
	return []Step{send(Hello)}
}

// ServeAlone notes that there is no predecessor.
func (s *Successor) ServeAlone() { s.transition(alone, 0) }

// Deadline returns the instant at which DeadlineReached is due, 0 for none.
func (s *Successor) Deadline() monotime.Micros { return s.deadline }

// Serving reports whether the successor accepts.
func (s *Successor) Serving() bool { return s.state == accepting || s.state == alone }

// ReceivesConnections reports whether the predecessor may still hand connections over.
func (s *Successor) ReceivesConnections() bool { return s.state == accepting }

// Step handles an event; reason is that of Rejected. Events that cannot come in a state change nothing.
func (s *Successor) Step(now monotime.Micros, e Event, reason string) []Step {
	if e == DeadlineReached && (s.deadline == 0 || now < s.deadline) {
		return nil // an old one
	}
	if e == Stop || e == Rejected || e == DeadlineReached {
		return s.abort(e, reason)
	}
	switch s.state {
	case requesting:
		return s.whileRequesting(now, e)
	case starting:
		return s.whileStarting(now, e)
	case ready:
		return s.whileReady(now, e)
	case prepared:
		return s.whilePrepared(e)
	case accepting:
		return s.whileAccepting(e)
	}
	return nil
}

// abort handles what ends a hot restart that has not come to Activate.
func (s *Successor) abort(e Event, reason string) []Step {
	if e == Stop && s.state == accepting {
		return []Step{send(Stopping)} // the predecessor, which still has connections, must not serve on without us
	}
	if s.Serving() || s.state == failed {
		return nil
	}
	if s.OwnsSockets && e != Stop {
		return s.proceedAlone()
	}
	var why string
	switch e {
	case Stop:
		why = "told to stop"
	case Rejected:
		why = "the serving process says no: " + reason
	case DeadlineReached:
		why = fmt.Sprintf("no progress in time while %v", s)
	}
	s.transition(failed, 0)
	return []Step{{Action: Disconnect}, {Action: Fail, Reason: why}}
}

func (s *Successor) whileRequesting(now monotime.Micros, e Event) []Step {
	switch e {
	case Offer:
		s.transition(starting, now+s.Times.Ready)
		return []Step{{Action: StartWithOffer}}
	case ConnectionLost:
		s.transition(alone, 0) // it ended before it gave us anything
		return []Step{{Action: Disconnect}, {Action: StartAlone}}
	}
	return nil
}

func (s *Successor) whileStarting(now monotime.Micros, e Event) []Step {
	switch e {
	case Handover:
		s.handoverReceived = true
	case ConnectionLost:
		s.predecessorLost = true
		return []Step{{Action: Disconnect}}
	case Started:
		switch {
		case s.predecessorLost:
			s.transition(alone, 0)
			return []Step{{Action: StartServing}}
		case s.handoverReceived:
			return s.prepare(now)
		}
		s.transition(ready, now+s.Times.Answer)
		return []Step{send(Ready)}
	}
	return nil
}

func (s *Successor) whileReady(now monotime.Micros, e Event) []Step {
	switch e {
	case Handover:
		return s.prepare(now)
	case ConnectionLost:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}, {Action: StartServing}}
	}
	return nil
}

func (s *Successor) whilePrepared(e Event) []Step {
	switch e {
	case Activate:
		s.transition(accepting, 0)
		return []Step{{Action: StartServing}}
	case ConnectionLost:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}, {Action: StartServing}}
	}
	return nil
}

func (s *Successor) whileAccepting(e Event) []Step {
	switch e {
	case Done, ConnectionLost:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}}
	case HandedOver, Resumed:
		return []Step{send(e)}
	}
	return nil
}

// proceedAlone is what follows where nothing more is expected of a predecessor.
func (s *Successor) proceedAlone() []Step {
	switch s.state {
	case requesting:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}, {Action: StartAlone}}
	case starting:
		s.predecessorLost = true
		s.transition(starting, 0)
		return []Step{{Action: Disconnect}}
	}
	s.transition(alone, 0)
	return []Step{{Action: Disconnect}, {Action: StartServing}}
}

// prepare waits for Activate, without OwnsSockets however long: only Activate or the predecessor's end make it
// accept.
func (s *Successor) prepare(now monotime.Micros) []Step {
	s.transition(prepared, 0)
	if s.OwnsSockets {
		s.transition(prepared, now+s.Times.Answer)
	}
	return []Step{{Action: RestoreState}, send(Prepared)}
}

func (s *Successor) transition(state successorState, deadline monotime.Micros) {
	s.state = state
	s.deadline = deadline
}
