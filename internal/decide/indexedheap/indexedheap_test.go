package indexedheap

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// item is a heap element that is ordered by its key.
type item struct {
	key   int64
	index int
}

func (i *item) Before(other *item) bool { return i.key < other.key }
func (i *item) SetHeapIndex(index int)  { i.index = index }

// referenceHeap is a heap of items for container/heap, ordered by key.
type referenceHeap []*item

func (h referenceHeap) Len() int           { return len(h) }
func (h referenceHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h referenceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *referenceHeap) Push(x any)        { *h = append(*h, x.(*item)) }
func (h *referenceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// comparison applies the same operations to a Heap and to a reference heap.
type comparison struct {
	rng  *rand.Rand
	got  Heap[*item]
	want referenceHeap
}

// step applies one random operation to both heaps.
func (c *comparison) step(t *testing.T, seed uint64, step int) {
	t.Helper()
	switch operation := c.rng.IntN(5); {
	case operation < 2 || len(c.want) == 0:
		r := &item{key: c.rng.Int64N(8)}
		c.got.Push(r)
		heap.Push(&c.want, r)
	case operation == 2:
		if got, want := c.got.Pop(), heap.Pop(&c.want); got != want || got.index != -1 {
			t.Fatalf("seed %d, step %d: popped %+v, want %+v", seed, step, got, want)
		}
	case operation == 3:
		i := c.rng.IntN(len(c.want))
		removed := c.want[i]
		c.got.Remove(i)
		heap.Remove(&c.want, i)
		if removed.index != -1 {
			t.Fatalf("seed %d, step %d: a removed element has index %d", seed, step, removed.index)
		}
	default:
		i := c.rng.IntN(len(c.want))
		c.want[i].key = c.rng.Int64N(8)
		c.got.Fix(i)
		heap.Fix(&c.want, i)
	}
}

// check fails unless both heaps have the same elements at the same indexes, and each element stores its index.
func (c *comparison) check(t *testing.T, seed uint64, step int) {
	t.Helper()
	if !slices.Equal(c.got.storage, storage[*item](c.want)) || c.got.Len() != len(c.want) {
		t.Fatalf("seed %d, step %d: the orders differ", seed, step)
	}
	for i, r := range c.got.storage {
		if r.index != i {
			t.Fatalf("seed %d, step %d: element %d has index %d", seed, step, i, r.index)
		}
	}
	if len(c.want) > 0 && c.got.First() != c.want[0] {
		t.Fatalf("seed %d, step %d: first is %+v, want %+v", seed, step, c.got.First(), c.want[0])
	}
}

// After random pushes, removals and changes, the heap has the same elements at the same indexes as a heap of
// package container/heap, also for equal elements, and each element stores its index.
func TestIndexedHeapKeepsTheOrderOfEqualElements(t *testing.T) {
	for seed := range uint64(50) {
		c := &comparison{rng: rand.New(rand.NewPCG(seed, 4))}
		for step := range 500 {
			c.step(t, seed, step)
			c.check(t, seed, step)
		}
	}
}
