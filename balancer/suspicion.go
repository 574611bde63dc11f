package balancer

import "dunlinsail/internal/monotime"

// SetSuspicion sets the chance (0 to 1) by which attempts of a class leave out an endpoint that other
// balancers have observed to fail. A quiet balancer uses an endpoint too seldom to observe that itself.
// Chance 0 ends the suspicion. An endpoint or a class that is not known is ignored.
//
// The start of a suspicion sets the endpoint's lastForcedPass to a random instant of the latest
// suspectTrialInterval. The breaker's own forced passes count from that instant as well.
func (b *Balancer) SetSuspicion(now monotime.Micros, id uint32, class int, chance float64) {
	e := b.endpointsByID[id]
	if e == nil || class < 0 || class >= len(b.classes) {
		return
	}
	if e.suspicions == nil {
		e.suspicions = make([]float64, len(b.classes))
	}
	if e.suspicions[class] == 0 && chance > 0 {
		// A random start, since the balancers of a fleet must not send their first trials together.
		e.lastForcedPass = now - b.random.durationBelow(b.suspectTrialInterval())
	}
	e.suspicions[class] = min(1, max(0, chance))
}

// suspicion returns the chance by which e is left out for a class.
func (e *endpoint) suspicion(class int) float64 {
	if e.suspicions == nil {
		return 0
	}
	return e.suspicions[class]
}

// suspectTrialsPerSecond is the number of trials per second, of all balancers together, at an endpoint that
// is suspected: enough to notice its recovery, few enough to fail little.
const suspectTrialsPerSecond = 4

// suspectTrialInterval returns the time between two trials of this balancer at a suspected endpoint. It grows
// with the number of balancers, from forcedPassInterval on.
func (b *Balancer) suspectTrialInterval() monotime.Micros {
	return max(forcedPassInterval, second*monotime.Micros(b.settings.Balancers)/suspectTrialsPerSecond)
}
