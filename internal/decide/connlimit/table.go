package connlimit

import (
	"container/list"
	"fmt"
	"slices"

	"dunlinsail/internal/monotime"
)

// Table contains the connections of a server. Create it with New. It must not be used by several goroutines at
// once.
type Table[T any] struct {
	limits      Limits
	confirmIdle func(T) bool // whether no unread request has arrived (New)
	idleOwners  []*Owner[T]  // owners with idle connections
	busy        int          // number of connections with an open or arriving request
	idle        int          // number of connections without any request
	connections map[*Conn[T]]struct{}

	reservedBytes int64      // of all connections
	arriving      *list.List // connections (*Conn[T]) that MarkArriving has marked, in that order
	answered      *list.List // connections (*Conn[T]) that MarkAnswered has marked, in that order
}

// New returns an empty table, or an error if the limits are invalid. confirmIdle is called before a connection
// without an open request is evicted or expires. If it returns false, a request has arrived that was not read
// yet, and the connection counts as busy from then on. A nil confirmIdle always confirms.
func New[T any](l Limits, confirmIdle func(T) bool) (*Table[T], error) {
	if err := l.Validate(); err != nil {
		return nil, fmt.Errorf("conns: %w", err)
	}
	if confirmIdle == nil {
		confirmIdle = func(T) bool { return true }
	}
	return &Table[T]{limits: l, confirmIdle: confirmIdle, connections: map[*Conn[T]]struct{}{},
		arriving: list.New(), answered: list.New()}, nil
}

// NewOwner returns a new owner with at most maxConnections connections and maxBytes reserved bytes; 0 bytes
// means no limit. If an idle connection must be evicted, it is taken from the owner with the most idle
// connections divided by weight.
func (t *Table[T]) NewOwner(weight float64, maxConnections int, maxBytes int64) *Owner[T] {
	return &Owner[T]{weight: weight, maxConnections: maxConnections, maxBytes: maxBytes, idle: list.New()}
}

// UpdateOwner sets the weight and the limits of an owner. Its connections stay open even if they exceed the new
// limits.
func (t *Table[T]) UpdateOwner(o *Owner[T], weight float64, maxConnections int, maxBytes int64) {
	o.weight = weight
	o.maxConnections = maxConnections
	o.maxBytes = maxBytes
}

// Counts returns the number of connections in the table, and the number of those with an open request.
func (t *Table[T]) Counts() (total, busy int) { return t.busy + t.idle, t.busy - t.arriving.Len() }

// Add decides whether a new connection of an owner is kept, and which other connection is closed in its place.
// If the limit of its owner is reached, a connection of that owner without an open request is evicted; if a limit of
// the table is reached, one of any owner. If no connection can be evicted, the new one is not kept, unless only the
// limit on idle connections is reached. A new connection is idle until its first request begins to arrive.
//
// Add returns the connection, or nil if it is not kept, and the evicted connection, or nil. The caller must
// close the evicted connection.
func (t *Table[T]) Add(now monotime.Micros, o *Owner[T], value T) (c, evicted *Conn[T]) {
	switch {
	case o.busy+o.idle.Len() >= o.maxConnections:
		evicted = t.evictableOf(o)
		if evicted == nil {
			return nil, nil
		}
	case t.busy+t.idle >= t.limits.MaxConnections:
		evicted = t.Evictable()
		if evicted == nil {
			return nil, nil
		}
	case t.idle >= t.limits.MaxIdle:
		evicted = t.idleToEvict()
	}
	if evicted != nil {
		t.Remove(evicted)
	}
	c = &Conn[T]{Value: value, owner: o}
	t.connections[c] = struct{}{}
	t.addIdle(now, c)
	return c, evicted
}

// MarkBusy records that a request is open on a connection. It returns false if the connection has been removed;
// the request must not be handled then.
func (t *Table[T]) MarkBusy(c *Conn[T]) bool {
	if c.removed {
		return false
	}
	t.leaveIdle(c)
	t.removeArriving(c)
	t.removeAnswered(c)
	return true
}

// leaveIdle counts a connection as busy if it was idle.
func (t *Table[T]) leaveIdle(c *Conn[T]) {
	if c.idleElement != nil {
		t.removeIdle(c)
		c.owner.busy++
		t.busy++
	}
}

