package rollout

import "slices"

// Maximum lengths of the lists in a PersistentState. A full list drops its oldest entry for a new one.
const (
	maxRejections      = 64  // rejected versions; a version that is dropped is validated again when it is offered again
	maxKnownVersions   = 256 // versions of the control plane whose digests are remembered
	maxAbandonedEpochs = 32  // abandoned epochs, whose versions are rejected
)

// Rejection records why a version was rejected.
type Rejection struct {
	Version
	Reason     string `json:"reason"`
	RolledBack bool   `json:"tried,omitempty"` // the version was rejected after it had been applied
}

// PersistentState is the part of the state that survives a restart of the process. The host stores it at each
// ActionPersist, and passes it to New after a restart. The JSON names are part of the stored format and must not
// change.
type PersistentState struct {
	LastKnownGood *LayeredVersion `json:"good,omitempty"`   // latest confirmed configuration; a process starts with it
	PreviousGood  *LayeredVersion `json:"before,omitempty"` // configuration that was confirmed before LastKnownGood
	Unconfirmed   *Version        `json:"trying,omitempty"` // version that is being applied, or applied and unconfirmed
	ApplyAttempts int             `json:"tries,omitempty"`  // number of processes that attempted to apply Unconfirmed

	Rejected        []Rejection `json:"refused,omitempty"`
	AbandonedEpochs []string    `json:"left,omitempty"`
	KnownVersions   []Version   `json:"seen,omitempty"` // versions as first offered, to detect a reused number
}

// recordAttempt counts one more process that applies v or runs it on canary. If v is nil, no version is unconfirmed any
// more, and the count is reset.
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

// recordRejection records the rejection of a version, and replaces an earlier rejection of the same version.
func (p *PersistentState) recordRejection(r Rejection) {
	p.Rejected = slices.DeleteFunc(p.Rejected, func(existing Rejection) bool { return existing.ID == r.ID })
	p.Rejected = append(p.Rejected, r)
	if len(p.Rejected) > maxRejections {
		p.Rejected = slices.Delete(p.Rejected, 0, 1)
	}
}

// rejection returns the recorded rejection of a version with the same ID and content, nil if there is none.
func (p *PersistentState) rejection(v Version) *Rejection {
	for i := range p.Rejected {
		if r := &p.Rejected[i]; r.ID == v.ID && r.Digest == v.Digest {
			return r
		}
	}
	return nil
}

// forgetUnappliedRejections drops the rejections of versions that were never applied. It is called when a new version
// of the local file is applied, because a version that was invalid over the old file may be valid over the new one.
func (p *PersistentState) forgetUnappliedRejections() {
	p.Rejected = slices.DeleteFunc(p.Rejected, func(r Rejection) bool { return !r.RolledBack })
}

// knownVersion returns the version that was first offered with the given ID, nil if the ID is not known.
func (p *PersistentState) knownVersion(id ID) *Version {
	for i := range p.KnownVersions {
		if p.KnownVersions[i].ID == id {
			return &p.KnownVersions[i]
		}
	}
	return nil
}

// recordKnown remembers the digest of a version of the control plane, so that a later offer of another content under
// the same ID is detected.
func (p *PersistentState) recordKnown(v Version) {
	if v.Source == SourceFile || p.knownVersion(v.ID) != nil {
		return
	}
	p.KnownVersions = append(p.KnownVersions, v)
	if len(p.KnownVersions) > maxKnownVersions {
		p.KnownVersions = slices.Delete(p.KnownVersions, 0, 1)
	}
}

// recordEpoch records that a version of the given epoch was applied in place of replaced, which is nil if there was no
// version of the control plane before. If their epochs differ, the epoch of replaced becomes abandoned. The given epoch
// is no longer abandoned.
func (p *PersistentState) recordEpoch(epoch string, replaced *Version) {
	if replaced != nil && replaced.Epoch != epoch {
		p.AbandonedEpochs = append(p.AbandonedEpochs, replaced.Epoch)
	}
	p.AbandonedEpochs = slices.DeleteFunc(p.AbandonedEpochs, func(abandoned string) bool { return abandoned == epoch })
	if len(p.AbandonedEpochs) > maxAbandonedEpochs {
		p.AbandonedEpochs = slices.Delete(p.AbandonedEpochs, 0, 1)
	}
}
