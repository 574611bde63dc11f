package rollout

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// maxApplyAttempts is the number of processes that may end while they apply a version or run it unconfirmed. A single
// process may have ended for another reason. After maxApplyAttempts processes the version is assumed to be the cause,
// and is rejected.
const maxApplyAttempts = 2

// HandleValidated handles the result of ActionValidate: reason is why the version is invalid, empty if it is valid. A
// valid version is applied, unless maxApplyAttempts processes have ended while they applied it or ran it unconfirmed.
// Any other version is rejected, and the state machine returns to the phase before the validation.
func (m *StateMachine) HandleValidated(now monotime.Micros, reason string) []Command {
	if m.phase != PhaseValidating {
		return nil
	}
	v := *m.candidate
	endsProcesses := false
	unconfirmed := m.persistent.Unconfirmed
	if reason == "" && unconfirmed != nil && unconfirmed.ID == v.ID && m.persistent.ApplyAttempts >= maxApplyAttempts {
		reason = fmt.Sprintf("%d processes ended while they tried version %v", maxApplyAttempts, v.ID)
		endsProcesses = true
		m.persistent.recordAttempt(nil)
	}
	if reason != "" {
		commands := m.reject(v, reason, endsProcesses)
		return append(commands, m.abandonCandidate(now)...)
	}
	m.phase = PhaseApplying
	m.persistent.recordAttempt(&v)
	m.awaitsAttemptWrite = true
	return m.requestPersist()
}

// applyCandidateOncePersisted returns the command to apply the candidate. It returns nil while the state machine is
// paused, or while the write that records the attempt is in progress: if applying the candidate ended the process, an
// attempt that is not on disk would not be counted. If that write fails, the candidate is applied nevertheless.
func (m *StateMachine) applyCandidateOncePersisted() []Command {
	if !m.awaitsAttemptWrite || m.paused || m.persisting {
		return nil
	}
	m.awaitsAttemptWrite = false
	v := *m.candidate
	return []Command{{
		Action:   ActionApply,
		Version:  v,
		Target:   m.running.withVersion(v),
		Previous: m.running,
	}}
}

// HandleApplied handles the result of ActionApply: reason is why the version could not be applied, empty if it is now
// running. If it could not be applied, the running configuration is unchanged, and the version is rejected. An applied
// version is confirmed immediately, or after its canary if Settings.CanaryEnabled is set.
func (m *StateMachine) HandleApplied(now monotime.Micros, reason string) []Command {
	if m.phase != PhaseApplying || m.awaitsAttemptWrite {
		return nil
	}
	v := *m.candidate
	if reason != "" {
		m.persistent.recordAttempt(nil)
		if m.unconfirmed != nil && !m.rollbackRequired {
			m.persistent.recordAttempt(m.unconfirmed)
		}
		commands := m.reject(v, reason, false)
		return append(commands, m.abandonCandidate(now)...)
	}
	if v.Source == SourceControlPlane {
		m.persistent.recordEpoch(v.Epoch, m.running.ControlPlane)
	} else {
		m.persistent.forgetUnappliedRejections()
	}
	m.running = m.running.withVersion(v)
	m.unconfirmed = &v
	m.rollbackRequired = false
	m.candidate = nil
	m.rollbackAttempts = 0
	if !m.settings.CanaryEnabled {
		return m.confirm(now)
	}
	m.phase = PhaseCanary
	commands := []Command{
		{Action: ActionAck, Version: v},
		{Action: ActionStartCanary, Version: v, Target: m.running},
	}
	return append(commands, m.startNext(now)...)
}

// confirm makes the running configuration the last known good one, and starts the validation of a pending version.
func (m *StateMachine) confirm(now monotime.Micros) []Command {
	v := *m.unconfirmed
	m.phase = PhaseIdle
	m.unconfirmed = nil
	if !m.running.sameContent(*m.persistent.LastKnownGood) {
		m.persistent.PreviousGood = m.persistent.LastKnownGood
	}
	lastKnownGood := m.running
	m.persistent.LastKnownGood = &lastKnownGood
	m.persistent.recordAttempt(nil)
	commands := append(m.requestPersist(), Command{Action: ActionAck, Version: v, Confirmed: true})
	return append(commands, m.startNext(now)...)
}

// reject records the rejection of a version, and rejects the version at its source. rolledBack is true if this process
// or an earlier one had applied the version.
func (m *StateMachine) reject(v Version, reason string, rolledBack bool) []Command {
	m.persistent.recordRejection(Rejection{Version: v, Reason: reason, RolledBack: rolledBack})
	return append(m.requestPersist(), nack(v, reason))
}

// abandonCandidate drops a rejected candidate and returns to the phase before its validation: the backoff of a
// rollback, a canary, or idle.
func (m *StateMachine) abandonCandidate(now monotime.Micros) []Command {
	m.candidate = nil
	var commands []Command
	switch {
	case m.rollbackRequired:
		m.phase = PhaseRollingBack
		m.rollbackRetryAt = now + m.rollbackBackoff()
	case m.unconfirmed != nil: // its canary was stopped to validate the candidate, and starts again
		m.phase = PhaseCanary
		commands = append(commands, Command{
			Action:  ActionStartCanary,
			Version: *m.unconfirmed,
			Target:  m.running,
		})
	default:
		m.phase = PhaseIdle
	}
	return append(commands, m.startNext(now)...)
}
