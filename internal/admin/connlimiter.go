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

// connLimiter bounds the connections: the one that has waited longest without a complete call is closed for the next.
// If all calls are being served, the next connection waits in the socket's queue.
type connLimiter struct {
	net.Listener

	mu         sync.Mutex
	connClosed sync.Cond  // a connection has closed
	waiting    []net.Conn // without a complete call, oldest first
	active     []net.Conn // with a call being served
}

func newConnLimiter(ln net.Listener) *connLimiter {
	k := &connLimiter{Listener: ln}
	k.connClosed.L = &k.mu
	return k
}

// acceptRetryDelay is the delay after a failure to accept: descriptors may have run out for a moment.
const acceptRetryDelay = 5 * time.Millisecond

// Accept accepts a connection, and closes a waiting one if there are too many.
func (k *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := k.Listener.Accept()
		if err == nil {
			k.mu.Lock()
			defer k.mu.Unlock()
			for len(k.active) >= maxConns {
				k.connClosed.Wait()
			}
			if len(k.waiting)+len(k.active) >= maxConns {
				k.waiting[0].Close()
				k.waiting = k.waiting[1:]
			}
			k.waiting = append(k.waiting, c)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// trackState forgets closed connections (http.Server.ConnState).
func (k *connLimiter) trackState(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.waiting = removeConn(k.waiting, c)
		k.active = removeConn(k.active, c)
		k.connClosed.Signal()
	}
}

type connKey struct{}

// connContext stores the connection of a call (http.Server.ConnContext).
func (k *connLimiter) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markActive notes that a call has arrived completely: its connection is not closed for another.
func (k *connLimiter) markActive(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Contains(k.waiting, c) { // else it has been closed for another
		k.waiting = removeConn(k.waiting, c)
		k.active = append(k.active, c)
	}
}

func removeConn(all []net.Conn, c net.Conn) []net.Conn {
	return slices.DeleteFunc(all, func(o net.Conn) bool { return o == c })
}
