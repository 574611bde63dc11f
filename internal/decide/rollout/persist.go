package rollout

import "dunlinsail/internal/monotime"

const (
	// persistRetryDelay is the mean backoff after the first failure to store the state. It doubles with each failure.
	persistRetryDelay = monotime.Second
	// maxPersistDoublings limits the mean backoff to persistRetryDelay times 2^maxPersistDoublings, which is 64 s.
	maxPersistDoublings = 6
)

// requestPersist returns the command to store the state. If an earlier ActionPersist is still in progress, it returns
// no command, and the state is stored again after that one.
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

// HandlePersisted handles the result of ActionPersist: reason is why the state was not stored, empty if it was stored.
// A failed write is retried after a random backoff between 0.5 and 1.5 times the mean backoff. A candidate that waits
// for the write is applied without waiting for the retry.
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
