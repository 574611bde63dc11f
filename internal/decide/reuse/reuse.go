// Package reuse decides on the reuse delay: the time after a response before the connection to an endpoint may
// carry another request.
//
// HTTP/1.1 does not name the request that a response belongs to. If an endpoint sends a second response to a
// request, and it arrives after the next request was written to the same connection, it is taken for the
// response to that next request. If it arrives before, it is detected, and the connection is closed. A
// connection is therefore not reused until the evidence indicates that its endpoint has finished with the last
// request:
//
//   - the lateness of second responses from the same address and in the same pool: the endpoints of a pool
//     usually run the same software;
//   - the recent delays of this process: a lack of processor time also delays endpoints on the same machine.
//     A process with few observations assumes a delay. Time during which the process did not run does not
//     count towards the reuse delay;
//   - whether the threads of this process wait for processors far longer than they run.
//
// A Decider is deterministic and does no I/O: its host observes the connections, and passes instants.
package reuse

import (
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

const (
	// evidencePeriod is the time for which the lateness of a second response is taken into account.
	evidencePeriod = 5 * 60 * monotime.Second

	// maxAssumedLateness is the greatest lateness that is assumed without proof.
	maxAssumedLateness = 250 * monotime.Millisecond

	// addressFactor and poolFactor give the reuse delay as a multiple of the longest lateness at the address
	// and in the pool.
	addressFactor = 4
	poolFactor    = 2

	// maxLateness is the greatest lateness that is taken into account. A response that arrives later is more
	// likely the one with which an endpoint announces that it closes an idle connection.
	maxLateness = monotime.Second

	// delayFactor is the multiple of the longest recent delay of this process that is added to the reuse delay.
	delayFactor = 4

	// maxDelayAllowance is the greatest time that is added to the reuse delay for delays of this process. A
	// longer time would only require more connections.
	maxDelayAllowance = 250 * monotime.Millisecond
)

// Settings are the least reuse delays. With the zero Settings connections are reused at once.
type Settings struct {
	ReuseDelay           monotime.Micros // least reuse delay of all endpoints; 0 disables pool and process evidence
	DistrustedReuseDelay monotime.Micros // least delay at a distrusted address (IsDistrusted); 0 disables distrust
}

// Endpoint identifies an endpoint by its pool and its address.
type Endpoint struct {
	Pool    string
	Address string
}

// Decider decides on the reuse delays of connections. Its methods must not be called concurrently.
type Decider struct {
	settings     Settings
	pools        map[string]*poolEvidence // by name
	addresses    map[string]*evidence     // by endpoint address
	delays       delayWindow              // recent delays of this process
	stalls       stall.Log                // intervals in which this process did not run
	starvedUntil monotime.Micros          // instant until which the machine counts as short of processors
}

// New returns a Decider without evidence.
func New(s Settings) *Decider {
	return &Decider{
		settings:  s,
		pools:     map[string]*poolEvidence{},
		addresses: map[string]*evidence{},
	}
}

// ReuseDelay returns the reuse delay of connections to an endpoint: the time after a response before a connection may
// carry another request.
func (d *Decider) ReuseDelay(now monotime.Micros, e Endpoint) monotime.Micros {
	delay := d.settings.ReuseDelay
	if address := d.addresses[e.Address]; address.isRecent(now) && d.settings.DistrustedReuseDelay > 0 {
		delay = max(delay, d.settings.DistrustedReuseDelay, addressFactor*address.longest)
	}
	if d.settings.ReuseDelay == 0 {
		return delay
	}
	delay = max(delay, poolFactor*d.pools[e.Pool].lateness(now))
	return delay + d.delayAllowance(now)
}

// RemainingReuseDelay returns the remaining reuse delay of a connection to an endpoint, where elapsed is the
// time since the last response on the connection. Time during which this process did not run does not count as
// elapsed.
func (d *Decider) RemainingReuseDelay(now monotime.Micros, e Endpoint, elapsed monotime.Micros) monotime.Micros {
	delay := d.ReuseDelay(now, e)
	if elapsed < delay {
		return delay - elapsed
	}
	return max(0, delay-d.timeRunning(now, now-elapsed))
}

// IsDistrusted reports whether an address has sent a second response within evidencePeriod. It returns false
// for all addresses if Settings.DistrustedReuseDelay is 0.
func (d *Decider) IsDistrusted(now monotime.Micros, address string) bool {
	return d.settings.DistrustedReuseDelay > 0 && d.addresses[address].isRecent(now)
}

// Expire removes addresses without evidence within evidencePeriod.
func (d *Decider) Expire(now monotime.Micros) {
	for address, e := range d.addresses {
		if !e.isRecent(now) {
			delete(d.addresses, address)
		}
	}
}
