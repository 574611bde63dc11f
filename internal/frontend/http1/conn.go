package http1

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"dunlinsail/internal/decide/connlimit"
)

// conn is a client's connection. Unless noted it is used by the goroutine that serves it only.
type conn struct {
	net.Conn
	client    *Client
	input     *peekableConn
	readLimit io.LimitedReader // what may still be read from input for the current request
	buffer    *bufio.Reader    // nil while nothing is being read: an idle connection holds no buffer

	// Guarded by connManager.mu.
	entry            *connlimit.Conn[*conn]
	awaitingRequest  bool // the connection waits for the first byte of a request
	requestStarted   bool // a request has started to arrive that is not marked busy yet
	waitInterrupted  bool // setHandoff has interrupted that wait, to offer the connection
	lastHandoffRound int  // value of connManager.handoffs when it was last offered
}

// expiredDeadline is a deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// readBufferSize is the size of a read buffer. Most heads are smaller.
const readBufferSize = 4 << 10

// readerPool has the read buffers that no connection uses.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// hasBuffered reports whether bytes have been read that are not used yet.
func (c *conn) hasBuffered() bool { return c.buffer != nil && c.buffer.Buffered() > 0 }

// ensureBuffer returns the connection's buffer, an empty one from the pool if it has none.
func (c *conn) ensureBuffer() *bufio.Reader {
	if c.buffer == nil {
		c.buffer = readerPool.Get().(*bufio.Reader)
		c.buffer.Reset(&c.readLimit)
	}
	return c.buffer
}

// releaseBuffer returns the buffer to the pool if it is empty.
func (c *conn) releaseBuffer() {
	if c.buffer != nil && c.buffer.Buffered() == 0 {
		c.buffer.Reset(nil) // a pooled buffer must not expose bytes to another client, nor keep a connection alive
		if c.buffer.Size() == readBufferSize {
			readerPool.Put(c.buffer)
		}
		c.buffer = nil
	}
}

// waitReadable waits until something can be read or the connection has ended. On a socket it holds no buffer meanwhile.
func (c *conn) waitReadable() error {
	if c.input.rawConn == nil {
		_, err := c.ensureBuffer().Peek(1) // not a socket
		return err
	}
	return c.input.waitReadable()
}

const (
	writeTimeout   = time.Second            // for a response of this process to be written
	lingerTimeout  = 200 * time.Millisecond // for which linger reads
	maxLingerBytes = 64 << 10               // that linger reads at most
)

// reject writes the last response on the connection, to a request that may not have been read completely.
func (c *conn) reject(response *localResponse) {
	c.writeResponse(response, true)
	c.linger()
}

// linger ends the use of a connection on which the client may still be sending. It reads for a little longer: closing
// with unread bytes would reset the connection before the client has read the response (RFC 9112 section 9.6).
func (c *conn) linger() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // it may be closed already
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until its end, or the deadline
}

// abort resets the connection, so that its client does not take the end of it for the end of a response.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
