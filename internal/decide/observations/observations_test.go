package observations

import (
	"fmt"
	"math"
	"testing"
)

// Members that each have one or two failures at an endpoint make it a suspect together. A single member that reports
// false failures makes no endpoint a suspect.
func TestSuspectsAreFoundByManyAndNotByOne(t *testing.T) {
	aggregator := NewAggregator()
	for i := range 50 {
		var local Local
		for k := range 12 {
			succeeded := (k != 3 || i%4 == 0) && !(k == 5 && i == 9)
			local.RecordOutcome(second, fmt.Sprint("e", k), 0, succeeded)
		}
		report := Observations{
			Levels:   []OverloadLevel{{Level: 1, Requests: 1}},
			Outcomes: local.OutcomesToReport(second, 40),
		}
		if i == 0 {
			for j := range report.Outcomes {
				report.Outcomes[j].Failed = 1e6 // a false report
			}
		}
		aggregator.Receive(second, fmt.Sprint("m", i), report)
	}
	aggregator.Receive(second, "out of range", Observations{
		Levels:   []OverloadLevel{{Level: math.NaN()}},
		Outcomes: []OutcomeCount{{"e1", 0, 0, math.Inf(1)}, {"e2", 0, -5, 1}},
	})
	all := aggregator.TakeAggregate(second)
	if len(all.Suspects) != 1 || all.Suspects[0].Endpoint != "e3" || all.Suspects[0].AvoidProbability < 0.4 {
		t.Errorf("suspects %v", all.Suspects)
	}
	if len(all.Levels) != 1 || all.Levels[0].Level != 1 || all.Reporters != 51 {
		t.Errorf("levels %v of %d", all.Levels, all.Reporters)
	}
	if all := aggregator.TakeAggregate(second + reportLifetime + 1); all.Reporters != 0 || len(all.Suspects) != 0 {
		t.Errorf("old reports count: %v", all)
	}
}

// Levels are weighted by requests, within bounds: a member that claims most of the requests does not decide for all.
func TestLevelsAreWeightedWithinBounds(t *testing.T) {
	aggregator := NewAggregator()
	for i := range 10 {
		aggregator.Receive(0, fmt.Sprint("m", i), Observations{
			Levels: []OverloadLevel{{"p", 0.5, 0.4, 10, 5}, {"q", 0.25, 0, 1, 0}},
		})
	}
	aggregator.Receive(0, "loud", Observations{Levels: []OverloadLevel{{"p", 1, 1, 1e6, 0}}})
	all := aggregator.TakeAggregate(0)
	if p := all.Levels[0]; p.Level > 0.65 || p.Failed/p.Requests < 0.35 || all.Levels[1].Level != 0.25 {
		t.Errorf("levels %v", all.Levels)
	}
	if p := aggregator.TakeAggregate(0).Levels[0]; p.Requests != 0 {
		t.Errorf("%v is summed twice", p)
	}
}

// Of many endpoints, those with failures are reported each time, and the others in turn.
func TestOutcomesRotate(t *testing.T) {
	var local Local
	for i := range 100 {
		local.RecordOutcome(0, fmt.Sprintf("e%02d", i), 1, i != 50)
	}
	reported := map[string]bool{}
	for range 30 {
		all := local.OutcomesToReport(0, 10)
		if len(all) != 10 || all[0].Endpoint != "e50" {
			t.Fatalf("%v", all)
		}
		for _, c := range all {
			reported[c.Endpoint] = true
		}
	}
	if len(reported) != 100 {
		t.Errorf("%d of 100 were reported", len(reported))
	}
}
