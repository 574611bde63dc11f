package reuse

import "dunlinsail/internal/monotime"

// Snapshot is the evidence of a Decider for the process that takes over from it. Instants are relative to that of the
// snapshot. Predecessor and successor may be different builds: the names in the tags are the stored form, and never
// change.
type Snapshot struct {
	Pools     map[string]PoolSnapshot     `json:"Pools,omitempty"`     // by name
	Addresses map[string]EvidenceSnapshot `json:"Addresses,omitempty"` // by address
}

// EvidenceSnapshot is the longest lateness of second responses, in microseconds.
type EvidenceSnapshot struct {
	ExpiresAfter monotime.Micros `json:"ForgetAfter"`
	Longest      monotime.Micros `json:"Longest"`
}

// PoolSnapshot is the evidence of a pool.
type PoolSnapshot struct {
	Proven  EvidenceSnapshot `json:"Proven"`  // how late second responses were at least
	Certain EvidenceSnapshot `json:"Certain"` // those to the first request on a connection
	Assumed EvidenceSnapshot `json:"Assumed"` // if responses were delivered to the wrong requests
}

// Snapshot returns the evidence at an instant.
func (d *Decider) Snapshot(now monotime.Micros) *Snapshot {
	s := &Snapshot{Pools: map[string]PoolSnapshot{}, Addresses: map[string]EvidenceSnapshot{}}
	for name, p := range d.pools {
		if p.proven.isRecent(now) {
			s.Pools[name] = PoolSnapshot{
				Proven:  p.proven.snapshot(now),
				Certain: p.certain.snapshot(now),
				Assumed: p.assumed.snapshot(now),
			}
		}
	}
	for address, e := range d.addresses {
		if e.isRecent(now) {
			s.Addresses[address] = e.snapshot(now)
		}
	}
	return s
}

// Restore adds the evidence of a snapshot that is some time old. A nil snapshot is none.
func (d *Decider) Restore(now monotime.Micros, s *Snapshot, age monotime.Micros) {
	if s == nil {
		return
	}
	for name, poolSnapshot := range s.Pools {
		p := d.ensurePool(name)
		p.proven.restore(now, age, poolSnapshot.Proven, maxLateness)
		p.certain.restore(now, age, poolSnapshot.Certain, maxLateness)
		p.assumed.restore(now, age, poolSnapshot.Assumed, maxAssumedLateness)
	}
	for address, addressSnapshot := range s.Addresses {
		d.ensureAddress(address).restore(now, age, addressSnapshot, maxLateness)
	}
	d.Expire(now)
}

// snapshot returns the evidence with times relative to an instant.
func (e *evidence) snapshot(now monotime.Micros) EvidenceSnapshot {
	if !e.isRecent(now) {
		return EvidenceSnapshot{}
	}
	return EvidenceSnapshot{ExpiresAfter: e.expiresAt - now, Longest: e.longest}
}

// restore adds evidence that is some time old, unless it is to be forgotten by now. A lateness over limit counts as
// limit.
func (e *evidence) restore(now, age monotime.Micros, snapshot EvidenceSnapshot, maxLongest monotime.Micros) {
	expiresAt := now - age + min(snapshot.ExpiresAfter, evidencePeriod)
	if expiresAt <= now {
		return
	}
	e.longest = max(e.lateness(now), min(snapshot.Longest, maxLongest))
	e.expiresAt = max(e.expiresAt, expiresAt)
}
