package fairqueue

// flowHeap is a heap (container/heap) of flows by tag; among equal tags the flow with fewer requests in flight
// is first.
type flowHeap []*clientFlow

// Len is of heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less is of heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].open-len(h[i].queue) < h[j].open-len(h[j].queue)
}

// Swap is of heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is of heap.Interface.
func (h *flowHeap) Push(x any) {
	flow := x.(*clientFlow)
	flow.heapIndex = len(*h)
	*h = append(*h, flow)
}

// Pop is of heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	flow := (*h)[last]
	(*h)[last] = nil
	flow.heapIndex = -1
	*h = (*h)[:last]
	return flow
}

// expiryHeap is a heap (container/heap) of waiting requests by their latest start.
type expiryHeap []*queuedRequest

// Len is of heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less is of heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart < h[j].latestStart }

// Swap is of heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is of heap.Interface.
func (h *expiryHeap) Push(x any) {
	request := x.(*queuedRequest)
	request.heapIndex = len(*h)
	*h = append(*h, request)
}

// Pop is of heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	(*h)[last] = nil
	request.heapIndex = -1
	*h = (*h)[:last]
	return request
}
