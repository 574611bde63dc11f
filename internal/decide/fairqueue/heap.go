package fairqueue

// backlog is a heap of clients by tag (container/heap); among equals who has less in flight goes first.
type flowHeap []*clientFlow

func (b flowHeap) Len() int { return len(b) }

func (b flowHeap) Less(i, j int) bool {
	if b[i].tag != b[j].tag {
		return b[i].tag < b[j].tag
	}
	return b[i].open-len(b[i].queue) < b[j].open-len(b[j].queue)
}

func (b flowHeap) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].heapIndex, b[j].heapIndex = i, j
}

func (b *flowHeap) Push(c any) {
	c.(*clientFlow).heapIndex = len(*b)
	*b = append(*b, c.(*clientFlow))
}

func (b *flowHeap) Pop() any {
	last := len(*b) - 1
	c := (*b)[last]
	(*b)[last], c.heapIndex = nil, -1
	*b = (*b)[:last]
	return c
}

// expiry is a heap of requests by the last instant at which they may go on (container/heap).
type expiryHeap []*queuedRequest

func (e expiryHeap) Len() int { return len(e) }

func (e expiryHeap) Less(i, j int) bool { return e[i].latestStart < e[j].latestStart }

func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

func (e *expiryHeap) Push(q any) {
	q.(*queuedRequest).heapIndex = len(*e)
	*e = append(*e, q.(*queuedRequest))
}

func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	q := (*e)[last]
	(*e)[last], q.heapIndex = nil, -1
	*e = (*e)[:last]
	return q
}
