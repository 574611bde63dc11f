package takeover

import "dunlinsail/internal/monotime"

// progress holds the current state and its deadline. Predecessor and Successor both embed it.
type progress[State any] struct {
	state     State
	deadline  monotime.Micros // time at which the current state ends at the latest, 0 for no limit
	postponed bool            // whether the deadline of the current state was postponed
}

// Deadline returns the instant at which the host must pass DeadlineReached to Step, 0 if there is none.
func (p *progress[State]) Deadline() monotime.Micros { return p.deadline }

// transition enters a state that may last until the deadline. A deadline of 0 means no limit.
func (p *progress[State]) transition(state State, deadline monotime.Micros) {
	p.state = state
	p.deadline = deadline
	p.postponed = false
}

// postpone moves the deadline to now + extension if it has passed, at most once per state. It reports whether the
// deadline was moved.
func (p *progress[State]) postpone(now, extension monotime.Micros) bool {
	if p.postponed || p.deadline == 0 || now < p.deadline {
		return false
	}
	p.deadline = now + extension
	p.postponed = true
	return true
}

// isPrematureDeadline reports whether an event is a DeadlineReached that the current state must ignore, because it has
// no deadline or its deadline has not passed.
func (p *progress[State]) isPrematureDeadline(now monotime.Micros, event Event) bool {
	return event == DeadlineReached && (p.deadline == 0 || now < p.deadline)
}
