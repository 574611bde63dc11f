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

// connLimiter limits the connections to maxConns. For a new one, the connection that has been open for longest
// without a complete call is closed. While all connections have calls being served, the next one stays in the listen
// queue.
type connLimiter struct {
	net.Listener

	mu         sync.Mutex
	connClosed sync.Cond  // a connection has closed
	incomplete []net.Conn // those without a complete call, oldest first
	active     []net.Conn // those with a call being served
}

func newConnLimiter(ln net.Listener) *connLimiter {
	l := &connLimiter{Listener: ln}
	l.connClosed.L = &l.mu
	return l
}

// acceptRetryDelay is the pause after a failure to accept, as when no descriptor is left for a moment.
const acceptRetryDelay = 5 * time.Millisecond

// Accept accepts a connection, and closes a waiting one if there are too many.
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

// forgetClosed removes closed connections (http.Server.ConnState).
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

// connContext stores the connection of a call (http.Server.ConnContext).
func (l *connLimiter) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// markActive notes that a call has arrived completely: its connection is not closed for another.
func (l *connLimiter) markActive(ctx context.Context) {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.incomplete, c) { // otherwise it has been closed for another
		l.incomplete = removeConn(l.incomplete, c)
		l.active = append(l.active, c)
	}
}

func removeConn(conns []net.Conn, c net.Conn) []net.Conn {
	return slices.DeleteFunc(conns, func(other net.Conn) bool { return other == c })
}
