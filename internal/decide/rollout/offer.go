package rollout

import (
	"fmt"
	"slices"

	"dunlinsail/internal/monotime"
)

// Offer handles a version that its source offers. If precheck finds a reason to reject the version, or that it is
// running, the source gets the reply immediately. Otherwise the version is pending until the current phase ends and
// Settings.MinValidationInterval has passed.
func (m *StateMachine) Offer(now monotime.Micros, v Version) []Command {
	reason, isRunning := m.precheck(v)
	switch {
	case reason != "":
		return []Command{nack(v, reason)}
	case isRunning && !m.inTransition(): // during a transition, v may soon be replaced
		return []Command{m.ackRunning(v)}
	}
	if m.candidate != nil && m.candidate.ID == v.ID {
		return nil // v is already being processed, and is acknowledged or rejected when that ends
	}
	var commands []Command
	if superseded := m.pending[v.Source]; superseded != nil {
		if superseded.ID == v.ID {
			return nil
		}
		commands = append(commands, Command{Action: ActionSuperseded, Version: *superseded})
	}
	m.persistent.recordKnown(v)
	m.pending[v.Source] = &v
	return append(commands, m.startNext(now)...)
}

// RejectUnreadable rejects a version whose content the host could not decode.
func (m *StateMachine) RejectUnreadable(v Version, reason string) []Command {
	m.persistent.recordKnown(v)
	return m.reject(v, reason, false)
}

// inTransition reports whether a version is being validated, applied or rolled back. Afterwards another version may be
// running.
func (m *StateMachine) inTransition() bool {
	return m.phase == PhaseValidating || m.phase == PhaseApplying || m.phase == PhaseRollingBack
}

// canStartNext reports whether the validation of a pending version may start. It may start while idle and during the
// backoff of a failed rollback. During a canary it may start only for a version of the local file or one with the
// Rollback flag. It may not start while the state machine is paused.
func (m *StateMachine) canStartNext() bool {
	if m.paused {
		return false
	}
	switch m.phase {
	case PhaseIdle:
		return true
	case PhaseRollingBack:
		return m.rollbackRetryAt > 0
	case PhaseCanary:
		fromControlPlane := m.pending[SourceControlPlane]
		return m.pending[SourceFile] != nil || fromControlPlane != nil && fromControlPlane.Rollback
	}
	return false
}

// precheck decides whether a version can be rejected or acknowledged without validation. It returns the reason to
// reject the version, empty for none, and whether the version is already running. A version of the control plane is
// rejected if its ID was offered with another content before, or if it was rejected before. Without the Rollback flag
// it is also rejected if its epoch is abandoned, or if a newer version of its epoch is pending, being processed or
// running.
func (m *StateMachine) precheck(v Version) (reason string, isRunning bool) {
	running := m.running.versionFrom(v.Source)
	if v.Source == SourceFile { // versions of the file are compared by content, not by number
		return "", v.Digest == running.Digest
	}
	if known := m.persistent.knownVersion(v.ID); known != nil && known.Digest != v.Digest {
		return fmt.Sprintf("version %v came with another content before", v.ID), false
	}
	if rejection := m.persistent.rejection(v); rejection != nil {
		return rejection.Reason, false
	}
	if running != nil && running.ID == v.ID {
		return "", true
	}
	if v.Rollback {
		return "", false
	}
	if slices.Contains(m.persistent.AbandonedEpochs, v.Epoch) {
		return fmt.Sprintf("version %v: epoch %q was left for a newer one", v.ID, v.Epoch), false
	}
	for _, other := range []*Version{m.pending[SourceControlPlane], m.candidate, running} {
		if other != nil && v.isOlderThan(other) {
			return fmt.Sprintf("version %v is older than %v", v.ID, other.ID), false
		}
	}
	return "", false
}

// isOlderThan reports whether other is a version of the control plane with the same epoch as v and a higher number.
func (v *Version) isOlderThan(other *Version) bool {
	return other.Source == SourceControlPlane && other.Epoch == v.Epoch && v.Number < other.Number
}

// startNext starts the validation of a pending version if canStartNext allows it and Settings.MinValidationInterval has
// passed since the start of the previous validation.
func (m *StateMachine) startNext(now monotime.Micros) []Command {
	if !m.canStartNext() || now < m.nextValidationAt {
		return nil
	}
	v := m.takePending()
	if v == nil {
		return nil
	}
	// The precheck is repeated, because the running version may have changed since the offer.
	if reason, isRunning := m.precheck(*v); reason != "" {
		return append([]Command{nack(*v, reason)}, m.startNext(now)...)
	} else if isRunning && !m.rollbackRequired {
		return append([]Command{m.ackRunning(*v)}, m.startNext(now)...)
	}
	var commands []Command
	if m.phase == PhaseCanary {
		commands = append(commands, Command{Action: ActionStopCanary})
	}
	m.phase = PhaseValidating
	m.candidate = v
	m.rollbackRetryAt = 0
	m.nextValidationAt = now + m.settings.MinValidationInterval
	return append(commands, Command{Action: ActionValidate, Version: *v, Target: m.running.withVersion(*v)})
}

// takePending removes and returns the pending version to process next, nil if there is none. A version of the control
// plane with the Rollback flag comes before a version of the local file, which comes before any other version of the
// control plane.
func (m *StateMachine) takePending() *Version {
	source := SourceControlPlane
	fromControlPlane := m.pending[SourceControlPlane]
	if fromControlPlane == nil || m.pending[SourceFile] != nil && !fromControlPlane.Rollback {
		source = SourceFile
	}
	v := m.pending[source]
	m.pending[source] = nil
	return v
}

// ackRunning returns the command that acknowledges a version that is already running.
func (m *StateMachine) ackRunning(v Version) Command {
	return Command{Action: ActionAck, Version: v, Confirmed: m.unconfirmed == nil}
}

// nack returns the command that rejects a version at its source.
func nack(v Version, reason string) Command {
	return Command{Action: ActionNack, Version: v, Reason: reason}
}
