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

// wire is one direction between the two: what is under way, and whether its sender has hung up behind that.
type wire struct {
	messages []Event
	ended    bool
}

// side is one process.
type side struct {
	alive  bool
	hung   bool // it has ended its connection
	stop   bool // it was told to stop
	accept bool
	cold   bool // it may give cold endpoints what they may get
	over   bool
}

// state is all there is at an instant.
type state struct {
	giver    Predecessor
	taker    Successor
	g, t     side
	toG, toT wire
	started  bool // the taker's host could serve
	killed   bool // one of the two was
	late     bool // a time was up
	taken    bool
	third    bool // the taker has given on to another, which accepts
	lost     bool // that one was lost, once
	path     string
}

func (s state) key() string {
	s.path = ""
	s.giver.deadline = min(1, s.giver.deadline) // any time may have passed
	s.taker.deadline = min(1, s.taker.deadline)
	return fmt.Sprintf("%+v", s)
}

func (s state) clone() state {
	s.toG.messages = slices.Clone(s.toG.messages)
	s.toT.messages = slices.Clone(s.toT.messages)
	return s
}

func (s *state) giverSteps(steps []Step) {
	for _, x := range steps {
		switch x.Action {
		case Send:
			if !s.g.hung {
				s.toT.messages = append(s.toT.messages, x.Message)
			}
		case Disconnect:
			s.g.hung, s.toT.ended = true, true
		case StopAccepting:
			s.g.accept, s.g.cold = false, false
		case ResumeServing:
			s.g.accept, s.g.cold = true, true
		case Drain, DrainForSuccessor:
			s.g.accept, s.g.cold = false, false
		case Exit:
			s.g.over, s.g.alive, s.g.accept, s.g.cold = true, false, false, false
			s.g.hung, s.toT.ended = true, true
		}
	}
}

