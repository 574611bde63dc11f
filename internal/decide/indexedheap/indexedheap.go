// Package indexedheap has a binary heap whose elements know their place in it, so that any of them can be removed or
// moved. The order of removal, among equal elements too, is that of package container/heap: decisions depend on it.
package indexedheap

import "container/heap"

// Element is an element of a Heap.
type Element[T any] interface {
	// Before reports whether the element is to leave the heap before another one. It must not change while the element
	// is in the heap, but for a call of Heap.Fix.
	Before(other T) bool
	// SetHeapIndex is called with the element's index whenever that changes; -1 once it has left the heap.
	SetHeapIndex(index int)
}

// Heap is a heap of elements. The zero value is empty. It is for one goroutine at a time.
type Heap[T Element[T]] struct {
	storage storage[T]
}

// Len returns how many elements the heap has.
func (h *Heap[T]) Len() int { return len(h.storage) }

// First returns the element that leaves the heap first. The heap must not be empty.
func (h *Heap[T]) First() T { return h.storage[0] }

// Push adds an element.
func (h *Heap[T]) Push(element T) { heap.Push(&h.storage, element) }

// Pop removes and returns the first element. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.storage).(T) }

// Remove removes the element with an index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.storage, index) }

// Fix moves the element with an index to its place after its order has changed.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.storage, index) }

// storage is the heap.Interface of a Heap.
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
	(*s)[last] = none // so that it can be freed
	element.SetHeapIndex(-1)
	*s = (*s)[:last]
	return element
}
