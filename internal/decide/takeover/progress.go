package takeover

import "dunlinsail/internal/monotime"

// progress is the part that both state machines have in common: the state, and the instant until which it may last.
type progress[State any] struct {
	state     State
	deadline  monotime.Micros // 0 for none
	postponed bool            // the deadline of this state was postponed
}

// Deadline returns the instant at which DeadlineReached is due, 0 for none.
func (p *progress[State]) Deadline() monotime.Micros { return p.deadline }

// transition enters a state, which may last until the deadline, 0 for none.
func (p *progress[State]) transition(state State, deadline monotime.Micros) {
	p.state = state
	p.deadline = deadline
	p.postponed = false
}

// postpone moves a deadline that has passed, once in a state, and reports whether it did.
func (p *progress[State]) postpone(now, extension monotime.Micros) bool {
	if p.postponed || p.deadline == 0 || now < p.deadline {
		return false
	}
	p.deadline = now + extension
	p.postponed = true
	return true
}

// isStale reports whether an event is a DeadlineReached for a deadline that no longer applies.
func (p *progress[State]) isStale(now monotime.Micros, event Event) bool {
	return event == DeadlineReached && (p.deadline == 0 || now < p.deadline)
}
