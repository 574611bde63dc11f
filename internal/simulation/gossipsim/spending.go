package gossipsim

import (
	"dunlinsail/internal/monotime"
)

// ---- Demand and what is spent ------------------------------------------------

func (w *simulation) scheduleDemand(x *member) {
	if x.demandRate <= 0 {
		return
	}
	w.schedule(monotime.Micros(w.rng.ExpFloat64()/x.demandRate*float64(second)), func() {
		w.requestUnit(x)
		w.scheduleDemand(x)
	})
}

func (w *simulation) requestUnit(x *member) {
	at := &w.result.Seconds[min(int(w.now/second), len(w.result.Seconds)-1)]
	at.Demanded++
	if !x.running || x.stoppedUntil > w.now {
		return
	}
	local := x.localTime(w.now)
	x.coordinator.RecordDemand(local, budgetName)
	if !x.coordinator.Spend(local, budgetName) {
		return
	}
	at.Spent++
	w.recentlySpent = append(w.recentlySpent, w.now)
	n := 0
	for w.recentlySpent[n] <= w.now-second {
		n++
	}
	w.recentlySpent = w.recentlySpent[n:]
	if len(w.recentlySpent) > w.result.MaxSpent {
		w.result.MaxSpent, w.result.MaxSpentAt = len(w.recentlySpent), w.now
	}
	if float64(len(w.recentlySpent)) > w.maxBudget() {
		w.result.UnitsExceeded++
	}
}

// most is what the budget is at most by anybody's file now, or was within the time in which a change spreads.
func (w *simulation) maxBudget() float64 {
	most := w.settings.Units
	for i := range w.settings.Faults {
		if f := &w.settings.Faults[i]; f.Kind == "budget" {
			most = max(most, w.settings.Units*f.Factor)
		}
	}
	return most
}

// sumUp makes the figures that are of the whole run.
func (w *simulation) summarize() {
	r := &w.result
	var could, spent int
	for i, s := range r.Seconds {
		most := int(w.settings.Units)
		could += min(s.Demanded, most)
		spent += min(s.Spent, most)
		if r.ConvergedAt == 0 && 10*s.Spent >= 9*min(s.Demanded, most) {
			r.ConvergedAt = monotime.Micros(i+1) * second
		}
	}
	r.Utilization = 1
	if could > 0 {
		r.Utilization = float64(spent) / float64(could)
	}
	length := float64(w.settings.Duration) / float64(second)
	others := 0
	for _, x := range w.members {
		words, size := float64(x.messagesSent)/length, float64(x.bytesSent)/length
		if words > r.AllocatorMessageRate {
			r.AllocatorMessageRate, r.AllocatorByteRate = words, size
		}
		if x.index >= len(w.candidates) {
			r.MessageRate += words
			r.ByteRate += size
			others++
		}
	}
	r.MessageRate /= float64(max(1, others))
	r.ByteRate /= float64(max(1, others))
}
