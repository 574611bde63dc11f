package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"syscall"
	"time"
)

// lookEvery is how often it is looked whether a client has left of whose connection nothing more can be read meanwhile.
const lookEvery = 50 * time.Millisecond

// watch tells whether a client leaves while its request waits. What it sends meanwhile, the beginning of its next request
// perhaps, is read and kept: its end stands behind that. Where nothing more can be read, since the buffer is full or the
// present request's body is still to be read, the kernel is asked.
type watch struct {
	gone chan error    // the client has left
	more chan struct{} // its first bytes have come: behind

	c      *conn
	reads  bool
	behind []byte
	stop   chan struct{}
	over   chan struct{} // nil before begin
}

// errLeft is of a client whose end has come, behind bytes that have not been read.
var errLeft = errors.New("the client has left")

// newWatch returns a watch that does not run yet. It reads where nobody else does.
func (c *conn) newWatch(reads bool) *watch {
	return &watch{c: c, reads: reads, gone: make(chan error, 1), more: make(chan struct{}, 1), stop: make(chan struct{})}
}

// left says, without waiting, whether the client has left before the watch began.
func (w *watch) left() bool {
	return (!w.reads || w.c.r.Buffered() == 0) && w.c.in.left()
}

// begin starts the watch.
func (w *watch) begin() {
	w.over = make(chan struct{})
	w.c.SetReadDeadline(time.Time{})
	if w.reads {
		w.c.limit.N = HeaderMost
	}
	go func() {
		defer close(w.over)
		err := w.read()
		if err == nil {
			err = w.look()
		}
		if err != nil {
			w.gone <- err
		}
	}()
}

// read reads until nothing more can be.
func (w *watch) read() error {
	first := true
	for w.reads {
		n := w.c.r.Buffered()
		_, err := w.c.r.Peek(n + 1)
		more := w.c.r.Buffered()
		if first && n == 0 && more > 0 {
			b, _ := w.c.r.Peek(more)
			w.behind = bytes.Clone(b) // reading on moves them
			w.more <- struct{}{}
		}
		first = first && more == 0
		switch {
		case errors.Is(err, bufio.ErrBufferFull), err == io.EOF && w.c.limit.N <= 0:
			return nil // no more of it can be read
		case err != nil:
			return err
		}
	}
	return nil
}

// look asks the kernel now and then.
func (w *watch) look() error {
	if w.c.in.raw == nil {
		return nil // no socket
	}
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if w.c.in.left() {
				return errLeft
			}
		case <-w.stop:
			return nil
		}
	}
}

// end ends the watch. From then on the connection can be read again.
func (w *watch) end() {
	close(w.stop)
	if w.reads {
		w.c.SetReadDeadline(past)
	}
	<-w.over
}

// left says, without waiting, whether the other side has ended the connection, whatever has come before that.
func (in *inlet) left() bool {
	if in.raw == nil {
		return false
	}
	left := false
	// A connection that is closed already calls nothing, and has not been ended by the other side.
	_ = in.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN, err == syscall.EINTR:
		case err != nil:
			left = true
		case n == 0:
			left = true
		default: // its end may stand behind that
			left = polled(fd, pollRDHup) != 0
		}
	})
	return left
}
