package gossipsim

import (
	"testing"

	"dunlinsail/internal/fake/require"
)

// overloadedRun returns the settings of a run in which twice the budget is demanded.
func overloadedRun(members int, seed uint64) Settings {
	return Settings{
		Members:      members,
		Candidates:   3,
		Units:        200,
		Demand:       400,
		Duration:     44 * second,
		Seed:         seed,
		Coordination: DefaultSettings(),
	}
}

// useAtEnd adds up the seconds after the faults: the demand within the budget, and what was spent.
func useAtEnd(r *Result) (spendable, spent int) {
	for _, at := range r.Seconds[37:] {
		spendable += min(at.Demanded, 200)
		spent += at.Spent
	}
	return spendable, spent
}

// In every hard case the sum is within the budget in every second, and the budget is used once the faults are over.
func TestHardCasesStayWithinBudgetAndUseIt(t *testing.T) {
	for name, faults := range HardCases(9) {
		for seed := range uint64(3) {
			s := overloadedRun(9, seed)
			s.Faults = faults
			r, err := Run(s)
			require.NoError(t, err)
			if r.UnitsExceeded > 0 {
				t.Errorf("%s, seed %d: %d spent in the second to %d, of 200", name, seed, r.MaxSpent, r.MaxSpentAt)
			}
			if name == "half have less" {
				continue // the budget in force depends on which member is the allocator
			}
			spendable, spent := useAtEnd(r)
			minPercent := 90
			if name == "demand moves" {
				minPercent = 80 // demand is hardly above the budget, and leases follow it with a delay
			}
			if 100*spent < minPercent*spendable {
				t.Errorf("%s, seed %d: %d of %d at the end", name, seed, spent, spendable)
			}
		}
	}
}

// With random faults the sum is within the budget in every second.
func TestRandomFaultsStayWithinBudget(t *testing.T) {
	for seed := range uint64(60) {
		s := overloadedRun([]int{1, 2, 5, 20}[seed%4], seed)
		s.Faults = RandomFaults(seed, s.Members, s.Duration)
		r, err := Run(s)
		require.NoError(t, err)
		if r.UnitsExceeded > 0 {
			t.Errorf("seed %d: %d spent in the second to %d, of 200: %+v", seed, r.MaxSpent, r.MaxSpentAt, s.Faults)
		}
	}
}

// The checker detects each planted error.
func TestPlantedErrorsAreDetected(t *testing.T) {
	revealingCase := map[string]string{slowClocks: "split in halves", spendsOnStart: "killed ten times"}
	for _, plant := range PlantedErrors {
		found := 0
		for seed := range uint64(5) {
			s := overloadedRun(9, seed)
			s.PlantedError = plant
			if plant == spendsOnStart {
				s.Coordination.Quota.Reserve = 1 // nothing is leased, and nothing lies idle when a member is killed
			}
			s.Faults = HardCases(9)[revealingCase[plant]]
			r, err := Run(s)
			require.NoError(t, err)
			found += r.UnitsExceeded
		}
		if found == 0 {
			t.Errorf("%s: not found", plant)
		}
	}
}
