package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/monotime"
)

// newPool returns a pool with usual options, which edits may change.
func newPool(edits ...func(*Options)) *Pool {
	o := Options{
		Clock:       clock.New(),
		Log:         scriptedpeer.DiscardLog,
		DialTimeout: time.Second,
		KeepAlive:   15 * time.Second,
		MaxConns:    504,
		LoadFields:  []string{"busy_reqs", "served_ps", "cpu_share"},
	}
	for _, edit := range edits {
		edit(&o)
	}
	return New(o)
}

// newTarget returns a target for an endpoint at addr, in a pool of endpoints without a name.
func (p *Pool) newTarget(addr string) *Target { return p.Target("", addr).(*Target) }

// newAttempt returns an attempt that may be sent, with a deadline in one second.
func (p *Pool) newAttempt(target core.Target) *core.AttemptContext {
	return &core.AttemptContext{
		Target:    target,
		Deadline:  p.options.Clock.Now() + monotime.Second,
		ClaimSend: func(monotime.Micros) bool { return true },
	}
}

// sendOnce makes one attempt with a deadline in one second.
func (p *Pool) sendOnce(request *BufferedRequest, target core.Target) engine.AttemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), scriptedpeer.WaitTimeout)
	defer cancel()
	return p.SendBuffered(ctx, p.newAttempt(target), request)
}

// newIdempotentPost returns a POST request with an idempotency key.
func newIdempotentPost(body string) *BufferedRequest {
	return &BufferedRequest{Method: "POST", URI: "/book", Host: "origin.svc", Body: []byte(body),
		Header: http.Header{"X-Trace-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

// newPlainGet returns a GET request for SendBuffered.
func newPlainGet() *BufferedRequest {
	return &BufferedRequest{Method: "GET", URI: "/look", Host: "origin.svc", Header: http.Header{"X-Trace-Id": {"1"}}}
}

// newForwardedGet returns a GET request for Send.
func newForwardedGet() *Request {
	policy := &ResponsePolicy{MaxBuffered: 1 << 10}
	return &Request{Method: "GET", URI: "/look", Host: "origin.svc", Header: http.Header{}, Policy: policy}
}

// readOneRequestAndClose is an endpoint that reads one request and closes the connection without a response.
func readOneRequestAndClose(_ *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) }

// okResponse is a complete response with status 200.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A request to an endpoint must not reach another endpoint that listens at the same address later, and no
// connection to an endpoint that has gone may stay open.
func TestGoneEndpointsConnections(t *testing.T) {
	var dials atomic.Int32
	addr := startRespondingEndpoint(t, &dials)
	pool := newPool()
	oldTarget := pool.newTarget(addr)
	newTarget := pool.newTarget(addr)
	ctx := context.Background()
	pool.sendOnce(newPlainGet(), oldTarget)
	if pool.sendOnce(newPlainGet(), newTarget); dials.Load() != 2 {
		t.Errorf("%d connections to two endpoints at one address, want 2", dials.Load())
	}
	connInFlight, err := pool.Get(ctx, oldTarget)
	if err != nil {
		t.Fatal(err)
	}
	oldTarget.Drop()
	pool.Put(connInFlight)
	if pool.openConns != 1 || len(oldTarget.idle) != 0 {
		t.Errorf("%d connections open, %d idle to a dropped target, want 1 and 0", pool.openConns, len(oldTarget.idle))
	}
	if r := pool.sendOnce(newPlainGet(), oldTarget); r.Status != balancer.NotSent {
		t.Errorf("status %v for a dropped target, want NotSent", r.Status)
	}
	droppedInDial := pool.newTarget(addr)
	dial := pool.options.Dial
	pool.options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		droppedInDial.Drop()
		return dial(ctx, network, addr)
	}
	if r := pool.sendOnce(newPlainGet(), droppedInDial); r.Status != balancer.NotSent || pool.openConns != 1 {
		t.Errorf("target dropped in the dial: status %v, %d connections, want NotSent and 1", r.Status, pool.openConns)
	}
}

// A shortage of connections, descriptors or ports in this process must not count as a failure of the endpoint.
func TestShortageIsNoFault(t *testing.T) {
	pool := newPool()
	target := pool.newTarget(scriptedpeer.StartTCP(t, readOneRequestAndClose))
	pool.options.MaxConns = 0
	if r := pool.sendOnce(newPlainGet(), target); r.Status != balancer.NotSent {
		t.Errorf("all connections in use: status %v, want NotSent", r.Status)
	}
	pool.options.MaxConns = 1
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
		pool.options.Dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", e)}
		}
		if r := pool.sendOnce(newPlainGet(), target); r.Status != balancer.NotSent {
			t.Errorf("%v: status %v, want NotSent", e, r.Status)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	pool.options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		return nil, ctx.Err()
	}
	r := pool.SendBuffered(ctx, pool.newAttempt(target), newPlainGet())
	if r.Status != balancer.NotSent {
		t.Errorf("a canceled dial: status %v, want NotSent", r.Status)
	}
}

