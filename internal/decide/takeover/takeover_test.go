package takeover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"dunlinsail/internal/monotime"
)

var times = Times{Ready: 10, Answer: 2, Drain: 5}

// wire is one direction of the connection: the messages in flight, and whether the sender has disconnected after them.
type wire struct {
	messages []Event
	ended    bool
}

// side is one process.
type side struct {
	alive        bool
	disconnected bool // it has ended its connection
	stop         bool // it was requested to shut down
	accept       bool
	warmsUp      bool // it spends the warm-up budget
	ended        bool
}

// send puts a message on the outgoing wire, unless the process has disconnected.
func (x *side) send(out *wire, message Event) {
	if !x.disconnected {
		out.messages = append(out.messages, message)
	}
}

// disconnect ends the connection.
func (x *side) disconnect(out *wire) {
	x.disconnected = true
	out.ended = true
}

// setServing starts or ends accepting, and spending the warm-up budget.
func (x *side) setServing(serving bool) {
	x.accept = serving
	x.warmsUp = serving
}

// exit ends the process by itself.
func (x *side) exit(out *wire) {
	x.ended = true
	x.alive = false
	x.disconnect(out)
}

// kill ends the process from outside.
func (x *side) kill(out *wire) {
	x.alive = false
	x.setServing(false)
	x.disconnect(out)
}

// state is the state of both processes and their connection at an instant.
type state struct {
	predecessor                    Predecessor
	successor                      Successor
	predecessorSide, successorSide side
	toPredecessor, toSuccessor     wire
	started                        bool // the successor's host is able to serve
	killed                         bool // one of the two was killed
	timedOut                       bool // a deadline was reached
	restored                       bool // the successor has the final snapshot
	third                          bool // the successor has a successor of its own, which accepts
	thirdLost                      bool // that one was lost, once
	path                           string
}

// key identifies the state, apart from the way to it and the time.
func (s state) key() string {
	s.path = ""
	s.predecessor.deadline = min(1, s.predecessor.deadline) // any time may have passed
	s.successor.deadline = min(1, s.successor.deadline)
	return fmt.Sprintf("%+v", s)
}

func (s state) clone() state {
	s.toPredecessor.messages = slices.Clone(s.toPredecessor.messages)
	s.toSuccessor.messages = slices.Clone(s.toSuccessor.messages)
	return s
}

func (s *state) stepPredecessor(now monotime.Micros, e Event) {
	for _, x := range s.predecessor.Step(now, e) {
		switch x.Action {
		case Send:
			s.predecessorSide.send(&s.toSuccessor, x.Message)
		case Disconnect:
			s.predecessorSide.disconnect(&s.toSuccessor)
		case StopAccepting, Drain, DrainForSuccessor:
			s.predecessorSide.setServing(false)
		case ResumeServing:
			s.predecessorSide.setServing(true)
		case Exit:
			s.predecessorSide.setServing(false)
			s.predecessorSide.exit(&s.toSuccessor)
		}
	}
}

func (s *state) stepSuccessor(now monotime.Micros, e Event) {
	s.carryOutSuccessor(s.successor.Step(now, e, ""))
}

func (s *state) carryOutSuccessor(steps []Step) {
	for _, x := range steps {
		switch x.Action {
		case Send:
			s.successorSide.send(&s.toPredecessor, x.Message)
		case Disconnect:
			s.successorSide.disconnect(&s.toPredecessor)
		case RestoreState:
			s.restored = true
		case StartServing, StartAlone:
			s.successorSide.setServing(true)
		case Fail:
			s.successorSide.exit(&s.toPredecessor)
		}
	}
}

// addState adds a state that may follow; change makes it out of a copy of the present one.
type addState func(name string, change func(*state))

// next returns every state that may follow.
func (s state) next() []state {
	var all []state
	add := func(name string, change func(*state)) {
		n := s.clone()
		change(&n)
		n.path += " " + name
		all = append(all, n)
	}
	if s.predecessorSide.alive {
		s.predecessorEvents(add)
	}
	if s.successorSide.alive {
		s.successorEvents(add)
	}
	return all
}

// party gives access to one of the two processes of a state.
type party struct {
	name     string
	deadline monotime.Micros // at present
	side     func(*state) *side
	in       func(*state) *wire
	out      func(*state) *wire
	step     func(n *state, now monotime.Micros, e Event)
}