func (s *state) takerSteps(steps []Step) {
	for _, x := range steps {
		switch x.Action {
		case Send:
			if !s.t.hung {
				s.toG.messages = append(s.toG.messages, x.Message)
			}
		case Disconnect:
			s.t.hung, s.toG.ended = true, true
		case RestoreState:
			s.taken = true
		case StartServing, StartAlone:
			s.t.accept, s.t.cold = true, true
		case Fail:
			s.t.over, s.t.alive = true, false
			s.t.hung, s.toG.ended = true, true
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
	if s.g.alive {
		if len(s.toG.messages) > 0 && !s.g.hung {
			add("g<"+s.toG.messages[0].String(), func(n *state) {
				e := n.toG.messages[0]
				n.toG.messages = n.toG.messages[1:]
				n.giverSteps(n.giver.Step(0, e))
			})
		} else if s.toG.ended && !s.g.hung {
			add("g<broken", func(n *state) { n.giverSteps(n.giver.Step(0, ConnectionLost)) })
		}
		if d := s.giver.Deadline(); d != 0 {
			add("g:wake", func(n *state) { n.late = true; n.giverSteps(n.giver.Step(d, DeadlineReached)) })
		}
		if !s.g.stop {
			add("g:stop", func(n *state) { n.g.stop = true; n.giverSteps(n.giver.Step(0, Stop)) })
		}
		if s.giver.state == handingOver || s.giver.state == draining {
			add("g:drained", func(n *state) { n.giverSteps(n.giver.Step(0, Drained)) })
		}
		add("g:killed", func(n *state) {
			n.killed = true
			n.g.alive, n.g.accept, n.g.cold, n.g.hung, n.toT.ended = false, false, false, true, true
		})
	}
	if s.t.alive {
		if len(s.toT.messages) > 0 && !s.t.hung {
			add("t<"+s.toT.messages[0].String(), func(n *state) {
				e := n.toT.messages[0]
				n.toT.messages = n.toT.messages[1:]
				n.takerSteps(n.taker.Step(0, e, ""))
			})
		} else if s.toT.ended && !s.t.hung {
			add("t<broken", func(n *state) { n.takerSteps(n.taker.Step(0, ConnectionLost, "")) })
		}
		if s.taker.state == starting && !s.started {
			add("t:started", func(n *state) { n.started = true; n.takerSteps(n.taker.Step(0, Started, "")) })
		}
		if d := s.taker.Deadline(); d != 0 {
			add("t:wake", func(n *state) { n.late = true; n.takerSteps(n.taker.Step(d, DeadlineReached, "")) })
		}
		if !s.t.stop {
			add("t:stop", func(n *state) {
				n.t.stop = true
				n.takerSteps(n.taker.Step(0, Stop, ""))
				n.t.accept = false
			})
		}
		if s.t.accept && !s.t.stop && !s.lost {
			add("t:gives-on", func(n *state) {
				n.takerSteps(n.taker.Step(0, HandedOver, ""))
				n.t.accept, n.t.cold, n.third = false, false, true
			})
		}
		if s.third {
			add("t:takes-back", func(n *state) {
				n.takerSteps(n.taker.Step(0, Resumed, ""))
				n.t.accept, n.t.cold, n.third, n.lost = !n.t.stop, !n.t.stop, false, true
			})
			add("t:ends", func(n *state) {
				n.t.alive, n.t.over, n.t.hung, n.toG.ended = false, true, true, true
			})
		}
		add("t:killed", func(n *state) {
			n.killed = true
			n.t.alive, n.t.accept, n.t.cold, n.t.hung, n.toG.ended = false, false, false, true, true
		})
	}
	return all
}

// Whatever is killed, stopped, late or lost, at whatever moment: never do two accept at once or spend what cold
// endpoints may get, and unless both are gone or somebody was told to stop, one serves in the end.
func TestEveryInterleaving(t *testing.T) {
	first := state{giver: Predecessor{Times: times}, taker: Successor{Times: times}, g: side{alive: true, accept: true, cold: true},
		t: side{alive: true}}
	first.takerSteps(first.taker.Connected(0))
	seen := map[string]bool{first.key(): true}
	queue := []state{first}
	ends, handed, passed := 0, 0, 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if s.g.accept && (s.t.accept || s.third) {
			t.Fatalf("two accept after:%s", s.path)
		}
		if s.g.cold && (s.t.cold || s.third) {
			t.Fatalf("two give to cold endpoints after:%s", s.path)
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
		case s.t.accept && s.taken && s.g.over:
			handed++
		case s.g.accept || s.t.accept || s.third:
			passed += btoi(s.third && s.g.over)
		case s.lost && !s.t.alive: // the last of three and the one before it
		case s.t.stop: // meant so
		case s.g.stop && (s.killed || s.late): // the only one left, or the last, was told to stop
		case !s.g.alive && !s.t.alive && s.killed: // nobody is left
		default:
			t.Fatalf("nobody serves after:%s\n%+v", s.path, s)
		}
		if !quiet {
			continue
		}
		if s.g.alive && s.giver.HandingOver() {
			t.Fatalf("the giver is stuck while %v after:%s", &s.giver, s.path)
		}
		if s.t.alive && !s.t.accept && !s.t.stop && !s.third {
			t.Fatalf("the taker is stuck while %v after:%s", &s.taker, s.path)
		}
		if !s.t.alive && s.g.alive && !s.g.accept && !s.g.stop && !s.t.stop && !s.third && !s.lost {
			t.Fatalf("the giver serves no more after:%s", s.path)
		}
	}
	if len(seen) < 500 || ends < 20 || handed == 0 || passed == 0 {
		t.Errorf("only %d states, %d ends, %d of them handed over: too little was tried", len(seen), ends, handed)
	}
	t.Logf("%d states, %d ends", len(seen), ends)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// The usual way, step by step.
func TestUsualWay(t *testing.T) {
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
		{k.Step(1, Offer, ""), "start"},
		{k.Step(4, Started, ""), "send ready"},
		{g.Step(4, Ready), "close send go"},
		{k.Step(5, Handover, ""), "take send prepared"},
		{g.Step(5, Prepared), "send yours release"},
		{k.Step(5, Activate, ""), "accept"},
		{g.Step(7, Drained), "send done hang end"},
		{k.Step(7, Done, ""), "hang"},
	} {
		if got := log(tc.got); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
	if k.Deadline() != 0 || g.Deadline() != 0 || !k.Serving() {
		t.Errorf("giver %v, taker %v", &g, &k)
	}
}

// A taker that is told to stop while connections are still handed to it says so: the giver must not serve on.
func TestStopWhileConnectionsAreHandedOver(t *testing.T) {
	g, k := Predecessor{Times: times, state: handingOver, deadline: 9}, Successor{Times: times, state: accepting}
	steps := k.Step(1, Stop, "")
	if len(steps) != 1 || steps[0].Message != Stopping {
		t.Fatalf("the taker: %+v", steps)
	}
	steps = g.Step(1, Stopping)
	if len(steps) != 2 || steps[1].Action != Drain || g.Deadline() != 9 {
		t.Errorf("the giver: %+v until %d", steps, g.Deadline())
	}
	if steps = g.Step(2, ConnectionLost); steps != nil {
		t.Errorf("then: %+v", steps)
	}
}

// A taker that hangs is let go at its deadline and not before, and told so.
func TestTakerThatHangs(t *testing.T) {
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

// A taker that is sure of its sockets serves in time whatever the giver does, and ends for nobody but who stops it.
func TestSureTakerServesInTime(t *testing.T) {
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
						t.Fatalf("seed %d: sends %v to a giver it has hung up on", seed, s.Message)
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
