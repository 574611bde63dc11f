package quota

import (
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

var settings = Settings{MaxInstances: 4, Reserve: 0.2, LeaseDuration: 3 * second, RequestInterval: second / 4, MaxClockDrift: 0.005}

var term = lease.Term{Holder: "a", Incarnation: 1, Round: 1}

func holder(t testing.TB) *Lessee {
	h, err := NewLessee(settings)
	if err != nil {
		t.Fatal(err)
	}
	h.SetBudget("b", 100) // 5 each are held ready
	h.Start(0, 7)
	return h
}

// answer has a holder hear that it is lent so much, as the answer to a question of an instant.
func answer(h *Lessee, now monotime.Micros, a LeaseRequest, serial uint64, units int) {
	h.HandleGrant(now, Grant{Incarnation: a.Incarnation, Sequence: a.Sequence, Term: term, Serial: serial, Duration: settings.LeaseDuration, Allocations: []Allocation{{"b", units}}})
}

func asked(h *Lessee, now monotime.Micros) LeaseRequest {
	a := h.NewRequest(now)
	if a.Term != term {
		h.HandleGrant(now, Grant{Incarnation: a.Incarnation, Sequence: a.Sequence, Term: term})
		a = h.NewRequest(now)
	}
	return a
}

// A loan counts from its question, whenever its answer comes; what is older than the loan in force changes nothing.
func TestLateAndOutOfOrder(t *testing.T) {
	h := holder(t)
	first := asked(h, 2*second)
	second1 := asked(h, 2*second+100)
	answer(h, 4*second, second1, 2, 30)
	answer(h, 4*second, first, 1, 50)
	if n := h.Allowed(5*second, "b"); n != 35 {
		t.Errorf("%d may be spent, not 5 and 30", n)
	}
	if n := h.Allowed(5*second+100, "b"); n != 5 {
		t.Errorf("%d may be spent three seconds after the question", n)
	}
	answer(h, 5*second+100, second1, 3, 30) // twice, and over
	other := Grant{Incarnation: 8, Sequence: second1.Sequence, Term: term, Serial: 9, Duration: settings.LeaseDuration, Allocations: []Allocation{{"b", 30}}}
	h.HandleGrant(5*second, other) // another process's
	if n := h.Allowed(5*second+100, "b"); n != 5 {
		t.Errorf("%d may be spent by what is over, or another's", n)
	}
}

// A process that starts has nothing for a second, one that takes another's place goes on, and what it spent counts.
func TestStartAndRestore(t *testing.T) {
	h := holder(t)
	if h.Spend(second, "b") {
		t.Error("spends within a second of its start")
	}
	answer(h, 2*second, asked(h, 2*second), 1, 10)
	for range 12 {
		if !h.Spend(2*second+1, "b") {
			t.Fatal("12 of 15 cannot be spent")
		}
	}
	s := h.HandOver(3 * second)
	if h.Spend(3*second, "b") {
		t.Error("spends what it has given away")
	}
	n := holder(t)
	n.active = false
	n.Restore(3*second+1000, 1000, s) // by the same clock
	left := 0
	for n.Spend(3*second+1000, "b") {
		left++
	}
	if left != 3 {
		t.Errorf("%d are left of 15 after 12", left)
	}
	if _, _, _, yes := n.HeldLease(5*second + 1); yes {
		t.Error("the loan goes on beyond its end")
	}
}

// What a book takes for used is within what it can lend, whatever holders ask and show.
func TestNeverBeyond(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, err := NewAllocator(settings)
		if err != nil {
			t.Fatal(err)
		}
		units := rapid.Float64Range(0, 300).Draw(r, "units")
		b.SetBudget("b", units, false)
		now := monotime.Micros(0)
		b.Start(now, term)
		now = b.RecoveringUntil()
		numbers := map[string]uint64{}
		var wants int
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += rapid.Int64Range(0, second).Draw(r, "later")
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "who")
			numbers[name]++
			want := rapid.Float64Range(0, 1000).Draw(r, "want")
			g, ok := b.HandleRequest(now, name, LeaseRequest{Incarnation: 1, Sequence: numbers[name], Term: term, HeldSerial: rapid.Uint64Range(0, 30).Draw(r, "of"), HeldTerm: term,
				Demands: []Demand{{Budget: "b", Requested: want, Used: rapid.Float64Range(0, 1000).Draw(r, "used"), Held: rapid.IntRange(0, 1000).Draw(r, "holds")}}})
			if !ok || g.Serial == 0 {
				r.Fatal("no loan")
			}
			for _, s := range g.Allocations {
				wants += s.Units
			}
			if rapid.IntRange(0, 15).Draw(r, "change") == 0 {
				b.RemoveBudget("b")
				b.SetBudget("b", units, false)
			}
			sum := 0
			for _, x := range b.sortedLessees {
				sum += x.committedUnits(now, "b")
			}
			if sum > settings.Leasable(units) {
				r.Fatalf("%d are lent of %d", sum, settings.Leasable(units))
			}
		}
	})
}

