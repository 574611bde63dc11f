package measure

import (
	"math"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// evaluate returns the figures of a run of ten seconds with two classes, of which the first weighs ten times as much
// for its work; serve says, by second and class, whether operations are served.
func evaluate(serve func(second, class int) bool, reached func(instance int, at monotime.Micros) bool,
	arrive func(m *Meter)) map[string]float64 {
	m := New(Criteria{Classes: []balancer.Class{{
		Name:             "a",
		LatencyObjective: 200_000,
		PriorityWeight:   10,
	}, {
		Name:             "b",
		LatencyObjective: 200_000,
		PriorityWeight:   1,
	}}}, 10*second, 1)
	m.SetEnvironment(Environment{
		Capacity: func(monotime.Micros) float64 { return 0.1 },
		Serving:  reached,
	}) // work of a tenth of a second in a second
	m.SetFaultPeriod(3*second, 4*second)
	id := uint64(0)
	for s := range 10 {
		for class := range 2 {
			for i := range 10 { // of 10 ms each: either class alone needs all of the capacity
				id++
				x := simclient.Operation{
					ID:        id,
					Class:     class,
					Tenant:    -1,
					StartedAt: monotime.Micros(s)*second + monotime.Micros(i)*50_000,
					Work:      10_000,
					Outcome:   simclient.Unserved,
				}
				x.EndedAt = x.StartedAt + 50_000
				if serve(s, class) {
					x.Outcome = simclient.Served
				}
				weight, within := m.Weight(&x)
				m.OperationEnded(&x, 0, weight, within)
			}
		}
	}
	if arrive != nil {
		arrive(m)
	}
	return m.Result().Figures
}

func always(int, monotime.Micros) bool { return true }

// Each violation is found where it is planted, and not where it is not.
func TestFiguresFindWhatIsPlanted(t *testing.T) {
	near := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.01 {
			t.Errorf("%s is %.3f, want %.3f", name, got, want)
		}
	}
	best := evaluate(func(_, class int) bool { return class == 0 }, always, nil)
	near("of_could", best["of_could"], 1)
	near("out_of_order", best["out_of_order"], 0)
	near("back", best["back"], 1)
	// one second in the wrong order
	wrong := evaluate(func(s, class int) bool { return (class == 0) != (s == 5) }, always, nil)
	near("of_could", wrong["of_could"], 0.91)
	near("out_of_order", wrong["out_of_order"], 0.05)
	// service is lost later than 3 s after the fault's end
	worse := evaluate(func(s, class int) bool { return class == 0 && s < 8 }, always, nil)
	near("back", worse["back"], 0.333)
	gone := evaluate(func(s, class int) bool { return class == 0 && s != 5 },
		// operations at instances that accept nothing do not count
		func(_ int, at monotime.Micros) bool { return at/second != 5 }, nil)
	near("of_could", gone["of_could"], 1)

	arrived := evaluate(func(int, int) bool { return true }, always, func(m *Meter) {
		for s := range monotime.Micros(10) {
			for i := range 200 {
				m.RecordArrival(s*second, i%4, FirstAttempt)
			}
		}
		for i := range 30 {
			m.RecordArrival(6*second+monotime.Micros(i), 1, ExtraAttempt)
			m.RecordArrival(7*second+monotime.Micros(i), 2, ProbeArrival)
			m.RecordArrival(7*second+monotime.Micros(i), 3, DialArrival)
		}
		m.RecordArrival(99*second, 1, ExtraAttempt) // after the run's end: ignored
	})
	near("further_peak", arrived["further_peak"], 0.15)
	near("probes_peak", arrived["probes_peak"], 30)
	near("probes_first", arrived["probes_first"], 0.015)
	near("dials_peak", arrived["dials_peak"], 30)
}

// Spent units are counted within any second, over all instances, in whatever order they report.
func TestSpent(t *testing.T) {
	limits := map[string]float64{"t": 3}
	m := New(Criteria{Tenants: []balancer.Tenant{{Name: "t"}}, TenantLimits: limits}, 10*second, 1)
	// Instants of several instances, one after another.
	for _, at := range []monotime.Micros{900, 1500, 2100, 5000, 1901, 5999, 6000} {
		m.QuotaSpent(at*1000, "tenant/t")
	}
	if f := m.Result().Figures; f["over_budget"] != 1 || f["beyond_limit"] != 0 {
		t.Errorf("%v, beyond %v", f["over_budget"], f["beyond_limit"])
	}
	m.QuotaSpent(1899*1000, "tenant/t") // the fourth within a second
	if f := m.Result().Figures; f["over_budget"] != 4.0/3 || f["beyond_limit"] != 1 {
		t.Errorf("%v, beyond %v", f["over_budget"], f["beyond_limit"])
	}
}
