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

// startedLessee returns a lessee that was started at time 0 and has a budget of 100 units.
func startedLessee(tb testing.TB) *Lessee {
	tb.Helper()
	lessee, err := NewLessee(settings)
	require.NoError(tb, err)
	lessee.SetBudget("b", 100) // the minimum of each of the 4 instances is 5
	lessee.Start(0, 7)
	return lessee
}

// grant passes the lessee a grant of units as the reply to its request.
func grant(lessee *Lessee, now monotime.Micros, request LeaseRequest, serial uint64, units int) {
	lessee.HandleGrant(now, Grant{
		Incarnation: request.Incarnation, Sequence: request.Sequence,
		Term: term, Serial: serial, Duration: settings.LeaseDuration,
		Allocations: []Allocation{{"b", units}},
	})
}

// newRequest returns a request with the allocator's current term, of which it notifies the lessee first if necessary.
func newRequest(lessee *Lessee, now monotime.Micros) LeaseRequest {
	request := lessee.NewRequest(now)
	if request.Term != term {
		lessee.HandleGrant(now, Grant{Incarnation: request.Incarnation, Sequence: request.Sequence, Term: term})
		request = lessee.NewRequest(now)
	}
	return request
}

// The duration of a lease is counted from its request, even if the grant arrives late. Grants older than the lease in
// force, duplicated after their lease expired, or for another process are ignored.
func TestLateAndReorderedGrants(t *testing.T) {
	lessee := startedLessee(t)
	firstRequest := newRequest(lessee, 2*second)
	secondRequest := newRequest(lessee, 2*second+100)
	grant(lessee, 4*second, secondRequest, 2, 30)
	grant(lessee, 4*second, firstRequest, 1, 50)
	if allowed := lessee.Allowed(5*second, "b"); allowed != 35 {
		t.Errorf("%d may be spent, not 5 and 30", allowed)
	}
	if allowed := lessee.Allowed(5*second+100, "b"); allowed != 5 {
		t.Errorf("%d may be spent three seconds after the request", allowed)
	}
	grant(lessee, 5*second+100, secondRequest, 3, 30) // the lease expired three seconds after its request
	otherProcessGrant := Grant{
		Incarnation: 8, Sequence: secondRequest.Sequence, Term: term, Serial: 9, Duration: settings.LeaseDuration,
		Allocations: []Allocation{{"b", 30}},
	}
	lessee.HandleGrant(5*second, otherProcessGrant)
	if allowed := lessee.Allowed(5*second+100, "b"); allowed != 5 {
		t.Errorf("%d may be spent by an expired lease, or another process's", allowed)
	}
}

// A new process may not spend anything for one second after its start. A successor continues with its predecessor's
// lease, and the units that the predecessor spent count against it.
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
	state := lessee.HandOver(3 * second)
	if lessee.Spend(3*second, "b") {
		t.Error("spends after handing over")
	}
	successor := startedLessee(t)
	successor.active = false
	successor.Restore(3*second+1000, 1000, state) // both processes use the same clock
	spent := 0
	for successor.Spend(3*second+1000, "b") {
		spent++
	}
	if spent != 3 {
		t.Errorf("%d are left of 15 after 12", spent)
	}
	if _, _, _, held := successor.HeldLease(5*second + 1); held {
		t.Error("the lease is in force beyond its end")
	}
}

