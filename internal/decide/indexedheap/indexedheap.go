// Package indexedheap provides a binary heap whose elements store their index in it, so that any element can be
// removed or moved. The order of removal, also of equal elements, is that of package container/heap: decisions
// depend on it.
package indexedheap

import "container/heap"

// Element is an element of a Heap.
type Element[T any] interface {
	// Before reports whether the element leaves the heap before another one. While the element is in the heap,
	// its result may only change if Heap.Fix is called afterwards.
	Before(other T) bool
	// SetHeapIndex is called whenever the index of the element changes; the index is -1 once the element has
	// left the heap.
	SetHeapIndex(index int)
}

// Heap is a heap of elements. The zero value is empty. It must not be used by several goroutines at once.
type Heap[T Element[T]] struct {
	storage storage[T]
}

// Len returns the number of elements in the heap.
func (h *Heap[T]) Len() int { return len(h.storage) }

// First returns the element that leaves the heap first, without removing it. The heap must not be empty.
func (h *Heap[T]) First() T { return h.storage[0] }

// Push adds an element.
func (h *Heap[T]) Push(element T) { heap.Push(&h.storage, element) }

// Pop removes and returns the first element. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.storage).(T) }

// Remove removes the element at an index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.storage, index) }

// Fix restores the order of the heap after the order of the element at an index has changed.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.storage, index) }

// storage implements heap.Interface for a Heap.
type storage[T Element[T]] []T

// Len implements heap.Interface.
func (s storage[T]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s storage[T]) Less(i, j int) bool { return s[i].Before(s[j]) }

// Swap implements heap.Interface.
func (s storage[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].SetHeapIndex(i)
	s[j].SetHeapIndex(j)
}

// Push implements heap.Interface.
func (s *storage[T]) Push(x any) {
	element := x.(T)
	element.SetHeapIndex(len(*s))
	*s = append(*s, element)
}

// Pop implements heap.Interface.
func (s *storage[T]) Pop() any {
	var none T
	last := len(*s) - 1
	element := (*s)[last]
	(*s)[last] = none // so that the element can be freed
	element.SetHeapIndex(-1)
	*s = (*s)[:last]
	return element
}
