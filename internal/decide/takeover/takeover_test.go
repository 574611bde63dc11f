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

// wire is one direction between the two: the messages under way, and whether its sender has disconnected behind them.
type wire struct {
	messages []Event
	ended    bool
}

// side is one process.
type side struct {
	alive        bool
	disconnected bool // it has ended its connection
	stop         bool // it was told to stop
	accept       bool
	warmsUp      bool // it spends the budget of endpoints that are warming up
	ended        bool
}

// state is all there is at an instant.
type state struct {
	predecessor                    Predecessor
	successor                      Successor
	predecessorSide, successorSide side
	toPredecessor, toSuccessor     wire
	started                        bool // the successor's host could serve
	killed                         bool // one of the two was
	timedOut                       bool // a time was up
	restored                       bool
	third                          bool // the successor has a successor of its own, which accepts
	thirdLost                      bool // that one was lost, once
	path                           string
}

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

func (s *state) carryOutPredecessor(steps []Step) {
	for _, x := range steps {
		switch x.Action {
		case Send:
			if !s.predecessorSide.disconnected {
				s.toSuccessor.messages = append(s.toSuccessor.messages, x.Message)
			}
		case Disconnect:
			s.predecessorSide.disconnected, s.toSuccessor.ended = true, true
		case StopAccepting:
			s.predecessorSide.accept, s.predecessorSide.warmsUp = false, false
		case ResumeServing:
			s.predecessorSide.accept, s.predecessorSide.warmsUp = true, true
		case Drain, DrainForSuccessor:
			s.predecessorSide.accept, s.predecessorSide.warmsUp = false, false
		case Exit:
			s.predecessorSide.ended, s.predecessorSide.alive, s.predecessorSide.accept, s.predecessorSide.warmsUp = true, false, false, false
			s.predecessorSide.disconnected, s.toSuccessor.ended = true, true
		}
	}
}

func (s *state) carryOutSuccessor(steps []Step) {
	for _, x := range steps {
		switch x.Action {
		case Send:
			if !s.successorSide.disconnected {
				s.toPredecessor.messages = append(s.toPredecessor.messages, x.Message)
			}
		case Disconnect:
			s.successorSide.disconnected, s.toPredecessor.ended = true, true
		case RestoreState:
			s.restored = true
		case StartServing, StartAlone:
			s.successorSide.accept, s.successorSide.warmsUp = true, true
		case Fail:
			s.successorSide.ended, s.successorSide.alive = true, false
			s.successorSide.disconnected, s.toPredecessor.ended = true, true
		}
	}
}

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

// predecessorEvents adds what may happen at the predecessor.
func (s state) predecessorEvents(add func(name string, change func(*state))) {
	step := func(n *state, now monotime.Micros, e Event) { n.carryOutPredecessor(n.predecessor.Step(now, e)) }
	if len(s.toPredecessor.messages) > 0 && !s.predecessorSide.disconnected {
		add("g<"+s.toPredecessor.messages[0].String(), func(n *state) {
			e := n.toPredecessor.messages[0]
			n.toPredecessor.messages = n.toPredecessor.messages[1:]
			step(n, 0, e)
		})
	} else if s.toPredecessor.ended && !s.predecessorSide.disconnected {
		add("g<broken", func(n *state) { step(n, 0, ConnectionLost) })
	}
	if deadline := s.predecessor.Deadline(); deadline != 0 {
		add("g:wake", func(n *state) {
			n.timedOut = true
			step(n, deadline, DeadlineReached)
		})
	}
	if !s.predecessorSide.stop {
		add("g:stop", func(n *state) {
			n.predecessorSide.stop = true
			step(n, 0, Stop)
		})
	}
	if s.predecessor.state == handingOver || s.predecessor.state == draining {
		add("g:drained", func(n *state) { step(n, 0, Drained) })
	}
	add("g:killed", func(n *state) {
		n.killed = true
		n.predecessorSide.kill()
		n.toSuccessor.ended = true
	})
}

// successorEvents adds what may happen at the successor.
func (s state) successorEvents(add func(name string, change func(*state))) {
	step := func(n *state, now monotime.Micros, e Event) { n.carryOutSuccessor(n.successor.Step(now, e, "")) }
	if len(s.toSuccessor.messages) > 0 && !s.successorSide.disconnected {
		add("t<"+s.toSuccessor.messages[0].String(), func(n *state) {
			e := n.toSuccessor.messages[0]
			n.toSuccessor.messages = n.toSuccessor.messages[1:]
			step(n, 0, e)
		})
	} else if s.toSuccessor.ended && !s.successorSide.disconnected {
		add("t<broken", func(n *state) { step(n, 0, ConnectionLost) })
	}
	if s.successor.state == starting && !s.started {
		add("t:started", func(n *state) {
			n.started = true
			step(n, 0, Started)
		})
	}
	if deadline := s.successor.Deadline(); deadline != 0 {
		add("t:wake", func(n *state) {
			n.timedOut = true
			step(n, deadline, DeadlineReached)
		})
	}
	if !s.successorSide.stop {
		add("t:stop", func(n *state) {
			n.successorSide.stop = true
			step(n, 0, Stop)
			n.successorSide.accept = false
		})
	}
	s.thirdEvents(add)
	add("t:killed", func(n *state) {
		n.killed = true
		n.successorSide.kill()
		n.toPredecessor.ended = true
	})
}

