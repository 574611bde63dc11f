// Package connlimit decides which of its clients' connections a server keeps. It knows connections, who owns
// them and which of them have an open request; it knows nothing of sockets, and closes none itself: what it
// returns is for its host to close. It is a deterministic state machine for one caller at a time.
//
// Two bounds are kept apart. Connections with an open request are work in progress, and may take what the
// descriptors allow. Those without one are a convenience that is only worth having in small numbers: a client
// process may itself hold only so many descriptors, and where those are spent on connections that asked once
// and stayed, it can open none to ask anew. So the bound on connections at rest is far tighter, and the time
// for which one may rest shrinks as that bound is neared.
//
// A connection that seems to rest may have a request on its way through the host: come, and not yet taken. To close
// it would lose that request, so the host is asked first.
package connlimit

import (
	"container/list"
	"fmt"
	"slices"

	"dunlinsail/internal/monotime"
)

// Limits are the bounds of a Table. All must be positive but IdleLeast.
type Limits struct {
	MaxConnections int // connections in all
	MaxIdle        int // those without an open request

	// A connection may rest for IdleMost while no other rests, and for IdleLeast when AtRest are resting; in
	// between the time falls evenly.
	MaxIdleTime, MinIdleTime monotime.Micros
}

// Validate says which bound makes no sense.
func (l Limits) Validate() error {
	switch {
	case l.MaxConnections < 1:
		return fmt.Errorf("total %d: must be positive", l.MaxConnections)
	case l.MaxIdle < 1 || l.MaxIdle > l.MaxConnections:
		return fmt.Errorf("at rest %d: must be in 1..%d, the total", l.MaxIdle, l.MaxConnections)
	case l.MaxIdleTime < 1 || l.MinIdleTime < 0 || l.MinIdleTime > l.MaxIdleTime:
		return fmt.Errorf("idle %d..%d: must be a range that ends above 0", l.MinIdleTime, l.MaxIdleTime)
	}
	return nil
}

// Owner is whose connections are counted together.
type Owner[T any] struct {
	weight         float64
	maxConnections int
	maxBytes       int64 // that its requests and answers may hold; 0 is no bound
	reservedBytes  int64
	busy           int
	idle           *list.List // of *Conn[T], the one that has rested for longest first
	index          int        // in Table.owners while any rests
}

// Conns returns how many connections o has, and how many of them have an open request.
func (o *Owner[T]) Connections() (all, busy int) { return o.busy + o.idle.Len(), o.busy }

// Held returns how many bytes are held for o.
func (o *Owner[T]) ReservedBytes() int64 { return o.reservedBytes }

// Conn is a connection in a Table.
type Conn[T any] struct {
	Value T // the host's

	owner         *Owner[T]
	reservedBytes int64
	idleSince     monotime.Micros // at rest since
	idleElement   *list.Element   // in owner.resting; nil while a request is open
	removed       bool            // the table holds it no more
}

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

// Spare returns the connection that can best be done without, nil if each has an open request: of the owner
// with the most at rest for its weight, the one that has rested for longest.
func (t *Table[T]) Evictable() *Conn[T] {
	for {
		best := t.evictionCandidate()
		if best == nil || t.confirmIdle(best.Value) {
			return best
		}
		t.MarkBusy(best)
	}
}

func (t *Table[T]) evictionCandidate() *Conn[T] {
	var best *Conn[T]
	var maxIdleRatio float64
	for _, o := range t.idleOwners {
		c, n := t.longestIdle(o), float64(o.idle.Len())/o.weight
		if best == nil || n > maxIdleRatio || n == maxIdleRatio && c.idleSince < best.idleSince {
			best, maxIdleRatio = c, n
		}
	}
	return best
}

// Expired returns a connection that has rested for too long and forgets it, or nil and the instant at which
// the next one will have, if nothing happens until then; that is 0 while none rests.
func (t *Table[T]) RemoveExpired(now monotime.Micros) (expired *Conn[T], next monotime.Micros) {
	for {
		expired = nil
		for _, o := range t.idleOwners {
			if c := t.longestIdle(o); expired == nil || c.idleSince < expired.idleSince {
				expired = c
			}
		}
		if expired == nil {
			return nil, 0
		}
		if idle := t.idleTimeout(); expired.idleSince+idle > now {
			return nil, expired.idleSince + idle
		}
		if t.confirmIdle(expired.Value) {
			t.Remove(expired)
			return expired, 0
		}
		t.MarkBusy(expired)
	}
}

// idle is how long a connection may rest at present.
func (t *Table[T]) idleTimeout() monotime.Micros {
	free := 1 - float64(t.idle)/float64(t.limits.MaxIdle)
	return t.limits.MinIdleTime + monotime.Micros(free*float64(t.limits.MaxIdleTime-t.limits.MinIdleTime))
}

func (t *Table[T]) longestIdle(o *Owner[T]) *Conn[T] {
	if first := o.idle.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	return nil
}

// lay puts c among those at rest.
func (t *Table[T]) addIdle(now monotime.Micros, c *Conn[T]) {
	c.idleSince = now
	o := c.owner
	if o.idle.Len() == 0 {
		o.index = len(t.idleOwners)
		t.idleOwners = append(t.idleOwners, o)
	}
	c.idleElement = o.idle.PushBack(c)
	t.idle++
}

// lift takes c from among those at rest.
func (t *Table[T]) removeIdle(c *Conn[T]) {
	o := c.owner
	o.idle.Remove(c.idleElement)
	c.idleElement = nil
	t.idle--
	if o.idle.Len() == 0 {
		last := len(t.idleOwners) - 1
		t.idleOwners[o.index] = t.idleOwners[last]
		t.idleOwners[o.index].index = o.index
		t.idleOwners[last] = nil
		t.idleOwners = t.idleOwners[:last]
	}
}
