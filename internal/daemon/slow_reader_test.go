package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
)

// startLongResponse starts an endpoint that responds with the given number of bytes as fast as they are taken, and
// returns its address.
func startLongResponse(t *testing.T, size int) string {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := scriptedpeer.ReadRequest(r); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = io.WriteString(c, strings.Repeat("x", size))
		}
	})
}

// Guards against a long response that is cut off while its client is reading it slowly: the kernel lets a blocked write
// go on only once a third of its buffer is free, which may take longer than the idle time.
func TestSlowReaderIsNotCutOff(t *testing.T) {
	const (
		size          = 24 << 20
		pieceBytes    = 8 << 10
		pieceInterval = 20 * time.Millisecond
		slowTime      = 5 * time.Second
	)
	endpoint := startLongResponse(t, size)
	_, addr := startRoutedDaemon(t, onePoolConfig+"idle = \"1s\"\n", "ADDRS", `"`+endpoint+`"`)
	conn := dial(t, "tcp", addr)
	conn.send(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	conn.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	var received int64
	for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(pieceInterval) {
		n, err := io.CopyN(io.Discard, resp.Body, pieceBytes)
		if received += n; err != nil {
			t.Fatalf("cut off after %d bytes: %v", received, err)
		}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if received += n; err != nil || received != size {
		t.Errorf("%d of %d bytes received, %v", received, size, err)
	}
}

// A client that reads nothing for the idle time is cut off.
func TestReaderThatStopsIsCutOff(t *testing.T) {
	endpoint := startLongResponse(t, 256<<20)
	d, addr := startRoutedDaemon(t, onePoolConfig+"idle = \"500ms\"\n", "ADDRS", `"`+endpoint+`"`)
	conn := dial(t, "tcp", addr)
	conn.send(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	d.waitIdle(t)
}