// thirdEvents adds what may happen between the successor and a successor of its own.
func (s state) thirdEvents(add func(name string, change func(*state))) {
	if s.successorSide.accept && !s.successorSide.stop && !s.thirdLost {
		add("t:gives-on", func(n *state) {
			n.carryOutSuccessor(n.successor.Step(0, HandedOver, ""))
			n.successorSide.accept = false
			n.successorSide.warmsUp = false
			n.third = true
		})
	}
	if !s.third {
		return
	}
	add("t:takes-back", func(n *state) {
		n.carryOutSuccessor(n.successor.Step(0, Resumed, ""))
		n.successorSide.accept = !n.successorSide.stop
		n.successorSide.warmsUp = !n.successorSide.stop
		n.third = false
		n.thirdLost = true
	})
	add("t:ends", func(n *state) {
		n.successorSide.alive = false
		n.successorSide.ended = true
		n.successorSide.disconnected = true
		n.toPredecessor.ended = true
	})
}

// kill ends a process at once.
func (s *side) kill() {
	s.alive = false
	s.accept = false
	s.warmsUp = false
	s.disconnected = true
}

// Whatever is killed, stopped, late or lost, at whatever moment: never do two accept at once or spend the budget of
// endpoints that are warming up, and unless both are gone or one was told to stop, one serves in the end.
func TestEveryInterleaving(t *testing.T) {
	first := state{predecessor: Predecessor{Times: times}, successor: Successor{Times: times}, predecessorSide: side{alive: true, accept: true, warmsUp: true},
		successorSide: side{alive: true}}
	first.carryOutSuccessor(first.successor.Connected(0))
	seen := map[string]bool{first.key(): true}
	queue := []state{first}
	ends, handed, passed := 0, 0, 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if s.predecessorSide.accept && (s.successorSide.accept || s.third) {
			t.Fatalf("two accept after:%s", s.path)
		}
		if s.predecessorSide.warmsUp && (s.successorSide.warmsUp || s.third) {
			t.Fatalf("two spend the warm-up budget after:%s", s.path)
		}
		// What is left to happen by itself, with nobody killed or stopped any more, and what without a time-out?
		quiet, still := true, true
		for _, n := range s.next() {
			step := n.path[strings.LastIndexByte(n.path, ' ')+1:]
			fault := slices.Contains([]string{"g:stop", "t:stop", "g:killed", "t:killed", "t:gives-on", "t:takes-back", "t:ends"}, step)
			if !fault && n.key() != s.key() {
				quiet = false
				still = still && strings.HasSuffix(step, ":wake")
			}
			if !seen[n.key()] {
				seen[n.key()] = true
				queue = append(queue, n)
			}
		}
		if !still {
			continue
		}
		ends++
		switch {
		case s.successorSide.accept && s.restored && s.predecessorSide.ended:
			handed++
		case s.predecessorSide.accept || s.successorSide.accept || s.third:
			passed += boolToInt(s.third && s.predecessorSide.ended)
		case s.thirdLost && !s.successorSide.alive: // the last of three and the one before it
		case s.successorSide.stop: // meant so
		case s.predecessorSide.stop && (s.killed || s.timedOut): // the only one left, or the last, was told to stop
		case !s.predecessorSide.alive && !s.successorSide.alive && s.killed: // nobody is left
		default:
			t.Fatalf("no process serves after:%s\n%+v", s.path, s)
		}
		if !quiet {
			continue
		}
		if s.predecessorSide.alive && s.predecessor.HandingOver() {
			t.Fatalf("the predecessor is stuck while %v after:%s", &s.predecessor, s.path)
		}
		if s.successorSide.alive && !s.successorSide.accept && !s.successorSide.stop && !s.third {
			t.Fatalf("the successor is stuck while %v after:%s", &s.successor, s.path)
		}
		if !s.successorSide.alive && s.predecessorSide.alive && !s.predecessorSide.accept && !s.predecessorSide.stop && !s.successorSide.stop && !s.third && !s.thirdLost {
			t.Fatalf("the predecessor serves no more after:%s", s.path)
		}
	}
	if len(seen) < 500 || ends < 20 || handed == 0 || passed == 0 {
		t.Errorf("only %d states, %d ends, %d of them handed over: too little was tried", len(seen), ends, handed)
	}
	t.Logf("%d states, %d ends", len(seen), ends)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestHotRestartWithoutFaults goes through all steps in order.
