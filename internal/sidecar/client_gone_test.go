package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// blockedDials delays dials to endpoints until the test releases them, like a slow handshake.
type blockedDials struct {
	dialing   chan struct{} // receives a value for each dial
	release   chan struct{} // closed by the test to let all dials return
	cancelled atomic.Int32  // number of dials that were cancelled while blocked
}

func newBlockedDials() *blockedDials {
	return &blockedDials{dialing: make(chan struct{}, 1000), release: make(chan struct{})}
}

func (h *blockedDials) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	h.dialing <- struct{}{}
	select {
	case <-h.release:
	case <-ctx.Done():
		h.cancelled.Add(1)
		c.Close()
		return nil, ctx.Err()
	}
	return c, nil
}

// startCountingEndpoint starts an endpoint that adds the bytes that it receives to received, and responds to each
// request. It returns the endpoint's address.
func startCountingEndpoint(t *testing.T, received *atomic.Int64) string {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			received.Add(int64(r.Buffered()))
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, okResponse)
		}
	})
}

// requestText returns a request as it is sent on a connection.
func requestText(t *testing.T, r *http.Request) string {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, r.Write(&b))
	return b.String()
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// cancelTimeout is the maximum time from a client's disconnect until its request is cancelled.
const cancelTimeout = 300 * time.Millisecond

// checkCancelled waits until no request is open, and reports an error if that is more than cancelTimeout after the
// client's disconnect.
func (s *testSidecar) checkCancelled(t *testing.T, disconnected time.Time) {
	t.Helper()
	scriptedpeer.Eventually(t, "no request is open", s.idle)
	if took := time.Since(disconnected); took > cancelTimeout {
		t.Errorf("the request was cancelled %v after the disconnect", took)
	}
}

// startHangingEndpoint starts an endpoint that counts requests in received and never responds. It returns the
// endpoint's address.
func startHangingEndpoint(t *testing.T, received *atomic.Int32) string {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			received.Add(1)
		}
	})
}

// largeBody is larger than the buffers between a client and the sidecar.
var largeBody = strings.Repeat("x", 200<<10)

// disconnect is a function that closes the connection of a client with an open request. text encodes a further
// request.
type disconnect func(c *net.TCPConn, text func(*http.Request) string)

// disconnects contains the ways in which a client can disconnect, by subtest name.
var disconnects = map[string]disconnect{
	"closes":      func(c *net.TCPConn, _ func(*http.Request) string) { c.Close() },
	"resets":      func(c *net.TCPConn, _ func(*http.Request) string) { resetConn(c) },
	"half closes": func(c *net.TCPConn, _ func(*http.Request) string) { c.CloseWrite() },
	"closes after the first byte of another request": func(c *net.TCPConn, _ func(*http.Request) string) {
		io.WriteString(c, "G")
		c.Close()
	},
	"closes after another request in two writes": func(c *net.TCPConn, text func(*http.Request) string) {
		nextRequest := text(safeRequest(900))
		io.WriteString(c, nextRequest[:30])
		io.WriteString(c, nextRequest[30:])
		c.Close()
	},
	"half closes after more than is buffered": func(c *net.TCPConn, text func(*http.Request) string) {
		io.WriteString(c, text(request("POST", "/pay", "pay", 900, largeBody[:40<<10])))
		c.CloseWrite()
	},
}

// When a client disconnects while its request waits for a connection to an endpoint, the request is cancelled and
// no part of it is sent, however the client disconnects and whatever it has sent. This also applies if the
// settings do not allow the cancellation of attempts. The request stops counting as open at once, before the
// connection is established.
func TestDisconnectWhileConnecting(t *testing.T) {
	requests := map[string]func() *http.Request{
		"safe":     func() *http.Request { return safeRequest(900) },
		"unsafe":   func() *http.Request { return request("POST", "/pay", "pay", 900, "x") },
		"streamed": func() *http.Request { return request("POST", "/pay", "pay", 900, largeBody) },
	}
	for method, disconnectClient := range disconnects {
		for bodyKind, newRequest := range requests {
			if bodyKind == "streamed" && method != "resets" {
				continue // the client's kernel would not send the FIN before the rest of the body
			}
			for _, cancel := range []string{"true", "false"} {
				t.Run(fmt.Sprintf("%s, %s, cancel %s", method, bodyKind, cancel), func(t *testing.T) {
					t.Parallel()
					checkDisconnectWhileConnecting(t, disconnectClient, newRequest(), cancel)
				})
			}
		}
	}
}

// checkDisconnectWhileConnecting disconnects a client while the dial for its request is blocked, and checks that the
// request is cancelled. cancel is the value of the setting of that name.
func checkDisconnectWhileConnecting(t *testing.T, disconnectClient disconnect, r *http.Request, cancel string) {
	t.Helper()
	var received atomic.Int64
	dials := newBlockedDials()
	cfg := configureStatic(t, instances(startCountingEndpoint(t, &received)), `"cancel":true`, `"cancel":`+cancel)
	s := startDialing(t, cfg, dials.dial)
	c := s.dial(t)
	text := requestText(t, r)
	go io.WriteString(c, text) // blocks for a streamed body, which is not read before the dial has ended
	scriptedpeer.Receive(t, dials.dialing, "dial")
	disconnectClient(c.(*net.TCPConn), func(r *http.Request) string { return requestText(t, r) })
	s.checkCancelled(t, time.Now())
	scriptedpeer.Eventually(t, "the dial is cancelled", func() bool { return dials.cancelled.Load() == 1 })
	close(dials.release)
	// Another client is served. The endpoint would have received bytes of the cancelled request before that.
	s.checkServed(t, "the next request")
	want := int64(len(requestText(t, safeRequest(900))))
	if n := received.Load(); n > 2*want {
		t.Errorf("the endpoint received %d bytes, but the other request has about %d", n, want)
	}
	if n := dials.cancelled.Load(); n != 1 {
		t.Errorf("%d dials were cancelled, want 1", n)
	}
}

