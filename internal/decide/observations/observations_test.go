package observations

import (
	"fmt"
	"math"
	"testing"
)

// An endpoint at which many members observe a failure each becomes a suspect. A single member that reports false
// failures of all endpoints makes no endpoint a suspect, and counts out of range are ignored.
func TestSuspectsAreFoundByManyAndNotByOne(t *testing.T) {
	aggregator := NewAggregator()
	for memberIndex := range 50 {
		var local Local
		for endpointIndex := range 12 {
			succeeded := (endpointIndex != 3 || memberIndex%4 == 0) && !(endpointIndex == 5 && memberIndex == 9)
			local.RecordOutcome(second, fmt.Sprint("e", endpointIndex), 0, succeeded)
		}
		report := Observations{
			Levels:   []OverloadLevel{{Level: 1, Requests: 1}},
			Outcomes: local.OutcomesToReport(second, 40),
		}
		if memberIndex == 0 {
			for j := range report.Outcomes {
				report.Outcomes[j].Failed = 1e6 // member 0 reports false failures
			}
		}
		aggregator.Receive(second, fmt.Sprint("m", memberIndex), report)
	}
	aggregator.Receive(second, "out of range", Observations{
		Levels:   []OverloadLevel{{Level: math.NaN()}},
		Outcomes: []OutcomeCount{{"e1", 0, 0, math.Inf(1)}, {"e2", 0, -5, 1}},
	})
	aggregate := aggregator.TakeAggregate(second)
	if len(aggregate.Suspects) != 1 || aggregate.Suspects[0].Endpoint != "e3" ||
		aggregate.Suspects[0].AvoidProbability < 0.4 {
		t.Errorf("suspects %v", aggregate.Suspects)
	}
	if len(aggregate.Levels) != 1 || aggregate.Levels[0].Level != 1 || aggregate.Reporters != 51 {
		t.Errorf("levels %v of %d", aggregate.Levels, aggregate.Reporters)
	}
	if aggregate := aggregator.TakeAggregate(second + reportLifetime + 1); aggregate.Reporters != 0 ||
		len(aggregate.Suspects) != 0 {
		t.Errorf("old reports count: %v", aggregate)
	}
}

// Levels are weighted by requests, but the weight is bounded: a member that reports most of the requests does not
// determine the aggregated level alone.
func TestLevelsAreWeightedWithinBounds(t *testing.T) {
	aggregator := NewAggregator()
	for i := range 10 {
		aggregator.Receive(0, fmt.Sprint("m", i), Observations{
			Levels: []OverloadLevel{{"p", 0.5, 0.4, 10, 5}, {"q", 0.25, 0, 1, 0}},
		})
	}
	aggregator.Receive(0, "loud", Observations{Levels: []OverloadLevel{{"p", 1, 1, 1e6, 0}}})
	aggregate := aggregator.TakeAggregate(0)
	if level := aggregate.Levels[0]; level.Level > 0.65 || level.Failed/level.Requests < 0.35 ||
		aggregate.Levels[1].Level != 0.25 {
		t.Errorf("levels %v", aggregate.Levels)
	}
	if level := aggregator.TakeAggregate(0).Levels[0]; level.Requests != 0 {
		t.Errorf("%v is summed twice", level)
	}
}

// If a report cannot contain all endpoints, endpoints with failures are in every report and the others are reported in
// rotation.
func TestOutcomesRotate(t *testing.T) {
	var local Local
	for i := range 100 {
		local.RecordOutcome(0, fmt.Sprintf("e%02d", i), 1, i != 50)
	}
	reported := map[string]bool{}
	for range 30 {
		outcomes := local.OutcomesToReport(0, 10)
		if len(outcomes) != 10 || outcomes[0].Endpoint != "e50" {
			t.Fatalf("%v", outcomes)
		}
		for _, c := range outcomes {
			reported[c.Endpoint] = true
		}
	}
	if len(reported) != 100 {
		t.Errorf("%d of 100 were reported", len(reported))
	}
}