func TestHotRestartWithoutFaults(t *testing.T) {
	g, k := Predecessor{Times: times}, Successor{Times: times}
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
		{k.Connected(0), "send hello"},
		{g.Step(0, Hello), "send offer"},
		{k.Step(1, Offer, ""), "start with offer"},
		{k.Step(4, Started, ""), "send ready"},
		{g.Step(4, Ready), "stop accepting send handover"},
		{k.Step(5, Handover, ""), "restore state send prepared"},
		{g.Step(5, Prepared), "send activate hand over connections"},
		{k.Step(5, Activate, ""), "start serving"},
		{g.Step(7, Drained), "send done disconnect exit"},
		{k.Step(7, Done, ""), "disconnect"},
	} {
		if got := log(tc.got); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
	if k.Deadline() != 0 || g.Deadline() != 0 || !k.Serving() {
		t.Errorf("predecessor %v, successor %v", &g, &k)
	}
}

// A successor that is told to stop while connections are still handed to it says so: the predecessor must not
// serve on.
func TestSuccessorStopsWhileConnectionsAreHandedOver(t *testing.T) {
	g, k := Predecessor{Times: times, state: handingOver, deadline: 9}, Successor{Times: times, state: accepting}
	steps := k.Step(1, Stop, "")
	if len(steps) != 1 || steps[0].Message != Stopping {
		t.Fatalf("the successor: %+v", steps)
	}
	steps = g.Step(1, Stopping)
	if len(steps) != 2 || steps[1].Action != Drain || g.Deadline() != 9 {
		t.Errorf("the predecessor: %+v until %d", steps, g.Deadline())
	}
	if steps = g.Step(2, ConnectionLost); steps != nil {
		t.Errorf("then: %+v", steps)
	}
}

// A successor that hangs is rejected at its deadline and not before.
func TestHungSuccessorIsRejectedAtItsDeadline(t *testing.T) {
	g := Predecessor{Times: times}
	g.Step(0, Hello)
	if !g.HandingOver() || g.Deadline() != 10 {
		t.Fatalf("%v until %d", &g, g.Deadline())
	}
	if steps := g.Step(9, DeadlineReached); steps != nil {
		t.Errorf("before the time: %v", steps)
	}
	steps := g.Step(10, DeadlineReached)
	if len(steps) != 2 || steps[0].Message != Rejected || steps[0].Reason == "" || g.HandingOver() {
		t.Errorf("at the time: %+v, then %v", steps, &g)
	}
	// The next one finds it as before.
	if steps := g.Step(11, Hello); len(steps) != 1 || steps[0].Message != Offer {
		t.Errorf("the next: %+v", steps)
	}
}

// A successor that owns its sockets serves in time whatever the predecessor does, and fails only when it is stopped.
func TestSuccessorThatOwnsSocketsServesInTime(t *testing.T) {
	times := Times{Ready: 2_000_000, Answer: 1_000_000, Drain: 30_000_000}
	from := []Event{Offer, Handover, Activate, Done, Rejected, ConnectionLost, Hello, Prepared}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		tk := Successor{Times: times, OwnsSockets: true}
		started, hung := false, false
		served := 0
		do := func(steps []Step) {
			for _, s := range steps {
				switch s.Action {
				case StartWithOffer:
					started = true
				case Disconnect:
					hung = true
				case StartServing, StartAlone:
					served++
				case Fail:
					t.Fatalf("seed %d: failed: %s", seed, s.Reason)
				case Send:
					if hung {
						t.Fatalf("seed %d: sends %v to a predecessor it has disconnected from", seed, s.Message)
					}
				}
			}
		}
		now := monotime.Micros(rng.IntN(1000))
		began := now
		do(tk.Connected(now))
		for !tk.Serving() && now-began < 6_000_000 {
			now += monotime.Micros(rng.IntN(300_000))
			switch {
			case tk.Deadline() != 0 && now >= tk.Deadline():
				do(tk.Step(now, DeadlineReached, ""))
			case started && rng.IntN(4) == 0:
				do(tk.Step(now, Started, ""))
			case !hung && rng.IntN(3) == 0:
				do(tk.Step(now, from[rng.IntN(len(from))], "no sense"))
			}
		}
		if !tk.Serving() || served != 1 {
			t.Fatalf("seed %d: %v after %d ms, served %d times", seed, &tk, (now-began)/1000, served)
		}
	}
	stopped := Successor{Times: times, OwnsSockets: true}
	stopped.Connected(0)
	if steps := stopped.Step(1, Stop, ""); len(steps) == 0 || steps[len(steps)-1].Action != Fail {
		t.Errorf("told to stop before it began: %v", steps)
	}
}
