package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"dunlinsail/internal/decide/connlimit"
)

// release hands connections over as soon as they rest, from now on: to is called for each, and says whether it
// has been taken; our own end of it is closed then. What is not taken goes on here. nil ends that.
func (m *connManager) setHandoff(handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setHandoffLocked(handoff)
}

func (m *connManager) setHandoffLocked(handoff func(net.Conn) bool) {
	m.handoff = handoff
	if handoff == nil {
		return
	}
	m.handoffs++
	m.table.EachIdle(func(p *connlimit.Conn[*conn]) {
		if c := p.Value; c.awaitingRequest {
			c.interrupted = true
			c.SetReadDeadline(expiredDeadline)
		}
	})
}

// park waits for the first byte of a request until a deadline, zero for as long as the connection may rest, and
// says whether it has come. A connection that is handed over meanwhile is not used here any more.
func (m *connManager) awaitRequest(c *conn, deadline time.Time) bool {
	c.releaseBuffer()
	if c.buffer != nil {
		m.mu.Lock()
		c.requestStarted = true
		m.mu.Unlock()
		return true // it has come already
	}
	for {
		if handoff := m.startAwait(c, deadline); handoff != nil {
			if handoff(c.Conn) {
				return false
			}
			continue
		}
		err := c.waitReadable()
		m.mu.Lock()
		// Whoever called may have been told meanwhile that nothing is to be handed over after all.
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		again := c.interrupted && timedOut
		arrived := err == nil || timedOut && !c.input.isDrained() // it has come as its time was up
		c.awaitingRequest, c.interrupted, c.requestStarted = false, false, arrived && !again
		m.mu.Unlock()
		if !again {
			return arrived
		}
	}
}

// parking notes that a connection waits, or returns what it is to be handed to first.
func (m *connManager) startAwait(c *conn, deadline time.Time) (handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handoff != nil && c.lastHandoff != m.handoffs {
		c.lastHandoff = m.handoffs
		c.SetReadDeadline(time.Time{})
		return m.handoff
	}
	c.awaitingRequest = true
	c.SetReadDeadline(deadline)
	return nil
}
