package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"dunlinsail/internal/config"
	"dunlinsail/internal/configcache"
	"dunlinsail/internal/decide/rollout"
)

// restoreVersions selects the configuration to start with: the last known good version of the control plane over the
// file, or the file alone if there is no such version that is valid with it.
func (p *process) restoreVersions() {
	p.files = map[string]*config.Config{}
	p.resources = map[string][]config.Resource{}
	p.stopFollowing = func() {}
	file := p.options.Config
	p.first = file
	running := rollout.LayeredVersion{File: p.fileVersion(file)}
	var known rollout.PersistentState
	if c := &file.ControlPlane; c.StateDir != "" {
		var err error
		if p.cache, err = configcache.Open(c.StateDir); err != nil {
			p.log.Error("configuration cache not available", "folder", c.StateDir, "error", err)
		} else if k := p.loadState(); k != nil {
			known = *k
		}
	}
	if known.LastKnownGood != nil && known.LastKnownGood.ControlPlane != nil && file.ControlPlane.Address != "" {
		if c, err := p.cachedConfig(known.LastKnownGood.ControlPlane, file); err != nil {
			p.log.Error("last known good version rejected, starting with the file",
				"version", known.LastKnownGood.ControlPlane.ID.String(), "error", err)
		} else {
			p.first = c
			running.ControlPlane = known.LastKnownGood.ControlPlane
			p.log.Info("starting with the last known good version", "version", running.String())
		}
	}
	if known.LastKnownGood != nil && !sameContents(known.LastKnownGood, &running) {
		// A start with another file is a change by the operator, so that its configuration counts as good.
		known.PreviousGood = known.LastKnownGood
		known.LastKnownGood = &running
	}
	p.machine = rollout.New(machineSettings(&file.ControlPlane, p.options.Seed), running, known)
}

// sameContents reports whether two layered versions have the same contents.
func sameContents(a, b *rollout.LayeredVersion) bool {
	if a.File.Digest != b.File.Digest || (a.ControlPlane == nil) != (b.ControlPlane == nil) {
		return false
	}
	return a.ControlPlane == nil || *a.ControlPlane == *b.ControlPlane
}

// loadState returns the rollout state that an earlier process saved, nil if there is none. Of an incomplete state it
// returns what could be read.
func (p *process) loadState() *rollout.PersistentState {
	k, from, err := p.cache.Load()
	if err != nil {
		p.log.Error("rollout state incomplete", "from", from, "error", err)
	}
	if k == nil {
		return nil
	}
	for _, version := range []*rollout.LayeredVersion{k.LastKnownGood, k.PreviousGood} {
		if version == nil {
			continue
		}
		if text, err := p.cache.Content(version.File.Digest); err == nil && digest(text) == version.File.Digest {
			if c, err := config.Parse(text); err == nil {
				p.files[version.File.Digest] = c
			}
		}
	}
	return k
}

// cachedConfig returns the configuration of a cached control plane version over a file. A content that does not match
// the version's digest is configcache.ErrCorrupt.
func (p *process) cachedConfig(v *rollout.Version, file *config.Config) (*config.Config, error) {
	text, err := p.cache.Content(v.Digest)
	if err != nil {
		return nil, err
	}
	var resources []config.Resource
	if err := json.Unmarshal(text, &resources); err != nil {
		return nil, err
	}
	if config.Digest(resources) != v.Digest {
		return nil, configcache.ErrCorrupt
	}
	p.resources[v.Digest] = resources
	return config.Combine(file, resources)
}

// digest returns the digest of a file's content, a SHA-256 in hexadecimal digits.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// saveState writes the machine's persistent state in a goroutine of its own, which stopVersioning waits for, and steps
// the machine with the result.
func (p *process) saveState() {
	if p.cache == nil {
		p.carryOut(p.machine.HandlePersisted(now(), ""))
		return
	}
	k, contents, err := p.stateToSave()
	if err != nil {
		p.carryOut(p.machine.HandlePersisted(now(), err.Error()))
		return
	}
	p.saving.Go(func() {
		reason := ""
		if err := p.cache.Save(k, contents); err != nil {
			reason = err.Error()
		}
		p.post(func() {
			if reason != "" && p.machine.PersistError() == "" {
				p.log.Error("rollout state not saved, retrying", "error", reason)
			}
			p.carryOut(p.machine.HandlePersisted(now(), reason))
		})
	})
}

// stateToSave returns a copy of the persistent state, and the contents of all versions by digest.
func (p *process) stateToSave() (*rollout.PersistentState, map[string][]byte, error) {
	text, err := json.Marshal(p.machine.PersistentState())
	if err != nil {
		return nil, nil, err
	}
	k := &rollout.PersistentState{}
	if err := json.Unmarshal(text, k); err != nil {
		return nil, nil, err
	}
	contents := map[string][]byte{}
	for d, c := range p.files {
		contents[d] = c.Text
	}
	for d, resources := range p.resources {
		if contents[d], err = json.Marshal(resources); err != nil {
			return nil, nil, err
		}
	}
	return k, contents, nil
}

// dropUnused drops the contents of versions that the machine does not name any more.
func (p *process) dropUnused() {
	keep := map[string]bool{}
	mark := func(v *rollout.Version) {
		if v != nil {
			keep[v.Digest] = true
		}
	}
	running, _ := p.machine.Running()
	state := p.machine.PersistentState()
	for _, version := range []*rollout.LayeredVersion{&running, state.LastKnownGood, state.PreviousGood} {
		if version != nil {
			mark(&version.File)
			mark(version.ControlPlane)
		}
	}
	mark(p.machine.Pending(rollout.SourceFile))
	mark(p.machine.Pending(rollout.SourceControlPlane))
	_, changing := p.machine.Phase()
	mark(changing)
	for d := range p.files {
		if !keep[d] {
			delete(p.files, d)
		}
	}
	for d := range p.resources {
		if !keep[d] {
			delete(p.resources, d)
		}
	}
}

// stopVersioning ends the versioning with the process. A process that was stopped did not end because of the version
// that is not confirmed yet, so that this attempt to apply it is not counted.
func (p *process) stopVersioning() {
	p.stopFollowing()
	p.saving.Wait()
	if p.cache == nil || p.stopContext.Err() == nil || p.machine.PersistentState().Unconfirmed == nil {
		return
	}
	p.machine.ForgiveLastAttempt()
	k, contents, err := p.stateToSave()
	if err == nil {
		err = p.cache.Save(k, contents)
	}
	if err != nil {
		p.log.Warn("rollout state not saved", "error", err)
	}
}
