package engine

import (
	"container/heap"

	"dunlinsail/internal/monotime"
)

// alarm is something to do at an instant; those of the same instant go in the order they were set.
type alarm struct {
	at    monotime.Micros
	order uint64
	ring  func(now monotime.Micros)
	place int // in the heap; -1 once out of it
}

// alarms is a heap by instant (container/heap).
type alarms []*alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a alarms) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *alarms) Push(x any) {
	x.(*alarm).place = len(*a)
	*a = append(*a, x.(*alarm))
}
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last], x.place = nil, -1
	*a = (*a)[:last]
	return x
}

func (x *Engine) at(at monotime.Micros, ring func(now monotime.Micros)) *alarm {
	x.order++
	a := &alarm{at: at, order: x.order, ring: ring}
	heap.Push(&x.alarms, a)
	return a
}

// callOff takes an alarm out, if it is still to ring: what it would look at need not be kept for it.
func (x *Engine) callOff(a *alarm) {
	if a != nil && a.place >= 0 {
		heap.Remove(&x.alarms, a.place)
	}
}