// The committed units of all lessees never exceed the leasable units, whatever the lessees demand and report to hold.
func TestCommittedUnitsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		allocator, err := NewAllocator(settings)
		require.NoError(t, err)
		units := rapid.Float64Range(0, 300).Draw(r, "units")
		allocator.SetBudget("b", units, false)
		now := monotime.Micros(0)
		allocator.Start(now, term)
		now = allocator.RecoveringUntil()
		sequences := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += rapid.Int64Range(0, second).Draw(r, "later")
			lesseeName := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "who")
			sequences[lesseeName]++
			demand := Demand{Budget: "b", Requested: rapid.Float64Range(0, 1000).Draw(r, "want")}
			request := LeaseRequest{Incarnation: 1, Sequence: sequences[lesseeName], Term: term, HeldTerm: term}
			request.HeldSerial = rapid.Uint64Range(0, 30).Draw(r, "of")
			demand.Used = rapid.Float64Range(0, 1000).Draw(r, "used")
			demand.Held = rapid.IntRange(0, 1000).Draw(r, "holds")
			request.Demands = []Demand{demand}
			g, ok := allocator.HandleRequest(now, lesseeName, request)
			if !ok || g.Serial == 0 {
				r.Fatal("no lease")
			}
			if rapid.IntRange(0, 15).Draw(r, "change") == 0 {
				allocator.RemoveBudget("b")
				allocator.SetBudget("b", units, false)
			}
			committed := 0
			for _, record := range allocator.sortedLessees {
				committed += record.committedUnits(now, "b")
			}
			if committed > settings.Leasable(units) {
				r.Fatalf("%d units are committed of %d", committed, settings.Leasable(units))
			}
		}
	})
}

// A division meets the demands by max-min fairness in whole units, and assigns spare units beyond them.
func TestDivide(t *testing.T) {
	for _, c := range []struct {
		units      float64
		demands    []float64
		used       []float64
		minTargets []int // lower bound of each lessee's target
	}{
		{100, []float64{10, 100, 100}, []float64{10, 40, 40}, []int{10, 35, 35}},
		{100, []float64{10, 1e6, 30}, []float64{10, 5, 30}, []int{10, 27, 30}}, // the second lessee uses few units
		{4, []float64{1, 1, 1}, []float64{1, 1, 1}, []int{1, 1, 1}},
		{100, []float64{0, 0, 4}, []float64{0, 0, 4}, []int{5, 5, 9}},
	} {
		allocator, _ := NewAllocator(settings)
		allocator.SetBudget("b", c.units, false)
		allocator.Start(0, term)
		now := allocator.RecoveringUntil()
		for i := range c.demands {
			name := string(rune('a' + i))
			allocator.HandleRequest(now, name, LeaseRequest{
				Incarnation: 1, Sequence: 1, Term: term,
				Demands: []Demand{{Budget: "b", Requested: c.demands[i], Used: c.used[i]}},
			})
		}
		allocator.divide(now)
		for i, record := range allocator.sortedLessees {
			if record.targets["b"] < c.minTargets[i] {
				t.Errorf("%v units, demands %v: the target of %s is %d, less than %d",
					c.units, c.demands, record.name, record.targets["b"], c.minTargets[i])
			}
		}
	}
}

// The size of a contributed budget is the sum of its lessees' contributions, bounded by its ceiling.
func TestContributedBudget(t *testing.T) {
	allocator, _ := NewAllocator(settings)
	allocator.SetBudget("e", 0, true)
	allocator.Start(0, term)
	now := allocator.RecoveringUntil()
	request := func(name string, sequence uint64) (units int) {
		g, _ := allocator.HandleRequest(now, name, LeaseRequest{
			Incarnation: 1, Sequence: sequence, Term: term,
			Demands: []Demand{{Budget: "e", Requested: 1000, Used: 1000, Contributed: 20}},
		})
		for _, allocation := range g.Allocations {
			units += allocation.Units
		}
		return units
	}
	requestRepeatedly := func(first, last uint64) (unitsA, unitsB int) {
		for sequence := first; sequence <= last; sequence++ {
			unitsA = request("a", sequence)
			unitsB = request("b", sequence)
			now += second / 4
		}
		return unitsA, unitsB
	}
	// Each gets half of the 40 contributed units less the reserve of 0.2.
	if unitsA, unitsB := requestRepeatedly(1, 40); unitsA != 16 || unitsB != 16 {
		t.Errorf("%d and %d of 16", unitsA, unitsB)
	}
	allocator.SetCeiling("e", 20)
	if unitsA, unitsB := requestRepeatedly(41, 80); unitsA != 8 || unitsB != 8 {
		t.Errorf("%d and %d of 8 under the ceiling", unitsA, unitsB)
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
