package gossipsim

import (
	"dunlinsail/internal/monotime"
)

// scheduleDemand has a member demand units at random instants, with its demand rate as the mean rate.
func (sim *simulation) scheduleDemand(x *member) {
	if x.demandRate <= 0 {
		return
	}
	sim.schedule(monotime.Micros(sim.rng.ExpFloat64()/x.demandRate*float64(second)), func() {
		sim.demandUnit(x)
		sim.scheduleDemand(x)
	})
}

// demandUnit has a member demand one unit, and spend it if the member has one available.
func (sim *simulation) demandUnit(x *member) {
	currentSecond := &sim.result.Seconds[min(int(sim.now/second), len(sim.result.Seconds)-1)]
	currentSecond.Demanded++
	if !x.running || x.stoppedUntil > sim.now {
		return
	}
	localNow := x.localTime(sim.now)
	x.coordinator.RecordDemand(localNow, budgetName)
	if !x.coordinator.Spend(localNow, budgetName) {
		return
	}
	currentSecond.Spent++
	sim.checkBudget()
}

// checkBudget counts a unit that is spent now, and checks whether the units of the last second exceed the
// budget.
func (sim *simulation) checkBudget() {
	sim.recentlySpent = append(sim.recentlySpent, sim.now)
	expiredCount := 0
	for sim.recentlySpent[expiredCount] <= sim.now-second {
		expiredCount++
	}
	sim.recentlySpent = sim.recentlySpent[expiredCount:]
	spentCount := len(sim.recentlySpent)
	if spentCount > sim.result.MaxSpent {
		sim.result.MaxSpent = spentCount
		sim.result.MaxSpentAt = sim.now
	}
	if float64(spentCount) > sim.maxBudget() {
		sim.result.UnitsExceeded++
	}
}

// maxBudget returns the largest budget that any member's configuration has during the run.
func (sim *simulation) maxBudget() float64 {
	maxUnits := sim.settings.BudgetRate
	for i := range sim.settings.Faults {
		if fault := &sim.settings.Faults[i]; fault.Kind == faultBudgetChange {
			maxUnits = max(maxUnits, sim.settings.BudgetRate*fault.Factor)
		}
	}
	return maxUnits
}

// summarize computes the results that depend on the whole run.
func (sim *simulation) summarize() {
	result := &sim.result
	unitsPerSecond := int(sim.settings.BudgetRate)
	demandedUnits := 0
	spentUnits := 0
	for i, secondTotals := range result.Seconds {
		demandedUnits += min(secondTotals.Demanded, unitsPerSecond)
		spentUnits += min(secondTotals.Spent, unitsPerSecond)
		if result.ConvergedAt == 0 && 10*secondTotals.Spent >= 9*min(secondTotals.Demanded, unitsPerSecond) {
			result.ConvergedAt = monotime.Micros(i+1) * second
		}
	}
	result.Utilization = 1
	if demandedUnits > 0 {
		result.Utilization = float64(spentUnits) / float64(demandedUnits)
	}
	sim.summarizeCosts()
}

// summarizeCosts computes the rates of messages and bytes that members sent.
func (sim *simulation) summarizeCosts() {
	result := &sim.result
	durationSeconds := float64(sim.settings.Duration) / float64(second)
	nonCandidates := 0
	for _, x := range sim.members {
		messageRate := float64(x.messagesSent) / durationSeconds
		byteRate := float64(x.bytesSent) / durationSeconds
		if messageRate > result.AllocatorMessageRate {
			result.AllocatorMessageRate = messageRate
			result.AllocatorByteRate = byteRate
		}
		if x.index >= len(sim.candidates) {
			result.MessageRate += messageRate
			result.ByteRate += byteRate
			nonCandidates++
		}
	}
	result.MessageRate /= float64(max(1, nonCandidates))
	result.ByteRate /= float64(max(1, nonCandidates))
}
