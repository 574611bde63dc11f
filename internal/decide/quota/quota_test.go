package quota

import (
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

var settings = Settings{
	MaxInstances:    4,
	Reserve:         0.2,
	LeaseDuration:   3 * second,
	RequestInterval: second / 4,
	MaxClockDrift:   0.005,
}

var term = lease.Term{Holder: "a", Incarnation: 1, Round: 1}

// startedLessee returns a lessee of a budget of 100 units, started at 0.
func startedLessee(tb testing.TB) *Lessee {
	tb.Helper()
	l, err := NewLessee(settings)
	require.NoError(tb, err)
	l.SetBudget("b", 100) // a minimum of 5 each
	l.Start(0, 7)
	return l
}

// grant lets a lessee receive a lease of units, as the reply to a request.
func grant(l *Lessee, now monotime.Micros, r LeaseRequest, serial uint64, units int) {
	l.HandleGrant(now, Grant{
		Incarnation: r.Incarnation, Sequence: r.Sequence, Term: term, Serial: serial, Duration: settings.LeaseDuration,
		Allocations: []Allocation{{"b", units}},
	})
}

// newRequest returns a request of a lessee that knows the allocator's term.
func newRequest(l *Lessee, now monotime.Micros) LeaseRequest {
	r := l.NewRequest(now)
	if r.Term != term {
		l.HandleGrant(now, Grant{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: term})
		r = l.NewRequest(now)
	}
	return r
}

// A lease counts from its request, whenever the grant arrives. A grant older than the lease in force is ignored.
func TestLateAndReorderedGrants(t *testing.T) {
	lessee := startedLessee(t)
	firstRequest := newRequest(lessee, 2*second)
	secondRequest := newRequest(lessee, 2*second+100)
	grant(lessee, 4*second, secondRequest, 2, 30)
	grant(lessee, 4*second, firstRequest, 1, 50)
	if n := lessee.Allowed(5*second, "b"); n != 35 {
		t.Errorf("%d may be spent, not 5 and 30", n)
	}
	if n := lessee.Allowed(5*second+100, "b"); n != 5 {
		t.Errorf("%d may be spent three seconds after the request", n)
	}
	grant(lessee, 5*second+100, secondRequest, 3, 30) // duplicated, and expired
	other := Grant{
		Incarnation: 8, Sequence: secondRequest.Sequence, Term: term, Serial: 9, Duration: settings.LeaseDuration,
		Allocations: []Allocation{{"b", 30}},
	}
	lessee.HandleGrant(5*second, other) // for another process
	if n := lessee.Allowed(5*second+100, "b"); n != 5 {
		t.Errorf("%d may be spent by an expired lease, or another process's", n)
	}
}

// A process that starts may spend nothing for a second. A successor continues with the lease of its predecessor, and
// the units that this spent count.
func TestStartAndRestore(t *testing.T) {
	lessee := startedLessee(t)
	if lessee.Spend(second, "b") {
		t.Error("spends within a second of its start")
	}
	grant(lessee, 2*second, newRequest(lessee, 2*second), 1, 10)
	for range 12 {
		if !lessee.Spend(2*second+1, "b") {
			t.Fatal("12 of 15 cannot be spent")
		}
	}
	s := lessee.HandOver(3 * second)
	if lessee.Spend(3*second, "b") {
		t.Error("spends after handing over")
	}
	successor := startedLessee(t)
	successor.active = false
	successor.Restore(3*second+1000, 1000, s) // by the same clock
	left := 0
	for successor.Spend(3*second+1000, "b") {
		left++
	}
	if left != 3 {
		t.Errorf("%d are left of 15 after 12", left)
	}
	if _, _, _, held := successor.HeldLease(5*second + 1); held {
		t.Error("the lease is in force beyond its end")
	}
}

// Committed units stay within what can be leased, whatever lessees demand and show.
func TestCommittedUnitsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, err := NewAllocator(settings)
		require.NoError(t, err)
		units := rapid.Float64Range(0, 300).Draw(r, "units")
		b.SetBudget("b", units, false)
		now := monotime.Micros(0)
		b.Start(now, term)
		now = b.RecoveringUntil()
		sequences := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += rapid.Int64Range(0, second).Draw(r, "later")
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "who")
			sequences[name]++
			demand := Demand{Budget: "b", Requested: rapid.Float64Range(0, 1000).Draw(r, "want")}
			request := LeaseRequest{Incarnation: 1, Sequence: sequences[name], Term: term, HeldTerm: term}
			request.HeldSerial = rapid.Uint64Range(0, 30).Draw(r, "of")
			demand.Used = rapid.Float64Range(0, 1000).Draw(r, "used")
			demand.Held = rapid.IntRange(0, 1000).Draw(r, "holds")
			request.Demands = []Demand{demand}
			g, ok := b.HandleRequest(now, name, request)
			if !ok || g.Serial == 0 {
				r.Fatal("no lease")
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
				r.Fatalf("%d units are committed of %d", sum, settings.Leasable(units))
			}
		}
	})
}

