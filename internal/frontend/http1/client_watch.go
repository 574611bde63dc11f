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
const clientPollInterval = 50 * time.Millisecond

// watch tells whether a client leaves while its request waits. What it sends meanwhile, the beginning of its next request
// perhaps, is read and kept: its end stands behind that. Where nothing more can be read, since the buffer is full or the
// present request's body is still to be read, the kernel is asked.
type clientWatch struct {
	gone         chan error    // the client has left
	inputArrived chan struct{} // its first bytes have come: behind

	conn       *conn
	readsInput bool
	pipelined  []byte
	stopping   chan struct{}
	done       chan struct{} // nil before begin
}

// errLeft is of a client whose end has come, behind bytes that have not been read.
var errClientGone = errors.New("the client has left")

// newWatch returns a watch that does not run yet. It reads where nobody else does.
func (c *conn) newClientWatch(readsInput bool) *clientWatch {
	return &clientWatch{conn: c, readsInput: readsInput, gone: make(chan error, 1), inputArrived: make(chan struct{}, 1), stopping: make(chan struct{})}
}

// left says, without waiting, whether the client has left before the watch began.
func (w *clientWatch) clientGone() bool {
	return (!w.readsInput || w.conn.buffer.Buffered() == 0) && w.conn.input.peerClosed()
}

// begin starts the watch.
func (w *clientWatch) start() {
	w.done = make(chan struct{})
	w.conn.SetReadDeadline(time.Time{})
	if w.readsInput {
		w.conn.readLimit.N = MaxHeaderBytes
	}
	go func() {
		defer close(w.done)
		err := w.readInput()
		if err == nil {
			err = w.pollSocket()
		}
		if err != nil {
			w.gone <- err
		}
	}()
}

// read reads until nothing more can be.
func (w *clientWatch) readInput() error {
	first := true
	for w.readsInput {
		n := w.conn.buffer.Buffered()
		_, err := w.conn.buffer.Peek(n + 1)
		more := w.conn.buffer.Buffered()
		if first && n == 0 && more > 0 {
			b, _ := w.conn.buffer.Peek(more)
			w.pipelined = bytes.Clone(b) // reading on moves them
			w.inputArrived <- struct{}{}
		}
		first = first && more == 0
		switch {
		case errors.Is(err, bufio.ErrBufferFull), err == io.EOF && w.conn.readLimit.N <= 0:
			return nil // no more of it can be read
		case err != nil:
			return err
		}
	}
	return nil
}

// look asks the kernel now and then.
func (w *clientWatch) pollSocket() error {
	if w.conn.input.rawConn == nil {
		return nil // no socket
	}
	tick := time.NewTicker(clientPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if w.conn.input.peerClosed() {
				return errClientGone
			}
		case <-w.stopping:
			return nil
		}
	}
}

// end ends the watch. From then on the connection can be read again.
func (w *clientWatch) stop() {
	close(w.stopping)
	if w.readsInput {
		w.conn.SetReadDeadline(expiredDeadline)
	}
	<-w.done
}

// left says, without waiting, whether the other side has ended the connection, whatever has come before that.
func (p *peekableConn) peerClosed() bool {
	if p.rawConn == nil {
		return false
	}
	closed := false
	// A connection that is closed already calls nothing, and has not been ended by the other side.
	_ = p.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN, err == syscall.EINTR:
		case err != nil:
			closed = true
		case n == 0:
			closed = true
		default: // its end may stand behind that
			closed = pollEvents(fd, pollRDHup) != 0
		}
	})
	return closed
}
