package processes

import (
	"errors"
	"net"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
)

// dialOnce connects to an address, closes the connection, and returns the local address that it had.
func dialOnce(addr string, timeout time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// acceptAll accepts and closes connections in the background until the listener is closed. It sends the remote
// address of each connection to accepted, and closes ended when it stops.
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

// Connections to a silent listener time out. Before and after the silence, the listener accepts each client's
// connection and no other, such as the connection that fills its queue.
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
				t.Fatalf("dial of a silent listener: got %v, want a timeout", err)
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
		t.Errorf("dial of a closed listener: got %v, want a refused connection", err)
	}
}
