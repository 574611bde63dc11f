package takeover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"dunlinsail/internal/monotime"
)

var testTimes = Times{Ready: 10, Reply: 2, Drain: 5}

// messageStream is one direction of the connection between predecessor and successor: the messages in flight, and
// whether the sender has closed the connection after them.
type messageStream struct {
	messages []Event
	closed   bool
}

// process is the simulated host of the predecessor or of the successor.
type process struct {
	alive              bool
	disconnected       bool // the process has closed its end of the connection
	stopRequested      bool // Stop was passed to its state machine
	accepting          bool // the process accepts connections
	spendsWarmupBudget bool // the process spends the warm-up budget
	hasExited          bool // the process has ended without being killed
}

// send adds a message to the outgoing stream, unless the process has disconnected.
func (p *process) send(outgoing *messageStream, message Event) {
	if !p.disconnected {
		outgoing.messages = append(outgoing.messages, message)
	}
}

// disconnect closes the process's end of the connection.
func (p *process) disconnect(outgoing *messageStream) {
	p.disconnected = true
	outgoing.closed = true
}

// setServing sets whether the process accepts connections and spends the warm-up budget.
func (p *process) setServing(serving bool) {
	p.accepting = serving
	p.spendsWarmupBudget = serving
}

// exit ends the process as requested by its state machine.
func (p *process) exit(outgoing *messageStream) {
	p.hasExited = true
	p.alive = false
	p.disconnect(outgoing)
}

// kill ends the process at any time, as a crash would, without a request of its state machine.
func (p *process) kill(outgoing *messageStream) {
	p.alive = false
	p.setServing(false)
	p.disconnect(outgoing)
}

// systemState is the state of the predecessor, the successor and their connection at one point of an interleaving.
type systemState struct {
	predecessor                          Predecessor
	successor                            Successor
	predecessorProcess, successorProcess process
	toPredecessor, toSuccessor           messageStream
	successorStarted                     bool   // the successor's host is able to serve
	anyKilled                            bool   // predecessor or successor was killed
	anyDeadlineReached                   bool   // DeadlineReached was passed to predecessor or successor
	finalStateRestored                   bool   // the successor has restored the final snapshot
	nextSuccessorServes                  bool   // the next successor has taken over from the successor and accepts
	nextSuccessorLost                    bool   // the next successor was lost
	eventPath                            string // names of the events that led to this state
}

// key returns a string that identifies the state, without the events that led to it and without time.
func (s systemState) key() string {
	s.eventPath = ""
	// States are equal if their deadlines differ, unless only one of them has a deadline.
	s.predecessor.deadline = min(1, s.predecessor.deadline)
	s.successor.deadline = min(1, s.successor.deadline)
	return fmt.Sprintf("%+v", s)
}

func (s systemState) clone() systemState {
	s.toPredecessor.messages = slices.Clone(s.toPredecessor.messages)
	s.toSuccessor.messages = slices.Clone(s.toSuccessor.messages)
	return s
}

func (s *systemState) stepPredecessor(now monotime.Micros, event Event) {
	for _, step := range s.predecessor.Step(now, event) {
		switch step.Action {
		case Send:
			s.predecessorProcess.send(&s.toSuccessor, step.Message)
		case Disconnect:
			s.predecessorProcess.disconnect(&s.toSuccessor)
		case StopAccepting, Drain, DrainForSuccessor:
			s.predecessorProcess.setServing(false)
		case ResumeServing:
			s.predecessorProcess.setServing(true)
		case Exit:
			s.predecessorProcess.setServing(false)
			s.predecessorProcess.exit(&s.toSuccessor)
		}
	}
}

func (s *systemState) stepSuccessor(now monotime.Micros, event Event) {
	s.executeSuccessorSteps(s.successor.Step(now, event, ""))
}

func (s *systemState) executeSuccessorSteps(steps []Step) {
	for _, step := range steps {
		switch step.Action {
		case Send:
			s.successorProcess.send(&s.toPredecessor, step.Message)
		case Disconnect:
			s.successorProcess.disconnect(&s.toPredecessor)
		case RestoreState:
			s.finalStateRestored = true
		case StartServing, StartAlone:
			s.successorProcess.setServing(true)
		case Fail:
			s.successorProcess.exit(&s.toPredecessor)
		}
	}
}

