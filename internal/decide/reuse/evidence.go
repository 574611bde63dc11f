package reuse

import "dunlinsail/internal/monotime"

// SecondResponse is a response that an endpoint sent without a request, after another response on the same
// connection.
type SecondResponse struct {
	Endpoint Endpoint
	Lateness monotime.Micros // time from the previous response on the connection; 0: received together

	// Interval is the time between the two preceding responses on the connection; 0 if there was only one.
	Interval monotime.Micros
}

// mayFollowMisdelivery reports whether the previous response on the connection may have been a late response to
// an earlier request, and was delivered to the wrong request. In that case the second response is the actual
// response to that request.
func (s *SecondResponse) mayFollowMisdelivery() bool {
	return s.Interval > 0 && s.Interval <= maxLateness
}

// impliesMisdelivery reports whether a misdelivery must be assumed: it is possible, and the second response did
// not arrive together with the previous response. If both arrive together, the endpoint has sent a response
// twice at once.
func (s *SecondResponse) impliesMisdelivery() bool {
	return s.mayFollowMisdelivery() && s.Interval <= maxAssumedLateness && s.Lateness > 0
}

// provenLateness returns the least lateness that a second response proves. On the first response of a
// connection no misdelivery is possible, and the lateness is certain. Otherwise there are two explanations: the
// second response itself was late, or the previous response was late by the interval and the second response
// belongs to the last request. The lesser of both times is proven. A lateness over maxLateness is not counted.
func (s *SecondResponse) provenLateness() monotime.Micros {
	lateness := s.Lateness
	if s.mayFollowMisdelivery() {
		lateness = min(s.Lateness, s.Interval)
	}
	if lateness > maxLateness {
		return 0
	}
	return lateness
}

// evidence is the longest lateness of second responses within evidencePeriod. A nil evidence is empty.
type evidence struct {
	expiresAt monotime.Micros // instant at which the evidence is forgotten
	longest   monotime.Micros // longest lateness
}

// isRecent reports whether a second response was observed within evidencePeriod.
func (e *evidence) isRecent(now monotime.Micros) bool { return e != nil && now < e.expiresAt }

// lateness returns the longest lateness within evidencePeriod, or 0 if there was no second response.
func (e *evidence) lateness(now monotime.Micros) monotime.Micros {
	if !e.isRecent(now) {
		return 0
	}
	return e.longest
}

// add records a lateness that was observed at the instant now.
func (e *evidence) add(now, lateness monotime.Micros) {
	e.longest = max(e.lateness(now), lateness)
	e.expiresAt = now + evidencePeriod
}

// poolEvidence is the evidence from the second responses of a pool. A nil poolEvidence is empty.
type poolEvidence struct {
	proven  evidence // least lateness that second responses prove
	certain evidence // lateness of second responses to the first request on a connection
	assumed evidence // lateness if responses were delivered to the wrong requests
}

// lateness returns the longest lateness in the pool that is proven or must be assumed.
func (p *poolEvidence) lateness(now monotime.Micros) monotime.Micros {
	if p == nil {
		return 0
	}
	return max(p.proven.lateness(now), p.assumed.lateness(now))
}

// add records a second response. If the pool has a certain lateness that is at least as long, no misdelivery is
// assumed: the endpoints of a pool usually run the same software.
func (p *poolEvidence) add(now monotime.Micros, s *SecondResponse) {
	isExplained := p.certain.isRecent(now) && s.Lateness <= p.certain.longest
	p.proven.add(now, s.provenLateness())
	switch {
	case s.Interval == 0:
		p.certain.add(now, s.provenLateness())
		p.assumed = evidence{}
	case s.impliesMisdelivery() && !isExplained:
		p.assumed.add(now, min(max(s.Lateness, s.Interval), maxAssumedLateness))
	}
}

// ensurePool returns the evidence of the pool with a name. It adds an empty evidence if the pool has none.
func (d *Decider) ensurePool(name string) *poolEvidence {
	p := d.pools[name]
	if p == nil {
		p = &poolEvidence{}
		d.pools[name] = p
	}
	return p
}

// ensureAddress returns the evidence of an endpoint address. It adds an empty evidence if the address has none.
func (d *Decider) ensureAddress(address string) *evidence {
	e := d.addresses[address]
	if e == nil {
		e = &evidence{}
		d.addresses[address] = e
	}
	return e
}

// ObserveSecondResponse records a second response. It reports whether the previous response on the connection
// may have been delivered to the wrong request.
func (d *Decider) ObserveSecondResponse(now monotime.Micros, s SecondResponse) (mayBeMisdelivered bool) {
	d.ensureAddress(s.Endpoint.Address).add(now, s.provenLateness())
	d.ensurePool(s.Endpoint.Pool).add(now, &s)
	return s.mayFollowMisdelivery()
}
