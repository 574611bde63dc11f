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

// requestLedger records how often an endpoint received each request, by its ID, and which rules were broken.
type requestLedger struct {
	mu         sync.Mutex
	received   map[string]int
	violations []string
}

func (l *requestLedger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// behaviors are what an endpoint may do with a request, by the path. Each reports whether the connection stays open.
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

// weightedBehaviors are the behaviors in the frequencies in which they are drawn.
var weightedBehaviors = []string{
	"ok", "ok", "ok", "twice", "twice", "surplus", "close", "reset", "half", "noise", "never",
}

func responseFor(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// serve is the endpoint's side of a connection. It sends the second response to a request "late" when it has received
// the next request on the connection.
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

// attempt makes one attempt, and reports what broke a rule: a response to another request, a request that was received
// twice, or one that was received although its status means that it never ran.
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

// randomEvents makes attempts, cancellations, drops and other events happen in an order drawn from a seed.
type randomEvents struct {
	ledger           *requestLedger
	pool             *Pool
	addr             string
	rng              *rand.Rand
	target           *Target   // of the attempts
	droppedTargets   []*Target // the targets before it
	attemptsInFlight sync.WaitGroup
}

// runRandomEvents makes the events of a seed happen, at an endpoint and in a pool of their own.
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

// startAttempt starts an attempt of a drawn behavior, and may cancel it at a drawn instant.
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

// interfere makes one drawn event happen beside the attempts, or none.
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

// checkConnections reports connections that are counted wrongly, or stay open after all targets are dropped. No attempt
// may be in flight.
func (e *randomEvents) checkConnections() {
	pool := e.pool
	pool.mu.Lock()
	if idle := len(e.target.idle); pool.openConns != idle || pool.idleConns != idle {
		e.ledger.addViolation("%d connections open, %d counted as idle, %d idle", pool.openConns, pool.idleConns, idle)
	}
	pool.mu.Unlock()
	for _, target := range append(e.droppedTargets, e.target) {
		target.Drop()
	}
	if pool.openConns != 0 || len(pool.idleTargets) != 0 {
		e.ledger.addViolation("%d connections left", pool.openConns)
	}
}

// misdeliver has a response arrive on a connection after the next request was written to it. Without a reuse delay, the
// request is served with that response. It returns both requests' IDs.
func (e *randomEvents) misdeliver(t *testing.T, seed uint64) (lateID, nextID string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scriptedpeer.WaitTimeout)
	defer cancel()
	e.pool.SetKeepIdle(false) // no other connection is idle then
	e.pool.SetKeepIdle(true)
	lateID = fmt.Sprintf("%d-late", seed)
	nextID = fmt.Sprintf("%d-next", seed)
	e.ledger.attempt(ctx, e.pool, e.target, lateID, "late")
	e.ledger.attempt(ctx, e.pool, e.target, nextID, "never")
	return lateID, nextID
}

// In whatever order events happen on connections to an endpoint, each request is written once at most, none is
// served with the response to another, none whose status means that it never ran was received, and no connection is
// leaked. TestMisdeliveryAmongRandomEvents shows that the check detects a fault.
func TestConnectionsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		events := runRandomEvents(t, seed, DefaultReuseDelay)
		events.checkConnections()
		for _, violation := range events.ledger.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// The check of TestConnectionsUnderRandomEvents detects a response that is delivered to another request, where
// connections are reused without a delay.
func TestMisdeliveryAmongRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		events := runRandomEvents(t, seed, 0)
		lateID, nextID := events.misdeliver(t, seed)
		events.checkConnections()
		want := fmt.Sprintf("%s (never) was served with %q", nextID, lateID)
		if !slices.Contains(events.ledger.violations, want) {
			t.Errorf("seed %d: not detected: %s", seed, want)
		}
	}
}