// An idle connection that the endpoint has closed must not be used. The request would be lost, and it would not
// be known whether it ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		io.WriteString(c, okResponse)
		c.Close()
		closed <- struct{}{}
	})
	pool := newPool()
	target := pool.newTarget(addr)
	for i := range 3 {
		if r := pool.sendOnce(newPlainGet(), target); r.Status != balancer.OK {
			t.Fatalf("request %d: status %v", i, r.Status)
		}
		scriptedpeer.Receive(t, closed, "close")
	}
}

// startRespondingEndpoint starts an endpoint that responds to every request and counts its connections in
// dials. It returns the address of the endpoint.
func startRespondingEndpoint(t testing.TB, dials *atomic.Int32) string {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		dials.Add(1)
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, okResponse)
		}
	})
}

// An idle connection must expire well before the endpoint closes it: an expired connection is not used, and the
// sweep closes it.
func TestIdleConnectionIsRetired(t *testing.T) {
	var dials atomic.Int32
	addr := startRespondingEndpoint(t, &dials)
	pool := newPool()
	target := pool.newTarget(addr)
	if limit := 12 * time.Second; pool.maxIdleTime > limit {
		t.Errorf("maximum idle time %v, want at most 12 s for an endpoint that closes after 15 s", pool.maxIdleTime)
	}
	expireIdleConns := func() {
		for _, c := range target.idle {
			c.idleSince = c.idleSince.Add(-pool.maxIdleTime)
		}
	}
	pool.sendOnce(newPlainGet(), target)
	pool.sendOnce(newPlainGet(), target)
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections for two successive requests, want 1", n)
	}
	expireIdleConns()
	pool.sendOnce(newPlainGet(), target)
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after the first one expired, want 2", n)
	}
	expireIdleConns()
	if pool.sweep(); pool.openConns != 0 {
		t.Errorf("%d connections open after the sweep, want 0", pool.openConns)
	}
}

// mustGet returns a connection from the pool, or ends the test if there is none.
func (p *Pool) mustGet(t *testing.T, target *Target) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), target)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// An attempt that is canceled before its first byte is written has not used its connection. The idle time of
// the connection continues, since the endpoint has received nothing: the connection expires as if it had stayed
// in the pool, and a connection that was used later is preferred.
func TestUnusedConnectionKeepsItsAge(t *testing.T) {
	var dials atomic.Int32
	addr := startRespondingEndpoint(t, &dials)
	pool := newPool()
	target := pool.newTarget(addr)
	pool.sendOnce(newPlainGet(), target)
	target.idle[0].idleSince = target.idle[0].idleSince.Add(-pool.maxIdleTime * 3 / 4)
	lastUsed := target.idle[0].idleSince
	canceled := pool.newAttempt(target)
	canceled.ClaimSend = func(monotime.Micros) bool { return false }
	r := pool.SendBuffered(context.Background(), canceled, newPlainGet())
	if r.Status != balancer.NotSent || len(target.idle) != 1 || !target.idle[0].idleSince.Equal(lastUsed) {
		t.Fatalf("status %v; idle since %v, last used at %v", r.Status, target.idle[0].idleSince, lastUsed)
	}
	olderConn := pool.mustGet(t, target)
	newerConn := pool.mustGet(t, target)
	pool.Put(newerConn)
	pool.putUnused(olderConn)
	if pool.mustGet(t, target) != newerConn {
		t.Error("a connection that was returned unused was preferred to one used later")
	}
	pool.Put(newerConn)
	olderConn.idleSince = olderConn.idleSince.Add(-pool.maxIdleTime / 2)
	if pool.sweep(); len(target.idle) != 1 || target.idle[0] != newerConn {
		t.Errorf("%d idle connections after the older one expired, want only the newer one", len(target.idle))
	}
}

