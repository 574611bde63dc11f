package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/scriptedpeer"
)

// requestLedger records how often an endpoint received each request, by request ID, and the violations found so
// far.
type requestLedger struct {
	mu         sync.Mutex
	received   map[string]int
	violations []string
}

// addViolation records a formatted violation.
func (l *requestLedger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// endpointBehaviors are the possible reactions of an endpoint to a request, by the path of the request. Each
// function reports whether the connection stays open.
var endpointBehaviors = map[string]func(c *net.TCPConn, id string) (keepOpen bool){
	"ok": func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)); return true },
	"twice": func(c *net.TCPConn, id string) bool {
		io.WriteString(c, responseFor(id))
		time.Sleep(2 * time.Millisecond) // well within DefaultReuseDelay, unless the machine pauses
		io.WriteString(c, responseFor(id))
		return true
	},
	"surplus": func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)+"noise"); return true },
	"close":   func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)); return false },
	"reset":   func(c *net.TCPConn, id string) bool { c.SetLinger(0); return false },
	"half":    func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)[:20]); return false },
	"noise":   func(c *net.TCPConn, id string) bool { io.WriteString(c, "noise\r\n\r\n"); return true },
	"never":   func(c *net.TCPConn, id string) bool { return true },
	"late":    func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)); return true }, // see serve
}

// weightedBehaviors are the behaviors that attempts are assigned at random, repeated according to their
// weights.
var weightedBehaviors = []string{
	"ok", "ok", "ok", "twice", "twice", "surplus", "close", "reset", "half", "noise", "never",
}

// responseFor returns a 200 response with id as its body.
func responseFor(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// serve serves a connection of the endpoint. It sends a late response to a request with path /late once it has
// received the next request on the connection.
func (l *requestLedger) serve(c *net.TCPConn, r *bufio.Reader) {
	var lateResponse string
	for {
		req, err := scriptedpeer.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, lateResponse)
		lateResponse = ""
		id := req.Header.Get("X-Trace-Id")
		if req.URL.Path == "/late" {
			lateResponse = responseFor(id)
		}
		l.mu.Lock()
		l.received[id]++
		l.mu.Unlock()
		if !endpointBehaviors[req.URL.Path[1:]](c, id) {
			return
		}
	}
}

// attempt makes one attempt and records violations: a response to another request, a request that was received
// more than once, or a request that was received although the status means that it never ran.
func (l *requestLedger) attempt(ctx context.Context, pool *Pool, target *Target, id, behavior string) {
	r := pool.Send(ctx, pool.newAttempt(target), &Request{
		Method: "GET",
		URI:    "/" + behavior,
		Host:   "origin.svc",
		Header: http.Header{"X-Trace-Id": {id}},
		Policy: &ResponsePolicy{MaxBuffered: 1 << 10, BufferSlowResponses: true, IdleTimeout: time.Second},
	})
	response, _ := r.Response.(*Response)
	if r.Status == balancer.OK && string(response.Buffered) != id {
		l.addViolation("%s (%s) was served with %q", id, behavior, response.Buffered)
	}
	l.mu.Lock()
	n := l.received[id]
	l.mu.Unlock()
	neverRan := r.Status == balancer.ConnectFailed || r.Status == balancer.NotSent
	if n > 1 || neverRan && n > 0 {
		l.addViolation("%s (%s): status %v, received %d times", id, behavior, r.Status, n)
	}
}

// randomEvents starts attempts, and triggers cancellations, drops and other events in an order drawn from a
// seed.
type randomEvents struct {
	ledger           *requestLedger
	pool             *Pool
	addr             string
	rng              *rand.Rand
	target           *Target   // target of new attempts
	droppedTargets   []*Target // previous targets
	attemptsInFlight sync.WaitGroup
}

