package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// sendHeld sends a request of an unsafe class that an endpoint holds until h.release lets it continue, and returns its
// connection and its text.
func (h *host) sendHeld() (conn net.Conn, text string) {
	h.t.Helper()
	requestsBefore := h.endpointRequests()
	conn = h.dial()
	text = requestHead("POST", "/pay/held", "Content-Length: 0\r\n")
	_, err := io.WriteString(conn, text)
	require.NoError(h.t, err)
	scriptedpeer.Eventually(h.t, "request at an endpoint", func() bool { return h.endpointRequests() > requestsBefore })
	return conn, text
}

// checkDuplicateRejected sends a request once more on a new connection, and checks that it is rejected as a duplicate.
func (h *host) checkDuplicateRejected(text string) {
	h.t.Helper()
	conn := h.dial()
	if code, err := exchange(conn, bufio.NewReader(conn), text); code != 409 {
		h.t.Errorf("the ID that came again: status %d, %v", code, err)
	}
}

// Guards against an ID that runs twice because it comes again at the successor, or after its client has left.
func TestOpenIDRunsOnce(t *testing.T) {
	h := newHost(t)
	release := make(chan struct{})
	defer close(release)
	h.release.Store(&release)
	first := h.start().awaitReady()
	_, openText := h.sendHeld()
	abandoned, abandonedText := h.sendHeld()
	abandoned.Close()
	scriptedpeer.Eventually(t, "the end of the abandoned request", func() bool {
		_, metrics := first.adminCall("GET", "/metrics", "")
		return strings.Contains(metrics, "open_requests=1\n")
	})
	h.checkDuplicateRejected(abandonedText)
	h.start().awaitReady()
	h.checkDuplicateRejected(openText)
	h.checkDuplicateRejected(abandonedText)
	if n := h.endpointRequests(); n != 2 {
		t.Errorf("the endpoints got %d requests, want 2", n)
	}
}
