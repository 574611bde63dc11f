package observations

import (
	"fmt"
	"math"
	"testing"
)

// An endpoint that fails most is met by each member once or twice, and found by all together; one liar accuses nobody.
func TestSuspects(t *testing.T) {
	s := NewAggregator()
	for i := range 50 {
		var o Local
		for k := range 12 {
			o.RecordOutcome(second, fmt.Sprint("e", k), 0, (k != 3 || i%4 == 0) && !(k == 5 && i == 9))
		}
		seen := Observations{Levels: []OverloadLevel{{Level: 1, Requests: 1}}, Outcomes: o.Outcomes(second, 40)}
		if i == 0 {
			for j := range seen.Outcomes {
				seen.Outcomes[j].Failed = 1e6 // it accuses all
			}
		}
		s.Receive(second, fmt.Sprint("m", i), seen)
	}
	s.Receive(second, "mad", Observations{Levels: []OverloadLevel{{Level: math.NaN()}}, Outcomes: []OutcomeCount{{"e1", 0, 0, math.Inf(1)}, {"e2", 0, -5, 1}}})
	all := s.Aggregate(second)
	if len(all.Suspects) != 1 || all.Suspects[0].Endpoint != "e3" || all.Suspects[0].AvoidProbability < 0.4 {
		t.Errorf("suspects %v", all.Suspects)
	}
	if len(all.Levels) != 1 || all.Levels[0].Level != 1 || all.Members != 51 {
		t.Errorf("levels %v of %d", all.Levels, all.Members)
	}
	if all := s.Aggregate(second + reportLifetime + 1); all.Members != 0 || len(all.Suspects) != 0 {
		t.Errorf("old words count: %v", all)
	}
}

// The level is the members' by their weight; one that says it is all the weight there is decides for nobody.
func TestLevel(t *testing.T) {
	s := NewAggregator()
	for i := range 10 {
		s.Receive(0, fmt.Sprint("m", i), Observations{Levels: []OverloadLevel{{"p", 0.5, 0.4, 10, 5}, {"q", 0.25, 0, 1, 0}}})
	}
	s.Receive(0, "loud", Observations{Levels: []OverloadLevel{{"p", 1, 1, 1e6, 0}}})
	all := s.Aggregate(0)
	if p := all.Levels[0]; p.Level > 0.65 || p.Failed/p.Requests < 0.35 || all.Levels[1].Level != 0.25 {
		t.Errorf("levels %v", all.Levels)
	}
	if p := s.Aggregate(0).Levels[0]; p.Requests != 0 {
		t.Errorf("%v is told twice", p)
	}
}

// Of many endpoints all that failed are told of, and the others in turn.
func TestTurns(t *testing.T) {
	var o Local
	for i := range 100 {
		o.RecordOutcome(0, fmt.Sprintf("e%02d", i), 1, i != 50)
	}
	told := map[string]bool{}
	for range 30 {
		all := o.Outcomes(0, 10)
		if len(all) != 10 || all[0].Endpoint != "e50" {
			t.Fatalf("%v", all)
		}
		for _, c := range all {
			told[c.Endpoint] = true
		}
	}
	if len(told) != 100 {
		t.Errorf("%d of 100 were told of", len(told))
	}
}
