package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

const (
	// unhealthyAfterFailures is the number of consecutive failures after which an endpoint is unhealthy for the
	// subset. It is the same number as for an ejection by the balancer.
	unhealthyAfterFailures = 3
	// unhealthyDuration is how long an endpoint stays unhealthy after its latest failure. The balancer sends it
	// hardly any requests in this time, so newer evidence is not available.
	unhealthyDuration = 30 * monotime.Second
)

// observeEndpointHealth updates the health of an endpoint from the outcome of an attempt. After
// unhealthyAfterFailures consecutive failures the endpoint is unhealthy for unhealthyDuration; one success
// makes it healthy again. The latency of a successful attempt updates the mean latency.
func (p *Pool) observeEndpointHealth(
	now monotime.Micros, e *Endpoint, status balancer.Status, latency monotime.Micros) {
	s := p.subset
	if s == nil || !s.isListed(e.Name) {
		return
	}
	switch status {
	case balancer.OK:
		s.observeLatency(latency)
		if s.consecutiveFailures[e.Name] == 0 {
			return
		}
		delete(s.consecutiveFailures, e.Name)
		delete(s.unhealthyUntil, e.Name)
	case balancer.Cancelled, balancer.NotSent:
		return
	default:
		s.consecutiveFailures[e.Name]++
		if s.consecutiveFailures[e.Name] >= unhealthyAfterFailures {
			s.unhealthyUntil[e.Name] = now + unhealthyDuration
		}
	}
	s.updateHealth(now, e.Name)
	p.scheduleSubsetStep()
}

// expireUnhealthy makes endpoints healthy again whose unhealthy time has passed. A single further failure makes
// such an endpoint unhealthy again.
func (s *subsetState) expireUnhealthy(now monotime.Micros) {
	for _, name := range slices.Sorted(maps.Keys(s.unhealthyUntil)) {
		if now >= s.unhealthyUntil[name] {
			delete(s.unhealthyUntil, name)
			s.consecutiveFailures[name] = unhealthyAfterFailures - 1
			s.updateHealth(now, name)
		}
	}
}

// updateHealth sets whether the subset treats an endpoint as unhealthy: not ready, or unhealthy because of its
// failures.
func (s *subsetState) updateHealth(now monotime.Micros, name string) {
	s.set.SetUnhealthy(now, name, s.endpoints[name].State != balancer.Ready || s.unhealthyUntil[name] > now)
}
