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
	return s.mayFollowMisdelivery() && s.Interval <= maxAssumed && s.Lateness > 0
}

// evidence is how late the second responses of an address or a pool have been. A nil evidence is none.
type evidence struct {
	forgetAt monotime.Micros // instant
	proven   monotime.Micros // the longest lateness that is certain
}

// isRecent reports whether there was a second response within evidencePeriod.
func (e *evidence) isRecent(now monotime.Micros) bool { return e != nil && now < e.forgetAt }

// add adds a second response. On the first response of a connection nothing could be misdelivered, and its lateness is
// certain. Otherwise either it was late itself, or the response before it was late by the interval, and what follows is
// the response to the last request: the lateness is at least the lesser of both.
func (e *evidence) add(now monotime.Micros, s *SecondResponse) {
	if !e.isRecent(now) {
		*e = evidence{}
	}
	lateness := s.Lateness
	if s.mayFollowMisdelivery() {
		lateness = min(s.Lateness, s.Interval)
	}
	e.forgetAt = now + evidencePeriod
	if lateness <= maxLateness {
		e.proven = max(e.proven, lateness)
	}
}

// poolEvidence is what was observed in a pool. A nil poolEvidence is nothing.
type poolEvidence struct {
	evidence

	assumed      monotime.Micros // the longest lateness if responses were delivered to the wrong requests
	assumedUntil monotime.Micros // instant until which that counts
	certain      evidence        // of second responses to the first request on a connection
}

// isRecent reports whether there was a second response within evidencePeriod.
func (p *poolEvidence) isRecent(now monotime.Micros) bool {
	return p != nil && p.evidence.isRecent(now)
}

// lateness returns the longest lateness that is certain or has to be assumed.
func (p *poolEvidence) lateness(now monotime.Micros) monotime.Micros {
	if now >= p.assumedUntil {
		return p.proven
	}
	return max(p.proven, p.assumed)
}

// add adds a second response. If the lateness of another one is certain, and as long, it explains this one without a
// misdelivery: the endpoints of a pool usually run the same software.
func (p *poolEvidence) add(now monotime.Micros, s *SecondResponse) {
	p.evidence.add(now, s)
	explained := p.certain.isRecent(now) && s.Lateness <= p.certain.proven
	switch {
	case s.Interval == 0:
		p.certain.add(now, s)
		p.assumedUntil = 0
	case s.impliesMisdelivery() && !explained:
		p.assume(now, max(s.Lateness, s.Interval))
	}
}

// assume adds a lateness that is only assumed.
func (p *poolEvidence) assume(now, lateness monotime.Micros) {
	if now >= p.assumedUntil {
		p.assumed = 0
	}
	p.assumed = max(p.assumed, min(lateness, maxAssumed))
	p.assumedUntil = now + assumedPeriod
}

// pool returns the evidence of a pool, and adds an empty one if there is none.
func (d *Decider) pool(name string) *poolEvidence {
	p := d.pools[name]
	if p == nil {
		p = &poolEvidence{}
		d.pools[name] = p
	}
	return p
}

// address returns the evidence of an address, and adds an empty one if there is none.
func (d *Decider) address(address string) *evidence {
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
	d.address(s.Endpoint.Address).add(now, &s)
	d.pool(s.Endpoint.Pool).add(now, &s)
	return s.mayFollowMisdelivery()
}
