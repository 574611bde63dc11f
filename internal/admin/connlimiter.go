package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// connLimiter is a listener that limits the number of open connections to maxConns. If a new connection exceeds
// the limit, the connection that has been open for the longest time without a complete call is closed. While all
// connections have calls in progress, new connections are not accepted.
type connLimiter struct {
	net.Listener

	mu         sync.Mutex
	connClosed sync.Cond  // signaled when a connection has been closed
	incomplete []net.Conn // connections on which no complete call has arrived, oldest first
	active     []net.Conn // connections with a call in progress
}

func newConnLimiter(ln net.Listener) *connLimiter {
	l := &connLimiter{Listener: ln}
	l.connClosed.L = &l.mu
	return l
}

// acceptRetryDelay is the pause after a failed accept, for example because the process has run out of descriptors
// for a moment.
const acceptRetryDelay = 5 * time.Millisecond

// Accept accepts a connection. If there are too many, it closes the oldest connection without a complete call.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			for len(l.active) >= maxConns {
				l.connClosed.Wait()
			}
			if len(l.incomplete)+len(l.active) >= maxConns {
				l.incomplete[0].Close()
				l.incomplete = l.incomplete[1:]
			}
			l.incomplete = append(l.incomplete, c)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// forgetClosed is the http.Server.ConnState callback. It stops counting a connection that has been closed.
func (l *connLimiter) forgetClosed(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.incomplete = removeConn(l.incomplete, c)
		l.active = removeConn(l.active, c)
		l.connClosed.Signal()
	}
}

type connContextKey struct{}

// connContext is the http.Server.ConnContext callback. It stores the connection in the context of its calls.
func (l *connLimiter) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// markActive marks the connection of a call that has arrived completely, so that it is not closed in favor of a
// new connection.
func (l *connLimiter) markActive(ctx context.Context) {
	conn, _ := ctx.Value(connContextKey{}).(net.Conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.incomplete, conn) { // if not, it has been closed in favor of a new connection
		l.incomplete = removeConn(l.incomplete, conn)
		l.active = append(l.active, conn)
	}
}

func removeConn(conns []net.Conn, c net.Conn) []net.Conn {
	return slices.DeleteFunc(conns, func(other net.Conn) bool { return other == c })
}
