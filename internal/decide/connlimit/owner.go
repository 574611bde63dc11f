package connlimit

import (
	"container/list"

	"dunlinsail/internal/monotime"
)

// Owner is a client whose connections are counted together. Create it with Table.NewOwner.
type Owner[T any] struct {
	weight         float64    // share of Limits.MaxIdle, relative to other owners
	maxConnections int        // greatest number of connections, idle or busy
	maxBytes       int64      // greatest size of its requests and responses in memory; 0 means no limit
	reservedBytes  int64      // bytes reserved for all its connections
	busy           int        // connections with an open request
	idle           *list.List // idle connections (*Conn[T]), the longest idle first
	index          int        // index in Table.idleOwners while it has idle connections
}

// Connections returns the number of connections of the owner, and the number of those with an open request.
func (o *Owner[T]) Connections() (total, busy int) { return o.busy + o.idle.Len(), o.busy }

// ReservedBytes returns the number of bytes that are reserved for the owner.
func (o *Owner[T]) ReservedBytes() int64 { return o.reservedBytes }

// Conn is a connection in a Table.
type Conn[T any] struct {
	Value T // for the caller's use

	owner         *Owner[T]
	reservedBytes int64
	idleSince     monotime.Micros
	idleElement   *list.Element // element of owner.idle; nil while a request is open
	removed       bool          // the connection was removed from the table

	arrivingElement *list.Element // element of Table.arriving; nil unless a request is arriving
	answeredElement *list.Element // element of Table.answered; nil unless MarkAnswered was called
}

// IdleTime returns how long an idle connection, or a connection that was removed while idle, has been idle.
func (c *Conn[T]) IdleTime(now monotime.Micros) monotime.Micros { return now - c.idleSince }
