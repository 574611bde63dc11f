package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const length monotime.Micros = 2_000_000

// world plays voters whose clocks run at rates of their own, over ways that lose, delay, double and reorder words.
type world struct {
	rng    *rand.Rand
	names  []string
	drift  float64
	now    float64 // true time
	voters []*Voter
	rates  []float64
	starts []float64 // true time at which the own clock was 0
	asleep []float64 // stopped until then
	lives  uint64
	words  []flying
	cut    func(from, to int) bool
	loss   float64
	late   float64

	held  int // holder found last, -1 for none
	ops   []porcupine.Operation
	holds []Term // of each voter, as found last
	terms map[Term]bool
	spans int
}

type flying struct {
	at       float64
	from, to int
	w        Message
}

func newWorld(n int, seed uint64, drift float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), drift: drift, held: -1, terms: map[Term]bool{}, cut: func(int, int) bool { return false }}
	for i := range n {
		w.names = append(w.names, fmt.Sprint("v", i))
	}
	w.holds = make([]Term, n)
	w.voters, w.rates, w.starts, w.asleep = make([]*Voter, n), make([]float64, n), make([]float64, n), make([]float64, n)
	for i := range n {
		w.start(i)
	}
	return w
}

// start starts a process anew, with a clock of its own.
func (w *world) start(i int) {
	w.lives++
	if was := w.holds[i]; was != (Term{}) { // a process that is killed holds nothing any more
		w.ops = append(w.ops, porcupine.Operation{ClientId: i, Input: input{was, false}, Call: int64(w.now), Return: int64(w.now)})
		w.holds[i] = Term{}
	}
	w.rates[i] = 1 + w.drift*(2*w.rng.Float64()-1)
	w.starts[i], w.asleep[i] = w.now-1e6*w.rng.Float64(), 0
	v, err := New(w.clock(i), Settings{Self: w.names[i], Incarnation: w.lives, Voters: w.names, Duration: length, MaxClockDrift: w.drift, Seed: w.lives})
	if err != nil {
		panic(err)
	}
	w.voters[i] = v
}

func (w *world) clock(i int) monotime.Micros {
	return monotime.Micros((w.now - w.starts[i]) * w.rates[i])
}

func (w *world) send(i int) {
	for _, o := range w.voters[i].TakeOutgoing() {
		to := slices.Index(w.names, o.To)
		for copies := 1; copies > 0 && w.rng.Float64() >= w.loss; copies-- {
			if w.rng.Float64() < w.loss {
				copies++ // it comes twice
			}
			delay := 200 + w.rng.ExpFloat64()*1000
			if w.rng.Float64() < w.loss {
				delay += w.rng.Float64() * w.late
			}
			w.words = append(w.words, flying{w.now + delay, i, to, o.Message})
		}
	}
}

