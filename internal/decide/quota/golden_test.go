package quota

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"dunlinsail/internal/decide/lease"
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
	stored, err := os.ReadFile("testdata/state.json")
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(goldenState())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("encoded as %s, want %s", encoded, stored)
	}
	var decoded State
	if err := json.Unmarshal(stored, &decoded); err != nil {
		t.Fatal(err)
	}
	if want := goldenState(); !reflect.DeepEqual(&decoded, want) {
		t.Errorf("decoded %+v, want %+v", &decoded, want)
	}
}