// addNextState adds a state that may follow the current one. The added state is a copy of the current state, to which
// change applies an event. name is the name of that event.
type addNextState func(name string, change func(*systemState))

// nextStates returns, for each event that can happen in state s, the state after that event.
func (s systemState) nextStates() []systemState {
	var states []systemState
	add := func(name string, change func(*systemState)) {
		next := s.clone()
		change(&next)
		next.eventPath += " " + name
		states = append(states, next)
	}
	if s.predecessorProcess.alive {
		s.addPredecessorTransitions(add)
	}
	if s.successorProcess.alive {
		s.addSuccessorTransitions(add)
	}
	return states
}

// processAccess gives access to either the predecessor or the successor of a systemState.
type processAccess struct {
	name     string
	deadline monotime.Micros // current deadline, 0 for none
	process  func(*systemState) *process
	incoming func(*systemState) *messageStream
	outgoing func(*systemState) *messageStream
	step     func(next *systemState, now monotime.Micros, event Event)
}

// addCommonTransitions adds the next states for the events that can happen to the predecessor and to the successor: a
// message, a lost connection, a deadline, a shutdown request, and a kill. access selects one of the two processes.
func (s systemState) addCommonTransitions(access processAccess, add addNextState) {
	switch process, incoming := access.process(&s), access.incoming(&s); {
	case process.disconnected:
	case len(incoming.messages) > 0:
		add(access.name+"<"+incoming.messages[0].String(), func(next *systemState) {
			incoming := access.incoming(next)
			message := incoming.messages[0]
			incoming.messages = incoming.messages[1:]
			access.step(next, 0, message)
		})
	case incoming.closed:
		add(access.name+"<broken", func(next *systemState) { access.step(next, 0, ConnectionLost) })
	}
	if access.deadline != 0 {
		add(access.name+":deadline", func(next *systemState) {
			next.anyDeadlineReached = true
			access.step(next, access.deadline, DeadlineReached)
		})
	}
	if !access.process(&s).stopRequested {
		add(access.name+":stop", func(next *systemState) {
			access.process(next).stopRequested = true
			access.step(next, 0, Stop)
		})
	}
	add(access.name+":killed", func(next *systemState) {
		next.anyKilled = true
		access.process(next).kill(access.outgoing(next))
	})
}

// addPredecessorTransitions adds the next states for all events that can happen to the predecessor.
func (s systemState) addPredecessorTransitions(add addNextState) {
	s.addCommonTransitions(processAccess{
		name:     "p",
		deadline: s.predecessor.Deadline(),
		process:  func(next *systemState) *process { return &next.predecessorProcess },
		incoming: func(next *systemState) *messageStream { return &next.toPredecessor },
		outgoing: func(next *systemState) *messageStream { return &next.toSuccessor },
		step:     (*systemState).stepPredecessor,
	}, add)
	if s.predecessor.state == handingOver || s.predecessor.state == draining {
		add("p:drained", func(next *systemState) { next.stepPredecessor(0, Drained) })
	}
}

// addSuccessorTransitions adds the next states for all events that can happen to the successor.
func (s systemState) addSuccessorTransitions(add addNextState) {
	s.addCommonTransitions(processAccess{
		name:     "s",
		deadline: s.successor.Deadline(),
		process:  func(next *systemState) *process { return &next.successorProcess },
		incoming: func(next *systemState) *messageStream { return &next.toSuccessor },
		outgoing: func(next *systemState) *messageStream { return &next.toPredecessor },
		step: func(next *systemState, now monotime.Micros, event Event) {
			next.stepSuccessor(now, event)
			if event == Stop {
				next.successorProcess.accepting = false
			}
		},
	}, add)
	if s.successor.state == starting && !s.successorStarted {
		add("s:started", func(next *systemState) {
			next.successorStarted = true
			next.stepSuccessor(0, Started)
		})
	}
	s.addNextSuccessorTransitions(add)
}

