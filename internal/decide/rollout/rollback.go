package rollout

import "dunlinsail/internal/monotime"

// maxRollbackAttempts is how often a rollback is attempted. After that the rejected version keeps running until
// another one is applied.
const maxRollbackAttempts = 5

// minRollbackBackoff is the least backoff after the first failed rollback.
const minRollbackBackoff monotime.Micros = 1_000_000

// HandleCanaryResult takes the result of ActionStartCanary: reason says in what the version does worse than what ran
// before, "" that it does not.
func (m *StateMachine) HandleCanaryResult(now monotime.Micros, reason string) []Command {
	if m.phase != PhaseCanary {
		return nil
	}
	if reason == "" {
		return m.confirm(now)
	}
	m.phase = PhaseRollingBack
	m.rollbackRequired = true
	m.rollbackAttempts = 1
	m.rollbackRetryAt = 0
	m.persistent.recordAttempt(nil)
	return append(m.reject(*m.unconfirmed, reason, true), m.rollBack())
}

// HandleRolledBack takes the result of ActionRollBack: reason says why the rejected version still runs, "" that it
// does not.
func (m *StateMachine) HandleRolledBack(now monotime.Micros, reason string) []Command {
	if m.phase != PhaseRollingBack || m.rollbackRetryAt > 0 {
		return nil
	}
	switch {
	case reason == "":
		m.running = *m.persistent.LastKnownGood
		m.endRollback()
	case m.rollbackAttempts >= maxRollbackAttempts:
		m.endRollback()
	default:
		m.rollbackRetryAt = now + m.rollbackBackoff()
	}
	return m.startNext(now)
}

func (m *StateMachine) endRollback() {
	m.phase = PhaseIdle
	m.unconfirmed = nil
	m.rollbackRequired = false
	m.rollbackAttempts = 0
}

// retryRollback attempts a failed rollback again if that is due.
func (m *StateMachine) retryRollback(now monotime.Micros) []Command {
	if m.phase != PhaseRollingBack || m.paused || m.rollbackRetryAt <= 0 || now < m.rollbackRetryAt {
		return nil
	}
	m.rollbackRetryAt = 0
	m.rollbackAttempts++
	return []Command{m.rollBack()}
}

// rollBack returns the command to apply the last known good in place of the unconfirmed version.
func (m *StateMachine) rollBack() Command {
	return Command{
		Action:   ActionRollBack,
		Version:  *m.unconfirmed,
		Target:   *m.persistent.LastKnownGood,
		Previous: m.running,
	}
}

// rollbackBackoff returns the wait before the next attempt: it doubles with each.
func (m *StateMachine) rollbackBackoff() monotime.Micros {
	return max(m.settings.MinValidationInterval, minRollbackBackoff) << max(0, m.rollbackAttempts-1)
}
