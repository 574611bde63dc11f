package engine

import (
	"container/heap"

	"dunlinsail/internal/monotime"
)

// timer is an action that is due at an instant. Timers of the same instant fire in the order in which they were set.
type timer struct {
	due      monotime.Micros
	sequence uint64
	fire     func(now monotime.Micros)
	index    int // in the heap; -1 once it has left it
}

// pending reports whether the timer has yet to fire.
func (t *timer) pending() bool { return t != nil && t.index >= 0 }

// timerHeap orders timers by the instant at which they are due (container/heap).
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	t.index = -1
	*h = (*h)[:last]
	return t
}

// schedule has fire called once an instant has come.
func (x *Engine) schedule(due monotime.Micros, fire func(now monotime.Micros)) *timer {
	x.timerSequence++
	t := &timer{due: due, sequence: x.timerSequence, fire: fire}
	heap.Push(&x.timers, t)
	return t
}

// cancelTimer removes a timer that is still pending, so that what it refers to can be freed. nil is no timer.
func (x *Engine) cancelTimer(t *timer) {
	if t.pending() {
		heap.Remove(&x.timers, t.index)
	}
}

// Next returns the instant at which the next timer is due; ok is false if there is none.
func (x *Engine) Next() (due monotime.Micros, ok bool) {
	if len(x.timers) == 0 {
		return 0, false
	}
	return x.timers[0].due, true
}

// Advance fires all timers that are due by an instant. The host calls it when the instant that Next returned has come,
// and after each event.
func (x *Engine) Advance(now monotime.Micros) {
	x.now = now
	for len(x.timers) > 0 && x.timers[0].due <= now {
		heap.Pop(&x.timers).(*timer).fire(now)
	}
	x.dispatchQueued(now)
}
