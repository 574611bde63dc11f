package http1

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/sockwrite"
)

// conn is a client's connection. Unless a field's comment says otherwise, only the goroutine that serves the
// connection uses it.
type conn struct {
	net.Conn
	client    *Client
	manager   *connManager
	input     *peekableConn
	readLimit io.LimitedReader // limits how many bytes are still read from input for the current request
	buffer    *bufio.Reader    // nil while nothing is being read, so that idle connections use no buffer

	// Guarded by connManager.mu.
	tableEntry       *connlimit.Conn[*conn]
	awaitingRequest  bool // the connection waits for the first byte of a request
	requestStarted   bool // a request has started to arrive, and the connection is not marked busy yet
	uploading        bool // the body of the request in flight is still arriving
	waitInterrupted  bool // setHandoff has interrupted the wait for a request, to offer the connection
	lastHandoffRound int  // connManager.handoffRound when the connection was last offered
}

// expiredDeadline is a deadline in the past: setting it ends a pending read at once.
var expiredDeadline = time.Unix(1, 0)

// readBufferSize is the size of a read buffer in bytes. Most request heads are smaller.
const readBufferSize = 4 << 10

// readerPool contains the read buffers that no connection uses.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// hasBuffered reports whether the connection's buffer contains bytes that have not been consumed.
func (c *conn) hasBuffered() bool { return c.buffer != nil && c.buffer.Buffered() > 0 }

// ensureBuffer returns the connection's buffer. If the connection has none, it takes an empty one from the pool.
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

// waitReadable waits until bytes can be read or the connection has ended. On a socket it uses no buffer while it
// waits.
func (c *conn) waitReadable() error {
	if c.input.rawConn == nil {
		_, err := c.ensureBuffer().Peek(1) // without a socket the only way to wait is to read
		return err
	}
	return c.input.waitReadable()
}

const (
	writeTimeout   = time.Second            // for writing a response that this process generated
	lingerTimeout  = 200 * time.Millisecond // how long linger reads
	maxLingerBytes = 64 << 10               // how many bytes linger reads at most
)

// Write writes to the connection, and records whether it has waited for the client.
func (c *conn) Write(b []byte) (int, error) {
	startedAt := c.input.turn.Start()
	defer c.input.turn.End(startedAt)
	return c.Conn.Write(b)
}

// writePatiently writes to the connection, and fails only if the client takes nothing for idleTimeout.
func (c *conn) writePatiently(b []byte, idleTimeout time.Duration) error {
	write := sockwrite.Write{Conn: c, Raw: c.input.rawConn, IdleTimeout: idleTimeout}
	return write.Do(b)
}

// reject writes the last response on the connection, after a pause: clients that connect again at once must not keep
// others from their responses. The request may not have been read completely.
func (c *conn) reject(response *localResponse) {
	c.input.turn.Pause()
	c.writeResponse(response, true)
	c.linger()
}

// linger shuts down the sending side of a connection on which the client may still be sending, and discards input for
// up to lingerTimeout, unless the connection is evicted before. Closing a connection with unread bytes would reset it
// before the client has read the response (RFC 9112 section 9.6).
func (c *conn) linger() {
	c.manager.markAnswered(c)
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // fails if the connection is closed already
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until the end of the connection or the deadline
}

// abort resets the connection, so that the client does not mistake its end for the end of the response.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
