package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"syscall"
	"time"
)

// clientPollInterval is how often the socket is polled for the client having closed its connection, while the
// connection cannot be read.
const clientPollInterval = 50 * time.Millisecond

// clientWatch detects that a client closes its connection while its request is in flight. What it sends meanwhile,
// perhaps the start of its next request, is read into the connection's buffer: the end of the connection is behind
// that. Where no more can be read, since the buffer is full or the current request's body is still to be read, the
// socket is polled. The goroutine of a watch runs from start to stop.
type clientWatch struct {
	disconnected chan error    // receives an error once the client has closed its connection
	inputArrived chan struct{} // receives a value once pipelined is set

	conn       *conn
	readsInput bool
	pipelined  []byte // the first bytes that arrived behind the request
	stopping   chan struct{}
	ended      chan struct{} // closed once the goroutine has ended; nil before start
}

// errClientDisconnected is sent to clientWatch.gone where the end of a connection is detected behind unread bytes.
var errClientDisconnected = errors.New("the client has left")

// newClientWatch returns a watch that is not started. With readsInput it reads the connection, and nothing else may
// read it until stop returns.
func (c *conn) newClientWatch(readsInput bool) *clientWatch {
	return &clientWatch{
		conn:         c,
		readsInput:   readsInput,
		disconnected: make(chan error, 1),
		inputArrived: make(chan struct{}, 1),
		stopping:     make(chan struct{}),
	}
}

// clientDisconnected reports, without waiting, whether the client closed its connection before the watch was started.
func (w *clientWatch) clientDisconnected() bool {
	return (!w.readsInput || w.conn.buffer.Buffered() == 0) && w.conn.input.peerClosed()
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

// readInput reads until nothing more can be read.
func (w *clientWatch) readInput() error {
	noneReceived := true
	for w.readsInput {
		bufferedBefore := w.conn.buffer.Buffered()
		_, err := w.conn.buffer.Peek(bufferedBefore + 1)
		buffered := w.conn.buffer.Buffered()
		if noneReceived && bufferedBefore == 0 && buffered > 0 {
			b, _ := w.conn.buffer.Peek(buffered)
			w.pipelined = bytes.Clone(b) // later reads move them
			w.inputArrived <- struct{}{}
		}
		noneReceived = noneReceived && buffered == 0
		switch {
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF) && w.conn.readLimit.N <= 0:
			return nil // no more can be read
		case err != nil:
			return err
		}
	}
	return nil
}

// pollSocket polls the socket until the client has closed its connection or the watch is stopped.
func (w *clientWatch) pollSocket() error {
	if w.conn.input.rawConn == nil {
		return nil // not a socket
	}
	tick := time.NewTicker(clientPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if w.conn.input.peerClosed() {
				return errClientDisconnected
			}
		case <-w.stopping:
			return nil
		}
	}
}

// stop ends the watch and waits for its goroutine. The connection can be read again after it returns.
func (w *clientWatch) stop() {
	close(w.stopping)
	if w.readsInput {
		w.conn.SetReadDeadline(expiredDeadline)
	}
	<-w.ended
}

// peerClosed reports, without waiting, whether the client has closed the connection, whatever has arrived before that.
func (p *peekableConn) peerClosed() bool {
	if p.rawConn == nil {
		return false
	}
	closed := false
	// The callback is not called where this side has closed the connection already.
	_ = p.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil:
			closed = true
		case n == 0:
			closed = true
		default: // the end may be behind unread bytes
			closed = pollEvents(fd, pollRDHup) != 0
		}
	})
	return closed
}
