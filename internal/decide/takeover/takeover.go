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
	Go
	Prepared
	Yours
	Done
	Stopping // the taker ends in order: whoever was told to stop it wants no giver to go on
	Refused  // the other side says no
	Broken   // the connection to the other side has ended without that
	Wake     // the instant that Deadline named has come
	Stop     // the host was told to end
	Started  // Taker: the host could serve
	Drained  // Giver: the host holds no connection any more, and none will be handed to it
	Passed   // Taker: the host gives on to another that is to accept; the same to its own giver
	TookBack // Taker: that one is lost, and the host accepts again; the same to its own giver
)

var events = [...]string{"hello", "offer", "ready", "go", "prepared", "yours", "done", "stopping", "refused", "broken",
	"wake", "stop", "started", "drained", "passed", "took back"}

func (e Event) String() string { return events[e] }

// Action is what a host is to do.
type Action uint8

// The actions.
const (
	Send    Action = iota // the message that Step names
	Hang                  // end the connection to the other side
	Close                 // Giver: accept nothing more, and leave the cold endpoints to the taker
	Reopen                // Giver: accept again, keep connections, and take the cold endpoints back
	Release               // Giver: hand connections over as they come to rest
	Drain                 // Giver: end what is open in order, as at any other stop; cold endpoints get nothing more
	Finish                // Giver: as Drain, but somebody else accepts
	Cut                   // Giver: end what is still open
	End                   // the host's process is over
	Start                 // Taker: start with what was offered
	Take                  // Taker: take in what came with Go
	Accept                // Taker: serve
	Cold                  // Taker: there is nobody to take over from: start alone
	Fail                  // Taker: the process is over, and has taken nothing
)

var actions = [...]string{"send", "hang", "close", "reopen", "release", "drain", "finish", "cut", "end", "start", "take", "accept",
	"cold", "fail"}

func (a Action) String() string { return actions[a] }

// Step is one action.
type Step struct {
	Action  Action
	Message Event  // of Send
	Reason  string // of Send Refused and of Fail
}

func send(m Event) Step { return Step{Action: Send, Message: m} }

func refuse(reason string) []Step {
	return []Step{{Action: Send, Message: Refused, Reason: reason}, {Action: Hang}}
}

// ---- The giver -------------------------------------------------------------

type giverState uint8

const (
	serving giverState = iota
	offered            // to a taker that is starting
	closed             // nobody accepts
	releasing
	draining // without a taker, after a stop
	ended
)

var giverStates = [...]string{"serving", "offered", "closed", "releasing", "draining", "ended"}

// Giver is the process that serves. The zero value with Times set serves.
type Giver struct {
	Times Times

	state    giverState
	stopping bool // told to end: it does not go on serving, whatever comes of the taker
	passed   bool // the taker has given on to another
	deadline monotime.Micros
}

func (g *Giver) String() string { return giverStates[g.state] }

// Busy says whether a taker is being served: another is to be turned away.
func (g *Giver) Busy() bool { return g.state != serving }

// Deadline returns the instant at which Wake is due, 0 for none.
func (g *Giver) Deadline() monotime.Micros { return g.deadline }

// Step takes an event in. Events that cannot come in a state change nothing.
func (g *Giver) Step(now monotime.Micros, e Event) []Step {
	if e == Wake && (g.deadline == 0 || now < g.deadline) {
		return nil // an old one
	}
	switch g.state {
	case serving:
		switch e {
		case Hello:
			g.to(offered, now+g.Times.Ready)
			return []Step{send(Offer)}
		case Stop:
			g.stopping = true
			g.to(draining, now+g.Times.Drain)
			return []Step{{Action: Drain}}
		}
	case offered:
		switch e {
		case Ready:
			g.to(closed, now+g.Times.Answer)
			return []Step{{Action: Close}, send(Go)}
		case Stop:
			// The taker has the sockets, so whoever connects waits for it. It is given the time to start that it had.
			g.stopping = true
			g.to(closed, g.deadline)
			return []Step{{Action: Close}, send(Go)}
		case Broken, Refused:
			g.to(serving, 0)
			return []Step{{Action: Hang}}
		case Wake:
			g.to(serving, 0)
			return refuse("not ready in time")
		}
	case closed:
		switch e {
		case Prepared:
			g.passed = false
			g.to(releasing, now+g.Times.Drain)
			return []Step{send(Yours), {Action: Release}}
		case Stop:
			g.stopping = true
		case Broken, Refused:
			return append([]Step{{Action: Hang}}, g.back(now)...)
		case Wake:
			if g.stopping {
				// The taker has the sockets, and nobody else will have them: without a word it serves once it can.
				return append([]Step{{Action: Hang}}, g.back(now)...)
			}
			return append(refuse("no answer in time"), g.back(now)...)
		}
	case releasing:
		switch e {
		case Drained:
			g.to(ended, 0)
			return []Step{send(Done), {Action: Hang}, {Action: End}}
		case Wake:
			g.to(ended, 0)
			return []Step{{Action: Cut}, send(Done), {Action: Hang}, {Action: End}}
		case Stop:
			g.stopping = true
		case Stopping:
			// Nobody is to serve any more. What is open here has the time that it had.
			g.stopping = true
			deadline := g.deadline
			g.to(draining, deadline)
			return []Step{{Action: Hang}, {Action: Drain}}
		case Passed:
			g.passed = true
		case TookBack:
			g.passed = false
		case Broken, Refused:
			if g.passed {
				g.to(draining, g.deadline)
				return []Step{{Action: Hang}, {Action: Finish}}
			}
			return append([]Step{{Action: Hang}}, g.back(now)...)
		}
	case draining:
		switch e {
		case Hello:
			return []Step{{Action: Hang}} // there is nothing to take over: it starts alone
		case Drained:
			g.to(ended, 0)
			return []Step{{Action: End}}
		case Wake:
			g.to(ended, 0)
			return []Step{{Action: Cut}, {Action: End}}
		}
	}
	return nil
}

