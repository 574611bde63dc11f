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
)

// connManager accepts clients' connections and limits their number. http.Server is not used: it does not expose
// what has arrived on a connection behind a request, nor which connection can be closed without losing a request.
type connManager struct {
	clock clock.Clock
	serve func(*conn) // returns once the connection is to be closed
	log   *slog.Logger

	mu           sync.Mutex
	table        *connlimit.Table[*conn]
	expiryTimer  *time.Timer // closes connections that have been idle for too long
	closing      bool
	servingCount int             // connections that are being served
	drainWaiters []chan struct{} // those of waitDrained, closed once serving is 0

	closedByReason    [numCloseReasons]uint64 // connections closed between requests, by reason
	nextEarlyCloseLog monotime.Micros         // before that, no early close is logged
	maxIdleTime       monotime.Micros         // Limits.MaxIdleTime

	handoff      func(net.Conn) bool // hands an idle connection over (Server.SetHandoff); nil while none are
	handoffRound int                 // number of setHandoff calls that started handing over
}

// newConnManager returns a manager that calls serve in a goroutine for each connection. It fails if limits are invalid.
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

// add serves a connection in a goroutine of its own, or closes it if identify or the limits reject it.
func (m *connManager) add(netConn net.Conn, identify Identify) {
	client, onClose, err := identify(netConn)
	if err != nil {
		m.log.Warn("connection rejected", "from", netConn.RemoteAddr().String(), "error", err)
		netConn.Close()
		return
	}
	if onClose == nil {
		onClose = func() {}
	}
	c := &conn{Conn: netConn, client: client, input: newPeekableConn(netConn)}
	c.readLimit.R = c.input
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, evicted := m.table.Add(m.clock.Now(), client.connOwner, c)
	m.closeWithReasonLocked(evicted, closedEvicted)
	if entry == nil {
		m.closedByReason[closedRejected]++
		netConn.Close() // no other can be evicted: all have open requests
		onClose()
		return
	}
	c.entry = entry
	m.closeExpiredLocked()
	m.servingCount++
	go func() {
		m.serve(c)
		c.releaseBuffer()
		onClose()
		m.remove(c)
	}()
}

// remove closes a connection that is not served any more.
func (m *connManager) remove(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeLocked(c.entry)
	m.servingCount--
	if m.servingCount == 0 {
		for _, drained := range m.drainWaiters {
			close(drained)
		}
		m.drainWaiters = nil
	}
}

// waitDrained returns nil once no connection is served, or the error of ctx once that ends.
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

// closeLocked closes a connection and removes it from the table; nil is none.
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

// closeExpiredLocked is closeExpired, and sets the timer for the next connection that expires.
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

// markBusy notes that a connection has an open request. It reports false if the connection has been closed meanwhile.
func (m *connManager) markBusy(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.requestStarted = false
	return m.table.MarkBusy(c.entry)
}

// reserveBytes counts n more buffered bytes for a connection, and reports whether its client's limit allows them. With
// force they are counted whatever the limit.
func (m *connManager) reserveBytes(c *conn, n int64, force bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.ReserveBytes(c.entry, n, force)
}

// finishRequest notes that a request has its response, and reports whether the connection may stay open. While the
// manager is closing it may only for a next request that has started to arrive.
func (m *connManager) finishRequest(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.input.setUnexamined(c.hasBuffered())
	m.closeWithReasonLocked(m.table.MarkIdle(m.clock.Now(), c.entry), closedEvicted)
	m.closeExpiredLocked()
	return !m.closing || !c.input.isDrained()
}

// closeAll closes all connections, including those with open requests.
func (m *connManager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	m.table.Each(func(entry *connlimit.Conn[*conn]) { entry.Value.Close() })
}

// quiesce closes the connections without an open request. Those with one, or of which a part has arrived, close after
// their responses.
func (m *connManager) quiesce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for entry := m.table.Evictable(); entry != nil; entry = m.table.Evictable() {
		m.closeWithReasonLocked(entry, closedDraining)
	}
}

// closePartialRequests closes the connections on which only a part of a request has arrived, and returns how many.
func (m *connManager) closePartialRequests() (closed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Each(func(entry *connlimit.Conn[*conn]) {
		if c := entry.Value; c.requestStarted && c.input.isDrained() {
			m.closeWithReasonLocked(entry, closedIncomplete)
			closed++
		}
	})
	return closed
}

// isEvictable reports whether a connection can be closed without losing a request: no bytes on it are unexamined. One
// on which a part of a request has arrived may be evicted for others, but not merely because the manager is closing:
// its client, to which the connection was not idle, would not send the request again.
func (m *connManager) isEvictable(c *conn) bool {
	return c.input.isDrained() && !(m.closing && c.requestStarted)
}
