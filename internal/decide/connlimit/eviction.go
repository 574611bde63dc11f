package connlimit

import (
	"dunlinsail/internal/monotime"
)

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