// The most recently used connection must be used next, so that connections that are not needed expire.
func TestLatestConnectionFirst(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, readOneRequestAndClose)
	pool := newPool()
	target := pool.newTarget(addr)
	first := pool.mustGet(t, target)
	second := pool.mustGet(t, target)
	pool.Put(first)
	pool.Put(second)
	if pool.mustGet(t, target) != second {
		t.Error("the connection used last was not used next")
	}
}

// The number of connections is limited, since each needs a descriptor. At the limit, an idle connection to
// another endpoint is closed to open a new one.
func TestConnectionsAreBounded(t *testing.T) {
	pool := newPool()
	firstTarget := pool.newTarget(scriptedpeer.StartTCP(t, readOneRequestAndClose))
	secondTarget := pool.newTarget(scriptedpeer.StartTCP(t, readOneRequestAndClose))
	pool.options.MaxConns = 2
	ctx := context.Background()
	first, err := pool.Get(ctx, firstTarget)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Get(ctx, firstTarget); err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Get(ctx, secondTarget); !errors.Is(err, errConnLimit) {
		t.Fatalf("third connection: error %v, want %v", err, errConnLimit)
	}
	pool.Put(first)
	if _, err := pool.Get(ctx, secondTarget); err != nil {
		t.Errorf("third connection while another one is idle: %v", err)
	}
	if pool.openConns != 2 {
		t.Errorf("%d connections counted, want 2", pool.openConns)
	}
	// A failed dial must not be counted as a connection.
	pool.options.MaxConns = 3
	if _, err := pool.Get(ctx, pool.newTarget(scriptedpeer.ClosedAddress(t))); err == nil {
		t.Error("connecting to a closed port succeeded")
	}
	if pool.openConns != 2 {
		t.Errorf("%d connections counted after a failed dial, want 2", pool.openConns)
	}
}

// The number of idle connections is limited to the sum of the limits of all owners. The connection that has
// been idle for longest is closed first. A limit below 1 shortens the idle time of one connection.
func TestIdleConnectionsAreBounded(t *testing.T) {
	pool := newPool()
	ctx := context.Background()
	var conns []*Conn
	for range 5 {
		addr := scriptedpeer.StartTCP(t, readOneRequestAndClose)
		c, err := pool.Get(ctx, pool.newTarget(addr))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	pool.LimitIdle("a", 1.2)
	pool.LimitIdle("b", 2.1)
	for _, c := range conns {
		pool.Put(c)
	}
	if pool.openConns != 3 || pool.idleConns != 3 {
		t.Errorf("%d connections open, %d idle, want 3 of each", pool.openConns, pool.idleConns)
	}
	for i, c := range conns {
		if idle := len(c.target.idle) == 1; idle != (i >= 2) {
			t.Errorf("connection %d: idle is %v", i, idle)
		}
	}
	pool.LimitIdle("b", 0)
	if pool.openConns != 1 || pool.idleConns != 1 {
		t.Errorf("%d connections open, %d idle after the limit was lowered, want 1 of each",
			pool.openConns, pool.idleConns)
	}
	if got, err := pool.Get(ctx, conns[4].target); err != nil || got != conns[4] || pool.idleConns != 0 {
		t.Errorf("the remaining idle connection is not used again (error %v, %d idle)", err, pool.idleConns)
	}
	unlimitedIdleTime := newPool().maxIdleTime
	if pool.LimitIdle("a", 0.25); pool.maxIdleTime != unlimitedIdleTime/4 || pool.maxIdle != 1 {
		t.Errorf("limit of 0.25: %d idle connections for %v, want 1 for %v", pool.maxIdle, pool.maxIdleTime,
			unlimitedIdleTime/4)
	}
}

// An endpoint may send two responses to a request, some milliseconds apart. A request that is written to the
// connection in between would be served with the second response. So a connection must not be reused before its
// reuse delay has passed, nor after a second response has arrived. The test covers both ways of reading
// responses.
func TestLateSecondResponse(t *testing.T) {
	for name, send := range map[string]func(pool *Pool, target core.Target) (balancer.Status, string){
		"SendBuffered": func(pool *Pool, target core.Target) (balancer.Status, string) {
			r := pool.sendOnce(newPlainGet(), target)
			response, _ := r.Response.(*BufferedResponse)
			if response == nil {
				return r.Status, ""
			}
			return r.Status, string(response.Body)
		},
		"Send": func(pool *Pool, target core.Target) (balancer.Status, string) {
			r := pool.Send(context.Background(), pool.newAttempt(target), newForwardedGet())
			response, _ := r.Response.(*Response)
			if response == nil {
				return r.Status, ""
			}
			return r.Status, string(response.Buffered)
		},
	} {
		t.Run(name, func(t *testing.T) { testLateSecondResponse(t, send) })
	}
}

// testLateSecondResponse makes three attempts with send, which returns the status and the response body. The
// body is the number of the connection. A second response arrives on connection 1 only.
func testLateSecondResponse(t *testing.T, send func(pool *Pool, target core.Target) (balancer.Status, string)) {
	t.Helper()
	const reuseDelay = 300 * time.Millisecond // much longer than a usual pause of the machine
	pool := newPool(func(o *Options) { o.ReuseDelay = reuseDelay })
	var conns atomic.Int32
	target := pool.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		respondTwiceOnFirstConn(c, r, conns.Add(1), reuseDelay/3)
	}))
	// The second attempt waits for connection 1. A second response arrives on it meanwhile, so that the attempt
	// uses connection 2.
	for i, want := range []string{"1", "2"} {
		if status, got := send(pool, target); status != balancer.OK || got != want {
			t.Fatalf("request %d: status %v, %q, want %q", i, status, got, want)
		}
	}
	time.Sleep(reuseDelay) // connection 2 can be used again
	if status, got := send(pool, target); status != balancer.OK || got != "2" {
		t.Errorf("last request: status %v, body %q, want a response on connection 2", status, got)
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.openConns != len(target.idle) {
		t.Errorf("%d connections open, %d idle", pool.openConns, len(target.idle))
	}
}

