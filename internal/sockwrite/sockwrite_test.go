package sockwrite

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
)

const (
	testIdleTimeout = 300 * time.Millisecond
	testBytes       = 16 << 20 // more than the kernel buffers
)

// connect returns a write on one end of a TCP connection, and the other end.
func connect(t *testing.T) (write *Write, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	peer, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	return &Write{Conn: conn, Raw: raw, IdleTimeout: testIdleTimeout}, peer
}

// A write to a peer that reads slowly for much longer than the idle timeout succeeds.
func TestSlowPeerIsWaitedFor(t *testing.T) {
	write, peer := connect(t)
	var written atomic.Int64
	write.OnWritten = func(n int) { written.Add(int64(n)) }
	go func() {
		for end := time.Now().Add(4 * testIdleTimeout); time.Now().Before(end); time.Sleep(testIdleTimeout / 30) {
			_, _ = io.CopyN(io.Discard, peer, 4<<10)
		}
		_, _ = io.Copy(io.Discard, peer)
	}()
	startedAt := time.Now()
	if err := write.Do(make([]byte, testBytes)); err != nil || written.Load() != testBytes {
		t.Errorf("%d of %d bytes written after %v, %v", written.Load(), testBytes, time.Since(startedAt), err)
	}
	if took := time.Since(startedAt); took < 2*testIdleTimeout {
		t.Errorf("written in %v: the peer was not slow", took)
	}
}

// A write to a peer that reads nothing fails after the idle timeout.
func TestPeerThatStopsEndsTheWrite(t *testing.T) {
	write, _ := connect(t)
	startedAt := time.Now()
	err := write.Do(make([]byte, testBytes))
	if took := time.Since(startedAt); !errors.Is(err, os.ErrDeadlineExceeded) || took < testIdleTimeout {
		t.Errorf("%v after %v", err, took)
	}
}

func TestAbortedWriteEnds(t *testing.T) {
	write, _ := connect(t)
	var aborted atomic.Bool
	write.Aborted = aborted.Load
	write.IdleTimeout = time.Hour
	write.OnWritten = func(int) {
		aborted.Store(true)
		write.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	if err := write.Do(make([]byte, testBytes)); !errors.Is(err, ErrAborted) {
		t.Errorf("%v, want ErrAborted", err)
	}
}
