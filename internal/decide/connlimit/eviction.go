package connlimit

import "dunlinsail/internal/monotime"

// Evictable returns the idle connection to evict first, nil if each has an open request: of the owner with the
// most idle connections for its weight, the one that was idle longest.
func (t *Table[T]) Evictable() *Conn[T] {
	for {
		candidate := t.evictionCandidate()
		if candidate == nil || t.confirmIdle(candidate.Value) {
			return candidate
		}
		t.MarkBusy(candidate)
	}
}

// evictableOf returns an owner's connection that was idle longest, nil if each has an open request.
func (t *Table[T]) evictableOf(o *Owner[T]) *Conn[T] {
	for {
		candidate := t.longestIdle(o)
		if candidate == nil || t.confirmIdle(candidate.Value) {
			return candidate
		}
		t.MarkBusy(candidate)
	}
}

// evictionCandidate returns what Evictable does, not confirmed.
func (t *Table[T]) evictionCandidate() *Conn[T] {
	var best *Conn[T]
	var maxIdleRatio float64
	for _, o := range t.idleOwners {
		c := t.longestIdle(o)
		ratio := float64(o.idle.Len()) / o.weight
		if best == nil || ratio > maxIdleRatio || ratio == maxIdleRatio && c.idleSince < best.idleSince {
			best = c
			maxIdleRatio = ratio
		}
	}
	return best
}

// RemoveExpired removes and returns a connection that was idle for too long. If there is none it returns nil and the
// instant at which the next one expires unless something happens before; 0 while none is idle.
func (t *Table[T]) RemoveExpired(now monotime.Micros) (expired *Conn[T], next monotime.Micros) {
	for {
		oldest := t.oldestIdle()
		if oldest == nil {
			return nil, 0
		}
		if timeout := t.idleTimeout(); oldest.idleSince+timeout > now {
			return nil, oldest.idleSince + timeout
		}
		if t.confirmIdle(oldest.Value) {
			t.Remove(oldest)
			return oldest, 0
		}
		t.MarkBusy(oldest)
	}
}

// oldestIdle returns the connection of any owner that was idle longest, nil if there is none.
func (t *Table[T]) oldestIdle() *Conn[T] {
	var oldest *Conn[T]
	for _, o := range t.idleOwners {
		if c := t.longestIdle(o); oldest == nil || c.idleSince < oldest.idleSince {
			oldest = c
		}
	}
	return oldest
}

// idleTimeout is how long a connection may be idle at present.
func (t *Table[T]) idleTimeout() monotime.Micros {
	free := 1 - float64(t.idle)/float64(t.limits.MaxIdle)
	return t.limits.MinIdleTime + monotime.Micros(free*float64(t.limits.MaxIdleTime-t.limits.MinIdleTime))
}

// longestIdle returns an owner's connection that was idle longest, nil if there is none.
func (t *Table[T]) longestIdle(o *Owner[T]) *Conn[T] {
	if first := o.idle.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	return nil
}

// addIdle adds a connection to the idle ones.
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

// removeIdle removes a connection from the idle ones.
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
