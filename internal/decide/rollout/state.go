package rollout

import "slices"

// Bounds of the lists in a PersistentState. The oldest entry is dropped for a new one.
const (
	maxRejections      = 64  // rejected versions; a dropped one is validated again when it is offered again
	maxKnownVersions   = 256 // versions whose number is known to identify one content
	maxAbandonedEpochs = 32  // epochs whose versions are rejected
)

// Rejection is a version that was rejected.
type Rejection struct {
	Version
	Reason     string `json:"reason"`
	RolledBack bool   `json:"tried,omitempty"` // it was applied, and rolled back
}

// PersistentState is the part of the state that outlives a process. The host stores it at each ActionPersist, and
// passes it to New after a restart. The names in its JSON are stored: they stay as they are.
type PersistentState struct {
	LastKnownGood *LayeredVersion `json:"good,omitempty"`   // confirmed last; a process starts with it
	PreviousGood  *LayeredVersion `json:"before,omitempty"` // confirmed before LastKnownGood
	Unconfirmed   *Version        `json:"trying,omitempty"` // being applied, or applied and not confirmed
	ApplyAttempts int             `json:"tries,omitempty"`  // number of processes that applied Unconfirmed

	Rejected        []Rejection `json:"refused,omitempty"`
	AbandonedEpochs []string    `json:"left,omitempty"`
	KnownVersions   []Version   `json:"seen,omitempty"` // detects a number with two contents
}

// recordAttempt records that one more process applies v, or has it on canary; nil clears the record.
func (p *PersistentState) recordAttempt(v *Version) {
	switch {
	case v == nil:
		p.Unconfirmed = nil
		p.ApplyAttempts = 0
	case p.Unconfirmed != nil && p.Unconfirmed.ID == v.ID:
		p.ApplyAttempts++
	default:
		p.Unconfirmed = v
		p.ApplyAttempts = 1
	}
}

// recordRejection records a rejected version, in place of an earlier rejection of the same version.
func (p *PersistentState) recordRejection(r Rejection) {
	p.Rejected = slices.DeleteFunc(p.Rejected, func(existing Rejection) bool { return existing.ID == r.ID })
	p.Rejected = append(p.Rejected, r)
	if len(p.Rejected) > maxRejections {
		p.Rejected = slices.Delete(p.Rejected, 0, 1)
	}
}

// rejection returns the rejection of a version with the same content, nil for none.
func (p *PersistentState) rejection(v Version) *Rejection {
	for i := range p.Rejected {
		if r := &p.Rejected[i]; r.ID == v.ID && r.Digest == v.Digest {
			return r
		}
	}
	return nil
}

// forgetUnappliedRejections drops the rejections of versions that were never applied: they may be valid over another
// version of the local file.
func (p *PersistentState) forgetUnappliedRejections() {
	p.Rejected = slices.DeleteFunc(p.Rejected, func(r Rejection) bool { return !r.RolledBack })
}

// knownVersion returns the version that was offered first under an ID, nil for none.
func (p *PersistentState) knownVersion(id ID) *Version {
	for i := range p.KnownVersions {
		if p.KnownVersions[i].ID == id {
			return &p.KnownVersions[i]
		}
	}
	return nil
}

// recordKnown records the content of a version of the control plane.
func (p *PersistentState) recordKnown(v Version) {
	if v.Source == SourceFile || p.knownVersion(v.ID) != nil {
		return
	}
	p.KnownVersions = append(p.KnownVersions, v)
	if len(p.KnownVersions) > maxKnownVersions {
		p.KnownVersions = slices.Delete(p.KnownVersions, 0, 1)
	}
}

// recordEpoch records that a version of an epoch has replaced another version, nil for none: the other's epoch is
// abandoned, and the epoch itself no longer is.
func (p *PersistentState) recordEpoch(epoch string, replaced *Version) {
	if replaced != nil && replaced.Epoch != epoch {
		p.AbandonedEpochs = append(p.AbandonedEpochs, replaced.Epoch)
	}
	p.AbandonedEpochs = slices.DeleteFunc(p.AbandonedEpochs, func(abandoned string) bool { return abandoned == epoch })
	if len(p.AbandonedEpochs) > maxAbandonedEpochs {
		p.AbandonedEpochs = slices.Delete(p.AbandonedEpochs, 0, 1)
	}
}
