package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"dunlinsail/internal/config"
	"dunlinsail/internal/configcache"
	"dunlinsail/internal/decide/rollout"
)

// selectFirstConfig selects the configuration with which the process starts. This is the last known good
// control plane version combined with the file, or only the file if there is no such version or it is not valid
// with the file.
func (p *process) selectFirstConfig() {
	p.fileConfigs = map[string]*config.Config{}
	p.controlPlaneResources = map[string][]config.Resource{}
	p.stopFollowing = func() {}
	fileConfig := p.options.Config
	p.firstConfig = fileConfig
	running := rollout.LayeredVersion{File: p.fileVersion(fileConfig)}
	var savedState rollout.PersistentState
	if c := &fileConfig.ControlPlane; c.StateDir != "" {
		var err error
		if p.cache, err = configcache.Open(c.StateDir); err != nil {
			p.log.Error("configuration cache not available", "folder", c.StateDir, "error", err)
		} else if loaded := p.loadRolloutState(); loaded != nil {
			savedState = *loaded
		}
	}
	if savedState.LastKnownGood != nil && savedState.LastKnownGood.ControlPlane != nil &&
		fileConfig.ControlPlane.Address != "" {
		if c, err := p.configFromCache(savedState.LastKnownGood.ControlPlane, fileConfig); err != nil {
			p.log.Error("last known good version rejected, starting with the file",
				"version", savedState.LastKnownGood.ControlPlane.ID.String(), "error", err)
		} else {
			p.firstConfig = c
			running.ControlPlane = savedState.LastKnownGood.ControlPlane
			p.log.Info("starting with the last known good version", "version", running.String())
		}
	}
	if savedState.LastKnownGood != nil && !sameDigests(savedState.LastKnownGood, &running) {
		// A start with another file is a change by the operator, so the new configuration counts as good.
		savedState.PreviousGood = savedState.LastKnownGood
		savedState.LastKnownGood = &running
	}
	p.rolloutMachine = rollout.New(rolloutSettings(&fileConfig.ControlPlane, p.options.Seed), running, savedState)
}

// sameDigests reports whether two layered versions have the same contents.
func sameDigests(first, second *rollout.LayeredVersion) bool {
	if first.File.Digest != second.File.Digest || (first.ControlPlane == nil) != (second.ControlPlane == nil) {
		return false
	}
	return first.ControlPlane == nil || *first.ControlPlane == *second.ControlPlane
}

// loadRolloutState returns the rollout state that an earlier process saved, or nil if there is none. If the
// saved state is incomplete, it returns the part that could be read.
func (p *process) loadRolloutState() *rollout.PersistentState {
	loaded, source, err := p.cache.Load()
	if err != nil {
		p.log.Error("rollout state incomplete", "from", source, "error", err)
	}
	if loaded == nil {
		return nil
	}
	for _, version := range []*rollout.LayeredVersion{loaded.LastKnownGood, loaded.PreviousGood} {
		if version == nil {
			continue
		}
		if content, err := p.cache.Content(version.File.Digest); err == nil &&
			fileDigest(content) == version.File.Digest {
			if c, err := config.Parse(content); err == nil {
				p.fileConfigs[version.File.Digest] = c
			}
		}
	}
	return loaded
}

// configFromCache returns the configuration that combines a file with a cached control plane version. The error
// is configcache.ErrCorrupt if the cached content does not match the digest of the version.
func (p *process) configFromCache(version *rollout.Version, fileConfig *config.Config) (*config.Config, error) {
	content, err := p.cache.Content(version.Digest)
	if err != nil {
		return nil, err
	}
	var resources []config.Resource
	if err := json.Unmarshal(content, &resources); err != nil {
		return nil, err
	}
	if config.Digest(resources) != version.Digest {
		return nil, configcache.ErrCorrupt
	}
	p.controlPlaneResources[version.Digest] = resources
	return config.Combine(fileConfig, resources)
}

// fileDigest returns the digest of a file's content: its SHA-256 sum in hexadecimal digits.
func fileDigest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// saveRolloutState saves the persistent state of the state machine in a goroutine of its own, and passes the
// result to the state machine. stopVersioning waits for that goroutine.
func (p *process) saveRolloutState() {
	if p.cache == nil {
		p.executeCommands(p.rolloutMachine.HandlePersisted(now(), ""))
		return
	}
	state, contents, err := p.rolloutStateToSave()
	if err != nil {
		p.executeCommands(p.rolloutMachine.HandlePersisted(now(), err.Error()))
		return
	}
	p.saveGoroutines.Go(func() {
		reason := ""
		if err := p.cache.Save(state, contents); err != nil {
			reason = err.Error()
		}
		p.post(func() {
			if reason != "" && p.rolloutMachine.PersistError() == "" {
				p.log.Error("rollout state not saved, retrying", "error", reason)
			}
			p.executeCommands(p.rolloutMachine.HandlePersisted(now(), reason))
		})
	})
}

// rolloutStateToSave returns a copy of the state machine's persistent state, and the contents of all stored
// versions by digest.
func (p *process) rolloutStateToSave() (*rollout.PersistentState, map[string][]byte, error) {
	content, err := json.Marshal(p.rolloutMachine.PersistentState())
	if err != nil {
		return nil, nil, err
	}
	stateCopy := &rollout.PersistentState{}
	if err := json.Unmarshal(content, stateCopy); err != nil {
		return nil, nil, err
	}
	contents := map[string][]byte{}
	for digest, fileConfig := range p.fileConfigs {
		contents[digest] = fileConfig.Text
	}
	for digest, resources := range p.controlPlaneResources {
		if contents[digest], err = json.Marshal(resources); err != nil {
			return nil, nil, err
		}
	}
	return stateCopy, contents, nil
}

// dropUnusedContents drops the contents of versions that the state machine no longer refers to.
func (p *process) dropUnusedContents() {
	usedDigests := map[string]bool{}
	markUsed := func(version *rollout.Version) {
		if version != nil {
			usedDigests[version.Digest] = true
		}
	}
	running, _ := p.rolloutMachine.Running()
	state := p.rolloutMachine.PersistentState()
	for _, version := range []*rollout.LayeredVersion{&running, state.LastKnownGood, state.PreviousGood} {
		if version != nil {
			markUsed(&version.File)
			markUsed(version.ControlPlane)
		}
	}
	markUsed(p.rolloutMachine.Pending(rollout.SourceFile))
	markUsed(p.rolloutMachine.Pending(rollout.SourceControlPlane))
	_, changingVersion := p.rolloutMachine.Phase()
	markUsed(changingVersion)
	for digest := range p.fileConfigs {
		if !usedDigests[digest] {
			delete(p.fileConfigs, digest)
		}
	}
	for digest := range p.controlPlaneResources {
		if !usedDigests[digest] {
			delete(p.controlPlaneResources, digest)
		}
	}
}

// stopVersioning stops following the control plane and waits for the rollout state to be saved. If the process
// was stopped while a version was not confirmed yet, the stop was not caused by that version, so the attempt to
// apply it is not counted.
func (p *process) stopVersioning() {
	p.stopFollowing()
	p.saveGoroutines.Wait()
	if p.cache == nil || p.stopContext.Err() == nil || p.rolloutMachine.PersistentState().Unconfirmed == nil {
		return
	}
	p.rolloutMachine.ForgiveLastAttempt()
	state, contents, err := p.rolloutStateToSave()
	if err == nil {
		err = p.cache.Save(state, contents)
	}
	if err != nil {
		p.log.Warn("rollout state not saved", "error", err)
	}
}
