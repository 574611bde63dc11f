// Package takeover decides how one process takes over from another without a gap: a Giver, which serves, and a
// Taker, which is to. Both are deterministic state machines for one caller at a time; their hosts pass events with
// their instants and carry out the actions that come back, in order. The package knows neither sockets nor
// processes.
//
// The messages, in order:
//
//	taker   Hello      it wants to take over
//	giver   Offer      the listening sockets, and what the giver knows so far
//	taker   Ready      it has started and could serve
//	giver   Go         the giver accepts nothing more; what it knows now, and what cold endpoints may still get
//	taker   Prepared   it has taken that in
//	giver   Yours      the taker accepts from now on, alone
//	giver   (connections at rest, as they come)
//	giver   Done       nothing is left; the giver ends
//
// A taker may become a giver itself before its own giver is done. It then says Passed to that one, which must not go on
// serving should the connection end: whom it gave to is not the last any more.
//
// Between Go and Yours nobody accepts, and who connects waits in the sockets' queue; that is two messages on one
// machine. Up to Yours the giver can go on as if nothing had been, and does so when the taker ends, hangs or says
// no. Only Yours makes the taker accept, or the end of a giver that no longer holds the sockets: so no two accept
// at once, and what cold endpoints may get is never spent by both.
package takeover

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Version is that of the messages. A Taker of another version is turned away.
const Version = 1

// Times bound the steps.
type Times struct {
	Ready  monotime.Micros // from Offer to Ready
	Answer monotime.Micros // from a message to its answer, where that takes no work
	Drain  monotime.Micros // from Yours to Done
}

// Event is what happened.
type Event uint8

// The events. Those of the messages are named by them.
const (
	Hello Event = iota
	Offer
	Ready
	Handover
	Prepared
	Activate
	Done
	Stopping        // the taker ends in order: whoever was told to stop it wants no giver to go on
	Rejected        // the other side says no
	ConnectionLost  // the connection to the other side has ended without that
	DeadlineReached // the instant that Deadline named has come
	Stop            // the host was told to end
	Started         // Taker: the host could serve
	Drained         // Giver: the host holds no connection any more, and none will be handed to it
	HandedOver      // Taker: the host gives on to another that is to accept; the same to its own giver
	Resumed         // Taker: that one is lost, and the host accepts again; the same to its own giver
)

var eventNames = [...]string{"hello", "offer", "ready", "go", "prepared", "yours", "done", "stopping", "refused", "broken",
	"wake", "stop", "started", "drained", "passed", "took back"}

func (e Event) String() string { return eventNames[e] }

// Action is what a host is to do.
type Action uint8

// The actions.
const (
	Send                Action = iota // the message that Step names
	Disconnect                        // end the connection to the other side
	StopAccepting                     // Giver: accept nothing more, and leave the cold endpoints to the taker
	ResumeServing                     // Giver: accept again, keep connections, and take the cold endpoints back
	HandOverConnections               // Giver: hand connections over as they come to rest
	Drain                             // Giver: end what is open in order, as at any other stop; cold endpoints get nothing more
	DrainForSuccessor                 // Giver: as Drain, but somebody else accepts
	CloseRemaining                    // Giver: end what is still open
	Exit                              // the host's process is over
	StartWithOffer                    // Taker: start with what was offered
	RestoreState                      // Taker: take in what came with Go
	StartServing                      // Taker: serve
	StartAlone                        // Taker: there is nobody to take over from: start alone
	Fail                              // Taker: the process is over, and has taken nothing
)

var actionNames = [...]string{"send", "hang", "close", "reopen", "release", "drain", "finish", "cut", "end", "start", "take", "accept",
	"cold", "fail"}

func (a Action) String() string { return actionNames[a] }

// Step is one action.
type Step struct {
	Action  Action
	Message Event  // of Send
	Reason  string // of Send Refused and of Fail
}

func send(m Event) Step { return Step{Action: Send, Message: m} }

func rejectWith(reason string) []Step {
	return []Step{{Action: Send, Message: Rejected, Reason: reason}, {Action: Disconnect}}
}

// ---- The giver -------------------------------------------------------------

type predecessorState uint8

const (
	serving predecessorState = iota
	offered                  // to a taker that is starting
	paused                   // nobody accepts
	handingOver
	draining // without a taker, after a stop
	exited
)

var predecessorStateNames = [...]string{"serving", "offered", "closed", "releasing", "draining", "ended"}

// Giver is the process that serves. The zero value with Times set serves.
type Predecessor struct {
	Times Times

	state               predecessorState
	stopping            bool // told to end: it does not go on serving, whatever comes of the taker
	successorHandedOver bool // the taker has given on to another
	deadline            monotime.Micros
}

