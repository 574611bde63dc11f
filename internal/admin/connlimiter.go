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

// callers bounds who is connected: who has said nothing whole for longest gives way to the next. Where all are being
// answered, the next waits in the socket's queue.
type connLimiter struct {
	net.Listener

	mu         sync.Mutex
	connClosed sync.Cond  // somebody is gone
	waiting    []net.Conn // without a whole call, the longest first
	active     []net.Conn // with one
}

func newConnLimiter(ln net.Listener) *connLimiter {
	k := &connLimiter{Listener: ln}
	k.connClosed.L = &k.mu
	return k
}

// acceptWait is how long a failure to accept is waited over: no descriptor may be left for a moment.
const acceptRetryDelay = 5 * time.Millisecond

// Accept makes room for a caller.
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

// state follows a connection's life (http.Server.ConnState).
func (k *connLimiter) trackState(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.waiting, k.active = removeConn(k.waiting, c), removeConn(k.active, c)
		k.connClosed.Signal()
	}
}

type connKey struct{}

// context keeps a call's connection (http.Server.ConnContext).
func (k *connLimiter) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// whole notes that a call has come whole: it is answered, and gives way to nobody.
func (k *connLimiter) markActive(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Contains(k.waiting, c) { // else it has given way already
		k.waiting, k.active = removeConn(k.waiting, c), append(k.active, c)
	}
}

func removeConn(all []net.Conn, c net.Conn) []net.Conn {
	return slices.DeleteFunc(all, func(o net.Conn) bool { return o == c })
}
