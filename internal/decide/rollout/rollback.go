package rollout

import "dunlinsail/internal/monotime"

// maxRollbackAttempts is the number of attempts of a rollback. After the last one the rejected version keeps running
// until another one is applied.
const maxRollbackAttempts = 5

// HandleCanaryResult handles the result of ActionStartCanary: reason is why the version is worse than the one before
// it, empty if it is not. A version that is worse is rejected and rolled back, any other is confirmed.
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

// HandleRolledBack handles the result of ActionRollBack: reason is why the rejected version still runs, empty if the
// last known good runs in its place. A failed rollback is retried up to maxRollbackAttempts.
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

// endRollback ends the rollback, successful or not.
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

// minRollbackBackoff is the shortest backoff after the first failed attempt of a rollback.
const minRollbackBackoff = monotime.Second

// rollbackBackoff returns the time until the next attempt of a rollback, which doubles with each attempt.
func (m *StateMachine) rollbackBackoff() monotime.Micros {
	return max(m.settings.MinValidationInterval, minRollbackBackoff) << max(0, m.rollbackAttempts-1)
}
