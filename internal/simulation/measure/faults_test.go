package measure

import (
	"math"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// evaluateRun returns the figures of a run of ten seconds with two classes, of which the first has ten times
// the weight of the second for the same work. served tells which operations are served, by second and class.
// serving tells which instances accept requests. recordArrivals, if not nil, records arrivals at endpoints.
func evaluateRun(served func(second, class int) bool, serving func(instance int, at monotime.Micros) bool,
	recordArrivals func(m *Meter)) map[string]float64 {
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
		// In a second the endpoints can do work of a tenth of a second.
		Capacity: func(monotime.Micros) float64 { return 0.1 },
		Serving:  serving,
	})
	m.SetFaultPeriod(3*second, 4*second)
	operationID := uint64(0)
	for secondIndex := range 10 {
		for class := range 2 {
			for i := range 10 { // each of 10 ms of work, so that one class alone needs all of the capacity
				operationID++
				operation := simclient.Operation{
					ID:        operationID,
					Class:     class,
					Tenant:    -1,
					StartedAt: monotime.Micros(secondIndex)*second + monotime.Micros(i)*50_000,
					Work:      10_000,
					Outcome:   simclient.Unserved,
				}
				operation.EndedAt = operation.StartedAt + 50_000
				if served(secondIndex, class) {
					operation.Outcome = simclient.Served
				}
				weight, withinQuota := m.Weight(&operation)
				m.OperationEnded(&operation, 0, weight, withinQuota)
			}
		}
	}
	if recordArrivals != nil {
		recordArrivals(m)
	}
	return m.Result().Figures
}

// alwaysServing is the serving function of a run in which all instances always accept requests.
func alwaysServing(int, monotime.Micros) bool { return true }

// Each figure shows the violation that a run contains, and stays at its best value in runs without that
// violation.
func TestFiguresDetectPlantedViolations(t *testing.T) {
	requireNear := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.01 {
			t.Errorf("%s is %.3f, want %.3f", name, got, want)
		}
	}
	inOrder := evaluateRun(func(_, class int) bool { return class == 0 }, alwaysServing, nil)
	requireNear("of_could", inOrder["of_could"], 1)
	requireNear("out_of_order", inOrder["out_of_order"], 0)
	requireNear("back", inOrder["back"], 1)
	// In the sixth second, the class of lower weight is served in place of the class of higher weight.
	outOfOrder := evaluateRun(func(secondIndex, class int) bool { return (class == 0) != (secondIndex == 5) },
		alwaysServing, nil)
	requireNear("of_could", outOfOrder["of_could"], 0.91)
	requireNear("out_of_order", outOfOrder["out_of_order"], 0.05)
	// The service is lost from the ninth second on, more than 3 s after the end of the fault.
	degraded := evaluateRun(func(secondIndex, class int) bool { return class == 0 && secondIndex < 8 }, alwaysServing,
		nil)
	requireNear("back", degraded["back"], 0.333)
	notServing := evaluateRun(func(secondIndex, class int) bool { return class == 0 && secondIndex != 5 },
		// Operations that start at an instance that accepts no requests are excluded.
		func(_ int, at monotime.Micros) bool { return at/second != 5 }, nil)
	requireNear("of_could", notServing["of_could"], 1)

	withArrivals := evaluateRun(func(int, int) bool { return true }, alwaysServing, func(m *Meter) {
		for secondIndex := range monotime.Micros(10) {
			for i := range 200 {
				m.RecordArrival(secondIndex*second, i%4, FirstAttempt)
			}
		}
		for i := range 30 {
			m.RecordArrival(6*second+monotime.Micros(i), 1, ExtraAttempt)
			m.RecordArrival(7*second+monotime.Micros(i), 2, ProbeArrival)
			m.RecordArrival(7*second+monotime.Micros(i), 3, DialArrival)
		}
		m.RecordArrival(99*second, 1, ExtraAttempt) // ignored, since it is after the end of the run
	})
	requireNear("further_peak", withArrivals["further_peak"], 0.15)
	requireNear("probes_peak", withArrivals["probes_peak"], 30)
	requireNear("probes_first", withArrivals["probes_first"], 0.015)
	requireNear("dials_peak", withArrivals["dials_peak"], 30)
}

// Spent units are counted within any period of one second, over all instances, and in any order of the reports.
func TestQuotaSpentInAnySecond(t *testing.T) {
	limits := map[string]float64{"t": 3}
	m := New(Criteria{Tenants: []balancer.Tenant{{Name: "t"}}, TenantLimits: limits}, 10*second, 1)
	// The instants of several instances are reported one instance after another, so they are not in order.
	for _, spentAt := range []monotime.Micros{900, 1500, 2100, 5000, 1901, 5999, 6000} {
		m.QuotaSpent(spentAt*1000, "tenant/t")
	}
	if figures := m.Result().Figures; figures["over_budget"] != 1 || figures["beyond_limit"] != 0 {
		t.Errorf("over_budget is %v, beyond_limit is %v", figures["over_budget"], figures["beyond_limit"])
	}
	m.QuotaSpent(1899*1000, "tenant/t") // the fourth unit within a period of one second
	if figures := m.Result().Figures; figures["over_budget"] != 4.0/3 || figures["beyond_limit"] != 1 {
		t.Errorf("over_budget is %v, beyond_limit is %v", figures["over_budget"], figures["beyond_limit"])
	}
}
