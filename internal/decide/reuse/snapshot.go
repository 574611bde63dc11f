package reuse

import "dunlinsail/internal/monotime"

// Snapshot is the evidence that a Decider passes to its successor. Instants are relative to the instant of the
// snapshot. Predecessor and successor may be different builds: the names in the tags are the stored form, and
// never change.
type Snapshot struct {
	Pools     map[string]PoolSnapshot     `json:"Pools,omitempty"`     // by pool name
	Addresses map[string]EvidenceSnapshot `json:"Addresses,omitempty"` // by endpoint address
}

// EvidenceSnapshot is the longest lateness of second responses, with times in microseconds.
type EvidenceSnapshot struct {
	ExpiresAfter monotime.Micros `json:"ForgetAfter"` // from the instant of the snapshot
	Longest      monotime.Micros `json:"Longest"`
}

// PoolSnapshot is the evidence of a pool. Its fields are those of poolEvidence.
type PoolSnapshot struct {
	Proven  EvidenceSnapshot `json:"Proven"`  // least lateness that second responses prove
	Certain EvidenceSnapshot `json:"Certain"` // lateness of second responses to the first request on a connection
	Assumed EvidenceSnapshot `json:"Assumed"` // lateness if responses were delivered to the wrong requests
}

// Snapshot returns the evidence at the instant now.
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

// Restore adds the evidence of a snapshot with the given age. A nil snapshot is ignored.
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

// snapshot returns the evidence with its expiry relative to the instant now, or an empty snapshot if it has
// expired.
func (e *evidence) snapshot(now monotime.Micros) EvidenceSnapshot {
	if !e.isRecent(now) {
		return EvidenceSnapshot{}
	}
	return EvidenceSnapshot{ExpiresAfter: e.expiresAt - now, Longest: e.longest}
}

// restore adds the evidence of a snapshot with the given age, unless it has expired. A lateness over maxLongest
// is reduced to maxLongest.
func (e *evidence) restore(now, age monotime.Micros, snapshot EvidenceSnapshot, maxLongest monotime.Micros) {
	expiresAt := now - age + min(snapshot.ExpiresAfter, evidencePeriod)
	if expiresAt <= now {
		return
	}
	e.longest = max(e.lateness(now), min(snapshot.Longest, maxLongest))
	e.expiresAt = max(e.expiresAt, expiresAt)
}
