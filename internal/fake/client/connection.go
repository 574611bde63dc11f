package client

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// maxCrossing is how long after a request a reset may come that crossed it on the way (Options.ResendAfterReset).
const maxCrossing = 50 * time.Millisecond

// conn is a persistent HTTP/1.1 connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // it has carried a request before
}

// exchange sends a request and reads its response into result. stale reports that the server had closed the
// connection before the request.
func (c *Client) exchange(
	connection *conn, request string, deadline time.Time, result *Result,
) (stale bool, err error) {
	connection.SetDeadline(deadline)
	if _, err := io.WriteString(connection, request); err != nil {
		connection.Close()
		return true, err
	}
	sentAt := time.Now()
	if _, err := connection.reader.Peek(1); err != nil {
		connection.Close()
		crossed := c.options.ResendAfterReset && errors.Is(err, syscall.ECONNRESET) && time.Since(sentAt) < maxCrossing
		return crossed || errors.Is(err, io.EOF), err
	}
	response, err := http.ReadResponse(connection.reader, nil)
	if err != nil {
		connection.Close()
		return false, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		connection.Close()
		return false, err
	}
	extraBytes := connection.reader.Buffered() > 0
	if response.Close || extraBytes {
		connection.Close()
	} else {
		c.putConn(connection)
	}
	result.Status = response.StatusCode
	result.Verdict = classify(response.StatusCode, strings.HasPrefix(string(body), result.ID+" "), extraBytes)
	switch result.Verdict {
	case Rejected:
		result.Reason = strings.TrimSpace(string(body))
	case WrongResponse:
		result.NamedID, _, _ = strings.Cut(string(body), " ")
	}
	return false, nil
}

// classify returns the verdict on a complete response. An endpoint's response names its request (namesRequest);
// extraBytes says that more followed it on the connection.
func classify(status int, namesRequest, extraBytes bool) Verdict {
	switch {
	case extraBytes, status == http.StatusOK && !namesRequest:
		return WrongResponse
	case status == http.StatusOK:
		return Served
	case status < http.StatusInternalServerError && namesRequest:
		return ClientError
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Rejected
	default:
		return Failed
	}
}

// getConn returns an idle connection or dials a new one.
func (c *Client) getConn(deadline time.Time) (*conn, error) {
	if idle := c.takeIdleConn(); idle != nil {
		return idle, nil
	}
	dial := c.options.Dial
	if dial == nil {
		dial = func(deadline time.Time) (net.Conn, error) {
			return (&net.Dialer{Deadline: deadline}).Dial(c.options.Network, c.options.Addr)
		}
	}
	network, err := dial(deadline)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: network, reader: bufio.NewReader(network)}, nil
}

// takeIdleConn removes the idle connection that was used last, and returns nil when there is none.
func (c *Client) takeIdleConn() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idleConns)
	if n == 0 {
		return nil
	}
	idle := c.idleConns[n-1]
	c.idleConns = c.idleConns[:n-1]
	return idle
}

// putConn returns a connection to the idle ones.
func (c *Client) putConn(connection *conn) {
	connection.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns = append(c.idleConns, connection)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idleConns {
		idle.Close()
	}
	c.idleConns = nil
}