// commonEvents adds the events that may happen at either process.
func (s state) commonEvents(p party, add addState) {
	switch own, in := p.side(&s), p.in(&s); {
	case own.disconnected:
	case len(in.messages) > 0:
		add(p.name+"<"+in.messages[0].String(), func(n *state) {
			in := p.in(n)
			e := in.messages[0]
			in.messages = in.messages[1:]
			p.step(n, 0, e)
		})
	case in.ended:
		add(p.name+"<broken", func(n *state) { p.step(n, 0, ConnectionLost) })
	}
	if p.deadline != 0 {
		add(p.name+":deadline", func(n *state) {
			n.timedOut = true
			p.step(n, p.deadline, DeadlineReached)
		})
	}
	if !p.side(&s).stop {
		add(p.name+":stop", func(n *state) {
			p.side(n).stop = true
			p.step(n, 0, Stop)
		})
	}
	add(p.name+":killed", func(n *state) {
		n.killed = true
		p.side(n).kill(p.out(n))
	})
}

// predecessorEvents adds the events that may happen at the predecessor.
func (s state) predecessorEvents(add addState) {
	s.commonEvents(party{
		name:     "p",
		deadline: s.predecessor.Deadline(),
		side:     func(n *state) *side { return &n.predecessorSide },
		in:       func(n *state) *wire { return &n.toPredecessor },
		out:      func(n *state) *wire { return &n.toSuccessor },
		step:     (*state).stepPredecessor,
	}, add)
	if s.predecessor.state == handingOver || s.predecessor.state == draining {
		add("p:drained", func(n *state) { n.stepPredecessor(0, Drained) })
	}
}

// successorEvents adds the events that may happen at the successor.
func (s state) successorEvents(add addState) {
	s.commonEvents(party{
		name:     "s",
		deadline: s.successor.Deadline(),
		side:     func(n *state) *side { return &n.successorSide },
		in:       func(n *state) *wire { return &n.toSuccessor },
		out:      func(n *state) *wire { return &n.toPredecessor },
		step: func(n *state, now monotime.Micros, e Event) {
			n.stepSuccessor(now, e)
			if e == Stop {
				n.successorSide.accept = false
			}
		},
	}, add)
	if s.successor.state == starting && !s.started {
		add("s:started", func(n *state) {
			n.started = true
			n.stepSuccessor(0, Started)
		})
	}
	s.thirdEvents(add)
}

// thirdEvents adds the events that may happen between the successor and a successor of its own.
func (s state) thirdEvents(add addState) {
	if s.successorSide.accept && !s.successorSide.stop && !s.thirdLost {
		add("s:hands-over", func(n *state) {
			n.stepSuccessor(0, HandedOver)
			n.successorSide.setServing(false)
			n.third = true
		})
	}
	if !s.third {
		return
	}
	add("s:resumes", func(n *state) {
		n.stepSuccessor(0, Resumed)
		n.successorSide.setServing(!n.successorSide.stop)
		n.third = false
		n.thirdLost = true
	})
	add("s:ends", func(n *state) { n.successorSide.exit(&n.toPredecessor) })
}

// faults are the events that do not happen by themselves.
var faults = []string{"p:stop", "s:stop", "p:killed", "s:killed", "s:hands-over", "s:resumes", "s:ends"}

// exploration visits all states that can be reached.
type exploration struct {
	*testing.T
	seen  map[string]bool
	queue []state

	ends     int // states in which nothing more happens without a fault or a deadline
	handed   int // ends in which the successor serves in place of the predecessor
	handedOn int // ends in which the successor's successor does
}

// visit queues a state unless it was seen before.
func (x *exploration) visit(s state) {
	if key := s.key(); !x.seen[key] {
		x.seen[key] = true
		x.queue = append(x.queue, s)
	}
}

// expand visits the states that may follow. quiet reports that without a fault nothing more happens, still that only
// deadlines do.
func (x *exploration) expand(s state) (quiet, still bool) {
	quiet = true
	still = true
	for _, n := range s.next() {
		step := n.path[strings.LastIndexByte(n.path, ' ')+1:]
		if !slices.Contains(faults, step) && n.key() != s.key() {
			quiet = false
			still = still && strings.HasSuffix(step, ":deadline")
		}
		x.visit(n)
	}
	return quiet, still
}

// requireExclusive ends the test if two processes accept, or spend the warm-up budget.
func (x *exploration) requireExclusive(s *state) {
	x.Helper()
	if s.predecessorSide.accept && (s.successorSide.accept || s.third) {
		x.Fatalf("two accept after:%s", s.path)
	}
	if s.predecessorSide.warmsUp && (s.successorSide.warmsUp || s.third) {
		x.Fatalf("two spend the warm-up budget after:%s", s.path)
	}
}

