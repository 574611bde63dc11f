package http1

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/timesharing"
)

// connManager accepts clients' connections and limits their number. http.Server is not used because it exposes
// neither the bytes that have arrived after a request nor which connections can be closed without losing a
// request.
type connManager struct {
	clock clock.Clock
	serve func(*conn) // serves a connection, and returns when it is to be closed
	log   *slog.Logger

	processors *timesharing.Processors

	mu           sync.Mutex
	table        *connlimit.Table[*conn]
	expiryTimer  *time.Timer // closes connections that have been idle for too long
	closing      bool
	servingCount int             // number of connections that are being served
	drainWaiters []chan struct{} // channels of waitDrained calls, closed when servingCount reaches 0

	closedByReason    [numCloseReasons]uint64 // number of connections closed between requests, by reason
	nextEarlyCloseLog monotime.Micros         // time before which no early close is logged
	maxIdleTime       monotime.Micros         // Limits.MaxIdleTime

	handoff      func(net.Conn) bool // hands over one idle connection (SetHandoff); nil while handing over is off
	handoffRound int                 // number of setHandoff calls so far that turned handing over on
}

// newConnManager returns a manager that calls serve for each connection, in a goroutine of its own. It returns an
// error if limits are invalid.
func newConnManager(
	limits connlimit.Limits, clk clock.Clock, serve func(*conn), log *slog.Logger,
) (*connManager, error) {
	m := &connManager{clock: clk, serve: serve, log: log, maxIdleTime: limits.MaxIdleTime}
	var err error
	if m.table, err = connlimit.New(limits, m.isEvictable); err != nil {
		return nil, err
	}
	m.expiryTimer = time.AfterFunc(time.Hour, m.closeExpired)
	return m, nil
}

// add starts a goroutine that serves a connection, or closes the connection if identify or the limits reject it.
func (m *connManager) add(netConn net.Conn, identify IdentifyFunc) {
	client, onClose, err := identify(netConn)
	if err != nil {
		m.log.Warn("connection rejected", "from", netConn.RemoteAddr().String(), "error", err)
		netConn.Close()
		return
	}
	if onClose == nil {
		onClose = func() {}
	}
	input := newPeekableConn(netConn, m.processors.NewTurn(client.Name))
	c := &conn{Conn: netConn, client: client, manager: m, input: input}
	c.readLimit.R = c.input
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, evicted := m.table.Add(m.clock.Now(), client.connOwner, c)
	m.closeWithReasonLocked(evicted, closedEvicted)
	m.closeWithReasonLocked(m.table.EvictExcessIdle(), closedEvicted)
	if entry == nil {
		m.closedByReason[closedRejected]++
		netConn.Close() // no other connection can be evicted for it: all have requests in flight
		onClose()
		return
	}
	c.tableEntry = entry
	m.closeExpiredLocked()
	m.servingCount++
	go func() {
		m.serve(c)
		c.releaseBuffer()
		onClose()
		m.remove(c)
	}()
}

// remove closes a connection and removes it from the table once serve has returned. The last connection wakes the
// waitDrained calls.
func (m *connManager) remove(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeLocked(c.tableEntry)
	m.servingCount--
	if m.servingCount == 0 {
		for _, drained := range m.drainWaiters {
			close(drained)
		}
		m.drainWaiters = nil
	}
}

// waitDrained waits until no connection is being served. It returns the error of ctx if ctx ends first.
func (m *connManager) waitDrained(ctx context.Context) error {
	m.mu.Lock()
	drained := make(chan struct{})
	if m.servingCount == 0 {
		close(drained)
	} else {
		m.drainWaiters = append(m.drainWaiters, drained)
	}
	m.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeLocked closes the connection of entry and removes it from the table. It does nothing if entry is nil.
func (m *connManager) closeLocked(entry *connlimit.Conn[*conn]) {
	if entry != nil {
		m.table.Remove(entry)
		entry.Value.Close()
	}
}

// closeExpired closes the connections that have been idle for too long.
func (m *connManager) closeExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeExpiredLocked()
}

// closeExpiredLocked closes the connections that have been idle for too long, and sets expiryTimer for the next
// connection that will expire. m.mu is held.
func (m *connManager) closeExpiredLocked() {
	now := m.clock.Now()
	for {
		entry, nextExpiry := m.table.RemoveExpired(now)
		if entry == nil {
			if nextExpiry > 0 {
				m.expiryTimer.Reset(clock.Duration(nextExpiry - now))
			}
			return
		}
		m.closeWithReasonLocked(entry, closedExpired)
	}
}

// markBusy marks a connection as having a request in flight. It returns false if the connection has already been
// closed.
func (m *connManager) markBusy(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.requestStarted = false
	return m.table.MarkBusy(c.tableEntry)
}

// reserveBytes reserves n more bytes of buffers for a connection, and reports whether the client's limit allows
// it. With force the bytes are reserved even beyond the limit.
func (m *connManager) reserveBytes(c *conn, byteCount int64, force bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.ReserveBytes(c.tableEntry, byteCount, force)
}

// markAnswered records that the last response on a connection has been written.
func (m *connManager) markAnswered(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MarkAnswered(c.tableEntry)
}

// releaseBytes releases the reserved bytes of a connection, whose buffers are no longer in use.
func (m *connManager) releaseBytes(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.ReleaseBytes(c.tableEntry)
}

// finishRequest marks a connection as idle after the response to its request, and reports whether it may stay open.
// While the manager is closing, a connection stays open only if the next request has started to arrive on it.
func (m *connManager) finishRequest(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.input.setUnexamined(c.hasBuffered())
	m.closeWithReasonLocked(m.table.MarkIdle(m.clock.Now(), c.tableEntry), closedEvicted)
	m.closeExpiredLocked()
	return !m.closing || !c.input.allBytesExamined()
}

// closeAll closes all connections, including those with a request in flight.
func (m *connManager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	m.table.Each(func(entry *connlimit.Conn[*conn]) { entry.Value.Close() })
}

// quiesce closes the idle connections. A connection with a request in flight, or on which a part of a request has
// arrived, is closed after its response.
func (m *connManager) quiesce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for entry := m.table.NextIdle(); entry != nil; entry = m.table.NextIdle() {
		m.closeWithReasonLocked(entry, closedDraining)
	}
}

// setUploading records whether the body of the request in flight on a connection is still arriving.
func (m *connManager) setUploading(c *conn, uploading bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.uploading = uploading
}

// closePartialRequests closes the connections on which only a part of a request has arrived, and returns their
// number. A request whose body is still arriving gets a final response first: reading its body fails.
func (m *connManager) closePartialRequests() (closed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Each(func(entry *connlimit.Conn[*conn]) {
		if entry.Value.uploading {
			entry.Value.SetReadDeadline(expiredDeadline)
		}
	})
	m.table.Each(func(entry *connlimit.Conn[*conn]) {
		if c := entry.Value; c.requestStarted && c.input.allBytesExamined() {
			m.closeWithReasonLocked(entry, closedIncomplete)
			closed++
		}
	})
	return closed
}

// isEvictable reports whether a connection can be closed without losing a request, because no unexamined bytes
// have arrived on it. A connection on which a part of a request has arrived may be evicted in favor of another
// connection, but not while the manager is closing: for its client the connection was not idle, so the client
// would not send the request again.
func (m *connManager) isEvictable(c *conn) bool {
	return c.input.allBytesExamined() && !(m.closing && c.requestStarted)
}
