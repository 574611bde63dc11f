package reuse

import "dunlinsail/internal/monotime"

// Snapshot is the evidence of a Decider for the process that takes over from it, without what is only assumed. Instants
// are relative to that of the snapshot. Predecessor and successor may be different builds: the names in the tags are the stored form, and never
// change.
type Snapshot struct {
	Pools     map[string]PoolSnapshot     `json:"Pools,omitempty"`     // by name
	Addresses map[string]EvidenceSnapshot `json:"Addresses,omitempty"` // by address
}

// EvidenceSnapshot is how late the second responses of an address or a pool have been, in microseconds.
type EvidenceSnapshot struct {
	ForgetAfter monotime.Micros `json:"ForgetAfter"`
	Proven      monotime.Micros `json:"Proven"`
}

// PoolSnapshot is the evidence of a pool.
type PoolSnapshot struct {
	EvidenceSnapshot
	Certain EvidenceSnapshot `json:"Certain"` // of second responses to the first request on a connection
}

// Snapshot returns the evidence at an instant.
func (d *Decider) Snapshot(now monotime.Micros) *Snapshot {
	s := &Snapshot{Pools: map[string]PoolSnapshot{}, Addresses: map[string]EvidenceSnapshot{}}
	for name, p := range d.pools {
		s.Pools[name] = PoolSnapshot{
			EvidenceSnapshot: p.snapshot(now),
			Certain:          p.certain.snapshot(now),
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
	takenAt := now - age
	for name, from := range s.Pools {
		p := d.pool(name)
		p.restore(now, takenAt, from.EvidenceSnapshot)
		p.certain.restore(now, takenAt, from.Certain)
	}
	for address, from := range s.Addresses {
		d.address(address).restore(now, takenAt, from)
	}
	d.Expire(now)
}

// snapshot returns the evidence with times relative to an instant.
func (e *evidence) snapshot(now monotime.Micros) EvidenceSnapshot {
	if !e.isRecent(now) {
		return EvidenceSnapshot{}
	}
	return EvidenceSnapshot{ForgetAfter: e.forgetAt - now, Proven: e.proven}
}

// restore adds evidence that was taken at an instant, unless it is to be forgotten by now.
func (e *evidence) restore(now, takenAt monotime.Micros, from EvidenceSnapshot) {
	forgetAt := takenAt + min(from.ForgetAfter, evidencePeriod)
	if forgetAt <= now {
		return
	}
	e.forgetAt = max(e.forgetAt, forgetAt)
	e.proven = min(max(e.proven, from.Proven), maxLateness)
}