// MarkArriving records that a request has begun to arrive on a connection. The connection is not idle any more, so that
// slow or incomplete requests evict no connection that is, but may be evicted itself until the request is open.
func (t *Table[T]) MarkArriving(c *Conn[T]) {
	if c.removed || c.arrivingElement != nil {
		return
	}
	t.leaveIdle(c)
	c.arrivingElement = t.arriving.PushBack(c)
}

// removeArriving removes a connection from those on which a request arrives, if it is among them.
func (t *Table[T]) removeArriving(c *Conn[T]) {
	if c.arrivingElement != nil {
		t.arriving.Remove(c.arrivingElement)
		c.arrivingElement = nil
	}
}

// MarkAnswered records that the last response on a connection without an open request has been written, so that it is
// evicted before all others: its client has its response, and a connection on which a request may be about to arrive is
// kept instead.
func (t *Table[T]) MarkAnswered(c *Conn[T]) {
	hasOpenRequest := c.idleElement == nil && c.arrivingElement == nil
	if !c.removed && !hasOpenRequest && c.answeredElement == nil {
		c.answeredElement = t.answered.PushBack(c)
	}
}

// removeAnswered removes a connection from those that MarkAnswered has marked, if it is among them.
func (t *Table[T]) removeAnswered(c *Conn[T]) {
	if c.answeredElement != nil {
		t.answered.Remove(c.answeredElement)
		c.answeredElement = nil
	}
}

// MarkIdle records that the request on a connection has its response, and releases the reserved bytes of the
// connection. If Limits.MaxIdle connections are already idle, it evicts one of them and returns it: the caller
// must close it. Otherwise it returns nil.
func (t *Table[T]) MarkIdle(now monotime.Micros, c *Conn[T]) (evicted *Conn[T]) {
	t.removeArriving(c)
	c.owner.busy--
	t.busy--
	t.releaseBytes(c)
	if t.idle >= t.limits.MaxIdle {
		evicted = t.idleToEvict()
		if evicted != nil {
			t.Remove(evicted)
		}
	}
	t.addIdle(now, c)
	return evicted
}

// ReserveBytes reserves n more bytes for a connection until it becomes idle or is removed. If that exceeds the
// limit of its owner or Limits.MaxReservedBytes, it reserves nothing and returns false, unless force is set: a
// response that has arrived must be kept in memory.
func (t *Table[T]) ReserveBytes(c *Conn[T], n int64, force bool) bool {
	if c.removed || !force && t.exceedsBytes(c.owner, n) {
		return false
	}
	c.reservedBytes += n
	c.owner.reservedBytes += n
	t.reservedBytes += n
	return true
}

// exceedsBytes reports whether n more bytes of an owner exceed a limit. Where nothing is reserved, only the limit of
// the owner counts: bytes of other owners must not keep it from requests without a body.
func (t *Table[T]) exceedsBytes(o *Owner[T], n int64) bool {
	return o.maxBytes > 0 && o.reservedBytes+n > o.maxBytes ||
		n > 0 && t.limits.MaxReservedBytes > 0 && t.reservedBytes+n > t.limits.MaxReservedBytes
}

// ReleaseBytes releases the bytes that are reserved for a connection, because they are no longer in memory.
func (t *Table[T]) ReleaseBytes(c *Conn[T]) {
	if !c.removed {
		t.releaseBytes(c)
	}
}

// releaseBytes releases all bytes that are reserved for a connection.
func (t *Table[T]) releaseBytes(c *Conn[T]) {
	c.owner.reservedBytes -= c.reservedBytes
	t.reservedBytes -= c.reservedBytes
	c.reservedBytes = 0
}

// Remove removes a connection from the table. It does nothing if the connection was already removed.
func (t *Table[T]) Remove(c *Conn[T]) {
	if c.removed {
		return
	}
	c.removed = true
	t.removeAnswered(c)
	t.removeArriving(c)
	delete(t.connections, c)
	t.releaseBytes(c)
	if c.idleElement != nil {
		t.removeIdle(c)
	} else {
		c.owner.busy--
		t.busy--
	}
}

// Each calls f for every connection, in no particular order.
func (t *Table[T]) Each(f func(*Conn[T])) {
	for c := range t.connections {
		f(c)
	}
}

// EachIdle calls f for every connection without an open request, the longest idle connection of each owner
// first. f may remove the connection.
func (t *Table[T]) EachIdle(f func(*Conn[T])) {
	for _, o := range slices.Clone(t.idleOwners) {
		for element := o.idle.Front(); element != nil; {
			c := element.Value.(*Conn[T])
			element = element.Next()
			f(c)
		}
	}
}
