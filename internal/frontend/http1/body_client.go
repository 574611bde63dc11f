package http1

import (
	"dunlinsail/internal/decide/upload"
	"dunlinsail/internal/sockqueue"
)

// endOfChunkedBody is how each chunked body ends: an empty line follows the last chunk and the trailer fields
// (RFC 9112 section 7.1).
const endOfChunkedBody = "\r\n\r\n"

// bodyClient is the upstream.BodyClient of a body that is read from a connection.
type bodyClient struct {
	conn       *conn
	readBefore int64 // bytes that had been read from the connection before the body
}

// newBodyClient returns the client of the body that is read next from a connection. Of a body of known length nothing
// must have been consumed yet.
func newBodyClient(c *conn) *bodyClient {
	return &bodyClient{conn: c, readBefore: c.input.arrival().Read - int64(c.buffer.Buffered())}
}

// Arrival implements upstream.BodyClient.
func (b *bodyClient) Arrival() upload.Arrival {
	arrival := b.conn.input.arrival()
	arrival.Read -= b.readBefore
	return arrival
}

// Socket implements upstream.BodyClient.
func (b *bodyClient) Socket() upload.ClientSocket {
	if b.conn.LocalAddr().Network() == "unix" {
		return b.unixSocket()
	}
	peer := sockqueue.Peer(b.conn.Conn)
	return upload.ClientSocket{
		Unsent:         peer.Unacknowledged,
		Written:        peer.Written,
		SendBuffer:     peer.SendBuffer,
		SendBufferUsed: peer.SendBufferUsed,
	}
}

// unixSocket returns the socket of a client on a unix socket. What such a client writes is in the receiver's queue at
// once (unix(7)): it has no send buffer.
func (b *bodyClient) unixSocket() upload.ClientSocket {
	arrival := b.conn.input.arrival()
	if arrival.Unread == upload.Unknown {
		return upload.UnknownSocket
	}
	return upload.ClientSocket{Written: arrival.Read + arrival.Unread}
}

// MayEnd implements upstream.BodyClient.
func (b *bodyClient) MayEnd() bool { return b.conn.input.mayEndWith(endOfChunkedBody) }
