package fairqueue

// heapElement is an element of an indexedHeap.
type heapElement[T any] interface {
	before(other T) bool
	setHeapIndex(index int)
}

// indexedHeap is a heap (heap.Interface of container/heap) whose elements know their index, so that they can be
// removed and moved.
type indexedHeap[T heapElement[T]] []T

// flowHeap has the flows with waiting requests by tag, expiryHeap the waiting requests by their latest start.
type (
	flowHeap   = indexedHeap[*clientFlow]
	expiryHeap = indexedHeap[*queuedRequest]
)

// Len is of heap.Interface.
func (h indexedHeap[T]) Len() int { return len(h) }

// Less is of heap.Interface.
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap is of heap.Interface.
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setHeapIndex(i)
	h[j].setHeapIndex(j)
}

// Push is of heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	element := x.(T)
	element.setHeapIndex(len(*h))
	*h = append(*h, element)
}

// Pop is of heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	var none T
	last := len(*h) - 1
	element := (*h)[last]
	(*h)[last] = none
	element.setHeapIndex(-1)
	*h = (*h)[:last]
	return element
}

// before orders flows by tag; among equal tags the flow with fewer requests in flight is first.
func (f *clientFlow) before(other *clientFlow) bool {
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	return f.open-len(f.queue) < other.open-len(other.queue)
}

// setHeapIndex notes the flow's index in the heap, -1 outside of it.
func (f *clientFlow) setHeapIndex(index int) { f.heapIndex = index }

// before orders requests by their latest start.
func (r *queuedRequest) before(other *queuedRequest) bool { return r.latestStart < other.latestStart }

// setHeapIndex notes the request's index in the heap, -1 outside of it.
func (r *queuedRequest) setHeapIndex(index int) { r.heapIndex = index }