// Demand is met by max-min fairness, in whole units, and the whole budget is assigned.
func TestDivide(t *testing.T) {
	for _, c := range []struct {
		units      float64
		demands    []float64
		used       []float64
		minTargets []int // smallest target of each lessee
	}{
		{100, []float64{10, 100, 100}, []float64{10, 40, 40}, []int{10, 35, 35}},
		{100, []float64{10, 1e6, 30}, []float64{10, 5, 30}, []int{10, 27, 30}}, // the second uses little
		{4, []float64{1, 1, 1}, []float64{1, 1, 1}, []int{1, 1, 1}},
		{100, []float64{0, 0, 4}, []float64{0, 0, 4}, []int{5, 5, 9}},
	} {
		b, _ := NewAllocator(settings)
		b.SetBudget("b", c.units, false)
		b.Start(0, term)
		now := b.RecoveringUntil()
		for i := range c.demands {
			name := string(rune('a' + i))
			b.HandleRequest(now, name, LeaseRequest{
				Incarnation: 1, Sequence: 1, Term: term,
				Demands: []Demand{{Budget: "b", Requested: c.demands[i], Used: c.used[i]}},
			})
		}
		b.divide(now)
		for i, x := range b.sortedLessees {
			if x.targets["b"] < c.minTargets[i] {
				t.Errorf("%v units, demands %v: the target of %s is %d, less than %d",
					c.units, c.demands, x.name, x.targets["b"], c.minTargets[i])
			}
		}
	}
}

// A contributed budget is the sum of its lessees' contributions, but at most its ceiling.
func TestContributedBudget(t *testing.T) {
	b, _ := NewAllocator(settings)
	b.SetBudget("e", 0, true)
	b.Start(0, term)
	now := b.RecoveringUntil()
	request := func(name string, n uint64) (units int) {
		g, _ := b.HandleRequest(now, name, LeaseRequest{
			Incarnation: 1, Sequence: n, Term: term,
			Demands: []Demand{{Budget: "e", Requested: 1000, Used: 1000, Contributed: 20}},
		})
		for _, s := range g.Allocations {
			units += s.Units
		}
		return units
	}
	both := func(from, to uint64) (a, b int) {
		for n := from; n <= to; n++ {
			a = request("a", n)
			b = request("b", n)
			now += second / 4
		}
		return a, b
	}
	if a, b := both(1, 40); a != 16 || b != 16 { // half of 40 units less the reserve of 0.2
		t.Errorf("%d and %d of 16", a, b)
	}
	b.SetCeiling("e", 20)
	if a, b := both(41, 80); a != 8 || b != 8 {
		t.Errorf("%d and %d of 8 under the ceiling", a, b)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, change := range map[string]func(s *Settings){
		"no instances":              func(s *Settings) { s.MaxInstances = 0 },
		"reserve above the budget":  func(s *Settings) { s.Reserve = 2 },
		"no request interval":       func(s *Settings) { s.RequestInterval = 0 },
		"lease of one request":      func(s *Settings) { s.LeaseDuration = s.RequestInterval },
		"clocks of arbitrary rates": func(s *Settings) { s.MaxClockDrift = 1 },
	} {
		s := settings
		change(&s)
		if _, err := NewLessee(s); err == nil {
			t.Errorf("%s: %+v is accepted", name, s)
		}
	}
}
