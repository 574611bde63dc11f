package rollout

import "dunlinsail/internal/monotime"

const (
	// persistRetryDelay is the mean backoff after the first failure to store the state. It doubles with each failure.
	persistRetryDelay = monotime.Second
	// maxPersistDoublings limits the mean backoff to persistRetryDelay times 2^maxPersistDoublings, which is 64 s.
	maxPersistDoublings = 6
)

// persist requests that the state is stored. If a previous ActionPersist has no result yet, the request follows that
// result.
func (m *StateMachine) requestPersist() []Command {
	if m.persisting {
		m.persistAgain = true
		return nil
	}
	m.persisting = true
	m.persistAgain = false
	m.persistRetryAt = 0
	return []Command{{Action: ActionPersist}}
}

// HandlePersisted handles the result of ActionPersist: reason is why the state was not stored, empty if it was. A
// failed write is retried after a random backoff between 0.5 and 1.5 times its mean. Versions do not wait for the
// retry.
func (m *StateMachine) HandlePersisted(now monotime.Micros, reason string) []Command {
	if !m.persisting {
		return nil
	}
	m.persisting = false
	m.persistError = reason
	if reason != "" {
		m.persistFailures++
		meanBackoff := persistRetryDelay << min(m.persistFailures-1, maxPersistDoublings)
		m.persistRetryAt = now + meanBackoff/2 + m.rng.Int64N(meanBackoff)
		return m.applyCandidateOncePersisted()
	}
	m.persistFailures = 0
	m.persistRetryAt = 0
	if m.persistAgain {
		return m.requestPersist()
	}
	return m.applyCandidateOncePersisted()
}
