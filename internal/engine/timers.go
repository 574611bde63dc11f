package engine

import "dunlinsail/internal/monotime"

// timer is an action that is due at an instant. Timers of one instant fire in the order in which they were set.
type timer struct {
	due       monotime.Micros
	sequence  uint64
	fire      func(now monotime.Micros)
	heapIndex int // in Engine.timers; -1 once it has fired or was cancelled
}

// pending reports whether the timer has yet to fire.
func (t *timer) pending() bool { return t != nil && t.heapIndex >= 0 }

// Before orders timers by the instant at which they are due, and those of one instant by when they were set
// (indexedheap.Element).
func (t *timer) Before(other *timer) bool {
	return t.due < other.due || t.due == other.due && t.sequence < other.sequence
}

// SetHeapIndex notes the timer's index in Engine.timers.
func (t *timer) SetHeapIndex(index int) { t.heapIndex = index }

// schedule has fire called once an instant has come.
func (eng *Engine) schedule(due monotime.Micros, fire func(now monotime.Micros)) *timer {
	eng.timerSequence++
	t := &timer{due: due, sequence: eng.timerSequence, fire: fire}
	eng.timers.Push(t)
	return t
}

// cancelTimer removes a timer that is still pending, so that what it refers to can be freed. nil is allowed.
func (eng *Engine) cancelTimer(t *timer) {
	if t.pending() {
		eng.timers.Remove(t.heapIndex)
	}
}

// Next returns the instant at which the next timer is due; ok is false if there is none.
func (eng *Engine) Next() (due monotime.Micros, ok bool) {
	if eng.timers.Len() == 0 {
		return 0, false
	}
	return eng.timers.First().due, true
}

// Advance fires all timers that are due by an instant. The host calls it when the instant that Next returned has come,
// and after each event.
func (eng *Engine) Advance(now monotime.Micros) {
	eng.now = now
	for eng.timers.Len() > 0 && eng.timers.First().due <= now {
		eng.timers.Pop().fire(now)
	}
	eng.dispatchQueued(now)
}
