package simulation

import "dunlinsail/internal/monotime"

// event is an action at an instant of simulated time. Events at the same instant are handled in the order in
// which they were pushed. The kind determines the meaning of index and target.
type event struct {
	at       monotime.Micros
	sequence uint64 // order of the push, from 1
	kind     eventKind
	index    uint32
	target   any
}

// eventQueue holds the pending events in a 4-ary heap, which touches less memory than a binary one (Larkin,
// Sen, Tarjan: "A back-to-basics empirical study of priority queues", 2014).
type eventQueue struct {
	heap         []event
	lastSequence uint64 // sequence number of the latest push
}

// childrenPerNode is the number of children of a heap node.
const childrenPerNode = 4

func (q *eventQueue) len() int { return len(q.heap) }

// before reports whether event a is handled before event b.
func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

// push adds an event.
func (q *eventQueue) push(at monotime.Micros, kind eventKind, index uint32, target any) {
	q.lastSequence++
	q.heap = append(q.heap, event{})
	i := len(q.heap) - 1
	e := event{at, q.lastSequence, kind, index, target}
	for i > 0 {
		parent := (i - 1) / childrenPerNode
		if !before(&e, &q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes and returns the earliest event. The queue must not be empty.
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
		smallest := -1
		firstChild := childrenPerNode*i + 1
		for child := firstChild; child < min(firstChild+childrenPerNode, last); child++ {
			if smallest < 0 || before(&q.heap[child], &q.heap[smallest]) {
				smallest = child
			}
		}
		if smallest < 0 || !before(&q.heap[smallest], &e) {
			break
		}
		q.heap[i] = q.heap[smallest]
		i = smallest
	}
	q.heap[i] = e
	return first
}