// A request that waits for health checks is cancelled when its client disconnects, and is not sent after the
// health checks have ended. On a busy machine the health checks may time out before the client disconnects; such a
// round proves nothing and is repeated.
func TestDisconnectWhileAwaitingProbes(t *testing.T) {
	var mu sync.Mutex
	var receivedAt []time.Time
	release := make(chan struct{})
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/load" {
			<-release
			return
		}
		mu.Lock()
		receivedAt = append(receivedAt, time.Now())
		mu.Unlock()
		io.WriteString(w, "ok")
	})
	defer close(release)
	var endpoints []discovery.Instance // several: a request does not wait for an already running check
	for i := range 8 {
		endpoints = append(endpoints, scripteddiscovery.Up(fmt.Sprint("s-", i), addr))
	}
	for round := 0; ; round++ {
		// Each round has a new sidecar, because a sidecar that has sent requests recently does not wait for health
		// checks.
		s := start(t, configureStatic(t, endpoints,
			`"probes":false`, `"probes":true`,
			`"target":500000,"give-up":1000000`, `"target":1000000,"give-up":9000000`))
		c := s.dial(t)
		mu.Lock()
		receivedBefore := len(receivedAt)
		mu.Unlock()
		io.WriteString(c, requestText(t, safeRequest(9000)))
		scriptedpeer.Eventually(t, "the request is open or received", func() bool {
			counts := s.sidecar.endpointPool.Counts()
			mu.Lock()
			defer mu.Unlock()
			return counts.OpenCalls == 1 || len(receivedAt) > receivedBefore
		})
		c.Close()
		disconnected := time.Now()
		s.checkCancelled(t, disconnected)
		time.Sleep(time.Until(disconnected.Add(cancelTimeout))) // by then the health checks have timed out, too
		mu.Lock()
		afterDisconnect := receivedAt[receivedBefore:]
		mu.Unlock()
		if len(afterDisconnect) == 0 {
			return
		}
		if round == 20 {
			t.Fatalf("in each of %d rounds the request was forwarded, last %v after its client's disconnect",
				round, afterDisconnect[0].Sub(disconnected))
		}
	}
}

// The sidecar also detects the disconnect of a client whose complete streamed body is still in the kernel's buffer.
func TestDisconnectAfterStreamedBody(t *testing.T) {
	var received atomic.Int64
	dials := newBlockedDials()
	s := startDialing(t, configureStatic(t, instances(startCountingEndpoint(t, &received))), dials.dial)
	c := s.dial(t)
	text := requestText(t, request("POST", "/pay", "pay", 900, strings.Repeat("x", 70<<10)))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	scriptedpeer.Receive(t, dials.dialing, "dial")
	c.Close()
	disconnected := time.Now()
	s.checkCancelled(t, disconnected)
	close(dials.release)
	s.checkServed(t, "the next request")
	if n := received.Load(); n > 1000 {
		t.Errorf("the endpoint got %d bytes", n)
	}
}

// When many clients disconnect at once, no request and no client connection stays open.
func TestManyClientsDisconnectAtOnce(t *testing.T) {
	var received atomic.Int64
	dials := newBlockedDials()
	s := startDialing(t, configureStatic(t, instances(startCountingEndpoint(t, &received))), dials.dial)
	const numClients, expectedDials = 40, 4 // the other requests are rejected or not yet read
	var conns []net.Conn
	for range numClients {
		c := s.dial(t)
		io.WriteString(c, requestText(t, request("POST", "/pay", "pay", 900, "x")))
		conns = append(conns, c)
	}
	for range expectedDials {
		scriptedpeer.Receive(t, dials.dialing, "dial")
	}
	for i, c := range conns {
		if i%2 == 0 {
			io.WriteString(c, "POST /p")
		}
		c.Close()
	}
	scriptedpeer.Eventually(t, "no request and no connection is open", func() bool {
		return s.idle() && s.openConnections() == 0
	})
	close(dials.release)
	s.checkServed(t, "the next request")
	if n := received.Load(); n > 1000 {
		t.Errorf("the endpoint got %d bytes", n)
	}
}

// Pipelined requests that wait behind an open request are not sent to an endpoint after the client has
// disconnected, not even after the deadline of the open request.
func TestDisconnectBeforePipelinedRequestsAreRead(t *testing.T) {
	var received atomic.Int32
	addr := startHangingEndpoint(t, &received)
	s := start(t, configureStatic(t, instances(addr), `"cancel":true`, `"cancel":false`))
	c := s.dial(t)
	io.WriteString(c, requestText(t, request("POST", "/pay", "pay", 900, "1")))
	scriptedpeer.Eventually(t, "the first request is received", func() bool { return received.Load() == 1 })
	for range 3 {
		io.WriteString(c, requestText(t, request("POST", "/pay", "pay", 900, "2")))
	}
	c.Close()
	scriptedpeer.Eventually(t, "no connection is open", func() bool { return s.openConnections() == 0 })
	if resp, _ := s.request(t, request("POST", "/pay", "pay", 50, "3")); resp.StatusCode == 200 {
		t.Errorf("status %s from an endpoint that never responds", resp.Status)
	}
	if n := received.Load(); n != 2 {
		t.Errorf("the endpoint received %d requests, want 2: the first and the other client's", n)
	}
}
