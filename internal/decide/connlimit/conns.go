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
	Total  int // connections in all
	AtRest int // those without an open request

	// A connection may rest for IdleMost while no other rests, and for IdleLeast when AtRest are resting; in
	// between the time falls evenly.
	IdleMost, IdleLeast monotime.Micros
}

// Validate says which bound makes no sense.
func (l Limits) Validate() error {
	switch {
	case l.Total < 1:
		return fmt.Errorf("total %d: must be positive", l.Total)
	case l.AtRest < 1 || l.AtRest > l.Total:
		return fmt.Errorf("at rest %d: must be in 1..%d, the total", l.AtRest, l.Total)
	case l.IdleMost < 1 || l.IdleLeast < 0 || l.IdleLeast > l.IdleMost:
		return fmt.Errorf("idle %d..%d: must be a range that ends above 0", l.IdleLeast, l.IdleMost)
	}
	return nil
}

// Owner is whose connections are counted together.
type Owner[T any] struct {
	weight  float64
	most    int
	bytes   int64 // that its requests and answers may hold; 0 is no bound
	held    int64
	busy    int
	resting *list.List // of *Conn[T], the one that has rested for longest first
	place   int        // in Table.owners while any rests
}

// Conns returns how many connections o has, and how many of them have an open request.
func (o *Owner[T]) Conns() (all, busy int) { return o.busy + o.resting.Len(), o.busy }

// Held returns how many bytes are held for o.
func (o *Owner[T]) Held() int64 { return o.held }

// Conn is a connection in a Table.
type Conn[T any] struct {
	Value T // the host's

	owner *Owner[T]
	held  int64
	since monotime.Micros // at rest since
	place *list.Element   // in owner.resting; nil while a request is open
	gone  bool            // the table holds it no more
}

// Table holds the connections of a server. Make one with New.
type Table[T any] struct {
	limits Limits
	rests  func(T) bool
	owners []*Owner[T] // those with connections at rest
	busy   int
	rest   int
	all    map[*Conn[T]]struct{}
}

// New returns an empty table, or the error of limits that make no sense. rests is asked before a connection without an
// open request is closed: if it says no, something has come that has not been looked at, and the connection counts as one
// with an open request from then on. nil is always yes.
func New[T any](l Limits, rests func(T) bool) (*Table[T], error) {
	if err := l.Validate(); err != nil {
		return nil, fmt.Errorf("conns: %w", err)
	}
	if rests == nil {
		rests = func(T) bool { return true }
	}
	return &Table[T]{limits: l, rests: rests, all: map[*Conn[T]]struct{}{}}, nil
}

// Owner returns a new owner of at most so many connections, and of so many bytes held; 0 bytes is no bound. Where
// connections at rest must make room, the owner with the most of them for its weight gives way.
func (t *Table[T]) Owner(weight float64, most int, bytes int64) *Owner[T] {
	return &Owner[T]{weight: weight, most: most, bytes: bytes, resting: list.New()}
}

// Change gives an owner another weight and bounds. What it has stays.
func (t *Table[T]) Change(o *Owner[T], weight float64, most int, bytes int64) {
	o.weight, o.most, o.bytes = weight, most, bytes
}

// Len returns how many connections the table holds, and how many of them have an open request.
func (t *Table[T]) Len() (all, busy int) { return t.busy + t.rest, t.busy }

// Open takes in a new connection of o, which rests until its first request is whole. It returns the connection
// that is to be closed to make room, if any. Where none can make room the new one is not taken in: it is nil.
func (t *Table[T]) Open(now monotime.Micros, o *Owner[T], value T) (c, closed *Conn[T]) {
	switch {
	case o.busy+o.resting.Len() >= o.most:
		for closed = t.oldest(o); closed != nil && !t.rests(closed.Value); closed = t.oldest(o) {
			t.Take(closed)
		}
		if closed == nil {
			return nil, nil
		}
	case t.busy+t.rest >= t.limits.Total || t.rest >= t.limits.AtRest:
		// Only one at rest can make room. If there is none, all are waiting for their answers.
		closed = t.Spare()
		if closed == nil && t.busy+t.rest >= t.limits.Total {
			return nil, nil
		}
	}
	if closed != nil {
		t.Close(closed)
	}
	c = &Conn[T]{Value: value, owner: o}
	t.all[c] = struct{}{}
	t.lay(now, c)
	return c, closed
}

// Take notes that a request is open on c, unless c has been closed meanwhile: then it says no, and the request
// has not been taken.
func (t *Table[T]) Take(c *Conn[T]) bool {
	if c.gone {
		return false
	}
	if c.place != nil { // else it was seen to come before
		t.lift(c)
		c.owner.busy++
		t.busy++
	}
	return true
}

