package rollout

import "dunlinsail/internal/monotime"

const (
	// persistRetryDelay is the backoff after the first failure to store the state; it doubles with each.
	persistRetryDelay monotime.Micros = 1_000_000
	// maxPersistDoublings bounds that backoff.
	maxPersistDoublings = 6
)

// persist requests that the state is stored, now or once the request in progress is answered.
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

// HandlePersisted takes the result of ActionPersist: reason says why the state was not stored, "" that it was. A
// failure is retried after a backoff with jitter; nothing else waits for it.
func (m *StateMachine) HandlePersisted(now monotime.Micros, reason string) []Command {
	if !m.persisting {
		return nil
	}
	m.persisting = false
	m.persistError = reason
	if reason != "" {
		m.persistFailures++
		backoff := persistRetryDelay << min(m.persistFailures-1, maxPersistDoublings)
		m.persistRetryAt = now + backoff/2 + m.rng.Int64N(backoff)
		return nil
	}
	m.persistFailures = 0
	m.persistRetryAt = 0
	if m.persistAgain {
		return m.persist()
	}
	return nil
}
