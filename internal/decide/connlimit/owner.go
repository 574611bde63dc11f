package connlimit

import (
	"container/list"

	"dunlinsail/internal/monotime"
)

// Owner is a client whose connections are counted together. Make one with Table.NewOwner.
type Owner[T any] struct {
	weight         float64 // of its idle connections (evictionCandidate)
	maxConnections int     // idle and busy ones together
	maxBytes       int64   // of its requests and responses in memory; 0 is no limit
	reservedBytes  int64
	busy           int        // connections with an open request
	idle           *list.List // of *Conn[T], the one that was idle longest first
	index          int        // in Table.idleOwners, while it has idle connections
}

// Connections returns how many connections the owner has, and how many of them have an open request.
func (o *Owner[T]) Connections() (all, busy int) { return o.busy + o.idle.Len(), o.busy }

// ReservedBytes returns how many bytes are reserved for the owner.
func (o *Owner[T]) ReservedBytes() int64 { return o.reservedBytes }

// Conn is a connection in a Table.
type Conn[T any] struct {
	Value T // for the caller's use

	owner         *Owner[T]
	reservedBytes int64
	idleSince     monotime.Micros
	idleElement   *list.Element // in owner.idle; nil while a request is open
	removed       bool          // from the table
}

// IdleTime returns how long a connection that is idle, or was removed while it was, has been idle.
func (c *Conn[T]) IdleTime(now monotime.Micros) monotime.Micros { return now - c.idleSince }
