package rollout

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// maxApplyAttempts is in how many processes a version is applied that ended before it was confirmed. One may have
// ended for another reason; two are taken as the version's fault.
const maxApplyAttempts = 2

// HandleValidated takes the result of ActionValidate: reason says why the version is invalid, "" that it is valid.
func (m *StateMachine) HandleValidated(now monotime.Micros, reason string) []Command {
	if m.phase != PhaseValidating {
		return nil
	}
	v := *m.candidate
	endedProcesses := false
	attempted := m.persistent.Unconfirmed
	if reason == "" && attempted != nil && attempted.ID == v.ID && m.persistent.ApplyAttempts >= maxApplyAttempts {
		reason = fmt.Sprintf("%d processes ended while they tried version %v", maxApplyAttempts, v.ID)
		endedProcesses = true
		m.persistent.recordAttempt(nil)
	}
	if reason != "" {
		commands := m.reject(v, reason, endedProcesses)
		return append(commands, m.abandonCandidate(now)...)
	}
	m.phase = PhaseApplying
	// The attempt is stored before it is made: should the process end by it, the next one knows.
	m.persistent.recordAttempt(&v)
	commands := m.persist()
	return append(commands, Command{
		Action:   ActionApply,
		Version:  v,
		Target:   m.running.with(v),
		Previous: m.running,
	})
}

// HandleApplied takes the result of ActionApply: reason says why nothing was changed, "" that the version runs.
func (m *StateMachine) HandleApplied(now monotime.Micros, reason string) []Command {
	if m.phase != PhaseApplying {
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
	m.running = m.running.with(v)
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

// confirm makes what is running the last known good.
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
	commands := append(m.persist(), Command{Action: ActionAck, Version: v, Confirmed: true})
	return append(commands, m.startNext(now)...)
}

// reject records and answers a version that is rejected; rolledBack tells that it was applied before.
func (m *StateMachine) reject(v Version, reason string, rolledBack bool) []Command {
	m.persistent.recordRejection(Rejection{Version: v, Reason: reason, RolledBack: rolledBack})
	return append(m.persist(), nack(v, reason))
}

// abandonCandidate resumes what was in progress before the candidate, which was rejected.
func (m *StateMachine) abandonCandidate(now monotime.Micros) []Command {
	m.candidate = nil
	var commands []Command
	switch {
	case m.rollbackRequired:
		m.phase = PhaseRollingBack
		m.rollbackRetryAt = now + m.rollbackBackoff()
	case m.unconfirmed != nil: // its canary was aborted, and starts again
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
