package coordination

import (
	"testing"

	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/fake/golden"
)

// goldenView returns the view that testdata/view.json encodes. The file was written before View had struct tags and
// must never change, because operators' tools read this encoding.
func goldenView() View {
	return View{
		Active:            true,
		Allocator:         "instance-1",
		SinceLastGrant:    12_345,
		LeaseRemaining:    1_500_000,
		Budgets:           []BudgetStatus{{Budget: "tenant/one", Allowed: 20, Spent: 7}},
		Reporters:         9,
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
	view := goldenView()
	golden.RequireFilled(t, "View", view)
	golden.CheckJSON(t, golden.Read(t, "view.json"), &view)
}