// step goes on by a while, and returns an error if two hold the lease.
func (w *world) step(d float64) error {
	w.now += d
	due := w.words
	w.words = nil
	for _, f := range due {
		switch {
		case f.at > w.now || w.asleep[f.to] > w.now:
			w.words = append(w.words, f)
		case !w.cut(f.from, f.to):
			w.voters[f.to].Receive(w.clock(f.to), w.names[f.from], f.w)
			w.send(f.to)
		}
	}
	holders := 0
	for i, v := range w.voters {
		if w.asleep[i] <= w.now && w.clock(i) >= v.NextTick() {
			v.Tick(w.clock(i))
			w.send(i)
		}
		w.note(i, v)
		if t, _, yes := v.HeldTerm(w.clock(i)); yes { // one that is stopped holds it, too: it may wake
			holders++
			if !w.terms[t] {
				w.terms[t] = true
				w.spans++
			}
			w.held = i
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d hold the lease at %.0f", holders, w.now)
	}
	if holders == 0 {
		w.held = -1
	}
	return nil
}

// input is what a voter did to the lease: won it, or lost it.
type input struct {
	who Term
	won bool
}

// note notes when a voter wins and loses the lease, as operations on a lock: winning takes from the question to the votes.
func (w *world) note(i int, v *Voter) {
	t, _, yes := v.HeldTerm(w.clock(i))
	if !yes {
		t = Term{}
	}
	was := w.holds[i]
	if was == t {
		return
	}
	if was != (Term{}) {
		w.ops = append(w.ops, porcupine.Operation{ClientId: i, Input: input{was, false}, Call: int64(w.now), Output: nil, Return: int64(w.now)})
	}
	if t != (Term{}) {
		asked := float64(v.requestedAt)/w.rates[i] + w.starts[i]
		w.ops = append(w.ops, porcupine.Operation{ClientId: i, Input: input{t, true}, Call: int64(asked), Output: nil, Return: int64(w.now)})
	}
	w.holds[i] = t
}

// lock is a lock that is taken and let go.
var lock = porcupine.Model{
	Init: func() any { return Term{} },
	Step: func(state, in, _ any) (bool, any) {
		if op := in.(input); op.won {
			return state == Term{}, op.who
		} else {
			return state == op.who, Term{}
		}
	},
}

func (w *world) run(t interface{ Fatal(...any) }, d float64) {
	for end := w.now + d; w.now < end; {
		if err := w.step(2000); err != nil {
			t.Fatal(err)
		}
	}
}

// Whatever happens two never hold it; once nothing more happens one does, soon, and goes on to.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(r, "voters")
		w := newWorld(n, rapid.Uint64().Draw(r, "seed"), rapid.SampledFrom([]float64{0, 0.01}).Draw(r, "drift"))
		w.loss, w.late = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(r, "loss"), float64(3*length)
		for range rapid.IntRange(0, 12).Draw(r, "faults") {
			i := rapid.IntRange(0, n-1).Draw(r, "whom")
			switch rapid.SampledFrom([]string{"kill", "stop", "split", "one way", "heal", "all"}).Draw(r, "fault") {
			case "kill":
				w.start(i)
			case "all":
				for j := range n {
					w.start(j)
				}
			case "stop":
				w.asleep[i] = w.now + w.rng.Float64()*float64(2*length)
			case "split":
				w.cut = func(from, to int) bool { return (from <= i) != (to <= i) }
			case "one way":
				w.cut = func(from, to int) bool { return from <= i && to > i }
			case "heal":
				w.cut = func(int, int) bool { return false }
			}
			w.run(r, w.rng.Float64()*float64(2*length))
		}
		w.cut, w.loss = func(int, int) bool { return false }, 0
		w.run(r, float64(8*length))
		if w.held < 0 {
			r.Fatal("nobody holds the lease after 16 s without a fault")
		}
		terms := w.spans
		w.run(r, float64(4*length))
		if w.spans != terms {
			r.Fatal("it changed hands without a cause")
		}
		if !porcupine.CheckOperations(lock, w.ops) {
			r.Fatalf("its holders are not those of a lock: %+v", w.ops)
		}
	})
}

// What the argument rests on, each taken away: the search finds two holders.
func TestPlanted(t *testing.T) {
	for name, spoil := range map[string]func(v *Voter){
		"a voter that starts votes at once":      func(v *Voter) { v.votesFrom = 0; v.nextRoundAt = v.randomDelay() },
		"votes that end before the lease does":   func(v *Voter) { v.vote.expiresAt = min(v.vote.expiresAt, v.vote.expiresAt-length/2) },
		"a lease that is counted from its votes": func(v *Voter) { v.heldUntil += length / 2 },
	} {
		found := false
		for seed := uint64(0); seed < 300 && !found; seed++ {
			w := newWorld(3, seed, 0.01)
			w.loss, w.late = 0.05, float64(length)
			for range 30 {
				i := w.rng.IntN(3)
				switch w.rng.IntN(3) {
				case 0:
					w.start(i)
					if name == "a voter that starts votes at once" {
						spoil(w.voters[i])
					}
				case 1:
					w.cut = func(from, to int) bool { return (from == i) != (to == i) }
				case 2:
					w.cut = func(int, int) bool { return false }
				}
				for range 300 {
					if w.step(5000) != nil {
						found = true
					}
					if name != "a voter that starts votes at once" && w.rng.IntN(20) == 0 {
						spoil(w.voters[w.rng.IntN(3)])
					}
				}
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}

func TestResign(t *testing.T) {
	w := newWorld(3, 1, 0)
	w.run(t, float64(3*length))
	was, before := w.held, w.now
	if was < 0 {
		t.Fatal("nobody holds it")
	}
	w.voters[was].Resign(w.clock(was))
	w.send(was)
	for w.held < 0 || w.held == was {
		if err := w.step(1000); err != nil || w.now > before+float64(length) {
			t.Fatalf("%v; after %.0f us nobody else holds it", err, w.now-before)
		}
	}
}

func TestSettings(t *testing.T) {
	for _, s := range []Settings{{Self: "a", Voters: []string{"b"}, Duration: length}, {Self: "a", Voters: []string{"a"}},
		{Self: "a", Voters: []string{"a", "a"}, Duration: length}, {Self: "a", Voters: []string{"a"}, Duration: length, MaxClockDrift: 0.5}} {
		if _, err := New(0, s); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}
