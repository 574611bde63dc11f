package observations

import (
	"fmt"
	"math"
	"testing"
)

// An endpoint that fails most is met by each member once or twice, and found by all together; one liar accuses nobody.
func TestSuspects(t *testing.T) {
	s := NewSum()
	for i := range 50 {
		var o Own
		for k := range 12 {
			o.Ended(second, fmt.Sprint("e", k), 0, (k != 3 || i%4 == 0) && !(k == 5 && i == 9))
		}
		seen := Seen{Levels: []Level{{Level: 1, Asked: 1}}, Counts: o.Counts(second, 40)}
		if i == 0 {
			for j := range seen.Counts {
				seen.Counts[j].Failed = 1e6 // it accuses all
			}
		}
		s.Hear(second, fmt.Sprint("m", i), seen)
	}
	s.Hear(second, "mad", Seen{Levels: []Level{{Level: math.NaN()}}, Counts: []Count{{"e1", 0, 0, math.Inf(1)}, {"e2", 0, -5, 1}}})
	all := s.All(second)
	if len(all.Suspects) != 1 || all.Suspects[0].Endpoint != "e3" || all.Suspects[0].Chance < 0.4 {
		t.Errorf("suspects %v", all.Suspects)
	}
	if len(all.Levels) != 1 || all.Levels[0].Level != 1 || all.Members != 51 {
		t.Errorf("levels %v of %d", all.Levels, all.Members)
	}
	if all := s.All(second + wordSpan + 1); all.Members != 0 || len(all.Suspects) != 0 {
		t.Errorf("old words count: %v", all)
	}
}

// The level is the members' by their weight; one that says it is all the weight there is decides for nobody.
func TestLevel(t *testing.T) {
	s := NewSum()
	for i := range 10 {
		s.Hear(0, fmt.Sprint("m", i), Seen{Levels: []Level{{"p", 0.5, 0.4, 10, 5}, {"q", 0.25, 0, 1, 0}}})
	}
	s.Hear(0, "loud", Seen{Levels: []Level{{"p", 1, 1, 1e6, 0}}})
	all := s.All(0)
	if p := all.Levels[0]; p.Level > 0.65 || p.Vain/p.Asked < 0.35 || all.Levels[1].Level != 0.25 {
		t.Errorf("levels %v", all.Levels)
	}
	if p := s.All(0).Levels[0]; p.Asked != 0 {
		t.Errorf("%v is told twice", p)
	}
}

// Of many endpoints all that failed are told of, and the others in turn.
func TestTurns(t *testing.T) {
	var o Own
	for i := range 100 {
		o.Ended(0, fmt.Sprintf("e%02d", i), 1, i != 50)
	}
	told := map[string]bool{}
	for range 30 {
		all := o.Counts(0, 10)
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