// addNextSuccessorTransitions adds the next states for the events between the successor and the next successor, which
// takes over from it.
func (s systemState) addNextSuccessorTransitions(add addNextState) {
	if s.successorProcess.accepting && !s.successorProcess.stopRequested && !s.nextSuccessorLost {
		add("s:hands-over", func(next *systemState) {
			next.stepSuccessor(0, HandedOver)
			next.successorProcess.setServing(false)
			next.nextSuccessorServes = true
		})
	}
	if !s.nextSuccessorServes {
		return
	}
	add("s:resumes", func(next *systemState) {
		next.stepSuccessor(0, Resumed)
		next.successorProcess.setServing(!next.successorProcess.stopRequested)
		next.nextSuccessorServes = false
		next.nextSuccessorLost = true
	})
	add("s:ends", func(next *systemState) { next.successorProcess.exit(&next.toPredecessor) })
}

// exceptionalEvents are the events that happen only if a process is killed or requested to shut down, or if the next
// successor takes over from the successor.
var exceptionalEvents = []string{"p:stop", "s:stop", "p:killed", "s:killed", "s:hands-over", "s:resumes", "s:ends"}

// exploration visits every systemState that can be reached, breadth first.
type exploration struct {
	*testing.T
	visited map[string]bool
	queue   []systemState

	settledStates       int // states in which only deadlines and exceptional events can happen
	handedOverStates    int // settled states in which the successor serves in place of the predecessor
	nextSuccessorStates int // settled states in which the next successor serves
}

// enqueueIfNew adds a state to the queue unless it was added before.
func (search *exploration) enqueueIfNew(s systemState) {
	if key := s.key(); !search.visited[key] {
		search.visited[key] = true
		search.queue = append(search.queue, s)
	}
}

// expand adds the states that may follow s to the queue. terminal reports that no event except an exceptional one
// changes s, and onlyDeadlines that no event except a deadline or an exceptional one changes it.
func (search *exploration) expand(s systemState) (terminal, onlyDeadlines bool) {
	terminal = true
	onlyDeadlines = true
	for _, next := range s.nextStates() {
		event := next.eventPath[strings.LastIndexByte(next.eventPath, ' ')+1:]
		if !slices.Contains(exceptionalEvents, event) && next.key() != s.key() {
			terminal = false
			onlyDeadlines = onlyDeadlines && strings.HasSuffix(event, ":deadline")
		}
		search.enqueueIfNew(next)
	}
	return terminal, onlyDeadlines
}

// requireExclusive fails the test if two processes accept, or if two processes spend the warm-up budget.
func (search *exploration) requireExclusive(s *systemState) {
	search.Helper()
	if s.predecessorProcess.accepting && (s.successorProcess.accepting || s.nextSuccessorServes) {
		search.Fatalf("two accept after:%s", s.eventPath)
	}
	if s.predecessorProcess.spendsWarmupBudget && (s.successorProcess.spendsWarmupBudget || s.nextSuccessorServes) {
		search.Fatalf("two spend the warm-up budget after:%s", s.eventPath)
	}
}

// requireServing counts s as a settled state, and fails the test if no process serves in s although a process that
// could serve was neither killed nor requested to shut down.
func (search *exploration) requireServing(s *systemState) {
	search.Helper()
	search.settledStates++
	switch {
	case s.successorProcess.accepting && s.finalStateRestored && s.predecessorProcess.hasExited:
		search.handedOverStates++
	case s.predecessorProcess.accepting || s.successorProcess.accepting || s.nextSuccessorServes:
		if s.nextSuccessorServes && s.predecessorProcess.hasExited {
			search.nextSuccessorStates++
		}
	case s.nextSuccessorLost && !s.successorProcess.alive:
		// The successor has ended after the next successor, which had taken over from it, was lost.
	case s.successorProcess.stopRequested: // the successor was requested to shut down
	case s.predecessorProcess.stopRequested && (s.anyKilled || s.anyDeadlineReached):
		// The predecessor was requested to shut down, and a kill or a deadline ended the hot restart.
	case !s.predecessorProcess.alive && !s.successorProcess.alive && s.anyKilled: // no process is left
	default:
		search.Fatalf("no process serves after:%s\n%+v", s.eventPath, s)
	}
}