func (g *Predecessor) String() string { return predecessorStateNames[g.state] }

// Busy says whether a taker is being served: another is to be turned away.
func (g *Predecessor) HandingOver() bool { return g.state != serving }

// Deadline returns the instant at which Wake is due, 0 for none.
func (g *Predecessor) Deadline() monotime.Micros { return g.deadline }

// Step takes an event in. Events that cannot come in a state change nothing.
func (g *Predecessor) Step(now monotime.Micros, e Event) []Step {
	if e == DeadlineReached && (g.deadline == 0 || now < g.deadline) {
		return nil // an old one
	}
	switch g.state {
	case serving:
		switch e {
		case Hello:
			g.transition(offered, now+g.Times.Ready)
			return []Step{send(Offer)}
		case Stop:
			g.stopping = true
			g.transition(draining, now+g.Times.Drain)
			return []Step{{Action: Drain}}
		}
	case offered:
		switch e {
		case Ready:
			g.transition(paused, now+g.Times.Answer)
			return []Step{{Action: StopAccepting}, send(Handover)}
		case Stop:
			// The taker has the sockets, so whoever connects waits for it. It is given the time to start that it had.
			g.stopping = true
			g.transition(paused, g.deadline)
			return []Step{{Action: StopAccepting}, send(Handover)}
		case ConnectionLost, Rejected:
			g.transition(serving, 0)
			return []Step{{Action: Disconnect}}
		case DeadlineReached:
			g.transition(serving, 0)
			return rejectWith("not ready in time")
		}
	case paused:
		switch e {
		case Prepared:
			g.successorHandedOver = false
			g.transition(handingOver, now+g.Times.Drain)
			return []Step{send(Activate), {Action: HandOverConnections}}
		case Stop:
			g.stopping = true
		case ConnectionLost, Rejected:
			return append([]Step{{Action: Disconnect}}, g.resume(now)...)
		case DeadlineReached:
			if g.stopping {
				// The taker has the sockets, and nobody else will have them: without a word it serves once it can.
				return append([]Step{{Action: Disconnect}}, g.resume(now)...)
			}
			return append(rejectWith("no answer in time"), g.resume(now)...)
		}
	case handingOver:
		switch e {
		case Drained:
			g.transition(exited, 0)
			return []Step{send(Done), {Action: Disconnect}, {Action: Exit}}
		case DeadlineReached:
			g.transition(exited, 0)
			return []Step{{Action: CloseRemaining}, send(Done), {Action: Disconnect}, {Action: Exit}}
		case Stop:
			g.stopping = true
		case Stopping:
			// Nobody is to serve any more. What is open here has the time that it had.
			g.stopping = true
			deadline := g.deadline
			g.transition(draining, deadline)
			return []Step{{Action: Disconnect}, {Action: Drain}}
		case HandedOver:
			g.successorHandedOver = true
		case Resumed:
			g.successorHandedOver = false
		case ConnectionLost, Rejected:
			if g.successorHandedOver {
				g.transition(draining, g.deadline)
				return []Step{{Action: Disconnect}, {Action: DrainForSuccessor}}
			}
			return append([]Step{{Action: Disconnect}}, g.resume(now)...)
		}
	case draining:
		switch e {
		case Hello:
			return []Step{{Action: Disconnect}} // there is nothing to take over: it starts alone
		case Drained:
			g.transition(exited, 0)
			return []Step{{Action: Exit}}
		case DeadlineReached:
			g.transition(exited, 0)
			return []Step{{Action: CloseRemaining}, {Action: Exit}}
		}
	}
	return nil
}

// back is what follows when a taker to which all was left is not there any more.
func (g *Predecessor) resume(now monotime.Micros) []Step {
	if g.stopping {
		g.transition(draining, now+g.Times.Drain)
		return []Step{{Action: Drain}}
	}
	g.transition(serving, 0)
	return []Step{{Action: ResumeServing}}
}

func (g *Predecessor) transition(s predecessorState, deadline monotime.Micros) {
	g.state, g.deadline = s, deadline
}

// ---- The taker -------------------------------------------------------------

type successorState uint8

const (
	requesting successorState = iota
	starting
	ready    // for Go
	prepared // waits for Yours, however long: it may be on its way, and the giver may end right behind it
	accepting
	alone // there is no giver any more
	failed
)

var successorStateNames = [...]string{"asking", "starting", "waiting", "prepared", "accepting", "alone", "failed"}