// runRandomEvents runs the events of a seed with a new endpoint and a new pool.
func runRandomEvents(t *testing.T, seed uint64, reuseDelay time.Duration) *randomEvents {
	t.Helper()
	ledger := &requestLedger{received: map[string]int{}}
	e := &randomEvents{
		ledger: ledger,
		addr:   scriptedpeer.StartTCP(t, ledger.serve),
		rng:    rand.New(rand.NewPCG(seed, 37)),
	}
	e.pool = newPool(func(o *Options) {
		o.ReuseDelay = reuseDelay
		o.MaxConns = 6
	})
	e.target = e.pool.newTarget(e.addr)
	for i := range 60 {
		e.startAttempt(fmt.Sprintf("%d-%d", seed, i))
		e.triggerRandomEvent()
	}
	e.attemptsInFlight.Wait()
	return e
}

// startAttempt starts an attempt with a random behavior. It may cancel the attempt after a random time.
func (e *randomEvents) startAttempt(id string) {
	behavior := weightedBehaviors[e.rng.IntN(len(weightedBehaviors))]
	ctx, cancel := context.WithCancel(context.Background())
	if e.rng.IntN(3) == 0 || behavior == "never" {
		time.AfterFunc(time.Duration(e.rng.IntN(3000))*time.Microsecond, cancel)
	}
	target := e.target
	e.attemptsInFlight.Go(func() {
		defer cancel()
		e.ledger.attempt(ctx, e.pool, target, id, behavior)
	})
}

// triggerRandomEvent triggers one random event, or none, while attempts are in flight.
func (e *randomEvents) triggerRandomEvent() {
	switch e.rng.IntN(12) {
	case 0:
		e.target.Drop()
		e.droppedTargets = append(e.droppedTargets, e.target)
		e.target = e.pool.newTarget(e.addr)
	case 1:
		e.pool.SetKeepIdle(false)
		e.pool.SetKeepIdle(true)
	case 2:
		e.target.AttemptTimedOut(time.Now())
	case 3:
		e.pool.sweep()
	case 4, 5:
		e.attemptsInFlight.Wait()
	}
}

// checkConnections records connections that are counted wrongly, or stay open after all targets have been
// dropped. No attempt may be in flight.
func (e *randomEvents) checkConnections() {
	pool := e.pool
	pool.mu.Lock()
	if idle := len(e.target.idle); pool.openConns != idle || pool.idleConns != idle {
		e.ledger.addViolation("%d connections open, %d counted as idle, want both to be %d",
			pool.openConns, pool.idleConns, idle)
	}
	pool.mu.Unlock()
	for _, target := range append(e.droppedTargets, e.target) {
		target.Drop()
	}
	if pool.openConns != 0 || len(pool.idleTargets) != 0 {
		e.ledger.addViolation("%d connections are still counted after all targets were dropped", pool.openConns)
	}
}

// misdeliver makes a response arrive on a connection after the next request was written to it. Without a reuse
// delay, that response is served for the next request. misdeliver returns the IDs of both requests.
func (e *randomEvents) misdeliver(t *testing.T, seed uint64) (lateID, nextID string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scriptedpeer.WaitTimeout)
	defer cancel()
	e.pool.SetKeepIdle(false) // closes all other idle connections
	e.pool.SetKeepIdle(true)
	lateID = fmt.Sprintf("%d-late", seed)
	nextID = fmt.Sprintf("%d-next", seed)
	e.ledger.attempt(ctx, e.pool, e.target, lateID, "late")
	e.ledger.attempt(ctx, e.pool, e.target, nextID, "never")
	return lateID, nextID
}

// For any order of events: each request is written at most once, no request is served with the response to
// another request, no request is received whose status means that it never ran, and no connection is leaked.
// TestMisdeliveryAmongRandomEvents shows that these checks detect a violation.
func TestConnectionsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		events := runRandomEvents(t, seed, DefaultReuseDelay)
		events.checkConnections()
		for _, violation := range events.ledger.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// Verifies that the checks of TestConnectionsUnderRandomEvents detect a response that is delivered to another
// request. For this, connections are reused without a delay.
func TestMisdeliveryAmongRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		events := runRandomEvents(t, seed, 0)
		lateID, nextID := events.misdeliver(t, seed)
		events.checkConnections()
		want := fmt.Sprintf("%s (never) was served with %q", nextID, lateID)
		if !slices.Contains(events.ledger.violations, want) {
			t.Errorf("seed %d: violation not detected: %s", seed, want)
		}
	}
}