// requireNotStuck fails the test if a process in a terminal state waits for an event that cannot happen, or does not
// serve although it should.
func (search *exploration) requireNotStuck(s *systemState) {
	search.Helper()
	predecessor := &s.predecessorProcess
	successor := &s.successorProcess
	if predecessor.alive && s.predecessor.RejectsSuccessors() {
		search.Fatalf("the predecessor is stuck while %v after:%s", &s.predecessor, s.eventPath)
	}
	if successor.alive && !successor.accepting && !successor.stopRequested && !s.nextSuccessorServes {
		search.Fatalf("the successor is stuck while %v after:%s", &s.successor, s.eventPath)
	}
	mustServe := !successor.alive && !predecessor.stopRequested && !successor.stopRequested &&
		!s.nextSuccessorServes && !s.nextSuccessorLost
	if mustServe && predecessor.alive && !predecessor.accepting {
		search.Fatalf("the predecessor serves no more after:%s", s.eventPath)
	}
}

// TestEveryInterleaving explores every interleaving of messages, kills, shutdown requests, deadlines and lost
// connections. Two processes must never accept or spend the warm-up budget at the same time. In the end a process must
// serve, unless both have ended or one was requested to shut down.
func TestEveryInterleaving(t *testing.T) {
	initial := systemState{
		predecessor:        Predecessor{Times: testTimes},
		successor:          Successor{Times: testTimes},
		predecessorProcess: process{alive: true, accepting: true, spendsWarmupBudget: true},
		successorProcess:   process{alive: true},
	}
	initial.executeSuccessorSteps(initial.successor.Connected(0))
	search := exploration{T: t, visited: map[string]bool{}}
	search.enqueueIfNew(initial)
	for len(search.queue) > 0 {
		s := search.queue[0]
		search.queue = search.queue[1:]
		search.requireExclusive(&s)
		terminal, onlyDeadlines := search.expand(s)
		if onlyDeadlines {
			search.requireServing(&s)
		}
		if terminal {
			search.requireNotStuck(&s)
		}
	}
	if len(search.visited) < 500 || search.settledStates < 20 || search.handedOverStates == 0 ||
		search.nextSuccessorStates == 0 {
		t.Errorf("only %d states, %d ends, %d of them handed over: too little was tried",
			len(search.visited), search.settledStates, search.handedOverStates)
	}
	t.Logf("%d states, %d ends", len(search.visited), search.settledStates)
}

