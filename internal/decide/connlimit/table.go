package connlimit

import (
	"container/list"
	"fmt"
	"slices"

	"dunlinsail/internal/monotime"
)

// Table holds the connections of a server. Make one with New.
type Table[T any] struct {
	limits      Limits
	confirmIdle func(T) bool
	idleOwners  []*Owner[T] // those with connections at rest
	busy        int
	idle        int
	connections map[*Conn[T]]struct{}
}

// New returns an empty table, or the error of limits that make no sense. rests is asked before a connection without an
// open request is closed: if it says no, something has come that has not been looked at, and the connection counts as one
// with an open request from then on. nil is always yes.
func New[T any](l Limits, confirmIdle func(T) bool) (*Table[T], error) {
	if err := l.Validate(); err != nil {
		return nil, fmt.Errorf("conns: %w", err)
	}
	if confirmIdle == nil {
		confirmIdle = func(T) bool { return true }
	}
	return &Table[T]{limits: l, confirmIdle: confirmIdle, connections: map[*Conn[T]]struct{}{}}, nil
}

// Owner returns a new owner of at most so many connections, and of so many bytes held; 0 bytes is no bound. Where
// connections at rest must make room, the owner with the most of them for its weight gives way.
func (t *Table[T]) NewOwner(weight float64, maxConnections int, maxBytes int64) *Owner[T] {
	return &Owner[T]{weight: weight, maxConnections: maxConnections, maxBytes: maxBytes, idle: list.New()}
}

// Change gives an owner another weight and bounds. What it has stays.
func (t *Table[T]) UpdateOwner(o *Owner[T], weight float64, maxConnections int, maxBytes int64) {
	o.weight, o.maxConnections, o.maxBytes = weight, maxConnections, maxBytes
}

// Len returns how many connections the table holds, and how many of them have an open request.
func (t *Table[T]) Len() (all, busy int) { return t.busy + t.idle, t.busy }

// Open takes in a new connection of o, which rests until its first request is whole. It returns the connection
// that is to be closed to make room, if any. Where none can make room the new one is not taken in: it is nil.
func (t *Table[T]) Add(now monotime.Micros, o *Owner[T], value T) (c, evicted *Conn[T]) {
	switch {
	case o.busy+o.idle.Len() >= o.maxConnections:
		for evicted = t.longestIdle(o); evicted != nil && !t.confirmIdle(evicted.Value); evicted = t.longestIdle(o) {
			t.MarkBusy(evicted)
		}
		if evicted == nil {
			return nil, nil
		}
	case t.busy+t.idle >= t.limits.MaxConnections || t.idle >= t.limits.MaxIdle:
		// Only one at rest can make room. If there is none, all are waiting for their answers.
		evicted = t.Evictable()
		if evicted == nil && t.busy+t.idle >= t.limits.MaxConnections {
			return nil, nil
		}
	}
	if evicted != nil {
		t.Remove(evicted)
	}
	c = &Conn[T]{Value: value, owner: o}
	t.connections[c] = struct{}{}
	t.addIdle(now, c)
	return c, evicted
}

// Take notes that a request is open on c, unless c has been closed meanwhile: then it says no, and the request
// has not been taken.
func (t *Table[T]) MarkBusy(c *Conn[T]) bool {
	if c.removed {
		return false
	}
	if c.idleElement != nil { // else it was seen to come before
		t.removeIdle(c)
		c.owner.busy++
		t.busy++
	}
	return true
}

// Rest notes that the request on c has its answer. It returns the connection that is to be closed for that, if
// too many rest now.
func (t *Table[T]) MarkIdle(now monotime.Micros, c *Conn[T]) (evicted *Conn[T]) {
	c.owner.busy--
	t.busy--
	t.releaseBytes(c)
	if t.idle >= t.limits.MaxIdle {
		if evicted = t.Evictable(); evicted != nil {
			t.Remove(evicted)
		}
	}
	t.addIdle(now, c)
	return evicted
}

// Hold notes that n bytes more are held for c, until it rests or is closed. If that is beyond what its owner may
// hold it says no and notes nothing, unless they must be held all the same, as an answer that has come.
func (t *Table[T]) ReserveBytes(c *Conn[T], n int64, force bool) bool {
	o := c.owner
	if c.removed || !force && o.maxBytes > 0 && o.reservedBytes+n > o.maxBytes {
		return false
	}
	c.reservedBytes += n
	o.reservedBytes += n
	return true
}

// release notes that nothing is held for c any more.
func (t *Table[T]) releaseBytes(c *Conn[T]) {
	c.owner.reservedBytes -= c.reservedBytes
	c.reservedBytes = 0
}

// Close forgets a connection. It may be called again.
func (t *Table[T]) Remove(c *Conn[T]) {
	if c.removed {
		return
	}
	c.removed = true
	delete(t.connections, c)
	t.releaseBytes(c)
	if c.idleElement != nil {
		t.removeIdle(c)
	} else {
		c.owner.busy--
		t.busy--
	}
}

// Each calls f for each connection, in no order.
func (t *Table[T]) Each(f func(*Conn[T])) {
	for c := range t.connections {
		f(c)
	}
}

// Resting calls f for each connection without an open request, the longest at rest of each owner first.
func (t *Table[T]) EachIdle(f func(*Conn[T])) {
	for _, o := range slices.Clone(t.idleOwners) {
		for at := o.idle.Front(); at != nil; {
			c := at.Value.(*Conn[T])
			at = at.Next()
			f(c)
		}
	}
}
