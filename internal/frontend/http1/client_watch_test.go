package http1

import (
	"bufio"
	"net"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/timesharing"
)

// Guards against a process that does not end, because a watch that polls the socket of an upload does not notice that
// the process itself has closed it.
func TestWatchOfUploadEndsWithItsConnection(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(_ *net.TCPConn, r *bufio.Reader) {
		_, _ = r.ReadByte() // until the end of the connection
	})
	netConn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	c := &conn{Conn: netConn, input: newPeekableConn(netConn, &timesharing.Turn{})}
	watch := c.newClientWatch(false)
	watch.start()
	if watch.clientDisconnected() {
		t.Error("disconnected before the end of the connection")
	}
	netConn.Close()
	if err := scriptedpeer.Receive(t, watch.disconnected, "the end of the connection"); err == nil {
		t.Error("disconnected without a reason")
	}
	watch.stop()
}
