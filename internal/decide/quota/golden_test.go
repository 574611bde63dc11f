package quota

import (
	"testing"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/fake/golden"
	"dunlinsail/internal/monotime"
)

// goldenState is what testdata/state.json holds. The file was written before the types had tags, and never changes:
// it is part of what a process hands to its successor, which may be of another build.
func goldenState() *State {
	return &State{
		Incarnation: 0xfedcba9876543210,
		Sequence:    23,
		Term:        lease.Term{Holder: "instance-1", Incarnation: 9, Round: 17},
		HeldSerial:  5,
		HeldTerm:    lease.Term{Holder: "instance-0", Incarnation: 3, Round: 2},
		Remaining:   1_234_567,
		Age:         77_000_000,
		Buckets: []BucketState{
			{Budget: "further", Leased: 40},
			{Budget: "tenant/one", Leased: 1, Spent: []monotime.Micros{999_999, 500_000, 1}},
		},
	}
}

func TestStateKeepsItsStoredForm(t *testing.T) {
	golden.CheckJSON(t, golden.Read(t, "state.json"), goldenState())
}

// A field without a value would not be seen by the test above.
func TestGoldenStateFillsEachField(t *testing.T) {
	filled := goldenState()
	filled.Buckets = filled.Buckets[1:] // of the first nothing is spent
	golden.RequireFilled(t, "State", filled)
}
