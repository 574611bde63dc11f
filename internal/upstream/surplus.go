package upstream

import (
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/reuse"
	"dunlinsail/internal/monotime"
)

// This file counts and reports responses of endpoints that belong to no request.

// DefaultDistrustedReuseDelay is the usual Options.DistrustedReuseDelay.
const DefaultDistrustedReuseDelay = 40 * time.Millisecond

// surplusCounts counts the responses of endpoints that belonged to no request.
type surplusCounts struct {
	detected uint64
	suspect  uint64 // responses that may have been delivered to the wrong request

	loggedEndpoints   map[reuse.Endpoint]struct{} // distrusted endpoints that are in the log
	unloggedEndpoints map[reuse.Endpoint]struct{} // those that are not yet
	unloggedSuspects  map[reuse.Endpoint]uint64   // the part of suspect that is not in the log yet
}

func newSurplusCounts() surplusCounts {
	return surplusCounts{
		loggedEndpoints:   map[reuse.Endpoint]struct{}{},
		unloggedEndpoints: map[reuse.Endpoint]struct{}{},
		unloggedSuspects:  map[reuse.Endpoint]uint64{},
	}
}

// recordSurplusLocked notes a response that belongs to no request, and that arrived on a connection at an instant.
func (p *Pool) recordSurplusLocked(c *Conn, arrival time.Time) {
	p.addSurplusLocked(c, arrival, c.lastResponse, c.previousResponse)
}

// recordSurplus is recordSurplusLocked for callers without the lock.
func (p *Pool) recordSurplus(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSurplusLocked(c, c.lastArrival())
}

// recordSurplusBehindResponse notes a response that belongs to no request, and that arrived together with the response before it,
// which has just been read.
func (p *Pool) recordSurplusBehindResponse(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.addSurplusLocked(c, now, now, c.lastResponse)
}

// recordRepeatedResponse notes a second response to the request before the one in flight, which was read in place of the response
// to that one. Its content says which request it belongs to, so that the response before it is not in doubt.
func (p *Pool) recordRepeatedResponse(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addSurplusLocked(c, time.Now(), c.lastResponse, time.Time{})
}

// discardAfterMissingReport closes a connection on which a health check got a response without a load report. From an endpoint
// that sends them, that is a second response to an earlier request.
func (p *Pool) discardAfterMissingReport(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.target.sendsLoadReports && !c.lastResponse.IsZero() {
		p.recordSurplusLocked(c, time.Now())
	}
	p.closeLocked(c)
}

// addSurplusLocked counts a response that belongs to no request, with the instants of its arrival and of the two
// responses before it on its connection. Zero: there was none.
func (p *Pool) addSurplusLocked(c *Conn, arrival, last, previous time.Time) {
	p.surplus.detected++
	if last.IsZero() {
		return // it came before any request, and is no second response
	}
	lateness := clock.Micros(arrival.Sub(last))
	if arrival != last {
		lateness = max(1, lateness) // the arrival is known to some milliseconds only
	}
	observed := reuse.SecondResponse{
		Endpoint: c.target.endpoint,
		Lateness: lateness,
	}
	if !previous.IsZero() {
		observed.Interval = max(1, clock.Micros(last.Sub(previous)))
	}
	if _, known := p.surplus.loggedEndpoints[observed.Endpoint]; !known {
		p.surplus.unloggedEndpoints[observed.Endpoint] = struct{}{}
	}
	if p.reuseDelays.ObserveSecondResponse(p.options.Clock.Now(), observed) {
		p.surplus.suspect++
		p.surplus.unloggedSuspects[observed.Endpoint]++
	}
}

// SurplusResponses returns how many responses of endpoints belonged to no request, as far as that was detected.
func (p *Pool) SurplusResponses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surplus.detected
}

// SuspectResponses returns how many responses may have been delivered to the wrong request: another response came
// behind them on their connection, and they were not the first one on it.
func (p *Pool) SuspectResponses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surplus.suspect
}

// Evidence returns what was observed of second responses, for a process that takes over from this one.
func (p *Pool) Evidence() *reuse.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseDelays.Snapshot(p.options.Clock.Now())
}

// RestoreEvidence adds what another process has observed, some time ago. A nil snapshot is nothing.
func (p *Pool) RestoreEvidence(s *reuse.Snapshot, age monotime.Micros) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelays.Restore(p.options.Clock.Now(), s, age)
}

// surplusReport is what reportSurplus logs.
type surplusReport struct {
	distrusted map[reuse.Endpoint]time.Duration // endpoints that are distrusted now, with the rest of their connections
	suspect    map[reuse.Endpoint]uint64        // responses that may have been delivered to the wrong request
}

// reportSurplus forgets old evidence, and logs the endpoints that are distrusted since the last call, and those whose
// responses may have been delivered to the wrong request.
func (p *Pool) reportSurplus() {
	report := p.takeSurplusReport()
	for endpoint, reuseDelay := range report.distrusted {
		p.options.Log.Warn("surplus response, connections reused late", "endpoint", endpoint.Address,
			"delay", reuseDelay)
	}
	for endpoint, count := range report.suspect {
		p.options.Log.Warn("response may belong to another request", "endpoint", endpoint.Address, "count", count)
	}
}

// takeSurplusReport forgets old evidence, and returns what is to be logged since the last call.
func (p *Pool) takeSurplusReport() surplusReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	p.reuseDelays.Expire(now)
	for endpoint := range p.surplus.loggedEndpoints {
		if !p.reuseDelays.IsDistrusted(now, endpoint.Address) {
			delete(p.surplus.loggedEndpoints, endpoint)
		}
	}
	report := surplusReport{distrusted: map[reuse.Endpoint]time.Duration{}, suspect: p.surplus.unloggedSuspects}
	for endpoint := range p.surplus.unloggedEndpoints {
		report.distrusted[endpoint] = clock.Duration(p.reuseDelays.Rest(now, endpoint))
		p.surplus.loggedEndpoints[endpoint] = struct{}{}
	}
	clear(p.surplus.unloggedEndpoints)
	p.surplus.unloggedSuspects = map[reuse.Endpoint]uint64{}
	return report
}
