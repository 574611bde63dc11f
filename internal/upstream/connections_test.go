package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/monotime"
)

// requestLedger is the reference: what an endpoint took and what clients were served, by the requests' ids.
type requestLedger struct {
	mu         sync.Mutex
	received   map[string]int
	violations []string
}

func (l *requestLedger) report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// behaviours are what an endpoint may do with a request; each ends the use of a connection but the first two.
var behaviours = map[string]func(c *net.TCPConn, id string) (goesOn bool){
	"ok": func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)); return true },
	"twice": func(c *net.TCPConn, id string) bool {
		io.WriteString(c, responseFor(id))
		time.Sleep(2 * time.Millisecond) // some milliseconds late: time is what it is about
		io.WriteString(c, responseFor(id))
		return true
	},
	"surplus": func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)+"noise"); return true },
	"close":   func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)); return false },
	"reset":   func(c *net.TCPConn, id string) bool { c.SetLinger(0); return false },
	"half":    func(c *net.TCPConn, id string) bool { io.WriteString(c, responseFor(id)[:20]); return false },
	"noise":   func(c *net.TCPConn, id string) bool { io.WriteString(c, "noise\r\n\r\n"); return true },
	"never":   func(c *net.TCPConn, id string) bool { return true },
}

func responseFor(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// runRandomEvents has attempts, withdrawals, drops and pauses meet in an order drawn from a seed, and returns what
// broke a rule: an attempt written twice, a client served with what was not made for it, one not written that is said
// to have run or the other way round, a connection that nobody has.
func runRandomEvents(t *testing.T, seed uint64, settle time.Duration) []string {
	l := &requestLedger{received: map[string]int{}}
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := scriptedpeer.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Trace-Id")
			l.mu.Lock()
			l.received[id]++
			l.mu.Unlock()
			if !behaviours[req.URL.Path[1:]](c, id) {
				return
			}
		}
	})
	names := []string{"ok", "ok", "ok", "twice", "twice", "surplus", "close", "reset", "half", "noise", "never"}
	rng := rand.New(rand.NewPCG(seed, 37))
	u := newPool(func(o *Options) { o.ReuseDelay, o.MaxConns = settle, 6 })
	to := u.newTarget(addr)
	var targets []*Target
	var attempts sync.WaitGroup
	for i := range 60 {
		id, what := fmt.Sprintf("%d-%d", seed, i), names[rng.IntN(len(names))]
		ctx, leave := context.WithCancel(context.Background())
		if rng.IntN(3) == 0 || what == "never" {
			time.AfterFunc(time.Duration(rng.IntN(3000))*time.Microsecond, leave)
		}
		at := to
		attempts.Go(func() {
			defer leave()
			r := u.Send(ctx, &core.AttemptContext{Target: at, Deadline: u.options.Clock.Now() + 1_000_000, ClaimSend: func(monotime.Micros) bool { return true }},
				&Request{Method: "GET", URI: "/" + what, Host: "origin.svc", Header: http.Header{"X-Trace-Id": {id}},
					Policy: &ResponsePolicy{MaxBuffered: 1 << 10, BufferSlowResponses: true, IdleTimeout: time.Second}})
			if a, _ := r.Response.(*Response); r.Status == balancer.OK && string(a.Buffered) != id {
				l.report("%s (%s) was served with %q", id, what, a.Buffered)
			}
			l.mu.Lock()
			n := l.received[id]
			l.mu.Unlock()
			never := r.Status == balancer.ConnectFailed || r.Status == balancer.NotSent
			if n > 1 || never && n > 0 {
				l.report("%s (%s): status %v, taken %d times", id, what, r.Status, n)
			}
		})
		switch rng.IntN(12) {
		case 0:
			to.Drop()
			targets = append(targets, to)
			to = u.newTarget(addr)
		case 1:
			u.SetKeepIdle(false)
			u.SetKeepIdle(true)
		case 2:
			to.AttemptTimedOut(time.Now())
		case 3:
			u.sweep()
		case 4, 5:
			attempts.Wait()
		}
	}
	attempts.Wait()
	u.mu.Lock()
	if rest := len(to.idle); u.openConns != rest || u.idleConns != rest {
		l.violations = append(l.violations, fmt.Sprintf("%d connections open, %d counted at rest, %d there", u.openConns, u.idleConns, rest))
	}
	u.mu.Unlock()
	for _, to := range append(targets, to) {
		to.Drop()
	}
	if u.openConns != 0 || len(u.idleTargets) != 0 {
		l.violations = append(l.violations, fmt.Sprintf("%d connections left", u.openConns))
	}
	return l.violations
}

// Whatever meets on connections to an endpoint, each attempt is written once at most, nobody is served with what was
// made for another, what is said never to have run never did, and no connection is left. The same without the rest
// after an answer is found out.
func TestConnectionsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		for _, wrong := range runRandomEvents(t, seed, DefaultReuseDelay) {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
	for seed := range uint64(12) {
		if len(runRandomEvents(t, seed, 0)) > 0 {
			return
		}
	}
	t.Error("a planted fault, connections that do not rest, was not found")
}