// requireServing ends the test if no process serves in an end, unless all that could were stopped or killed.
func (x *exploration) requireServing(s *state) {
	x.Helper()
	x.ends++
	switch {
	case s.successorSide.accept && s.restored && s.predecessorSide.ended:
		x.handed++
	case s.predecessorSide.accept || s.successorSide.accept || s.third:
		if s.third && s.predecessorSide.ended {
			x.handedOn++
		}
	case s.thirdLost && !s.successorSide.alive: // the last of three processes and the one before it have ended
	case s.successorSide.stop: // as requested
	case s.predecessorSide.stop && (s.killed || s.timedOut): // the only process left, or the last, was stopped
	case !s.predecessorSide.alive && !s.successorSide.alive && s.killed: // no process is left
	default:
		x.Fatalf("no process serves after:%s\n%+v", s.path, s)
	}
}

// requireNotStuck ends the test if a process waits forever, or no longer serves though it should.
func (x *exploration) requireNotStuck(s *state) {
	x.Helper()
	predecessor := &s.predecessorSide
	successor := &s.successorSide
	if predecessor.alive && s.predecessor.HandingOver() {
		x.Fatalf("the predecessor is stuck while %v after:%s", &s.predecessor, s.path)
	}
	if successor.alive && !successor.accept && !successor.stop && !s.third {
		x.Fatalf("the successor is stuck while %v after:%s", &s.successor, s.path)
	}
	mustServe := !successor.alive && !predecessor.stop && !successor.stop && !s.third && !s.thirdLost
	if mustServe && predecessor.alive && !predecessor.accept {
		x.Fatalf("the predecessor serves no more after:%s", s.path)
	}
}

// For any order of kills, stops, deadlines and losses: two processes never accept at once or spend the warm-up budget
// at once, and in the end one serves, unless both have ended or one was requested to shut down.
func TestEveryInterleaving(t *testing.T) {
	first := state{
		predecessor:     Predecessor{Times: times},
		successor:       Successor{Times: times},
		predecessorSide: side{alive: true, accept: true, warmsUp: true},
		successorSide:   side{alive: true},
	}
	first.carryOutSuccessor(first.successor.Connected(0))
	x := exploration{T: t, seen: map[string]bool{}}
	x.visit(first)
	for len(x.queue) > 0 {
		s := x.queue[0]
		x.queue = x.queue[1:]
		x.requireExclusive(&s)
		quiet, still := x.expand(s)
		if still {
			x.requireServing(&s)
		}
		if quiet {
			x.requireNotStuck(&s)
		}
	}
	if len(x.seen) < 500 || x.ends < 20 || x.handed == 0 || x.handedOn == 0 {
		t.Errorf("only %d states, %d ends, %d of them handed over: too little was tried", len(x.seen), x.ends, x.handed)
	}
	t.Logf("%d states, %d ends", len(x.seen), x.ends)
}

