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
