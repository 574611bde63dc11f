package coordination

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"dunlinsail/internal/decide/quota"
)

// goldenView is what testdata/view.json holds. The file was written before the types had tags, and never changes:
// operators' tools read this form.
func goldenView() View {
	return View{
		Active:            true,
		Allocator:         "instance-1",
		SinceLastGrant:    12_345,
		LeaseRemaining:    1_500_000,
		Budgets:           []BudgetStatus{{Budget: "tenant/one", Allowed: 20, Spent: 7}},
		Members:           9,
		RecoveryRemaining: 3_000_000,
		Leases: []quota.LeaseStatus{{
			Lessee:        "instance-2",
			Incarnation:   0xfedcba9876543210,
			Budget:        "tenant/one",
			Units:         20,
			Target:        30,
			Requested:     33.5,
			Until:         7_000_000,
			LastRequestAt: 6_000_000,
		}},
	}
}

func TestViewKeepsItsForm(t *testing.T) {
	stored, err := os.ReadFile("testdata/view.json")
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(goldenView())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("encoded as %s, want %s", encoded, stored)
	}
	var decoded View
	if err := json.Unmarshal(stored, &decoded); err != nil {
		t.Fatal(err)
	}
	if want := goldenView(); !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, want %+v", decoded, want)
	}
}
