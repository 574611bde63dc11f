// Package connlimit decides which of its clients' connections a server keeps open. It goes by connections,
// their owners and which of them have an open request; it must not import sockets, and closes none itself: the
// caller closes the connections that are returned as evicted or expired.
//
// There are two separate limits. Connections with an open request are work in progress, and may use as many
// descriptors as there are. Idle connections are a convenience that is worth having in small numbers only: a
// client process can open only so many descriptors itself, and if those are used by connections that were
// opened once and kept, it cannot open another to send a request. So the limit on idle connections is far
// lower, and the idle timeout shrinks as it is neared.
//
// A connection that seems idle may have a request on its way through the operating system: arrived, but not
// read. Closing it would lose that request, so the caller is asked to confirm first.
//
// A Table is a deterministic state machine for one goroutine at a time.
package connlimit

import (
	"container/list"
	"fmt"

	"dunlinsail/internal/monotime"
)

// Limits are the limits of a Table. All must be positive but MinIdleTime.
type Limits struct {
	MaxConnections int // in all
	MaxIdle        int // without an open request

	// A connection may be idle for MaxIdleTime if no other is, and for MinIdleTime if MaxIdle are; in between
	// the time falls linearly.
	MaxIdleTime monotime.Micros
	MinIdleTime monotime.Micros
}

// Validate returns the error of the first limit that is invalid.
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

// Owner is a client whose connections are counted together. Make one with Table.NewOwner.
type Owner[T any] struct {
	weight         float64
	maxConnections int
	maxBytes       int64 // of its requests and answers in memory; 0 is no limit
	reservedBytes  int64
	busy           int
	idle           *list.List // of *Conn[T], the one that was idle longest first
	index          int        // in Table.idleOwners while any is idle
}

// Connections returns how many connections the owner has, and how many of them have an open request.
func (o *Owner[T]) Connections() (all, busy int) { return o.busy + o.idle.Len(), o.busy }

// ReservedBytes returns how many bytes are reserved for the owner.
func (o *Owner[T]) ReservedBytes() int64 { return o.reservedBytes }

// Conn is a connection in a Table.
type Conn[T any] struct {
	Value T // the caller's

	owner         *Owner[T]
	reservedBytes int64
	idleSince     monotime.Micros
	idleElement   *list.Element // in owner.idle; nil while a request is open
	removed       bool          // from the table
}
