package http1

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// Bounds of the pause after an error of accept.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
	// queuePollTimeout is how long acceptQueued waits for one connection, and maxQueueDrainTime for all of a full
	// queue, which are accepted in far less time.
	queuePollTimeout  = 5 * time.Millisecond
	maxQueueDrainTime = 100 * time.Millisecond
)

// Identify returns the client that a connection belongs to, or an error if its peer may not connect.
// onClose is called once the connection has ended; it may be nil.
type Identify func(net.Conn) (c *Client, onClose func(), err error)

// accept serves connections until ln is closed or its deadline passes.
func (m *connManager) accept(ln net.Listener, identify Identify) error {
	backoff := minAcceptBackoff
	for {
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			m.add(netConn, identify)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			// Perhaps no descriptor is left: an idle connection is closed to free one.
			if backoff == minAcceptBackoff {
				m.log.Warn("accept failed", "error", err)
			}
			m.mu.Lock()
			m.closeWithReasonLocked(m.table.Evictable(), closedEvicted)
			m.mu.Unlock()
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// acceptQueued serves the connections that are in ln's queue, and returns once it is empty: closing ln would reset
// them, with what their clients have sent. Nothing else may accept on ln meanwhile. It returns
// after maxQueueDrainTime at the latest.
func (m *connManager) acceptQueued(ln net.Listener, identify Identify) {
	deadlineListener, ok := ln.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for drainDeadline := time.Now().Add(maxQueueDrainTime); time.Now().Before(drainDeadline); {
		_ = deadlineListener.SetDeadline(time.Now().Add(queuePollTimeout)) // a queued connection is accepted at once
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			m.add(netConn, identify)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !hasQueued(ln):
			return // otherwise the deadline passed before a queued connection was accepted
		}
	}
	m.log.Warn("listen queue not drained, remaining connections are reset")
}

// hasQueued reports whether a connection is in ln's queue.
func hasQueued(ln net.Listener) bool {
	syscallConn, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	if err := rawConn.Control(func(fd uintptr) { pending = pollEvents(fd, pollIn) != 0 }); err != nil {
		return false // closed
	}
	return pending
}