// What holders want is divided by max-min, in whole units, and all of it.
func TestDivide(t *testing.T) {
	for _, c := range []struct {
		units float64
		wants []float64
		used  []float64
		least []int // of the targets
	}{
		{100, []float64{10, 100, 100}, []float64{10, 40, 40}, []int{10, 35, 35}},
		{100, []float64{10, 1e6, 30}, []float64{10, 5, 30}, []int{10, 27, 30}}, // one claims what it does not use
		{4, []float64{1, 1, 1}, []float64{1, 1, 1}, []int{1, 1, 1}},
		{100, []float64{0, 0, 4}, []float64{0, 0, 4}, []int{5, 5, 9}},
	} {
		b, _ := NewAllocator(settings)
		b.SetBudget("b", c.units, false)
		b.Start(0, term)
		now := b.RecoveringUntil()
		for i := range c.wants {
			name := string(rune('a' + i))
			b.HandleRequest(now, name, LeaseRequest{Incarnation: 1, Sequence: 1, Term: term, Demands: []Demand{{Budget: "b", Requested: c.wants[i], Used: c.used[i]}}})
		}
		b.divide(now)
		for i, x := range b.sortedLessees {
			if x.targets["b"] < c.least[i] {
				t.Errorf("%v units, wants %v: %s is to have %d, less than %d", c.units, c.wants, x.name, x.targets["b"], c.least[i])
			}
		}
	}
}

// A budget that holders earn is what they add up to, but no more than what others report.
func TestEarned(t *testing.T) {
	b, _ := NewAllocator(settings)
	b.SetBudget("e", 0, true)
	b.Start(0, term)
	now := b.RecoveringUntil()
	ask := func(name string, n uint64) (units int) {
		g, _ := b.HandleRequest(now, name, LeaseRequest{Incarnation: 1, Sequence: n, Term: term, Demands: []Demand{{Budget: "e", Requested: 1000, Used: 1000, Contributed: 20}}})
		for _, s := range g.Allocations {
			units += s.Units
		}
		return units
	}
	both := func(from, to uint64) (a, b int) {
		for n := from; n <= to; n++ {
			a, b = ask("a", n), ask("b", n)
			now += second / 4
		}
		return a, b
	}
	if a, b := both(1, 40); a != 16 || b != 16 { // 0.8 of 40 together
		t.Errorf("%d and %d of 16", a, b)
	}
	b.SetCeiling("e", 20)
	if a, b := both(41, 80); a != 8 || b != 8 {
		t.Errorf("%d and %d of 8 under the ceiling", a, b)
	}
}

func TestCheck(t *testing.T) {
	for _, change := range []func(s *Settings){func(s *Settings) { s.MaxInstances = 0 }, func(s *Settings) { s.Reserve = 2 }, func(s *Settings) { s.RequestInterval = 0 },
		func(s *Settings) { s.LeaseDuration = s.RequestInterval }, func(s *Settings) { s.MaxClockDrift = 1 }} {
		s := settings
		change(&s)
		if _, err := NewLessee(s); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}
