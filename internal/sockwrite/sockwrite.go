// Package sockwrite writes to peers that read slowly. A write that blocks goes on only once a large part of the
// kernel's buffer is free (a third, on Linux), which a slow peer may take long for; until then its progress shows in
// the bytes that its host has acknowledged.
package sockwrite

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"dunlinsail/internal/sockqueue"
)

// pollInterval is how often the progress of a blocked write is checked.
const pollInterval = 50 * time.Millisecond

// Write is a write of bytes to a connection.
type Write struct {
	Conn net.Conn
	Raw  syscall.RawConn // of Conn; nil if it has none
	// IdleTimeout is how long the peer may take nothing until the write fails.
	IdleTimeout time.Duration
	// OnWritten is called with the number of bytes after each part that the kernel has taken. It may be nil.
	OnWritten func(n int)
	// Aborted reports that the write must not go on. It is called after each change of the write deadline of Conn, so
	// that setting a deadline in the past afterwards ends the write at once. It may be nil.
	Aborted func() bool
}

// ErrAborted means that Write.Aborted has ended a write.
var ErrAborted = errors.New("the write was aborted")

// Do writes all bytes. It returns os.ErrDeadlineExceeded, possibly wrapped, if the peer has taken nothing for
// IdleTimeout, ErrAborted, or the error of the connection. It changes the write deadline of the connection.
func (w *Write) Do(bytes []byte) error {
	unacknowledged := int64(sockqueue.Unknown)
	idleAt := time.Now().Add(w.IdleTimeout)
	for {
		w.Conn.SetWriteDeadline(time.Now().Add(pollInterval))
		if w.Aborted != nil && w.Aborted() {
			return ErrAborted
		}
		n, err := w.Conn.Write(bytes)
		if w.OnWritten != nil {
			w.OnWritten(n)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		bytes = bytes[n:]
		previous := unacknowledged
		unacknowledged = sockqueue.Unacknowledged(w.Raw)
		if n > 0 || previous != sockqueue.Unknown && unacknowledged != previous {
			idleAt = time.Now().Add(w.IdleTimeout)
		}
		if !time.Now().Before(idleAt) {
			return err
		}
	}
}