// A hot restart without faults has these steps, in this order.
func TestHotRestartWithoutFaults(t *testing.T) {
	predecessor := Predecessor{Times: times}
	successor := Successor{Times: times}
	log := func(steps []Step) string {
		var b strings.Builder
		for _, s := range steps {
			if s.Action == Send {
				fmt.Fprintf(&b, "send %v ", s.Message)
			} else {
				fmt.Fprintf(&b, "%v ", s.Action)
			}
		}
		return strings.TrimSpace(b.String())
	}
	for _, tc := range []struct {
		got  []Step
		want string
	}{
		{successor.Connected(0), "send hello"},
		{predecessor.Step(0, Hello), "send offer"},
		{successor.Step(1, Offer, ""), "start with offer"},
		{successor.Step(4, Started, ""), "send ready"},
		{predecessor.Step(4, Ready), "stop accepting send handover"},
		{successor.Step(5, Handover, ""), "restore state send prepared"},
		{predecessor.Step(5, Prepared), "send activate hand over connections"},
		{successor.Step(5, Activate, ""), "start serving"},
		{predecessor.Step(7, Drained), "send done disconnect exit"},
		{successor.Step(7, Done, ""), "disconnect"},
	} {
		if got := log(tc.got); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
	if successor.Deadline() != 0 || predecessor.Deadline() != 0 || !successor.Serving() {
		t.Errorf("predecessor %v, successor %v", &predecessor, &successor)
	}
}

// A successor that is requested to shut down while connections are still handed to it notifies the predecessor, which
// must not serve again.
func TestSuccessorStopsWhileConnectionsAreHandedOver(t *testing.T) {
	predecessor := Predecessor{Times: times}
	predecessor.transition(handingOver, 9)
	successor := Successor{Times: times}
	successor.transition(accepting, 0)
	steps := successor.Step(1, Stop, "")
	if len(steps) != 1 || steps[0].Message != Stopping {
		t.Fatalf("the successor: %+v", steps)
	}
	steps = predecessor.Step(1, Stopping)
	if len(steps) != 2 || steps[1].Action != Drain || predecessor.Deadline() != 9 {
		t.Errorf("the predecessor: %+v until %d", steps, predecessor.Deadline())
	}
	if steps = predecessor.Step(2, ConnectionLost); steps != nil {
		t.Errorf("then: %+v", steps)
	}
}

// A successor that hangs is rejected at its deadline and not before.
func TestHungSuccessorIsRejectedAtItsDeadline(t *testing.T) {
	predecessor := Predecessor{Times: times}
	predecessor.Step(0, Hello)
	if !predecessor.HandingOver() || predecessor.Deadline() != 10 {
		t.Fatalf("%v until %d", &predecessor, predecessor.Deadline())
	}
	if steps := predecessor.Step(9, DeadlineReached); steps != nil {
		t.Errorf("before the time: %v", steps)
	}
	steps := predecessor.Step(10, DeadlineReached)
	if len(steps) != 2 || steps[0].Message != Rejected || steps[0].Reason == "" || predecessor.HandingOver() {
		t.Errorf("at the time: %+v, then %v", steps, &predecessor)
	}
	// The next successor gets an offer.
	if steps := predecessor.Step(11, Hello); len(steps) != 1 || steps[0].Message != Offer {
		t.Errorf("the next: %+v", steps)
	}
}

// A successor that owns its sockets serves in time whatever the predecessor does, and fails only when it is stopped.
func TestSuccessorThatOwnsSocketsServesInTime(t *testing.T) {
	times := Times{Ready: 2_000_000, Answer: 1_000_000, Drain: 30_000_000}
	for seed := range uint64(2000) {
		runSocketOwner(t, seed, times)
	}
	stopped := Successor{Times: times, OwnsSockets: true}
	stopped.Connected(0)
	if steps := stopped.Step(1, Stop, ""); len(steps) == 0 || steps[len(steps)-1].Action != Fail {
		t.Errorf("stopped before it began: %v", steps)
	}
}

// runSocketOwner runs a successor that owns its sockets with random events of the predecessor, and checks that it
// serves, once, within six seconds.
func runSocketOwner(t *testing.T, seed uint64, times Times) {
	t.Helper()
	const timeLimit = 6_000_000
	fromPredecessor := []Event{Offer, Handover, Activate, Done, Rejected, ConnectionLost, Hello, Prepared}
	rng := rand.New(rand.NewPCG(seed, 3))
	host := socketOwner{T: t, seed: seed, successor: Successor{Times: times, OwnsSockets: true}}
	successor := &host.successor
	now := monotime.Micros(rng.IntN(1000))
	startedAt := now
	host.carryOut(successor.Connected(now))
	for !successor.Serving() && now-startedAt < timeLimit {
		now += monotime.Micros(rng.IntN(300_000))
		switch {
		case successor.Deadline() != 0 && now >= successor.Deadline():
			host.carryOut(successor.Step(now, DeadlineReached, ""))
		case host.started && rng.IntN(4) == 0:
			host.carryOut(successor.Step(now, Started, ""))
		case !host.disconnected && rng.IntN(3) == 0:
			host.carryOut(successor.Step(now, fromPredecessor[rng.IntN(len(fromPredecessor))], "no sense"))
		}
	}
	if !successor.Serving() || host.served != 1 {
		t.Fatalf("seed %d: %v after %d ms, served %d times", seed, successor, (now-startedAt)/1000, host.served)
	}
}

// socketOwner is the host of a successor that owns its sockets.
type socketOwner struct {
	*testing.T
	seed         uint64
	successor    Successor
	started      bool // the start has begun
	disconnected bool
	served       int // number of steps that let it serve
}

func (h *socketOwner) carryOut(steps []Step) {
	h.Helper()
	for _, s := range steps {
		switch s.Action {
		case StartWithOffer:
			h.started = true
		case Disconnect:
			h.disconnected = true
		case StartServing, StartAlone:
			h.served++
		case Fail:
			h.Fatalf("seed %d: failed: %s", h.seed, s.Reason)
		case Send:
			if h.disconnected {
				h.Fatalf("seed %d: sends %v to a predecessor it has disconnected from", h.seed, s.Message)
			}
		}
	}
}
