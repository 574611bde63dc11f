package http1

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	minAcceptBackoff  = 5 * time.Millisecond
	maxAcceptBackoff  = time.Second
	queuePollTimeout  = 5 * time.Millisecond
	maxQueueDrainTime = 100 * time.Millisecond // a full queue takes far less
)

// Identify tells whose connection one is. gone is called once the connection has ended; it may be nil. A
// connection of nobody who may connect is an error.
type Identify func(net.Conn) (c *Client, gone func(), err error)

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
			// No descriptor is left, perhaps: one that is not needed makes room.
			if backoff == minAcceptBackoff {
				m.log.Warn("accept", "error", err)
			}
			m.mu.Lock()
			m.closeLocked(m.table.Evictable())
			m.mu.Unlock()
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// acceptRest serves the connections that wait in ln's queue, and returns once there is none: closing ln would reset them, with
// what their clients have sent. Nobody else may accept meanwhile. Clients who come without end do not keep it going.
func (m *connManager) acceptQueued(ln net.Listener, identify Identify) {
	bounded, ok := ln.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(maxQueueDrainTime); time.Now().Before(end); {
		_ = bounded.SetDeadline(time.Now().Add(queuePollTimeout)) // what waits is taken without waiting
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			m.add(netConn, identify)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !hasQueued(ln):
			return // else we did not come to it within the deadline
		}
	}
	m.log.Warn("clients still connect as the listener closes: who waits there now is reset")
}

// queued says whether a connection waits to be accepted.
func hasQueued(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	if err := raw.Control(func(fd uintptr) { pending = pollEvents(fd, pollIn) != 0 }); err != nil {
		return false // closed
	}
	return pending
}
