package rollout

import (
	"fmt"
	"slices"

	"dunlinsail/internal/monotime"
)

// Offer handles a version that its source offers. It is rejected or acknowledged at once if precheck allows that, else
// it is pending until the present phase ends and Settings.MinValidationInterval has passed.
func (m *StateMachine) Offer(now monotime.Micros, v Version) []Command {
	reason, isRunning := m.precheck(v)
	switch {
	case reason != "":
		return []Command{nack(v, reason)}
	case isRunning && !m.inTransition(): // in a transition it is pending: it may no longer run when that ends
		return []Command{m.ackRunning(v)}
	}
	if m.candidate != nil && m.candidate.ID == v.ID {
		return nil // it is being processed, and gets its reply then
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

// RejectUnreadable handles a version whose content could not be decoded.
func (m *StateMachine) RejectUnreadable(v Version, reason string) []Command {
	m.persistent.recordKnown(v)
	return m.reject(v, reason, false)
}

// inTransition reports whether the running version may change without another version being started.
func (m *StateMachine) inTransition() bool {
	return m.phase == PhaseValidating || m.phase == PhaseApplying || m.phase == PhaseRollingBack
}

// canStartNext reports whether a pending version may be started: while idle, between two attempts of a rollback, and
// during a canary for a version of the local file or with the Rollback flag. Never during a pause.
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

// precheck decides what is known about a version without validating it: why it is rejected, empty if it is not, or that
// it runs already. A version of the control plane is rejected if its number has another content, if it was rejected
// before, or, without the Rollback flag, if its epoch is abandoned or a newer version of its epoch is pending,
// processed or running.
func (m *StateMachine) precheck(v Version) (reason string, isRunning bool) {
	running := m.running.version(v.Source)
	if v.Source == SourceFile { // its content counts, not its number
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

// isOlderThan reports whether other comes from the control plane, and has a higher number in the same epoch.
func (v *Version) isOlderThan(other *Version) bool {
	return other.Source == SourceControlPlane && other.Epoch == v.Epoch && v.Number < other.Number
}

// startNext starts the validation of a pending version if the phase allows it and Settings.MinValidationInterval has
// passed.
func (m *StateMachine) startNext(now monotime.Micros) []Command {
	if !m.canStartNext() || now < m.nextValidationAt {
		return nil
	}
	v := m.takePending()
	if v == nil {
		return nil
	}
	// The running version may have changed since the offer.
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
	return append(commands, Command{Action: ActionValidate, Version: *v, Target: m.running.with(*v)})
}

// takePending removes and returns the pending version to process next, nil for none: a rollback of the control plane
// first, then the file, then the control plane.
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

// ackRunning returns the acknowledgement of a version that is running.
func (m *StateMachine) ackRunning(v Version) Command {
	return Command{Action: ActionAck, Version: v, Confirmed: m.unconfirmed == nil}
}

// nack returns the command that rejects a version at its source.
func nack(v Version, reason string) Command {
	return Command{Action: ActionNack, Version: v, Reason: reason}
}
