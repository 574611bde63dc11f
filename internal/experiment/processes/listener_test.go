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
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// acceptAll accepts connections and closes them until the listener is closed. It passes on the peers' addresses, and
// closes ended when it ends.
func acceptAll(listener net.Listener) (accepted <-chan string, ended <-chan struct{}) {
	acceptedAddrs := make(chan string, 10)
	endedSignal := make(chan struct{})
	go func() {
		defer close(endedSignal)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			acceptedAddrs <- conn.RemoteAddr().String()
			conn.Close()
		}
	}()
	return acceptedAddrs, endedSignal
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// A client that connects to a silent listener times out. Before and after the silence it is accepted, and no other
// connection is.
func TestSilencedListenerTimesOutConnections(t *testing.T) {
	listener, err := newSilenceableListener("127.0.0.1:0")
	require.NoError(t, err)
	accepted, ended := acceptAll(listener)
	dial := func(timeout time.Duration) (string, error) { return dialOnce(listener.Addr().String(), timeout) }
	requireAccepted := func() {
		t.Helper()
		localAddr, err := dial(5 * time.Second)
		require.NoError(t, err)
		if got := <-accepted; got != localAddr {
			t.Fatalf("accepted %s, want %s", got, localAddr)
		}
	}
	for range 3 {
		requireAccepted()
		require.NoError(t, listener.setSilent(true))
		for range 3 {
			if _, err := dial(50 * time.Millisecond); !isTimeout(err) {
				t.Fatalf("dialled a silent gate: %v", err)
			}
		}
		require.NoError(t, listener.setSilent(false))
		requireAccepted()
	}
	require.NoError(t, listener.setSilent(true))
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	<-ended
	if _, err := dial(time.Second); err == nil || isTimeout(err) {
		t.Errorf("a closed gate: %v", err)
	}
}
