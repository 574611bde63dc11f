package engine

import "dunlinsail/internal/monotime"

// timer is an action that is due at an instant. Timers that are due at the same instant fire in the order in
// which they were set.
type timer struct {
	due       monotime.Micros
	sequence  uint64
	fire      func(now monotime.Micros)
	heapIndex int // index in Engine.timers; -1 after the timer has fired or was cancelled
}

// pending reports whether the timer has neither fired nor been cancelled. A nil timer is not pending.
func (t *timer) pending() bool { return t != nil && t.heapIndex >= 0 }

// Before implements indexedheap.Element: it orders timers by the instant at which they are due, and then by the
// order in which they were set.
func (t *timer) Before(other *timer) bool {
	return t.due < other.due || t.due == other.due && t.sequence < other.sequence
}

// SetHeapIndex implements indexedheap.Element: it stores the timer's index in Engine.timers.
func (t *timer) SetHeapIndex(index int) { t.heapIndex = index }

// schedule sets a timer that calls fire at the instant due, or at the next Advance if that instant has passed.
func (eng *Engine) schedule(due monotime.Micros, fire func(now monotime.Micros)) *timer {
	eng.timerSequence++
	t := &timer{due: due, sequence: eng.timerSequence, fire: fire}
	eng.timers.Push(t)
	return t
}

// cancelTimer removes a pending timer, so that the memory that it references can be freed. A nil timer or one
// that is not pending is ignored.
func (eng *Engine) cancelTimer(t *timer) {
	if t.pending() {
		eng.timers.Remove(t.heapIndex)
	}
}

// NextTimer returns the instant at which the next timer is due. ok is false if no timer is pending.
func (eng *Engine) NextTimer() (due monotime.Micros, ok bool) {
	if eng.timers.Len() == 0 {
		return 0, false
	}
	return eng.timers.First().due, true
}

// Advance fires all timers that are due at or before now. The host calls it when the instant that Next returned
// is reached, and after each event.
func (eng *Engine) Advance(now monotime.Micros) {
	eng.now = now
	for eng.timers.Len() > 0 && eng.timers.First().due <= now {
		eng.timers.Pop().fire(now)
	}
	eng.dispatchQueued(now)
}
