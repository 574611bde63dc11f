package fairqueue

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// referenceHeap is a heap of requests by their latest start, written out.
type referenceHeap []*queuedRequest

func (h referenceHeap) Len() int           { return len(h) }
func (h referenceHeap) Less(i, j int) bool { return h[i].latestStart < h[j].latestStart }
func (h referenceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *referenceHeap) Push(x any)        { *h = append(*h, x.(*queuedRequest)) }
func (h *referenceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Through random pushes, removals and changes the heap has the same elements at the same places as one written
// out, equal ones included, and each element knows its index.
func TestIndexedHeapKeepsTheOrderOfEqualElements(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 4))
		var got expiryHeap
		var want referenceHeap
		for step := range 500 {
			switch operation := rng.IntN(5); {
			case operation < 2 || len(want) == 0:
				r := &queuedRequest{latestStart: rng.Int64N(8)}
				heap.Push(&got, r)
				heap.Push(&want, r)
			case operation == 2:
				if a, b := heap.Pop(&got), heap.Pop(&want); a != b || a.(*queuedRequest).heapIndex != -1 {
					t.Fatalf("seed %d, step %d: popped %+v, want %+v", seed, step, a, b)
				}
			case operation == 3:
				i := rng.IntN(len(want))
				heap.Remove(&got, i)
				heap.Remove(&want, i)
			default:
				i := rng.IntN(len(want))
				want[i].latestStart = rng.Int64N(8)
				heap.Fix(&got, i)
				heap.Fix(&want, i)
			}
			if !slices.Equal(got, expiryHeap(want)) {
				t.Fatalf("seed %d, step %d: the orders differ", seed, step)
			}
			for i, r := range got {
				if r.heapIndex != i {
					t.Fatalf("seed %d, step %d: element %d has index %d", seed, step, i, r.heapIndex)
				}
			}
		}
	}
}