// Taker is the process that is to serve. The zero value with Times set has not begun: call Begin, or Alone where
// nobody serves.
type Successor struct {
	Times Times

	// Sure says that the taker's sockets are its own, whatever the giver does: it does not end for the giver's sake, but
	// goes on with what it has been told so far. A giver that hangs may come to and serve beside it for a moment; what cold
	// endpoints may get is then spent by both, unless the giver was told to stop.
	OwnsSockets bool

	state            successorState
	handoverReceived bool // Go came before we were ready
	predecessorLost  bool // the giver ended before we were ready
	deadline         monotime.Micros
}

func (t *Successor) String() string { return successorStateNames[t.state] }

// Begin returns the first steps, once there is a connection to a giver.
func (t *Successor) Connected(now monotime.Micros) []Step {
	t.transition(requesting, now+t.Times.Answer)
	return []Step{send(Hello)}
}

// Alone says that there is nobody to take over from.
func (t *Successor) ServeAlone() { t.transition(alone, 0) }

// Deadline returns the instant at which Wake is due, 0 for none.
func (t *Successor) Deadline() monotime.Micros { return t.deadline }

// Serving says whether the taker accepts.
func (t *Successor) Serving() bool { return t.state == accepting || t.state == alone }

// Step takes an event in. Events that cannot come in a state change nothing.
func (t *Successor) Step(now monotime.Micros, e Event, reason string) []Step {
	if e == DeadlineReached && (t.deadline == 0 || now < t.deadline) {
		return nil // an old one
	}
	if e == Stop || e == Rejected || e == DeadlineReached {
		if t.Serving() || t.state == failed {
			if e == Stop && t.state == accepting {
				return []Step{send(Stopping)} // the giver, which still has connections, must not go on without us
			}
			return nil
		}
		if t.OwnsSockets && e != Stop {
			return t.proceedAlone()
		}
		why := map[Event]string{Stop: "told to stop", Rejected: "the serving process says no: " + reason,
			DeadlineReached: fmt.Sprintf("no progress in time while %v", t)}[e]
		t.transition(failed, 0)
		return []Step{{Action: Disconnect}, {Action: Fail, Reason: why}}
	}
	switch t.state {
	case requesting:
		switch e {
		case Offer:
			t.transition(starting, now+t.Times.Ready)
			return []Step{{Action: StartWithOffer}}
		case ConnectionLost:
			t.transition(alone, 0) // it ended before it gave us anything
			return []Step{{Action: Disconnect}, {Action: StartAlone}}
		}
	case starting:
		switch e {
		case Handover:
			t.handoverReceived = true
		case ConnectionLost:
			t.predecessorLost = true
			return []Step{{Action: Disconnect}}
		case Started:
			switch {
			case t.predecessorLost:
				t.transition(alone, 0)
				return []Step{{Action: StartServing}}
			case t.handoverReceived:
				return t.prepare(now)
			}
			t.transition(ready, now+t.Times.Answer)
			return []Step{send(Ready)}
		}
	case ready:
		switch e {
		case Handover:
			return t.prepare(now)
		case ConnectionLost:
			t.transition(alone, 0)
			return []Step{{Action: Disconnect}, {Action: StartServing}}
		}
	case prepared:
		switch e {
		case Activate:
			t.transition(accepting, 0)
			return []Step{{Action: StartServing}}
		case ConnectionLost:
			t.transition(alone, 0)
			return []Step{{Action: Disconnect}, {Action: StartServing}}
		}
	case accepting:
		switch e {
		case Done, ConnectionLost:
			t.transition(alone, 0)
			return []Step{{Action: Disconnect}}
		case HandedOver, Resumed:
			return []Step{send(e)}
		}
	}
	return nil
}

// goOn is what follows where nothing more is to be had of a giver.
func (t *Successor) proceedAlone() []Step {
	was := t.state
	switch was {
	case requesting:
		t.transition(alone, 0)
		return []Step{{Action: Disconnect}, {Action: StartAlone}}
	case starting:
		t.predecessorLost = true
		t.transition(starting, 0)
		return []Step{{Action: Disconnect}}
	}
	t.transition(alone, 0)
	return []Step{{Action: Disconnect}, {Action: StartServing}}
}

// prepare waits for Yours. Who is not sure waits however long: only Yours or the giver's end make it accept.
func (t *Successor) prepare(now monotime.Micros) []Step {
	t.transition(prepared, 0)
	if t.OwnsSockets {
		t.transition(prepared, now+t.Times.Answer)
	}
	return []Step{{Action: RestoreState}, send(Prepared)}
}

// Given says whether the giver may still hand connections over.
func (t *Successor) ReceivesConnections() bool { return t.state == accepting }

func (t *Successor) transition(s successorState, deadline monotime.Micros) {
	t.state, t.deadline = s, deadline
}
