package takeover

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// successorState is a state of a Successor.
type successorState uint8

const (
	requesting successorState = iota // Hello is sent, Offer is awaited
	starting                         // Offer is received, and the host is starting
	ready                            // Ready is sent, Handover is awaited
	prepared                         // Prepared is sent, Activate is awaited
	accepting                        // the successor accepts; the predecessor may still hand over connections
	alone                            // the successor accepts, and there is no predecessor or it is lost or done
	failed
)

var successorStateNames = [...]string{
	"requesting", "starting", "ready", "prepared", "accepting", "alone", "failed",
}

// Successor is the state machine of the process that takes over. It must be started by Connected, or by ServeAlone if
// there is no predecessor.
type Successor struct {
	Times Times

	// OwnsSockets is set if the successor has opened its own listening sockets. If the predecessor rejects the hot
	// restart or misses a deadline, such a successor does not fail but serves with what it has received so far. If the
	// predecessor has only hung and recovers, both processes then serve and spend the warm-up budget for a moment,
	// unless the predecessor was requested to shut down.
	OwnsSockets bool

	progress[successorState]
	handoverReceived bool // Handover was received before the host was able to serve
	predecessorLost  bool // the predecessor ended before the host was able to serve
}

// String returns the name of the state in logs.
func (s *Successor) String() string { return successorStateNames[s.state] }

// Connected starts a hot restart over a new connection to the predecessor, and returns the first steps.
func (s *Successor) Connected(now monotime.Micros) []Step {
	s.transition(requesting, now+s.Times.Reply)
	return []Step{sendMessage(Hello)}
}

// ServeAlone makes the successor accept without a hot restart, because there is no predecessor.
func (s *Successor) ServeAlone() { s.transition(alone, 0) }

// Serving reports whether the successor accepts connections.
func (s *Successor) Serving() bool { return s.state == accepting || s.state == alone }

// ReceivesConnections reports whether the predecessor may still hand over connections.
func (s *Successor) ReceivesConnections() bool { return s.state == accepting }

// PostponeForPendingMessage postpones the deadline of the current state if it has passed, at most once per
// state, and reports whether it was postponed. The host calls it if a message from the predecessor has arrived
// and is not handled yet: the deadline may have passed only because this process was suspended for a while.
func (s *Successor) PostponeForPendingMessage(now monotime.Micros) bool {
	awaitsMessage := s.state == requesting || s.state == ready || s.state == prepared
	return awaitsMessage && s.postpone(now, s.Times.Reply)
}

// Step handles an event and returns the steps to execute. Events that are not expected in the current state are
// ignored. reason is the reason of a Rejected event, and is not used for other events.
func (s *Successor) Step(now monotime.Micros, event Event, reason string) []Step {
	if s.isPrematureDeadline(now, event) {
		return nil
	}
	if event == Stop || event == Rejected || event == DeadlineReached {
		return s.abort(event, reason)
	}
	switch s.state {
	case requesting:
		return s.stepWhileRequesting(now, event)
	case starting:
		return s.stepWhileStarting(now, event)
	case ready:
		return s.stepWhileReady(now, event)
	case prepared:
		return s.stepWhilePrepared(event)
	case accepting:
		return s.stepWhileAccepting(event)
	}
	return nil
}

// abort handles Stop, Rejected and DeadlineReached. Before Activate they end the hot restart: the process fails, or
// proceeds alone if it owns its sockets and was not requested to shut down. After Activate only Stop has an effect.
func (s *Successor) abort(event Event, reason string) []Step {
	if event == Stop && s.state == accepting {
		return []Step{sendMessage(Stopping)} // the predecessor still has connections, and must not serve again
	}
	if s.Serving() || s.state == failed {
		return nil
	}
	if s.OwnsSockets && event != Stop {
		return s.proceedAlone()
	}
	var failReason string
	switch event {
	case Stop:
		failReason = "told to stop"
	case Rejected:
		failReason = "the serving process rejected the hot restart: " + reason
	case DeadlineReached:
		failReason = fmt.Sprintf("no progress in time while %v", s)
	}
	s.transition(failed, 0)
	return []Step{{Action: Disconnect}, {Action: Fail, Reason: failReason}}
}

func (s *Successor) stepWhileRequesting(now monotime.Micros, event Event) []Step {
	switch event {
	case Offer:
		s.transition(starting, now+s.Times.Ready)
		return []Step{{Action: StartWithOffer}}
	case ConnectionLost:
		s.transition(alone, 0) // the predecessor ended before it sent Offer
		return []Step{{Action: Disconnect}, {Action: StartAlone}}
	}
	return nil
}

func (s *Successor) stepWhileStarting(now monotime.Micros, event Event) []Step {
	switch event {
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
		s.transition(ready, now+s.Times.Reply)
		return []Step{sendMessage(Ready)}
	}
	return nil
}

func (s *Successor) stepWhileReady(now monotime.Micros, event Event) []Step {
	switch event {
	case Handover:
		return s.prepare(now)
	case ConnectionLost:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}, {Action: StartServing}}
	}
	return nil
}

func (s *Successor) stepWhilePrepared(event Event) []Step {
	switch event {
	case Activate:
		s.transition(accepting, 0)
		return []Step{{Action: StartServing}}
	case ConnectionLost:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}, {Action: StartServing}}
	}
	return nil
}

func (s *Successor) stepWhileAccepting(event Event) []Step {
	switch event {
	case Done, ConnectionLost:
		s.transition(alone, 0)
		return []Step{{Action: Disconnect}}
	case HandedOver, Resumed:
		return []Step{sendMessage(event)}
	}
	return nil
}

// proceedAlone continues without the predecessor, using the sockets and snapshots that were received so far.
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

// prepare returns the steps that restore the final snapshot, and waits for Activate. Without OwnsSockets there is no
// deadline: only Activate or the end of the predecessor lets the successor accept.
func (s *Successor) prepare(now monotime.Micros) []Step {
	s.transition(prepared, 0)
	if s.OwnsSockets {
		s.transition(prepared, now+s.Times.Reply)
	}
	return []Step{{Action: RestoreState}, sendMessage(Prepared)}
}
