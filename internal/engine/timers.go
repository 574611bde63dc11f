package engine

import (
	"container/heap"

	"dunlinsail/internal/monotime"
)

// alarm is something to do at an instant; those of the same instant go in the order they were set.
type timer struct {
	due      monotime.Micros
	sequence uint64
	fire     func(now monotime.Micros)
	index    int // in the heap; -1 once out of it
}

// alarms is a heap by instant (container/heap).
type timerHeap []*timer

func (a timerHeap) Len() int { return len(a) }

func (a timerHeap) Less(i, j int) bool {
	return a[i].due < a[j].due || a[i].due == a[j].due && a[i].sequence < a[j].sequence
}

func (a timerHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}

func (a *timerHeap) Push(x any) {
	x.(*timer).index = len(*a)
	*a = append(*a, x.(*timer))
}

func (a *timerHeap) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last], x.index = nil, -1
	*a = (*a)[:last]
	return x
}

func (x *Engine) schedule(at monotime.Micros, ring func(now monotime.Micros)) *timer {
	x.timerSequence++
	a := &timer{due: at, sequence: x.timerSequence, fire: ring}
	heap.Push(&x.timers, a)
	return a
}

// callOff takes an alarm out, if it is still to ring: what it would look at need not be kept for it.
func (x *Engine) cancelTimer(a *timer) {
	if a != nil && a.index >= 0 {
		heap.Remove(&x.timers, a.index)
	}
}

// Next returns the instant at which something is due; ok says whether anything is.
func (x *Engine) Next() (at monotime.Micros, ok bool) {
	if len(x.timers) == 0 {
		return 0, false
	}
	return x.timers[0].due, true
}

// Advance does what is due by an instant. The host calls it when that of Next has come, and after each event.
func (x *Engine) Advance(now monotime.Micros) {
	x.now = now
	for len(x.timers) > 0 && x.timers[0].due <= now {
		heap.Pop(&x.timers).(*timer).fire(now)
	}
	x.dispatchQueued(now)
}
