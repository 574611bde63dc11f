package http1

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"dunlinsail/internal/decide/connlimit"
)

// conn is a client's connection.
type conn struct {
	net.Conn
	client    *Client
	input     *peekableConn
	readLimit io.LimitedReader // what may still be read for the present request, from in
	buffer    *bufio.Reader    // nil while nothing is being read: a connection at rest holds no buffer

	// Guarded by connections.mu.
	entry           *connlimit.Conn[*conn]
	awaitingRequest bool // it waits for the first byte of a request
	requestStarted  bool // a request has begun to come that is not taken yet
	interrupted     bool // release has ended that wait; it is not over for it
	lastHandoff     int  // the release in which it was last offered to another process
}

// past is a deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// readers are the buffers of connections that are being read.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

const readBufferSize = 4 << 10 // most heads are smaller

// reader returns the connection's buffer, a fresh one if it has none.
func (c *conn) ensureBuffer() *bufio.Reader {
	if c.buffer == nil {
		c.buffer = readerPool.Get().(*bufio.Reader)
		c.buffer.Reset(&c.readLimit)
	}
	return c.buffer
}

// releaseReader gives the buffer back, if nothing is in it.
func (c *conn) releaseBuffer() {
	if c.buffer != nil && c.buffer.Buffered() == 0 {
		c.buffer.Reset(nil) // it must not show one client's bytes to another, nor keep a connection alive
		if c.buffer.Size() == readBufferSize {
			readerPool.Put(c.buffer)
		}
		c.buffer = nil
	}
}

// readable waits until something can be read, or the connection has ended, without holding a buffer meanwhile.
func (c *conn) waitReadable() error {
	if c.input.rawConn == nil {
		_, err := c.ensureBuffer().Peek(1) // not a socket
		return err
	}
	return c.input.waitReadable()
}

const (
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// turnAway answers what is not taken, and ends the connection's use. What the client may still be sending is
// read for a little, since closing on unread bytes would take the answer away from it again.
func (c *conn) reject(response *localResponse) {
	c.writeResponse(response, true)
	c.linger()
}

// linger ends the use of a connection on which something may still be coming: closing on unread bytes would take the answer
// away from the client.
func (c *conn) linger() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // it may be closed already
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until its end, or the deadline
}

// reset ends the connection in a way that no client takes for an answer's end.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
