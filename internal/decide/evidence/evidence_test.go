package evidence

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
			o.Ended(second, fmt.Sprint("e", k), (k != 3 || i%4 == 0) && !(k == 5 && i == 9))
		}
		seen := Seen{Level: 1, Weight: 1, Counts: o.Counts(second, 40)}
		if i == 0 {
			for j := range seen.Counts {
				seen.Counts[j].Failed = 1e6 // it accuses all
			}
		}
		s.Hear(second, fmt.Sprint("m", i), seen)
	}
	s.Hear(second, "mad", Seen{Level: math.NaN(), Counts: []Count{{"e1", 0, math.Inf(1)}, {"e2", -5, 1}}})
	all := s.All(second)
	if len(all.Suspects) != 1 || all.Suspects[0].Endpoint != "e3" || all.Suspects[0].Chance < 0.4 {
		t.Errorf("suspects %v", all.Suspects)
	}
	if all.Level != 1 || all.Members != 51 {
		t.Errorf("level %v of %d", all.Level, all.Members)
	}
	if all := s.All(second + wordSpan + 1); all.Members != 0 || len(all.Suspects) != 0 {
		t.Errorf("old words count: %v", all)
	}
}

// The level is the members' by their weight; one that says it is all the weight there is decides for nobody.
func TestLevel(t *testing.T) {
	s := NewSum()
	for i := range 10 {
		s.Hear(0, fmt.Sprint("m", i), Seen{Level: 0.5, Load: 0.4, Weight: 1})
	}
	s.Hear(0, "loud", Seen{Level: 1, Load: 1, Weight: 1e9})
	if all := s.All(0); all.Level > 0.65 {
		t.Errorf("level %v", all.Level)
	}
}

// Of many endpoints all that failed are told of, and the others in turn.
func TestTurns(t *testing.T) {
	var o Own
	for i := range 100 {
		o.Ended(0, fmt.Sprintf("e%02d", i), i != 50)
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
