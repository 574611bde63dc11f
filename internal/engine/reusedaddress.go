package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// This file keeps attempts that wait for a connection from being sent to another process than the one that they were
// meant for: one that has come up at the address of an endpoint that is gone or draining, or that is left at the
// address that an endpoint has moved away from.

// AddressVersion counts the addresses that an endpoint has had.
type AddressVersion = uint32

// IsAt reports whether the endpoint still has the address that it had in the given version. It is safe for concurrent
// use.
func (e *Endpoint) IsAt(version AddressVersion) bool { return e.addressVersion.Load() == version }

// moveTo gives the endpoint another address.
func (e *Endpoint) moveTo(addr string, target Target) {
	e.Target.Drop()
	e.Addr = addr
	e.Target = target
	e.addressVersion.Add(1)
}

// stopSendingToReusedAddresses ends the drain grace of the endpoints that are no longer ready and whose address belongs
// to another endpoint now.
func (p *Pool) stopSendingToReusedAddresses(now monotime.Micros) {
	p.leaving = slices.DeleteFunc(p.leaving, func(e *Endpoint) bool {
		return e.state == balancer.Ready || !e.MaySend(now)
	})
	if len(p.leaving) == 0 {
		return
	}
	inUse := map[string]bool{}
	for _, e := range p.byName {
		if !slices.Contains(p.leaving, e) {
			inUse[e.Addr] = true
		}
	}
	for _, e := range p.leaving {
		if inUse[e.Addr] {
			e.stopSendingAt.Store(max(1, now))
		}
	}
}