// Hold notes that n bytes more are held for c, until it rests or is closed. If that is beyond what its owner may
// hold it says no and notes nothing, unless they must be held all the same, as an answer that has come.
func (t *Table[T]) Hold(c *Conn[T], n int64, must bool) bool {
	o := c.owner
	if c.gone || !must && o.bytes > 0 && o.held+n > o.bytes {
		return false
	}
	c.held += n
	o.held += n
	return true
}

// release notes that nothing is held for c any more.
func (t *Table[T]) release(c *Conn[T]) {
	c.owner.held -= c.held
	c.held = 0
}

// Rest notes that the request on c has its answer. It returns the connection that is to be closed for that, if
// too many rest now.
func (t *Table[T]) Rest(now monotime.Micros, c *Conn[T]) (closed *Conn[T]) {
	c.owner.busy--
	t.busy--
	t.release(c)
	if t.rest >= t.limits.AtRest {
		if closed = t.Spare(); closed != nil {
			t.Close(closed)
		}
	}
	t.lay(now, c)
	return closed
}

// Close forgets a connection. It may be called again.
func (t *Table[T]) Close(c *Conn[T]) {
	if c.gone {
		return
	}
	c.gone = true
	delete(t.all, c)
	t.release(c)
	if c.place != nil {
		t.lift(c)
	} else {
		c.owner.busy--
		t.busy--
	}
}

// Each calls f for each connection, in no order.
func (t *Table[T]) Each(f func(*Conn[T])) {
	for c := range t.all {
		f(c)
	}
}

// Resting calls f for each connection without an open request, the longest at rest of each owner first.
func (t *Table[T]) Resting(f func(*Conn[T])) {
	for _, o := range slices.Clone(t.owners) {
		for at := o.resting.Front(); at != nil; {
			c := at.Value.(*Conn[T])
			at = at.Next()
			f(c)
		}
	}
}

// Spare returns the connection that can best be done without, nil if each has an open request: of the owner
// with the most at rest for its weight, the one that has rested for longest.
func (t *Table[T]) Spare() *Conn[T] {
	for {
		best := t.best()
		if best == nil || t.rests(best.Value) {
			return best
		}
		t.Take(best)
	}
}

func (t *Table[T]) best() *Conn[T] {
	var best *Conn[T]
	var most float64
	for _, o := range t.owners {
		c, n := t.oldest(o), float64(o.resting.Len())/o.weight
		if best == nil || n > most || n == most && c.since < best.since {
			best, most = c, n
		}
	}
	return best
}

// Expired returns a connection that has rested for too long and forgets it, or nil and the instant at which
// the next one will have, if nothing happens until then; that is 0 while none rests.
func (t *Table[T]) Expired(now monotime.Micros) (closed *Conn[T], next monotime.Micros) {
	for {
		closed = nil
		for _, o := range t.owners {
			if c := t.oldest(o); closed == nil || c.since < closed.since {
				closed = c
			}
		}
		if closed == nil {
			return nil, 0
		}
		if idle := t.idle(); closed.since+idle > now {
			return nil, closed.since + idle
		}
		if t.rests(closed.Value) {
			t.Close(closed)
			return closed, 0
		}
		t.Take(closed)
	}
}

// idle is how long a connection may rest at present.
func (t *Table[T]) idle() monotime.Micros {
	free := 1 - float64(t.rest)/float64(t.limits.AtRest)
	return t.limits.IdleLeast + monotime.Micros(free*float64(t.limits.IdleMost-t.limits.IdleLeast))
}

func (t *Table[T]) oldest(o *Owner[T]) *Conn[T] {
	if first := o.resting.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	return nil
}

// lay puts c among those at rest.
func (t *Table[T]) lay(now monotime.Micros, c *Conn[T]) {
	c.since = now
	o := c.owner
	if o.resting.Len() == 0 {
		o.place = len(t.owners)
		t.owners = append(t.owners, o)
	}
	c.place = o.resting.PushBack(c)
	t.rest++
}

// lift takes c from among those at rest.
func (t *Table[T]) lift(c *Conn[T]) {
	o := c.owner
	o.resting.Remove(c.place)
	c.place = nil
	t.rest--
	if o.resting.Len() == 0 {
		last := len(t.owners) - 1
		t.owners[o.place] = t.owners[last]
		t.owners[o.place].place = o.place
		t.owners[last] = nil
		t.owners = t.owners[:last]
	}
}
