package connlimit

import (
	"container/list"

	"dunlinsail/internal/monotime"
)

// Evictable returns the connection to evict first: one that MarkAnswered has marked, else the result of NextIdle, else
// the one on which a request has been arriving for longest. It returns nil if all connections have an open request.
func (t *Table[T]) Evictable() *Conn[T] {
	if first := t.answered.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	if idle := t.NextIdle(); idle != nil {
		return idle
	}
	return t.firstOf(t.arriving, nil)
}

// idleToEvict returns the idle connection to evict first: one that MarkAnswered has marked, or else the result of
// NextIdle.
func (t *Table[T]) idleToEvict() *Conn[T] {
	for element := t.answered.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*Conn[T]); c.idleElement != nil {
			return c
		}
	}
	return t.NextIdle()
}

// EvictExcessIdle removes and returns an idle connection if more than Limits.MaxIdle are idle, or returns nil. That may
// be so after Add has evicted a connection that was not idle. The caller must close the connection.
func (t *Table[T]) EvictExcessIdle() *Conn[T] {
	if t.idle <= t.limits.MaxIdle {
		return nil
	}
	evicted := t.idleToEvict()
	if evicted != nil {
		t.Remove(evicted)
	}
	return evicted
}

// firstOf returns the first connection of a list that belongs to an owner, or to any if owner is nil, and that may be
// closed without losing a request. It returns nil if there is none.
func (t *Table[T]) firstOf(conns *list.List, owner *Owner[T]) *Conn[T] {
	for element := conns.Front(); element != nil; element = element.Next() {
		c := element.Value.(*Conn[T])
		if (owner == nil || c.owner == owner) && t.confirmIdle(c.Value) {
			return c
		}
	}
	return nil
}

// NextIdle returns the idle connection to close first (evictionCandidate), after the caller has confirmed that it is
// idle. It returns nil if no connection is idle.
func (t *Table[T]) NextIdle() *Conn[T] {
	for {
		candidate := t.evictionCandidate()
		if candidate == nil || t.confirmIdle(candidate.Value) {
			return candidate
		}
		t.MarkBusy(candidate)
	}
}

// evictableOf returns the connection of an owner to evict first, in the order of Evictable, or nil if all its
// connections have an open request.
func (t *Table[T]) evictableOf(o *Owner[T]) *Conn[T] {
	for element := t.answered.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*Conn[T]); c.owner == o {
			return c
		}
	}
	for candidate := t.longestIdle(o); candidate != nil; candidate = t.longestIdle(o) {
		if t.confirmIdle(candidate.Value) {
			return candidate
		}
		t.MarkBusy(candidate)
	}
	return t.firstOf(t.arriving, o)
}

// evictionCandidate returns the connection to evict first, which the caller has yet to confirm to be idle: the
// longest idle connection of the owner with the most idle connections divided by its weight. Among several such
// owners, the connection that has been idle longest is returned; nil if no connection is idle.
func (t *Table[T]) evictionCandidate() *Conn[T] {
	var evictFirst *Conn[T]
	var maxIdleRatio float64
	for _, o := range t.idleOwners {
		c := t.longestIdle(o)
		ratio := float64(o.idle.Len()) / o.weight
		if evictFirst == nil || ratio > maxIdleRatio || ratio == maxIdleRatio && c.idleSince < evictFirst.idleSince {
			evictFirst = c
			maxIdleRatio = ratio
		}
	}
	return evictFirst
}

// RemoveExpired removes and returns a connection that has been idle for its idleTimeout. If there is no such
// connection, it returns nil and the instant at which the next connection expires unless the numbers of idle
// connections change before; 0 if no connection is idle.
func (t *Table[T]) RemoveExpired(now monotime.Micros) (expired *Conn[T], nextExpiry monotime.Micros) {
	for {
		c, expiresAt := t.firstToExpire()
		if c == nil {
			return nil, 0
		}
		if expiresAt > now {
			return nil, expiresAt
		}
		if t.confirmIdle(c.Value) {
			t.Remove(c)
			return c, 0
		}
		t.MarkBusy(c)
	}
}

// firstToExpire returns the connection that expires first and the instant at which it expires; nil if no
// connection is idle.
func (t *Table[T]) firstToExpire() (first *Conn[T], expiresAt monotime.Micros) {
	var weights float64 // sum of the weights of all owners with idle connections
	for _, o := range t.idleOwners {
		weights += o.weight
	}
	for _, o := range t.idleOwners {
		c := t.longestIdle(o)
		if connExpiresAt := c.idleSince + t.idleTimeout(o, weights); first == nil || connExpiresAt < expiresAt {
			first = c
			expiresAt = connExpiresAt
		}
	}
	return first, expiresAt
}

// idleTimeout returns how long a connection of an owner may currently be idle. weights is the sum of the
// weights of all owners with idle connections. The idle timeout is the longer of two: one follows the idle
// connections of all owners relative to Limits.MaxIdle, the other one the idle connections of this owner
// relative to its share of MaxIdle. Many idle connections of one owner therefore do not shorten the idle time
// of another owner within its share.
func (t *Table[T]) idleTimeout(o *Owner[T], weights float64) monotime.Micros {
	maxIdle := float64(t.limits.MaxIdle)
	usedFraction := float64(t.idle) / maxIdle
	usedShareFraction := float64(o.idle.Len()) / (maxIdle * o.weight / weights)
	freeFraction := 1 - min(usedFraction, usedShareFraction)
	return t.limits.MinIdleTime + monotime.Micros(freeFraction*float64(t.limits.MaxIdleTime-t.limits.MinIdleTime))
}

// longestIdle returns the longest idle connection of an owner; nil if none of its connections is idle.
func (t *Table[T]) longestIdle(o *Owner[T]) *Conn[T] {
	if first := o.idle.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	return nil
}

// addIdle adds a connection to the idle connections of its owner, as the one that became idle last.
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

// removeIdle removes a connection from the idle connections of its owner.
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
