package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

const (
	// unhealthyAfterFailures is the number of consecutive failures from which on an endpoint is unhealthy for the
	// subset: the same as that by which the balancer ejects it.
	unhealthyAfterFailures = 3
	// unhealthyDuration is the time after the latest failure during which an endpoint stays unhealthy. The balancer
	// sends it hardly anything meanwhile, so that there is no newer evidence.
	unhealthyDuration = 30 * monotime.Second
)

// observeEndpointHealth decides by the outcome of an attempt whether its endpoint is healthy: it is unhealthy for
// unhealthyDuration after unhealthyAfterFailures consecutive failures, and healthy again after one success. It also
// takes in the latency of a success.
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

// expireUnhealthy makes endpoints healthy whose time as unhealthy is over. A single further failure makes such an
// endpoint unhealthy again.
func (s *subsetState) expireUnhealthy(now monotime.Micros) {
	for _, name := range slices.Sorted(maps.Keys(s.unhealthyUntil)) {
		if now >= s.unhealthyUntil[name] {
			delete(s.unhealthyUntil, name)
			s.consecutiveFailures[name] = unhealthyAfterFailures - 1
			s.updateHealth(now, name)
		}
	}
}

// updateHealth decides whether an endpoint is unhealthy for the subset: not ready, or by its failures.
func (s *subsetState) updateHealth(now monotime.Micros, name string) {
	s.set.SetUnhealthy(now, name, s.endpoints[name].State != balancer.Ready || s.unhealthyUntil[name] > now)
}
