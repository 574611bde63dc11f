package simulation

import "dunlinsail/internal/monotime"

// event is something that happens at an instant; those of the same instant go in the order in which they were set. What
// is pointed to, and what n means, depends on its kind.
type event struct {
	at     monotime.Micros
	order  uint64
	kind   eventKind
	index  uint32
	target any
}

// eventQueue holds the events to come: a heap of four, which touches less memory than one of two (Larkin, Sen, Tarjan:
// "A back-to-basics empirical study of priority queues", 2014).
type eventQueue struct {
	heap  []event
	order uint64
}

func (q *eventQueue) len() int { return len(q.heap) }

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.order < b.order }

// push adds an event.
func (q *eventQueue) push(at monotime.Micros, k eventKind, n uint32, p any) {
	q.order++
	q.heap = append(q.heap, event{})
	i := len(q.heap) - 1
	e := event{at, q.order, k, n, p}
	for i > 0 {
		up := (i - 1) / 4
		if !before(&e, &q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

// pop takes the first event out. There must be one.
func (q *eventQueue) pop() event {
	first := q.heap[0]
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	if last == 0 {
		return first
	}
	i := 0
	for {
		least := -1
		from := 4*i + 1
		for c := from; c < min(from+4, last); c++ {
			if least < 0 || before(&q.heap[c], &q.heap[least]) {
				least = c
			}
		}
		if least < 0 || !before(&q.heap[least], &e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
	return first
}
