package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/monotime"
)

// Guards against a late second response that is served for the next request. After an endpoint has sent a
// second response, its connections are reused only after DistrustedReuseDelay.
func TestSecondResponseMakesReuseLate(t *testing.T) {
	var dials atomic.Int32
	pool := newPool(func(o *Options) { o.DistrustedReuseDelay = time.Hour })
	target := pool.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		first := dials.Add(1) == 1
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			response := okResponse
			if first {
				response += okResponse
			}
			io.WriteString(c, response)
		}
	}))
	send := func(wantDials int32) {
		t.Helper()
		r := pool.Send(context.Background(), pool.newAttempt(target), newForwardedGet())
		if n := dials.Load(); r.Status != balancer.OK || n != wantDials {
			t.Fatalf("status %v on %d connections, want %v on %d", r.Status, n, balancer.OK, wantDials)
		}
	}
	send(1)
	if n := pool.SurplusResponses(); n != 1 {
		t.Errorf("%d surplus responses counted, want 1", n)
	}
	send(2)
	send(3)
	for _, c := range target.idle {
		c.lastResponse = c.lastResponse.Add(-2 * time.Hour)
	}
	send(3)
}

// Guards against a second response that arrives while this process is paused between the inspection of a
// connection and the write. The request must not be written, so that it can be sent again.
func TestSecondResponseBeforeTheWrite(t *testing.T) {
	var received atomic.Int32
	respondAgain := make(chan struct{})
	respondedAgain := make(chan struct{})
	pool := newPool()
	target := pool.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			received.Add(1)
			io.WriteString(c, okResponse)
			<-respondAgain
			io.WriteString(c, okResponse)
			close(respondedAgain)
		}
	}))
	if r := pool.Send(context.Background(), pool.newAttempt(target), newForwardedGet()); r.Status != balancer.OK {
		t.Fatalf("first request: status %v", r.Status)
	}
	pausedAttempt := pool.newAttempt(target)
	pausedAttempt.ClaimSend = func(monotime.Micros) bool {
		close(respondAgain)
		<-respondedAgain
		return true
	}
	r := pool.Send(context.Background(), pausedAttempt, newForwardedGet())
	if n := received.Load(); r.Status != balancer.ConnectFailed || n != 1 {
		t.Errorf("status %v after %d requests, want %v after 1", r.Status, n, balancer.ConnectFailed)
	}
}

// Guards against reuse of a connection before its reuse delay has passed because many other connections are in
// theirs: a second response may follow. With ReuseDelayOptional, an attempt opens a new connection rather than
// wait, and prefers an idle connection whose reuse delay has passed to a new one.
func TestOptionalReuseDelay(t *testing.T) {
	const connections = 40
	pool := newPool(func(o *Options) {
		o.ReuseDelay = time.Hour
		o.ReuseDelayOptional = true
	})
	target := pool.newTarget(scriptedpeer.StartTCP(t, readOneRequestAndClose))
	used := map[*Conn]bool{}
	for i := range connections {
		c := pool.mustGet(t, target)
		if used[c] {
			t.Fatalf("one of %d connections in their reuse delays was used", i)
		}
		used[c] = true
		pool.Put(c)
	}
	pool.mu.Lock()
	reusable := target.idle[2]
	reusable.lastResponse = reusable.lastResponse.Add(-2 * time.Hour)
	pool.mu.Unlock()
	c := pool.mustGet(t, target)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if c != reusable || pool.openConns != connections {
		t.Error("got another connection than the idle one whose reuse delay has passed")
	}
}

// BenchmarkConnectionsOpened reports how many connections are opened per request to an endpoint that sends each
// response once.
func BenchmarkConnectionsOpened(b *testing.B) {
	var dials atomic.Int32
	addr := startRespondingEndpoint(b, &dials)
	pool := newPool(func(o *Options) {
		o.ReuseDelay = DefaultReuseDelay
		o.ReuseDelayOptional = true
	})
	target := pool.newTarget(addr)
	for b.Loop() {
		if r := pool.Send(context.Background(), pool.newAttempt(target), newForwardedGet()); r.Status != balancer.OK {
			b.Fatal(r.Status)
		}
	}
	b.ReportMetric(float64(dials.Load())/float64(b.N), "conns/op")
}
