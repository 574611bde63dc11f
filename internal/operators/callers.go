package operators

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// callers bounds who is connected: who has said nothing whole for longest gives way to the next.
type callers struct {
	net.Listener

	mu      sync.Mutex
	all     int
	waiting []net.Conn // without a whole call, the longest first
}

// acceptWait is how long a failure to accept is waited over: no descriptor may be left for a moment.
const acceptWait = 5 * time.Millisecond

// Accept makes room for a caller.
func (k *callers) Accept() (net.Conn, error) {
	for {
		c, err := k.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(acceptWait)
			continue
		}
		k.mu.Lock()
		if k.all >= callersMost && len(k.waiting) > 0 {
			k.waiting[0].Close() // its end comes to state
			k.waiting = k.waiting[1:]
		}
		full := k.all > callersMost // as many are being answered, and the last that gave way are not gone yet
		if !full {
			k.all++
			k.waiting = append(k.waiting, c)
		}
		k.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		return c, nil
	}
}

// state follows a connection's life (http.Server.ConnState).
func (k *callers) state(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.all--
		k.leave(c)
	}
}

type connKey struct{}

// context keeps a call's connection (http.Server.ConnContext).
func (k *callers) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// whole notes that a call has come whole: it is answered, and gives way to nobody.
func (k *callers) whole(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.leave(c)
	}
}

func (k *callers) leave(c net.Conn) {
	k.waiting = slices.DeleteFunc(k.waiting, func(o net.Conn) bool { return o == c })
}
