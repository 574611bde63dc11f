package quota

import (
	"testing"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/fake/golden"
	"dunlinsail/internal/monotime"
)

// goldenState returns the state that testdata/state.json encodes. The file was written before State had struct tags and
// must never change, because a process hands its state over in this encoding to a successor of any other build.
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

// Guards against a field without a value in goldenState: TestStateKeepsItsStoredForm would not check its encoding.
func TestGoldenStateFillsEachField(t *testing.T) {
	filled := goldenState()
	filled.Buckets = filled.Buckets[1:] // the first bucket has no spent units
	golden.RequireFilled(t, "State", filled)
}
