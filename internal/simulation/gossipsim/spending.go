package gossipsim

import (
	"dunlinsail/internal/monotime"
)

// scheduleDemand has a member demand units at random instants, at its demand rate.
func (sim *simulation) scheduleDemand(x *member) {
	if x.demandRate <= 0 {
		return
	}
	sim.schedule(monotime.Micros(sim.rng.ExpFloat64()/x.demandRate*float64(second)), func() {
		sim.demandUnit(x)
		sim.scheduleDemand(x)
	})
}

// demandUnit has a member spend a unit, if one is available.
func (sim *simulation) demandUnit(x *member) {
	present := &sim.result.Seconds[min(int(sim.now/second), len(sim.result.Seconds)-1)]
	present.Demanded++
	if !x.running || x.stoppedUntil > sim.now {
		return
	}
	local := x.localTime(sim.now)
	x.coordinator.RecordDemand(local, budgetName)
	if !x.coordinator.Spend(local, budgetName) {
		return
	}
	present.Spent++
	sim.checkBudget()
}

// checkBudget counts a unit that is spent now, and checks the sum of the second that ends now.
func (sim *simulation) checkBudget() {
	sim.recentlySpent = append(sim.recentlySpent, sim.now)
	n := 0
	for sim.recentlySpent[n] <= sim.now-second {
		n++
	}
	sim.recentlySpent = sim.recentlySpent[n:]
	spent := len(sim.recentlySpent)
	if spent > sim.result.MaxSpent {
		sim.result.MaxSpent = spent
		sim.result.MaxSpentAt = sim.now
	}
	if float64(spent) > sim.maxBudget() {
		sim.result.UnitsExceeded++
	}
}

// maxBudget returns the largest budget by any member's configuration in the run.
func (sim *simulation) maxBudget() float64 {
	units := sim.settings.Units
	for i := range sim.settings.Faults {
		if f := &sim.settings.Faults[i]; f.Kind == faultBudget {
			units = max(units, sim.settings.Units*f.Factor)
		}
	}
	return units
}

// summarize computes the results that are of the whole run.
func (sim *simulation) summarize() {
	r := &sim.result
	budget := int(sim.settings.Units)
	demanded := 0
	spent := 0
	for i, s := range r.Seconds {
		demanded += min(s.Demanded, budget)
		spent += min(s.Spent, budget)
		if r.ConvergedAt == 0 && 10*s.Spent >= 9*min(s.Demanded, budget) {
			r.ConvergedAt = monotime.Micros(i+1) * second
		}
	}
	r.Utilization = 1
	if demanded > 0 {
		r.Utilization = float64(spent) / float64(demanded)
	}
	sim.summarizeCosts()
}

// summarizeCosts computes what the messages cost.
func (sim *simulation) summarizeCosts() {
	r := &sim.result
	seconds := float64(sim.settings.Duration) / float64(second)
	others := 0
	for _, x := range sim.members {
		messages := float64(x.messagesSent) / seconds
		bytes := float64(x.bytesSent) / seconds
		if messages > r.AllocatorMessageRate {
			r.AllocatorMessageRate = messages
			r.AllocatorByteRate = bytes
		}
		if x.index >= len(sim.candidates) {
			r.MessageRate += messages
			r.ByteRate += bytes
			others++
		}
	}
	r.MessageRate /= float64(max(1, others))
	r.ByteRate /= float64(max(1, others))
}
