package xdsserver

import (
	"net"
	"sync/atomic"
)

// unlimited is remainingBytes without a limit.
const unlimited = -1

// resettingListener is a listener whose connections are reset after a number of bytes.
type resettingListener struct {
	net.Listener
	remainingBytes atomic.Int64 // of all connections together; negative is unlimited
}

// Accept waits for the next connection.
func (l *resettingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &resettingConn{conn, l}, nil
}

type resettingConn struct {
	net.Conn
	listener *resettingListener
}

// Write writes what the limit allows, then resets the connection.
func (c *resettingConn) Write(data []byte) (int, error) {
	remaining := c.listener.remainingBytes.Load()
	if remaining < 0 {
		return c.Conn.Write(data)
	}
	allowed := min(int64(len(data)), remaining)
	c.listener.remainingBytes.Add(-allowed)
	if allowed > 0 {
		_, _ = c.Conn.Write(data[:allowed]) // it is reset behind that anyway
	}
	if allowed < int64(len(data)) {
		if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
			tcpConn.SetLinger(0) // a reset rather than an orderly close
		}
		c.Conn.Close()
		return int(allowed), net.ErrClosed
	}
	return int(allowed), nil
}
