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
type callers struct {
	net.Listener

	mu       sync.Mutex
	left     sync.Cond  // somebody is gone
	waiting  []net.Conn // without a whole call, the longest first
	answered []net.Conn // with one
}

func newCallers(ln net.Listener) *callers {
	k := &callers{Listener: ln}
	k.left.L = &k.mu
	return k
}

// acceptWait is how long a failure to accept is waited over: no descriptor may be left for a moment.
const acceptWait = 5 * time.Millisecond

// Accept makes room for a caller.
func (k *callers) Accept() (net.Conn, error) {
	for {
		c, err := k.Listener.Accept()
		if err == nil {
			k.mu.Lock()
			defer k.mu.Unlock()
			for len(k.answered) >= callersMost {
				k.left.Wait()
			}
			if len(k.waiting)+len(k.answered) >= callersMost {
				k.waiting[0].Close()
				k.waiting = k.waiting[1:]
			}
			k.waiting = append(k.waiting, c)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptWait)
	}
}

// state follows a connection's life (http.Server.ConnState).
func (k *callers) state(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.waiting, k.answered = without(k.waiting, c), without(k.answered, c)
		k.left.Signal()
	}
}

type connKey struct{}

// context keeps a call's connection (http.Server.ConnContext).
func (k *callers) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// whole notes that a call has come whole: it is answered, and gives way to nobody.
func (k *callers) whole(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Contains(k.waiting, c) { // else it has given way already
		k.waiting, k.answered = without(k.waiting, c), append(k.answered, c)
	}
}

func without(all []net.Conn, c net.Conn) []net.Conn {
	return slices.DeleteFunc(all, func(o net.Conn) bool { return o == c })
}
