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
	idleOwners  []*Owner[T] // owners with idle connections
	busy        int         // connections with an open request
	idle        int         // connections without an open request
	connections map[*Conn[T]]struct{}
}

// New returns an empty table, or an error if the limits are invalid. confirmIdle is called before a connection
// without an open request is evicted or expires: if it returns false, something has arrived that was not read yet,
// and the connection counts as one with an open request from then on. A nil confirmIdle always confirms.
func New[T any](l Limits, confirmIdle func(T) bool) (*Table[T], error) {
	if err := l.Validate(); err != nil {
		return nil, fmt.Errorf("conns: %w", err)
	}
	if confirmIdle == nil {
		confirmIdle = func(T) bool { return true }
	}
	return &Table[T]{limits: l, confirmIdle: confirmIdle, connections: map[*Conn[T]]struct{}{}}, nil
}

// NewOwner returns a new owner of at most maxConnections connections and maxBytes reserved bytes; 0 bytes is no
// limit. If an idle connection must be evicted, it is one of the owner with the most of them over its weight.
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

// Add decides whether a new connection of an owner is kept, and which other one is closed in its place. At its owner's
// limit, an idle connection of that owner is evicted; at the limits of the table, any idle connection. Without one to
// evict, the new connection is not kept, unless only the limit on idle connections is reached. A new connection is idle
// until its first request is complete.
//
// Add returns the connection, or nil if it is not kept, and the evicted one, or nil, which the caller must close.
func (t *Table[T]) Add(now monotime.Micros, o *Owner[T], value T) (c, evicted *Conn[T]) {
	switch {
	case o.busy+o.idle.Len() >= o.maxConnections:
		evicted = t.evictableOf(o)
		if evicted == nil {
			return nil, nil
		}
	case t.busy+t.idle >= t.limits.MaxConnections || t.idle >= t.limits.MaxIdle:
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

// MarkBusy notes that a request is open on a connection. It returns false if the connection was evicted meanwhile: the
// request must not be handled then.
func (t *Table[T]) MarkBusy(c *Conn[T]) bool {
	if c.removed {
		return false
	}
	if c.idleElement != nil { // nil if confirmIdle has found the request before
		t.removeIdle(c)
		c.owner.busy++
		t.busy++
	}
	return true
}

// MarkIdle notes that the request on a connection was answered, and releases its bytes. If Limits.MaxIdle connections
// are idle already, it returns another one that the caller must close; otherwise nil.
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

// ReserveBytes reserves n more bytes for a connection, until it is idle or removed. If that exceeds its owner's limit
// it reserves nothing and returns false, unless force is set: a response that has arrived must be kept in memory.
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

// Remove removes a connection. It does nothing for one that was removed before.
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
