package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"syscall"
	"time"
)

// clientPollInterval is the interval between polls that check whether the client has closed its connection, while
// clientWatch cannot read from it.
const clientPollInterval = 50 * time.Millisecond

// clientWatch detects that a client closes its connection while its request is in flight. Bytes that the client
// sends in the meantime, such as the start of its next request, are read into the connection's buffer, because
// the end of the connection is only visible after them. If no more can be read, because the buffer is full or the
// body of the current request has not been read, the socket is polled instead. The watch's goroutine runs from
// start to stop.
type clientWatch struct {
	disconnected chan error    // receives an error once the client has closed its connection
	inputArrived chan struct{} // receives a value once pipelined is set

	conn       *conn
	readsInput bool
	onPoll     func() // called at each poll of the socket; may be nil
	pipelined  []byte // the first bytes that arrived after the request
	stopping   chan struct{}
	ended      chan struct{} // closed once the goroutine has ended; nil before start
}

// errClientDisconnected is sent to clientWatch.disconnected if polling the socket finds that the client has
// closed the connection.
var errClientDisconnected = errors.New("the client has closed its connection")

// newClientWatch returns a watch that is not started. With readsInput the watch reads from the connection, and
// nothing else may read from it between start and the return of stop.
func (c *conn) newClientWatch(readsInput bool) *clientWatch {
	return &clientWatch{
		conn:         c,
		readsInput:   readsInput,
		disconnected: make(chan error, 1),
		inputArrived: make(chan struct{}, 1),
		stopping:     make(chan struct{}),
	}
}

// clientDisconnected reports, without waiting, whether the client closed its connection before the watch was
// started.
func (w *clientWatch) clientDisconnected() bool {
	return w.conn.input.peerClosed()
}

// start starts the watch's goroutine.
func (w *clientWatch) start() {
	w.ended = make(chan struct{})
	w.conn.SetReadDeadline(time.Time{})
	if w.readsInput {
		w.conn.readLimit.N = MaxHeaderBytes
	}
	go func() {
		defer close(w.ended)
		err := w.readInput()
		if err == nil {
			err = w.pollSocket()
		}
		if err != nil {
			w.disconnected <- err
		}
	}()
}

// readInput reads what the client sends into the connection's buffer until the buffer is full or the read limit is
// reached (nil), or a read fails. It returns nil at once if the watch does not read input.
func (w *clientWatch) readInput() error {
	noneReceived := true
	for w.readsInput {
		bufferedBefore := w.conn.buffer.Buffered()
		_, err := w.conn.buffer.Peek(bufferedBefore + 1)
		buffered := w.conn.buffer.Buffered()
		if noneReceived && bufferedBefore == 0 && buffered > 0 {
			received, _ := w.conn.buffer.Peek(buffered)
			w.pipelined = bytes.Clone(received) // later reads may move the buffered bytes
			w.inputArrived <- struct{}{}
		}
		noneReceived = noneReceived && buffered == 0
		switch {
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF) && w.conn.readLimit.N <= 0:
			return nil // the buffer is full, or the read limit is reached
		case err != nil:
			return err
		}
	}
	return nil
}

// pollSocket polls the socket until the client has closed its connection or the watch is stopped.
func (w *clientWatch) pollSocket() error {
	if w.conn.input.rawConn == nil {
		return nil // only a socket can be polled
	}
	tick := time.NewTicker(clientPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if w.onPoll != nil {
				w.onPoll()
			}
			if w.conn.input.peerClosed() {
				return errClientDisconnected
			}
		case <-w.stopping:
			return nil
		}
	}
}

// stop ends the watch and waits for its goroutine. Other goroutines may read from the connection after it returns.
func (w *clientWatch) stop() {
	close(w.stopping)
	if w.readsInput {
		w.conn.SetReadDeadline(expiredDeadline)
	}
	<-w.ended
}

// peerClosed reports, without waiting, whether the client has closed the connection, even if unread bytes precede
// its end. A connection that this process has closed counts, too.
func (p *peekableConn) peerClosed() bool {
	if p.rawConn == nil {
		return false
	}
	closed := false
	err := p.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil:
			closed = true
		case n == 0:
			closed = true
		default: // the end may follow unread bytes
			closed = pollEvents(fd, pollRDHup) != 0
		}
	})
	return closed || err != nil // Control fails if this process has closed the connection
}