// respondTwiceOnFirstConn serves connection number conn of an endpoint. The body of each response is that
// number. On connection 1, a second response to the first request follows after a delay, or as soon as the next
// request arrives.
func respondTwiceOnFirstConn(c *net.TCPConn, r *bufio.Reader, conn int32, delay time.Duration) {
	for first := true; ; first = false {
		if _, err := scriptedpeer.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", conn))
		if first && conn == 1 {
			c.SetReadDeadline(time.Now().Add(delay))
			r.Peek(1)
			c.SetReadDeadline(time.Time{})
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	}
}

// An attempt waits until the reuse delay of a connection has passed, since a new connection costs more. The
// wait must not count as latency of the endpoint. An attempt that is canceled during the wait must leave the
// connection unused.
func TestReuseDelayIsWaitedFor(t *testing.T) {
	var dials atomic.Int32
	const reuseDelay = 100 * time.Millisecond
	pool := newPool(withThreadsDirectory(t.TempDir()), func(o *Options) {
		o.ReuseDelay = reuseDelay
		o.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
	})
	target := pool.newTarget(startRespondingEndpoint(t, &atomic.Int32{}))
	send := func(ctx context.Context) engine.AttemptResult {
		return pool.Send(ctx, pool.newAttempt(target), newForwardedGet())
	}
	for i := range 4 {
		start := time.Now()
		r := send(context.Background())
		if r.Status != balancer.OK {
			t.Fatalf("request %d: status %v", i, r.Status)
		}
		if took := time.Since(start); i > 0 && (took < reuseDelay/2 || r.ObservedAt-r.SentAt > took.Microseconds()/2) {
			t.Errorf("request %d: took %v, of which %d µs count as latency of the endpoint",
				i, took, r.ObservedAt-r.SentAt)
		}
	}
	canceledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	if r := send(canceledCtx); r.Status != balancer.NotSent {
		t.Errorf("canceled attempt: status %v, want NotSent", r.Status)
	}
	if r := send(context.Background()); r.Status != balancer.OK {
		t.Errorf("attempt after the canceled one: status %v, want OK", r.Status)
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d dials, want 1", n)
	}
}