// back is what follows when a taker to which all was left is not there any more.
func (g *Giver) back(now monotime.Micros) []Step {
	if g.stopping {
		g.to(draining, now+g.Times.Drain)
		return []Step{{Action: Drain}}
	}
	g.to(serving, 0)
	return []Step{{Action: Reopen}}
}

func (g *Giver) to(s giverState, deadline monotime.Micros) { g.state, g.deadline = s, deadline }

// ---- The taker -------------------------------------------------------------

type takerState uint8

const (
	asking takerState = iota
	starting
	waiting  // for Go
	prepared // waits for Yours, however long: it may be on its way, and the giver may end right behind it
	accepting
	alone // there is no giver any more
	failed
)

var takerStates = [...]string{"asking", "starting", "waiting", "prepared", "accepting", "alone", "failed"}

// Taker is the process that is to serve. The zero value with Times set has not begun: call Begin, or Alone where
// nobody serves.
type Taker struct {
	Times Times

	// Sure says that the taker's sockets are its own, whatever the giver does: it does not end for the giver's sake, but
	// goes on with what it has been told so far. A giver that hangs may come to and serve beside it for a moment; what cold
	// endpoints may get is then spent by both, unless the giver was told to stop.
	Sure bool

	state    takerState
	gone     bool // Go came before we were ready
	orphan   bool // the giver ended before we were ready
	deadline monotime.Micros
}

func (t *Taker) String() string { return takerStates[t.state] }

// Begin returns the first steps, once there is a connection to a giver.
func (t *Taker) Begin(now monotime.Micros) []Step {
	t.to(asking, now+t.Times.Answer)
	return []Step{send(Hello)}
}

// Alone says that there is nobody to take over from.
func (t *Taker) Alone() { t.to(alone, 0) }

// Deadline returns the instant at which Wake is due, 0 for none.
func (t *Taker) Deadline() monotime.Micros { return t.deadline }

// Serving says whether the taker accepts.
func (t *Taker) Serving() bool { return t.state == accepting || t.state == alone }

// Step takes an event in. Events that cannot come in a state change nothing.
func (t *Taker) Step(now monotime.Micros, e Event, reason string) []Step {
	if e == Wake && (t.deadline == 0 || now < t.deadline) {
		return nil // an old one
	}
	if e == Stop || e == Refused || e == Wake {
		if t.Serving() || t.state == failed {
			if e == Stop && t.state == accepting {
				return []Step{send(Stopping)} // the giver, which still has connections, must not go on without us
			}
			return nil
		}
		if t.Sure && e != Stop {
			return t.goOn()
		}
		why := map[Event]string{Stop: "told to stop", Refused: "the serving process says no: " + reason,
			Wake: fmt.Sprintf("no progress in time while %v", t)}[e]
		t.to(failed, 0)
		return []Step{{Action: Hang}, {Action: Fail, Reason: why}}
	}
	switch t.state {
	case asking:
		switch e {
		case Offer:
			t.to(starting, now+t.Times.Ready)
			return []Step{{Action: Start}}
		case Broken:
			t.to(alone, 0) // it ended before it gave us anything
			return []Step{{Action: Hang}, {Action: Cold}}
		}
	case starting:
		switch e {
		case Go:
			t.gone = true
		case Broken:
			t.orphan = true
			return []Step{{Action: Hang}}
		case Started:
			switch {
			case t.orphan:
				t.to(alone, 0)
				return []Step{{Action: Accept}}
			case t.gone:
				return t.prepare(now)
			}
			t.to(waiting, now+t.Times.Answer)
			return []Step{send(Ready)}
		}
	case waiting:
		switch e {
		case Go:
			return t.prepare(now)
		case Broken:
			t.to(alone, 0)
			return []Step{{Action: Hang}, {Action: Accept}}
		}
	case prepared:
		switch e {
		case Yours:
			t.to(accepting, 0)
			return []Step{{Action: Accept}}
		case Broken:
			t.to(alone, 0)
			return []Step{{Action: Hang}, {Action: Accept}}
		}
	case accepting:
		switch e {
		case Done, Broken:
			t.to(alone, 0)
			return []Step{{Action: Hang}}
		case Passed, TookBack:
			return []Step{send(e)}
		}
	}
	return nil
}

// goOn is what follows where nothing more is to be had of a giver.
func (t *Taker) goOn() []Step {
	was := t.state
	switch was {
	case asking:
		t.to(alone, 0)
		return []Step{{Action: Hang}, {Action: Cold}}
	case starting:
		t.orphan = true
		t.to(starting, 0)
		return []Step{{Action: Hang}}
	}
	t.to(alone, 0)
	return []Step{{Action: Hang}, {Action: Accept}}
}

// prepare waits for Yours. Who is not sure waits however long: only Yours or the giver's end make it accept.
func (t *Taker) prepare(now monotime.Micros) []Step {
	t.to(prepared, 0)
	if t.Sure {
		t.to(prepared, now+t.Times.Answer)
	}
	return []Step{{Action: Take}, send(Prepared)}
}

// Given says whether the giver may still hand connections over.
func (t *Taker) Given() bool { return t.state == accepting }

func (t *Taker) to(s takerState, deadline monotime.Micros) { t.state, t.deadline = s, deadline }
