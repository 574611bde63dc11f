package rollout

import "dunlinsail/internal/monotime"

const (
	// persistRetryDelay is the mean backoff after the first failure to store the state. It doubles with each failure.
	persistRetryDelay = monotime.Second
	// maxPersistDoublings bounds the mean backoff to 2^maxPersistDoublings times persistRetryDelay, which is 64 s.
	maxPersistDoublings = 6
)

// persist requests that the state is stored, now or after the result of the request that is outstanding.
func (m *StateMachine) persist() []Command {
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
// failure is retried after a backoff with jitter of half the mean up and down; no version waits for that.
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
		return m.persist()
	}
	return m.applyCandidateOncePersisted()
}