// A hot restart without faults consists of exactly the expected steps, in the expected order.
func TestHotRestartWithoutFaults(t *testing.T) {
	predecessor := Predecessor{Times: testTimes}
	successor := Successor{Times: testTimes}
	describe := func(steps []Step) string {
		var b strings.Builder
		for _, step := range steps {
			if step.Action == Send {
				fmt.Fprintf(&b, "send %v ", step.Message)
			} else {
				fmt.Fprintf(&b, "%v ", step.Action)
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
		if got := describe(tc.got); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
	if successor.Deadline() != 0 || predecessor.Deadline() != 0 || !successor.Serving() {
		t.Errorf("predecessor %v, successor %v", &predecessor, &successor)
	}
}

// A successor that is requested to shut down while it still receives connections notifies the predecessor, which must
// not serve again.
func TestSuccessorStopsWhileConnectionsAreHandedOver(t *testing.T) {
	predecessor := Predecessor{Times: testTimes}
	predecessor.transition(handingOver, 9)
	successor := Successor{Times: testTimes}
	successor.transition(accepting, 0)
	steps := successor.Step(1, Stop, "")
	if len(steps) != 1 || steps[0].Message != Stopping {
		t.Fatalf("steps of the successor: %+v", steps)
	}
	steps = predecessor.Step(1, Stopping)
	if len(steps) != 2 || steps[1].Action != Drain || predecessor.Deadline() != 9 {
		t.Errorf("steps of the predecessor: %+v, deadline %d", steps, predecessor.Deadline())
	}
	if steps = predecessor.Step(2, ConnectionLost); steps != nil {
		t.Errorf("steps after the lost connection: %+v", steps)
	}
}

// A successor that hangs is rejected at the deadline of the predecessor and not before.
func TestHungSuccessorIsRejectedAtItsDeadline(t *testing.T) {
	predecessor := Predecessor{Times: testTimes}
	predecessor.Step(0, Hello)
	if !predecessor.RejectsSuccessors() || predecessor.Deadline() != 10 {
		t.Fatalf("state %v, deadline %d", &predecessor, predecessor.Deadline())
	}
	if steps := predecessor.Step(9, DeadlineReached); steps != nil {
		t.Errorf("steps before the deadline: %v", steps)
	}
	steps := predecessor.Step(10, DeadlineReached)
	if len(steps) != 2 || steps[0].Message != Rejected || steps[0].Reason == "" || predecessor.RejectsSuccessors() {
		t.Errorf("steps at the deadline: %+v, then state %v", steps, &predecessor)
	}
	// After the rejection the predecessor serves again, and replies to the next Hello with Offer.
	if steps := predecessor.Step(11, Hello); len(steps) != 1 || steps[0].Message != Offer {
		t.Errorf("steps after the next Hello: %+v", steps)
	}
}

// A successor that owns its sockets starts serving within six seconds, whatever the predecessor does. It fails only if
// it is requested to shut down.
func TestSuccessorThatOwnsSocketsServesInTime(t *testing.T) {
	realTimes := Times{Ready: 2_000_000, Reply: 1_000_000, Drain: 30_000_000}
	for seed := range uint64(2000) {
		checkSocketOwnerServes(t, seed, realTimes)
	}
	stoppedSuccessor := Successor{Times: realTimes, OwnsSockets: true}
	stoppedSuccessor.Connected(0)
	if steps := stoppedSuccessor.Step(1, Stop, ""); len(steps) == 0 || steps[len(steps)-1].Action != Fail {
		t.Errorf("steps after a shutdown request before Offer: %v", steps)
	}
}

// checkSocketOwnerServes runs a successor that owns its sockets with random events from the predecessor. It checks that
// the successor starts serving exactly once, within six seconds.
func checkSocketOwnerServes(t *testing.T, seed uint64, times Times) {
	t.Helper()
	const timeLimit = 6_000_000
	possibleEvents := []Event{Offer, Handover, Activate, Done, Rejected, ConnectionLost, Hello, Prepared}
	rng := rand.New(rand.NewPCG(seed, 3))
	host := socketOwnerHost{T: t, seed: seed, successor: Successor{Times: times, OwnsSockets: true}}
	successor := &host.successor
	now := monotime.Micros(rng.IntN(1000))
	startedAt := now
	host.executeSteps(successor.Connected(now))
	for !successor.Serving() && now-startedAt < timeLimit {
		now += monotime.Micros(rng.IntN(300_000))
		switch {
		case successor.Deadline() != 0 && now >= successor.Deadline():
			host.executeSteps(successor.Step(now, DeadlineReached, ""))
		case host.startRequested && rng.IntN(4) == 0:
			host.executeSteps(successor.Step(now, Started, ""))
		case !host.disconnected && rng.IntN(3) == 0:
			host.executeSteps(successor.Step(now, possibleEvents[rng.IntN(len(possibleEvents))], "no sense"))
		}
	}
	if !successor.Serving() || host.servingStarts != 1 {
		t.Fatalf("seed %d: %v after %d ms, served %d times", seed, successor, (now-startedAt)/1000, host.servingStarts)
	}
}

// socketOwnerHost is the host of a successor that owns its sockets.
type socketOwnerHost struct {
	*testing.T
	seed           uint64
	successor      Successor
	startRequested bool // StartWithOffer was executed
	disconnected   bool
	servingStarts  int // number of executed StartServing and StartAlone steps
}

func (h *socketOwnerHost) executeSteps(steps []Step) {
	h.Helper()
	for _, step := range steps {
		switch step.Action {
		case StartWithOffer:
			h.startRequested = true
		case Disconnect:
			h.disconnected = true
		case StartServing, StartAlone:
			h.servingStarts++
		case Fail:
			h.Fatalf("seed %d: failed: %s", h.seed, step.Reason)
		case Send:
			if h.disconnected {
				h.Fatalf("seed %d: sends %v to a predecessor it has disconnected from", h.seed, step.Message)
			}
		}
	}
}
