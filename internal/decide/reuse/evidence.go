package reuse

import "dunlinsail/internal/monotime"

// SecondResponse is a response of an endpoint that belongs to no request, found on a connection after another response.
type SecondResponse struct {
	Endpoint Endpoint
	Lateness monotime.Micros // from the response before it on the connection to its arrival; 0: both came at once

	// Interval is the time between the two responses before it on the connection; 0 if there was only one.
	Interval monotime.Micros
}

// mayFollowMisdelivery reports whether the response before the second response may have been that to an earlier
// request. The second response is then the one that belonged there.
func (s *SecondResponse) mayFollowMisdelivery() bool {
	return s.Interval > 0 && s.Interval <= maxLateness
}

// impliesMisdelivery reports whether a misdelivery has to be assumed: it is possible, and the second response did not
// come at once with the response before it, as those of endpoints do that send a response twice at once.
func (s *SecondResponse) impliesMisdelivery() bool {
	return s.mayFollowMisdelivery() && s.Interval <= maxAssumedLateness && s.Lateness > 0
}

// provenLateness returns how late second responses are at least. On the first response of a connection nothing could be
// misdelivered, and the lateness is certain. Otherwise either the second response was late itself, or the response
// before it was late by the interval, and what follows is the response to the last request: it is at least the lesser
// of both. A lateness over maxLateness does not count.
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

// evidence is the longest lateness of second responses. A nil evidence is none.
type evidence struct {
	expiresAt monotime.Micros // instant
	longest   monotime.Micros
}

// isRecent reports whether there was a second response within evidencePeriod.
func (e *evidence) isRecent(now monotime.Micros) bool { return e != nil && now < e.expiresAt }

// lateness returns the longest lateness within evidencePeriod, 0 without any.
func (e *evidence) lateness(now monotime.Micros) monotime.Micros {
	if !e.isRecent(now) {
		return 0
	}
	return e.longest
}

// add adds a lateness.
func (e *evidence) add(now, lateness monotime.Micros) {
	e.longest = max(e.lateness(now), lateness)
	e.expiresAt = now + evidencePeriod
}

// poolEvidence is what was observed in a pool. A nil poolEvidence is nothing.
type poolEvidence struct {
	proven  evidence // how late second responses were at least
	certain evidence // of these, how late those to the first request on a connection were
	assumed evidence // how late they were if responses were delivered to the wrong requests
}

// lateness returns the longest lateness that is proven or has to be assumed.
func (p *poolEvidence) lateness(now monotime.Micros) monotime.Micros {
	if p == nil {
		return 0
	}
	return max(p.proven.lateness(now), p.assumed.lateness(now))
}

// add adds a second response. If the lateness of another one is certain, and as long, it explains this one without a
// misdelivery: the endpoints of a pool usually run the same software.
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

// pool returns the evidence of a pool, and adds an empty one if there is none.
func (d *Decider) ensurePool(name string) *poolEvidence {
	p := d.pools[name]
	if p == nil {
		p = &poolEvidence{}
		d.pools[name] = p
	}
	return p
}

// address returns the evidence of an address, and adds an empty one if there is none.
func (d *Decider) ensureAddress(address string) *evidence {
	e := d.addresses[address]
	if e == nil {
		e = &evidence{}
		d.addresses[address] = e
	}
	return e
}

// ObserveSecondResponse takes a second response into account. It reports whether the response before it may have been
// delivered to the wrong request.
func (d *Decider) ObserveSecondResponse(now monotime.Micros, s SecondResponse) (mayBeMisdelivered bool) {
	d.ensureAddress(s.Endpoint.Address).add(now, s.provenLateness())
	d.ensurePool(s.Endpoint.Pool).add(now, &s)
	return s.mayFollowMisdelivery()
}
