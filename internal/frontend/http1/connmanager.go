package http1

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/connlimit"
)

// connections accepts clients' connections and bounds their number. This package does that itself, not
// http.Server, since it must know what else waits on a connection behind a request, and which connection it can
// best do without.
type connManager struct {
	clock clock.Clock
	serve func(*conn) // until the connection is to be closed
	log   *slog.Logger

	mu          sync.Mutex
	table       *connlimit.Table[*conn]
	expiryTimer *time.Timer // looks for what has rested too long
	closing     bool
	serving     int             // connections that are being served
	drained     []chan struct{} // to be closed once there are none

	handoff  func(net.Conn) bool // takes connections at rest over; nil while none are handed over
	handoffs int                 // how often that has begun
}

func newConnManager(limits connlimit.Limits, clk clock.Clock, serve func(*conn), log *slog.Logger) (*connManager, error) {
	m := &connManager{clock: clk, serve: serve, log: log}
	var err error
	if m.table, err = connlimit.New(limits, m.isEvictable); err != nil {
		return nil, err
	}
	m.expiryTimer = time.AfterFunc(time.Hour, m.closeExpired)
	return m, nil
}

// add takes a connection in, if it may be.
func (m *connManager) add(netConn net.Conn, identify Identify) {
	client, onClose, err := identify(netConn)
	if err != nil {
		m.log.Warn("connection turned away", "from", netConn.RemoteAddr().String(), "error", err)
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
	m.closeLocked(evicted)
	if entry == nil {
		netConn.Close() // all others are waiting for their answers
		onClose()
		return
	}
	c.entry = entry
	m.closeExpiredLocked()
	m.serving++
	go func() {
		m.serve(c)
		c.releaseBuffer()
		onClose()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.closeLocked(c.entry)
		if m.serving--; m.serving == 0 {
			for _, ch := range m.drained {
				close(ch)
			}
			m.drained = nil
		}
	}()
}

// wait waits until no connection is served, or ctx ends.
func (m *connManager) waitDrained(ctx context.Context) error {
	m.mu.Lock()
	drained := make(chan struct{})
	if m.serving == 0 {
		close(drained)
	} else {
		m.drained = append(m.drained, drained)
	}
	m.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *connManager) closeLocked(entry *connlimit.Conn[*conn]) {
	if entry != nil {
		m.table.Remove(entry)
		entry.Value.Close()
	}
}

// expire closes what has rested for too long.
func (m *connManager) closeExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeExpiredLocked()
}

func (m *connManager) closeExpiredLocked() {
	now := m.clock.Now()
	for {
		c, next := m.table.RemoveExpired(now)
		if c == nil {
			if next > 0 {
				m.expiryTimer.Reset(clock.Duration(next - now))
			}
			return
		}
		m.closeLocked(c)
	}
}

// take notes that a connection has an open request, unless it has been closed meanwhile.
func (m *connManager) markBusy(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.requestStarted = false
	return m.table.MarkBusy(c.entry)
}

// hold notes that n bytes more are held for a connection, if its client may hold them; if they must be held, it
// may not say no.
func (m *connManager) reserveBytes(c *conn, n int64, force bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.ReserveBytes(c.entry, n, force)
}

// rest notes that a request has its answer, and says whether the connection may stay open. While all are to close it may for
// a next request that has come, or begun to.
func (m *connManager) finishRequest(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.input.setUnexamined(c.buffer != nil && c.buffer.Buffered() > 0)
	m.closeLocked(m.table.MarkIdle(m.clock.Now(), c.entry))
	m.closeExpiredLocked()
	return !m.closing || !c.input.isDrained()
}

// cut closes all connections, those with open requests too.
func (m *connManager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	m.table.Each(func(c *connlimit.Conn[*conn]) { c.Value.Close() })
}

// hush closes the connections without an open request; those with one, or of which a part has come, close once they have their
// answers.
func (m *connManager) quiesce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for c := m.table.Evictable(); c != nil; c = m.table.Evictable() {
		m.closeLocked(c)
	}
}

// hushHalves closes the connections of whose request a part has come, and returns how many: it is not waited for any longer.
func (m *connManager) closePartialRequests() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Each(func(p *connlimit.Conn[*conn]) {
		if c := p.Value; c.requestStarted && c.input.isDrained() {
			m.closeLocked(p)
			n++
		}
	})
	return n
}

// rests says whether a connection can be closed without taking a request with it: nothing has come on it that has not been looked
// at. One of whose request a part has come may have to make room for others, whose requests may be whole; but where all are to
// close it does not for that alone: its client, who did not see it rest, would not send the request again.
func (m *connManager) isEvictable(c *conn) bool {
	return c.input.isDrained() && !(m.closing && c.requestStarted)
}
