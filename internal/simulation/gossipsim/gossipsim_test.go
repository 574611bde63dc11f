package gossipsim

import (
	"testing"

	"dunlinsail/internal/fake/require"
)

// overloadedSettings returns the settings of a run in which the demand is twice the budget.
func overloadedSettings(members int, seed uint64) Settings {
	return Settings{
		Members:      members,
		Candidates:   3,
		BudgetRate:   200,
		DemandRate:   400,
		Duration:     44 * second,
		Seed:         seed,
		Coordination: DefaultSettings(),
	}
}

// spentAfterFaults adds up the seconds after the faults. It returns the demand that was within the budget, and
// the units that were spent.
func spentAfterFaults(result *Result) (demandWithinBudget, spentUnits int) {
	for _, secondTotals := range result.Seconds[37:] {
		demandWithinBudget += min(secondTotals.Demanded, 200)
		spentUnits += secondTotals.Spent
	}
	return demandWithinBudget, spentUnits
}

// In every hard case, the spent units stay within the budget in every second, and the budget is used after the
// faults.
func TestHardCasesStayWithinBudgetAndUseIt(t *testing.T) {
	for name, faults := range HardCases(9) {
		for seed := range uint64(3) {
			settings := overloadedSettings(9, seed)
			settings.Faults = faults
			result, err := Run(settings)
			require.NoError(t, err)
			if result.UnitsExceeded > 0 {
				t.Errorf("%s, seed %d: %d units spent in the second that ends at %d us, the budget is 200",
					name, seed, result.MaxSpent, result.MaxSpentAt)
			}
			if name == "half have less" {
				continue // the budget in force depends on which member is the allocator
			}
			spendable, spent := spentAfterFaults(result)
			minUsedPercent := 90
			if name == "demand moves" {
				minUsedPercent = 80 // the demand is little above the budget, and leases follow it with a delay
			}
			if 100*spent < minUsedPercent*spendable {
				t.Errorf("%s, seed %d: %d units of %d were spent after the faults", name, seed, spent, spendable)
			}
		}
	}
}

// With random faults, the spent units stay within the budget in every second.
func TestRandomFaultsStayWithinBudget(t *testing.T) {
	for seed := range uint64(60) {
		settings := overloadedSettings([]int{1, 2, 5, 20}[seed%4], seed)
		settings.Faults = RandomFaults(seed, settings.Members, settings.Duration)
		result, err := Run(settings)
		require.NoError(t, err)
		if result.UnitsExceeded > 0 {
			t.Errorf("seed %d: %d units spent in the second that ends at %d us, the budget is 200; faults: %+v",
				seed, result.MaxSpent, result.MaxSpentAt, settings.Faults)
		}
	}
}

// The budget check detects each planted error.
func TestPlantedErrorsAreDetected(t *testing.T) {
	revealingFaults := map[string]string{slowClocks: "split in halves", spendsOnStart: "killed ten times"}
	for _, plantedError := range PlantedErrors {
		unitsExceeded := 0
		for seed := range uint64(5) {
			settings := overloadedSettings(9, seed)
			settings.PlantedError = plantedError
			if plantedError == spendsOnStart {
				// With all of the budget in reserve, no leased units lie idle when a member is killed.
				settings.Coordination.Quota.Reserve = 1
			}
			settings.Faults = HardCases(9)[revealingFaults[plantedError]]
			result, err := Run(settings)
			require.NoError(t, err)
			unitsExceeded += result.UnitsExceeded
		}
		if unitsExceeded == 0 {
			t.Errorf("%s: the planted error was not detected", plantedError)
		}
	}
}
