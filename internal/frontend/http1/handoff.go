package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"dunlinsail/internal/decide/connlimit"
)

// This file hands idle connections over to another process (hot restart). If no request is in flight on a
// connection and no byte of its next request has been read, the other process can serve it without the client
// noticing. A connection with a request in flight is offered after the response.

// setHandoff turns handing over idle connections on, or off if handoff is nil (Server.SetHandoff).
func (m *connManager) setHandoff(handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setHandoffLocked(handoff)
}

// setHandoffLocked sets the handoff function. If it is not nil, connections that are waiting for a request are
// interrupted, so that they are offered to it.
func (m *connManager) setHandoffLocked(handoff func(net.Conn) bool) {
	m.handoff = handoff
	if handoff == nil {
		return
	}
	m.handoffRound++
	m.table.EachIdle(func(entry *connlimit.Conn[*conn]) {
		if c := entry.Value; c.awaitingRequest {
			c.waitInterrupted = true
			c.SetReadDeadline(expiredDeadline)
		}
	})
}

// awaitRequest waits for the first byte of a request, and reports whether it has arrived. A zero deadline means
// no limit other than the idle time of the connection. If the result is false, the connection may have been
// handed over and must not be used again.
func (m *connManager) awaitRequest(c *conn, deadline time.Time) bool {
	c.releaseBuffer()
	if c.buffer != nil {
		c.input.turn.Yield()
		m.mu.Lock()
		m.setRequestStartedLocked(c, true)
		m.mu.Unlock()
		return true // bytes of the next request have already been read
	}
	for {
		if handoff := m.startWaitOrHandoff(c, deadline); handoff != nil {
			if handoff(c.Conn) {
				return false
			}
			continue
		}
		err := c.waitReadable()
		m.mu.Lock()
		// An interrupted connection goes back to the loop: it is offered there, or waits again if handing over
		// has ended.
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		waitAgain := c.waitInterrupted && timedOut
		arrived := err == nil || timedOut && !c.input.allBytesExamined() // a byte may arrive at the deadline
		c.awaitingRequest = false
		c.waitInterrupted = false
		m.setRequestStartedLocked(c, arrived && !waitAgain)
		m.mu.Unlock()
		if !waitAgain {
			return arrived
		}
	}
}

// setRequestStartedLocked records whether a request has started to arrive on a connection.
func (m *connManager) setRequestStartedLocked(c *conn, started bool) {
	c.requestStarted = started
	if started {
		m.table.MarkArriving(c.tableEntry)
	}
}

// startWaitOrHandoff marks a connection as waiting for a request and sets its read deadline. If the connection
// has not been offered in the current handoff round, it returns the handoff function instead; the caller offers
// the connection to it and calls startWaitOrHandoff again if it is not accepted.
func (m *connManager) startWaitOrHandoff(c *conn, deadline time.Time) (handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handoff != nil && c.lastHandoffRound != m.handoffRound {
		c.lastHandoffRound = m.handoffRound
		c.SetReadDeadline(time.Time{})
		return m.handoff
	}
	c.awaitingRequest = true
	c.SetReadDeadline(deadline)
	return nil
}
