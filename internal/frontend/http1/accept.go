package http1

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// After a failed accept the server pauses between minAcceptBackoff and maxAcceptBackoff. The pause doubles
	// with each failure in succession.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
	// queuePollTimeout bounds how long acceptQueued waits for one connection. maxQueueDrainTime bounds the whole
	// call; a full listen queue is accepted in far less time.
	queuePollTimeout  = 5 * time.Millisecond
	maxQueueDrainTime = 100 * time.Millisecond
)

// IdentifyFunc returns the client that a connection belongs to, or an error if the peer is not allowed to connect.
// onClose, which may be nil, is called when the connection has ended.
type IdentifyFunc func(net.Conn) (c *Client, onClose func(), err error)

// accept accepts and serves the connections of ln until ln is closed or its deadline passes.
func (m *connManager) accept(ln net.Listener, identify IdentifyFunc) error {
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
			// The process may have run out of descriptors: closing an idle connection frees one.
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

// acceptQueued accepts and serves the connections in ln's listen queue. It returns once the queue is empty, and
// after maxQueueDrainTime at the latest. Closing ln without it would reset the queued connections and lose the
// requests that their clients have sent. No other goroutine may accept on ln at the same time.
func (m *connManager) acceptQueued(ln net.Listener, identify IdentifyFunc) {
	deadlineListener, ok := ln.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for drainDeadline := time.Now().Add(maxQueueDrainTime); time.Now().Before(drainDeadline); {
		_ = deadlineListener.SetDeadline(time.Now().Add(queuePollTimeout)) // a queued connection needs no wait
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			m.add(netConn, identify)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !hasQueued(ln):
			return // if the queue is not empty, the deadline passed too early, and the loop tries again
		}
	}
	m.log.Warn("listen queue not drained, remaining connections are reset")
}

// hasQueued reports whether ln's listen queue contains a connection. It returns false if ln cannot be polled.
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
		return false // ln is closed
	}
	return pending
}
