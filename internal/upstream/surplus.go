package upstream

import (
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/reuse"
	"dunlinsail/internal/monotime"
)

// This file counts and reports surplus responses: responses of endpoints that belong to no request.

// DefaultDistrustedReuseDelay is the usual Options.DistrustedReuseDelay.
const DefaultDistrustedReuseDelay = 40 * time.Millisecond

// surplusCounts counts surplus responses, and tracks which of them have been logged.
type surplusCounts struct {
	detected uint64 // number of surplus responses
	suspects uint64 // number of responses that may have been delivered to the wrong request

	loggedEndpoints   map[reuse.Endpoint]struct{} // distrusted endpoints that have been logged
	unloggedEndpoints map[reuse.Endpoint]struct{} // distrusted endpoints that have not been logged
	unloggedSuspects  map[reuse.Endpoint]uint64   // part of suspect that has not been logged, by endpoint
}

// newSurplusCounts returns surplusCounts without any responses.
func newSurplusCounts() surplusCounts {
	return surplusCounts{
		loggedEndpoints:   map[reuse.Endpoint]struct{}{},
		unloggedEndpoints: map[reuse.Endpoint]struct{}{},
		unloggedSuspects:  map[reuse.Endpoint]uint64{},
	}
}

// recordSurplusLocked records a surplus response, and when it arrived on a connection.
func (p *Pool) recordSurplusLocked(c *Conn, arrival time.Time) {
	p.addSurplusLocked(c, arrival, c.lastResponse, c.previousResponse)
}

// recordSurplus is recordSurplusLocked for callers that do not hold Pool.mu.
func (p *Pool) recordSurplus(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSurplusLocked(c, c.lastArrival())
}

// recordSurplusBehindResponse records a surplus response that arrived together with the response before it. The
// response before it has just been read, and putLocked has not updated lastResponse yet.
func (p *Pool) recordSurplusBehindResponse(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.addSurplusLocked(c, now, now, c.lastResponse)
}

// recordRepeatedResponse records a second response to the previous request that was read before the response to
// the request in flight. Its content shows which request it belongs to, so that the last response on the
// connection was delivered correctly.
func (p *Pool) recordRepeatedResponse(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addSurplusLocked(c, time.Now(), c.lastResponse, time.Time{})
}

// discardAfterMissingReport closes a connection on which a health check received a response without a load
// report. If the endpoint sends load reports, that was a second response to an earlier request.
func (p *Pool) discardAfterMissingReport(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.target.sendsLoadReports && !c.lastResponse.IsZero() {
		p.recordSurplusLocked(c, time.Now())
	}
	p.closeLocked(c)
}

// addSurplusLocked counts a surplus response on a connection. arrival is when it arrived. last and previous are
// when the two responses before it were received on that connection; a zero time means that there was no such
// response.
func (p *Pool) addSurplusLocked(c *Conn, arrival, last, previous time.Time) {
	p.surplus.detected++
	if last.IsZero() {
		return // a response before the first request is not a second response
	}
	lateness := clock.Micros(arrival.Sub(last))
	if arrival != last {
		lateness = max(1, lateness) // arrival has a precision of some milliseconds only
	}
	secondResponse := reuse.SecondResponse{
		Endpoint: c.target.endpoint,
		Lateness: lateness,
	}
	if !previous.IsZero() {
		secondResponse.Interval = max(1, clock.Micros(last.Sub(previous)))
	}
	if _, known := p.surplus.loggedEndpoints[secondResponse.Endpoint]; !known {
		p.surplus.unloggedEndpoints[secondResponse.Endpoint] = struct{}{}
	}
	if p.reuseDelays.ObserveSecondResponse(p.options.Clock.Now(), secondResponse) {
		p.surplus.suspects++
		p.surplus.unloggedSuspects[secondResponse.Endpoint]++
	}
}

// SurplusResponses returns the number of surplus responses that were detected.
func (p *Pool) SurplusResponses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surplus.detected
}

// SuspectResponses returns the number of responses that may have been delivered to the wrong request: responses
// that were not the first on their connection, and behind which another response arrived.
func (p *Pool) SuspectResponses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surplus.suspects
}

// Evidence returns the evidence on second responses, for a process that takes over from this one.
func (p *Pool) Evidence() *reuse.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseDelays.Snapshot(p.options.Clock.Now())
}

// RestoreEvidence adds the evidence of another process, of which a snapshot was taken age ago. A nil snapshot
// has no effect.
func (p *Pool) RestoreEvidence(s *reuse.Snapshot, age monotime.Micros) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelays.Restore(p.options.Clock.Now(), s, age)
}

// surplusReport is the content of the messages that reportSurplus logs.
type surplusReport struct {
	distrusted map[reuse.Endpoint]time.Duration // newly distrusted endpoints, with the reuse delay of their connections
	suspects   map[reuse.Endpoint]uint64        // number of responses that may have been delivered to the wrong request
}

// reportSurplus discards old evidence. It logs the endpoints that became distrusted since the last call, and
// the endpoints of which responses may have been delivered to the wrong request since.
func (p *Pool) reportSurplus() {
	report := p.takeSurplusReport()
	for endpoint, reuseDelay := range report.distrusted {
		p.options.Log.Warn("surplus response, connections reused late", "endpoint", endpoint.Address,
			"delay", reuseDelay)
	}
	for endpoint, count := range report.suspects {
		p.options.Log.Warn("response may belong to another request", "endpoint", endpoint.Address, "count", count)
	}
}

// takeSurplusReport discards old evidence, and returns what reportSurplus has to log since the last call.
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
	report := surplusReport{distrusted: map[reuse.Endpoint]time.Duration{}, suspects: p.surplus.unloggedSuspects}
	for endpoint := range p.surplus.unloggedEndpoints {
		report.distrusted[endpoint] = clock.Duration(p.reuseDelays.ReuseDelay(now, endpoint))
		p.surplus.loggedEndpoints[endpoint] = struct{}{}
	}
	clear(p.surplus.unloggedEndpoints)
	p.surplus.unloggedSuspects = map[reuse.Endpoint]uint64{}
	return report
}
