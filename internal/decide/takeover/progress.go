package takeover

import "dunlinsail/internal/monotime"

// progress is the part that Predecessor and Successor have in common: the current state and its deadline.
type progress[State any] struct {
	state     State
	deadline  monotime.Micros // latest end of the current state, 0 for none
	postponed bool            // the deadline of the current state was postponed
}

// Deadline returns the instant at which the host must pass DeadlineReached to Step, 0 if there is none.
func (p *progress[State]) Deadline() monotime.Micros { return p.deadline }

// transition enters a state that may last until the deadline. A deadline of 0 means no limit.
func (p *progress[State]) transition(state State, deadline monotime.Micros) {
	p.state = state
	p.deadline = deadline
	p.postponed = false
}

// postpone moves a deadline that has passed to now + extension, at most once per state. It reports whether it did.
func (p *progress[State]) postpone(now, extension monotime.Micros) bool {
	if p.postponed || p.deadline == 0 || now < p.deadline {
		return false
	}
	p.deadline = now + extension
	p.postponed = true
	return true
}

// isPrematureDeadline reports whether an event is a DeadlineReached although the current state has no deadline or a later one.
func (p *progress[State]) isPrematureDeadline(now monotime.Micros, event Event) bool {
	return event == DeadlineReached && (p.deadline == 0 || now < p.deadline)
}
