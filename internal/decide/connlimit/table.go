package connlimit

import (
	"container/list"
	"fmt"
	"slices"

	"dunlinsail/internal/monotime"
)

// Table holds the connections of a server. Make one with New; it is for one goroutine at a time.
type Table[T any] struct {
	limits      Limits
	confirmIdle func(T) bool
	idleOwners  []*Owner[T] // those with idle connections
	busy        int
	idle        int
	connections map[*Conn[T]]struct{}
}

// New returns an empty table, or the error of limits that are invalid. confirmIdle is called before a
// connection without an open request is evicted: if it returns false, something has arrived that was not read,
// and the connection counts as one with an open request from then on. nil always confirms.
func New[T any](l Limits, confirmIdle func(T) bool) (*Table[T], error) {
	if err := l.Validate(); err != nil {
		return nil, fmt.Errorf("conns: %w", err)
	}
	if confirmIdle == nil {
		confirmIdle = func(T) bool { return true }
	}
	return &Table[T]{limits: l, confirmIdle: confirmIdle, connections: map[*Conn[T]]struct{}{}}, nil
}

// NewOwner returns a new owner of at most maxConnections, and of maxBytes reserved; 0 bytes is no limit. Where idle
// connections must be evicted, the owner with the most of them for its weight is first.
func (t *Table[T]) NewOwner(weight float64, maxConnections int, maxBytes int64) *Owner[T] {
	return &Owner[T]{weight: weight, maxConnections: maxConnections, maxBytes: maxBytes, idle: list.New()}
}

// UpdateOwner gives an owner another weight and limits. Its connections stay.
func (t *Table[T]) UpdateOwner(o *Owner[T], weight float64, maxConnections int, maxBytes int64) {
	o.weight = weight
	o.maxConnections = maxConnections
	o.maxBytes = maxBytes
}

// Counts returns how many connections the table holds, and how many of them have an open request.
func (t *Table[T]) Counts() (all, busy int) { return t.busy + t.idle, t.busy }

// Add takes in a new connection of an owner, which is idle until its first request is complete. It returns the
// connection that is to be closed in its place, if any. If the limits leave no place for the new one, it
// returns nil for both.
func (t *Table[T]) Add(now monotime.Micros, o *Owner[T], value T) (c, evicted *Conn[T]) {
	switch {
	case o.busy+o.idle.Len() >= o.maxConnections:
		evicted = t.evictableOf(o)
		if evicted == nil {
			return nil, nil
		}
	case t.busy+t.idle >= t.limits.MaxConnections || t.idle >= t.limits.MaxIdle:
		// Only an idle one can be evicted. If there is none, all wait for their answers.
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

// MarkBusy notes that a request is open on a connection. It reports false if the connection was evicted
// meanwhile, and the request must not be handled.
func (t *Table[T]) MarkBusy(c *Conn[T]) bool {
	if c.removed {
		return false
	}
	if c.idleElement != nil { // else confirmIdle has found the request before
		t.removeIdle(c)
		c.owner.busy++
		t.busy++
	}
	return true
}

// MarkIdle notes that the request on a connection was answered. It returns the connection that is to be closed
// for that, if too many are idle now.
func (t *Table[T]) MarkIdle(now monotime.Micros, c *Conn[T]) (evicted *Conn[T]) {
	c.owner.busy--
	t.busy--
	t.releaseBytes(c)
	if t.idle >= t.limits.MaxIdle {
		evicted = t.Evictable()
		if evicted != nil {
			t.Remove(evicted)
		}
	}
	t.addIdle(now, c)
	return evicted
}

// ReserveBytes reserves n bytes more for a connection, until it is idle or removed. It reports false and
// reserves nothing if that exceeds its owner's limit, unless force is set: an answer that has arrived must be
// held.
func (t *Table[T]) ReserveBytes(c *Conn[T], n int64, force bool) bool {
	o := c.owner
	if c.removed || !force && o.maxBytes > 0 && o.reservedBytes+n > o.maxBytes {
		return false
	}
	c.reservedBytes += n
	o.reservedBytes += n
	return true
}

// releaseBytes releases all bytes that are reserved for a connection.
func (t *Table[T]) releaseBytes(c *Conn[T]) {
	c.owner.reservedBytes -= c.reservedBytes
	c.reservedBytes = 0
}

// Remove removes a connection. It may be called again.
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

// EachIdle calls f for each connection without an open request, the longest idle of each owner first. f may remove it.
func (t *Table[T]) EachIdle(f func(*Conn[T])) {
	for _, o := range slices.Clone(t.idleOwners) {
		for element := o.idle.Front(); element != nil; {
			c := element.Value.(*Conn[T])
			element = element.Next()
			f(c)
		}
	}
}
