package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"dunlinsail/internal/decide/connlimit"
)

// This file hands idle connections over to another process (hot restart). That process can serve a connection without
// an open request, and of whose next request no byte has been read, without its client noticing. A connection with an
// open request follows after its response.

// setHandoff starts or ends the handing over of idle connections: see Server.SetHandoff.
func (m *connManager) setHandoff(handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setHandoffLocked(handoff)
}

// setHandoffLocked interrupts the connections that wait for a request, so that they are offered to handoff.
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

// awaitRequest waits for the first byte of a request until a deadline, zero for as long as the connection may be idle,
// and reports whether it has arrived. A connection that is handed over meanwhile must not be used any more.
func (m *connManager) awaitRequest(c *conn, deadline time.Time) bool {
	c.releaseBuffer()
	if c.buffer != nil {
		m.mu.Lock()
		c.requestStarted = true
		m.mu.Unlock()
		return true // it has been read already
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
		// If the handing over has ended since it interrupted the wait, the connection waits again.
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		waitAgain := c.waitInterrupted && timedOut
		arrived := err == nil || timedOut && !c.input.isDrained() // it arrived at the deadline
		c.awaitingRequest = false
		c.waitInterrupted = false
		c.requestStarted = arrived && !waitAgain
		m.mu.Unlock()
		if !waitAgain {
			return arrived
		}
	}
}

// startWaitOrHandoff marks a connection as waiting for a request and sets its read deadline. If the connection has not
// been offered in the current handoff round, it returns the handoff function instead; the caller offers the connection
// to it and calls startWaitOrHandoff again if it is not accepted.
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
