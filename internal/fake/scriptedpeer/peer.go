// Package scriptedpeer starts loopback servers whose responses a test scripts byte by byte, and offers bounded waits
// for events.
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

// WaitTimeout bounds each wait for an event that must happen.
const WaitTimeout = 20 * time.Second

// DiscardLog is a logger without output.
var DiscardLog = slog.New(slog.DiscardHandler)

// ClosedAddress returns an address on which nothing listens.
func ClosedAddress(t testing.TB) string {
	t.Helper()
	addr, err := freeport.Free()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// StartHTTP starts an HTTP server, which ends with the test, and returns its address.
func StartHTTP(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// StartTCP starts a TCP server, whose listener closes with the test, and returns its address. Each connection is closed
// when handle returns.
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

// ReadRequest reads a complete HTTP request and discards its body.
func ReadRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// Receive returns the next value of a channel, and fails the test when none comes within WaitTimeout.
func Receive[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("%s: nothing received within %v", what, WaitTimeout)
		panic("unreachable")
	}
}

// Eventually waits until condition holds, and fails the test when it does not within WaitTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, WaitTimeout)
		}
	}
}
