// Package scriptedpeer holds scripted peers for the project's tests: servers on loopback whose every byte a test writes
// by hand, and bounded waits for what must come.
package scriptedpeer

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dunlinsail/internal/fake/freeport"
)

// WaitTimeout bounds every wait for something that must come.
const WaitTimeout = 20 * time.Second

// DiscardLog is a log that nobody reads.
var DiscardLog = slog.New(slog.DiscardHandler)

// ClosedAddress returns an address that refuses connections.
func ClosedAddress(t testing.TB) string {
	t.Helper()
	addr, err := freeport.Free()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// StartHTTP starts a server that speaks plain HTTP, and returns its address.
func StartHTTP(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// StartTCP starts a server whose connections are handled by hand, and closed when the handler returns.
func StartTCP(t testing.TB, handle func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// ReadRequest reads a whole request.
func ReadRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// Receive returns what comes on a channel, and fails the test if nothing does.
func Receive[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}

// Eventually waits until something is so, and fails the test if it never is.
func Eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, WaitTimeout)
		}
	}
}
