package processes

import (
	"errors"
	"net"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
)

// dialOnce connects to an address, closes the connection, and returns its own address.
func dialOnce(addr string, timeout time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// acceptAll accepts connections and closes them until the listener is closed. It passes on the peers' addresses, and
// closes ended when it ends.
func acceptAll(ln net.Listener) (accepted <-chan string, ended <-chan struct{}) {
	addrs := make(chan string, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			addrs <- c.RemoteAddr().String()
			c.Close()
		}
	}()
	return addrs, done
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// A client that connects to a silent listener times out. Before and after the silence it is accepted, and no other
// connection is.
func TestSilencedListenerTimesOutConnections(t *testing.T) {
	g, err := newSilenceableListener("127.0.0.1:0")
	require.NoError(t, err)
	accepted, ended := acceptAll(g)
	dial := func(timeout time.Duration) (string, error) { return dialOnce(g.Addr().String(), timeout) }
	enter := func() {
		t.Helper()
		from, err := dial(5 * time.Second)
		require.NoError(t, err)
		if got := <-accepted; got != from {
			t.Fatalf("accepted %s, want %s", got, from)
		}
	}
	for range 3 {
		enter()
		require.NoError(t, g.setSilent(true))
		for range 3 {
			if _, err := dial(50 * time.Millisecond); !isTimeout(err) {
				t.Fatalf("dialled a silent gate: %v", err)
			}
		}
		require.NoError(t, g.setSilent(false))
		enter()
	}
	require.NoError(t, g.setSilent(true))
	if err := g.Close(); err != nil {
		t.Error(err)
	}
	<-ended
	if _, err := dial(time.Second); err == nil || isTimeout(err) {
		t.Errorf("a closed gate: %v", err)
	}
}
