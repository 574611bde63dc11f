package rollout

import "dunlinsail/internal/monotime"

// maxRollbackAttempts limits the number of attempts of a rollback. If the last attempt fails, the rejected version
// keeps running until another version is applied.
const maxRollbackAttempts = 5

// HandleCanaryResult handles the result of ActionStartCanary: reason describes how the version is worse than the
// previous one, empty if it is not worse. A version that is worse is rejected and rolled back; any other version is
// confirmed.
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

// HandleRolledBack handles the result of ActionRollBack: reason is why the rollback failed, empty if it succeeded.
// After a failure the rejected version still runs, and the rollback is attempted again, up to maxRollbackAttempts times
// in all. After a success the last known good configuration runs.
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

// endRollback ends a rollback that has succeeded, or whose last attempt has failed, and returns to the idle phase.
func (m *StateMachine) endRollback() {
	m.phase = PhaseIdle
	m.unconfirmed = nil
	m.rollbackRequired = false
	m.rollbackAttempts = 0
}

// retryRollback starts the next attempt of a failed rollback if its backoff has passed.
func (m *StateMachine) retryRollback(now monotime.Micros) []Command {
	if m.phase != PhaseRollingBack || m.paused || m.rollbackRetryAt <= 0 || now < m.rollbackRetryAt {
		return nil
	}
	m.rollbackRetryAt = 0
	m.rollbackAttempts++
	return []Command{m.rollBack()}
}

// rollBack returns the command to apply the last known good configuration in place of the running one.
func (m *StateMachine) rollBack() Command {
	return Command{
		Action:   ActionRollBack,
		Version:  *m.unconfirmed,
		Target:   *m.persistent.LastKnownGood,
		Previous: m.running,
	}
}

// minRollbackBackoff is the lower bound of the backoff after the first failed attempt of a rollback.
const minRollbackBackoff = monotime.Second

// rollbackBackoff returns the backoff before the next attempt of a rollback. It doubles with each attempt.
func (m *StateMachine) rollbackBackoff() monotime.Micros {
	return max(m.settings.MinValidationInterval, minRollbackBackoff) << max(0, m.rollbackAttempts-1)
}
