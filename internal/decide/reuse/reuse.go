// Package reuse decides how long a connection to an endpoint rests after a response, before it may carry another
// request.
//
// HTTP/1.1 does not name the request that a response belongs to. If an endpoint sends a second response to a request,
// and it arrives after the next request was written to the same connection, it passes for the response to that one.
// If it arrives before, it is detected, and the connection is closed. So a connection rests until the evidence says
// that its endpoint has finished with the last request:
//
//   - how late second responses have been, at the address and in the pool: the endpoints of a pool usually run the same
//     software;
//   - how late this process has run recently: a lack of processor time also delays endpoints on the same machine. A
//     process that has not observed itself for long assumes some. Times for which it did not run are no rest;
//   - whether its threads wait for processors far longer than they run.
//
// A Decider is deterministic and does no I/O: its host observes the connections, and passes instants.
package reuse

import (
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

const (
	// evidencePeriod is how long the lateness of a second response counts.
	evidencePeriod = 5 * 60 * monotime.Second

	// maxAssumedLateness bounds the lateness that is only assumed.
	maxAssumedLateness = 250 * monotime.Millisecond

	// addressFactor and poolFactor are the rest as a multiple of the longest lateness seen at the address and in the
	// pool.
	addressFactor = 4
	poolFactor    = 2

	// maxLateness bounds the lateness that is taken into account. What comes later is rather the response with which
	// an endpoint announces that it closes an idle connection.
	maxLateness = monotime.Second

	// delayFactor is what is added to the rest, as a multiple of the longest recent delay of this process.
	delayFactor = 4

	// maxDelayAllowance bounds what is added to the rest for delays of this process. A longer rest would only cost
	// connections.
	maxDelayAllowance = 250 * monotime.Millisecond
)

// Settings are the least rests. The zero Settings have connections reused at once.
type Settings struct {
	Rest           monotime.Micros // at every endpoint
	DistrustedRest monotime.Micros // at an address that has sent a second response within evidencePeriod
}

// Endpoint identifies an endpoint.
type Endpoint struct {
	Pool    string
	Address string
}

// Decider decides on the rests of connections. Its methods must not be called concurrently.
type Decider struct {
	settings     Settings
	pools        map[string]*poolEvidence
	addresses    map[string]*evidence
	delays       delayWindow
	stalls       stall.Log       // times for which this process did not run
	starvedUntil monotime.Micros // instant until which the machine counts as short of processors
}

// New returns a Decider without evidence.
func New(s Settings) *Decider {
	return &Decider{
		settings:  s,
		pools:     map[string]*poolEvidence{},
		addresses: map[string]*evidence{},
	}
}

// Rest returns how long after a response a connection to an endpoint may be used again.
func (d *Decider) Rest(now monotime.Micros, e Endpoint) monotime.Micros {
	delay := d.settings.Rest
	if address := d.addresses[e.Address]; address.isRecent(now) && d.settings.DistrustedRest > 0 {
		delay = max(delay, d.settings.DistrustedRest, addressFactor*address.longest)
	}
	if d.settings.Rest == 0 {
		return delay
	}
	delay = max(delay, poolFactor*d.pools[e.Pool].lateness(now))
	return delay + d.delayAllowance(now)
}

// Left returns how long a connection to an endpoint still has to rest that got a response some time ago. Times for
// which this process did not run do not count.
func (d *Decider) Left(now monotime.Micros, e Endpoint, elapsed monotime.Micros) monotime.Micros {
	delay := d.Rest(now, e)
	if elapsed < delay {
		return delay - elapsed
	}
	return max(0, delay-d.timeRunning(now, now-elapsed))
}

// IsDistrusted reports whether an address has sent a second response within evidencePeriod.
func (d *Decider) IsDistrusted(now monotime.Micros, address string) bool {
	return d.settings.DistrustedRest > 0 && d.addresses[address].isRecent(now)
}

// Expire forgets old evidence.
func (d *Decider) Expire(now monotime.Micros) {
	for address, e := range d.addresses {
		if !e.isRecent(now) {
			delete(d.addresses, address)
		}
	}
}
