package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
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
	"dunlinsail/internal/siteconfig"
)

// A figure that is missing or makes no sense must not read as an idle endpoint.
func TestParseLoad(t *testing.T) {
	fields := []string{"busy_reqs", "served_ps", "cpu_share"}
	for _, tc := range []struct{ text, want string }{
		{"TEXT busy_reqs=7, served_ps=2, cpu_share=0.5", "[7 2 0.5]"},
		{"TEXT cpu_share=0.5,busy_reqs=7,served_ps=2", "[7 2 0.5]"},
		{"busy_reqs=0, new=4", "[0 NaN NaN]"},
		{"TEXT busy_reqs=x, served_ps=-1, cpu_share=Inf", "[]"},
		{"TEXT busy_reqs", "[]"},
		{"JSON {}", "[]"},
		{"", "[]"},
	} {
		if got := fmt.Sprint(parseLoad(fields, tc.text)); got != tc.want {
			t.Errorf("parseLoad(%q) = %s, want %s", tc.text, got, tc.want)
		}
	}
}

// newPool returns a pool with edits to its usual options.
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

func (p *Pool) newTarget(addr string) *Target { return p.Target(addr).(*Target) }

// newAttempt returns an attempt with a second of time, which may be sent.
func (p *Pool) newAttempt(to core.Target) *core.AttemptContext {
	return &core.AttemptContext{
		Target:    to,
		Deadline:  p.options.Clock.Now() + monotime.Second,
		ClaimSend: func(monotime.Micros) bool { return true },
	}
}

// sendOnce makes one attempt with a second of time.
func (p *Pool) sendOnce(m *BufferedRequest, to core.Target) engine.AttemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), scriptedpeer.WaitTimeout)
	defer cancel()
	return p.SendBuffered(ctx, p.newAttempt(to), m)
}

func idempotentPost(body string) *BufferedRequest {
	return &BufferedRequest{Method: "POST", URI: "/book", Host: "origin.svc", Body: []byte(body),
		Header: http.Header{"X-Trace-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

func plainGet() *BufferedRequest {
	return &BufferedRequest{Method: "GET", URI: "/look", Host: "origin.svc", Header: http.Header{"X-Trace-Id": {"1"}}}
}

// plainStreamedGet is plainGet for Send.
func plainStreamedGet() *Request {
	policy := &ResponsePolicy{MaxBuffered: 1 << 10}
	return &Request{Method: "GET", URI: "/look", Host: "origin.svc", Header: http.Header{}, Policy: policy}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Each Send is at most one attempt on the wire, also for requests that an http.Transport would send again:
// those of a kept connection that breaks after the request was read.
func TestBrokenIdleConnectionIsNotResent(t *testing.T) {
	for name, m := range map[string]*BufferedRequest{"get": plainGet(), "keyed": idempotentPost("x")} {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int32
			u := newPool()
			to := u.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				for i := 0; i < 2; i++ {
					if _, err := scriptedpeer.ReadRequest(r); err != nil {
						return
					}
					if taken.Add(1); i == 0 {
						io.WriteString(c, okResponse)
					}
				}
			}))
			if r := u.sendOnce(m, to); r.Status != balancer.OK {
				t.Fatalf("first: status %v", r.Status)
			}
			if r := u.sendOnce(m, to); r.Status != balancer.Reset {
				t.Errorf("second: status %v, want Reset", r.Status)
			}
			if n := taken.Load(); n != 2 {
				t.Errorf("the endpoint took %d requests, want 2", n)
			}
		})
	}
}

// truncatingConn is a connection that breaks before the last bytes of a write, or right after them.
type truncatingConn struct {
	net.Conn
	missing int
	after   bool
}

func (s truncatingConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p[:max(0, len(p)-s.missing)])
	if s.missing > 0 || s.after {
		err = net.ErrClosed
	}
	return n, err
}

// Whether a request may have run turns on its last byte.
func TestLastByteDecides(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		c.SetLinger(0) // breaks with a reset
	})
	m := idempotentPost(strings.Repeat("x", 1000))
	for _, tc := range []struct {
		name  string
		lack  int
		after bool
		want  balancer.Status
	}{
		{"all but one byte", 1, false, balancer.ConnectFailed},
		{"no byte", 1 << 20, false, balancer.ConnectFailed},
		{"all", 0, false, balancer.Reset},
		{"all, then an error", 0, true, balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newPool()
			dial := u.options.Dial
			u.options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				return truncatingConn{c, tc.lack, tc.after}, err
			}
			if r := u.sendOnce(m, u.newTarget(addr)); r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
		})
	}
	u := newPool()
	if r := u.sendOnce(m, u.newTarget(scriptedpeer.ClosedAddress(t))); r.Status != balancer.ConnectFailed {
		t.Errorf("refused connection: status %v, want ConnectFailed", r.Status)
	}
}

// What the endpoint's answer means. Only a marked 503 or 504 proves that the request never ran, and only a
// whole 200 counts as one.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		want         balancer.Status
	}{
		{"whole", okResponse, balancer.OK},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.OK},
		{"after a 100", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, balancer.OK},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"turned away", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"late", "HTTP/1.1 504 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"unmarked 503", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"marked 500", "HTTP/1.1 500 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"redirect", "HTTP/1.1 302 No\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.Reset},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.Reset},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.Reset},
		{"length unknown", "HTTP/1.1 200 OK\r\n\r\nok", balancer.Reset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", balancer.Reset},
		{"nothing", "", balancer.Reset},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nok\r\n0\r\n\r\n", balancer.Reset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", balancer.Reset},
		{"unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", balancer.Reset},
		{"wrong chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n", balancer.Reset},
		{"no status", "HTTP/1.1 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"no HTTP", "\x00\x01noise\r\n\r\n", balancer.Reset},
		{"only 1xx", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 2*maxInterimResponses), balancer.Reset},
		{"unreadable report",
			strings.Replace(okResponse, "\r\n", "\r\nEndpoint-Load-Metrics: \xff{{=,,=%\r\n", 1), balancer.OK},
		{"too large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", siteconfig.MaxBodyBytes+1,
			strings.Repeat("x", siteconfig.MaxBodyBytes+1)), balancer.Reset},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseBytes), balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				scriptedpeer.ReadRequest(r)
				io.WriteString(c, tc.answer)
			})
			u := newPool()
			r := u.sendOnce(idempotentPost("x"), u.newTarget(addr))
			if r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
			if r.Status == balancer.OK && string(r.Response.(*BufferedResponse).Body) != "ok" {
				t.Errorf("body %q", r.Response.(*BufferedResponse).Body)
			}
		})
	}
}

// An answer that does not end, or says that it will not for long, is given up at once: its connection stays open,
// and the time of the request would go by.
func TestAnswerWithoutEnd(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
			scriptedpeer.ReadRequest(r)
			io.WriteString(c, answer)
			r.ReadByte()
		})
		u := newPool()
		begun := time.Now()
		r := u.sendOnce(idempotentPost("x"), u.newTarget(addr))
		if took := time.Since(begun); r.Status != balancer.Reset || took > 5*maxResponseStall {
			t.Errorf("%q: status %v after %v, want Reset at once", answer, r.Status, took)
		}
		if u.openConns != 0 {
			t.Errorf("%q: its connection is kept", answer)
		}
	}
}

// An answer may come long after a 1xx.
func TestSlowAfterInterim(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 102 Wait\r\n\r\n")
		time.Sleep(2 * maxResponseStall) // the work, not a wait for another
		io.WriteString(c, okResponse)
	})
	u := newPool()
	if r := u.sendOnce(idempotentPost("x"), u.newTarget(addr)); r.Status != balancer.OK {
		t.Errorf("status %v, want OK", r.Status)
	}
}

// A good answer with more behind it is good, and what is behind it answers nothing.
func TestMoreBehindAnswer(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := scriptedpeer.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Trace-Id")
			one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			io.WriteString(c, one+one)
		}
	})
	u := newPool()
	to := u.newTarget(addr)
	for i := range 4 {
		m := plainGet()
		m.Header.Set("X-Trace-Id", fmt.Sprint(i))
		r := u.sendOnce(m, to)
		response, _ := r.Response.(*BufferedResponse)
		if r.Status != balancer.OK || string(response.Body) != fmt.Sprint(i) {
			t.Errorf("request %d: status %v, response %v", i, r.Status, response)
		}
	}
}

// What is meant for an endpoint does not reach the one that listens at its address later, and nothing to one
// that is gone is kept.
func TestGoneEndpointsConnections(t *testing.T) {
	var dials atomic.Int32
	addr := startAnsweringEndpoint(t, &dials)
	u := newPool()
	old, next := u.newTarget(addr), u.newTarget(addr)
	ctx := context.Background()
	u.sendOnce(plainGet(), old)
	if u.sendOnce(plainGet(), next); dials.Load() != 2 {
		t.Errorf("%d connections to two endpoints at one address, want 2", dials.Load())
	}
	out, err := u.Get(ctx, old)
	if err != nil {
		t.Fatal(err)
	}
	old.Drop()
	u.Put(out)
	if u.openConns != 1 || len(old.idle) != 0 {
		t.Errorf("%d connections open, %d idle to what is gone, want 1 and 0", u.openConns, len(old.idle))
	}
	if r := u.sendOnce(plainGet(), old); r.Status != balancer.NotSent {
		t.Errorf("status %v for what is gone, want NotSent", r.Status)
	}
	late := u.newTarget(addr)
	dial := u.options.Dial
	u.options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		late.Drop()
		return dial(ctx, network, addr)
	}
	if r := u.sendOnce(plainGet(), late); r.Status != balancer.NotSent || u.openConns != 1 {
		t.Errorf("status %v for what went while dialled, want NotSent; %d connections", r.Status, u.openConns)
	}
}

// Our own shortage is no fault of the endpoint's.
func TestShortageIsNoFault(t *testing.T) {
	u := newPool()
	to := u.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) }))
	u.options.MaxConns = 0
	if r := u.sendOnce(plainGet(), to); r.Status != balancer.NotSent {
		t.Errorf("all connections in use: status %v, want NotSent", r.Status)
	}
	u.options.MaxConns = 1
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
		u.options.Dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", e)}
		}
		if r := u.sendOnce(plainGet(), to); r.Status != balancer.NotSent {
			t.Errorf("%v: status %v, want NotSent", e, r.Status)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		return nil, ctx.Err()
	}
	r := u.SendBuffered(ctx, u.newAttempt(to), plainGet())
	if r.Status != balancer.NotSent {
		t.Errorf("a dial that we ended: status %v, want NotSent", r.Status)
	}
}

// A connection that the endpoint has closed meanwhile must not be used: the request would be lost, and
// whether it ran would not be known.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		io.WriteString(c, okResponse)
		c.Close()
		closed <- struct{}{}
	})
	u := newPool()
	to := u.newTarget(addr)
	for i := range 3 {
		if r := u.sendOnce(plainGet(), to); r.Status != balancer.OK {
			t.Fatalf("request %d: status %v", i, r.Status)
		}
		scriptedpeer.Receive(t, closed, "close")
	}
}

// startAnsweringEndpoint is an endpoint that answers all that comes, and counts its connections.
func startAnsweringEndpoint(t *testing.T, dials *atomic.Int32) string {
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

// An idle connection is retired well before the endpoint would close it, and the sweep closes it.
func TestIdleConnectionIsRetired(t *testing.T) {
	var dials atomic.Int32
	addr := startAnsweringEndpoint(t, &dials)
	u := newPool()
	to := u.newTarget(addr)
	if most := 12 * time.Second; u.maxIdleTime > most {
		t.Errorf("kept idle for %v where the endpoint closes after 15 s", u.maxIdleTime)
	}
	age := func() {
		for _, c := range to.idle {
			c.idleSince = c.idleSince.Add(-u.maxIdleTime)
		}
	}
	u.sendOnce(plainGet(), to)
	u.sendOnce(plainGet(), to)
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections for two requests in turn, want 1", n)
	}
	age()
	u.sendOnce(plainGet(), to)
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after one grew old, want 2", n)
	}
	age()
	if u.sweep(); u.openConns != 0 {
		t.Errorf("%d connections open after the sweep, want 0", u.openConns)
	}
}

// mustGet takes a connection.
func (p *Pool) mustGet(t *testing.T, to *Target) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// An attempt that takes a connection and is withdrawn before its first byte has not used it: to the endpoint it has
// been idle all the while, and it is not used beyond its age for that, nor before one used later.
func TestUnusedConnectionKeepsItsAge(t *testing.T) {
	var dials atomic.Int32
	addr := startAnsweringEndpoint(t, &dials)
	u := newPool()
	to := u.newTarget(addr)
	u.sendOnce(plainGet(), to)
	to.idle[0].idleSince = to.idle[0].idleSince.Add(-u.maxIdleTime * 3 / 4)
	used := to.idle[0].idleSince
	withdrawn := u.newAttempt(to)
	withdrawn.ClaimSend = func(monotime.Micros) bool { return false }
	r := u.SendBuffered(context.Background(), withdrawn, plainGet())
	if r.Status != balancer.NotSent || len(to.idle) != 1 || !to.idle[0].idleSince.Equal(used) {
		t.Fatalf("status %v; idle since %v, last used at %v", r.Status, to.idle[0].idleSince, used)
	}
	old, fresh := u.mustGet(t, to), u.mustGet(t, to)
	u.Put(fresh)
	u.putUnused(old)
	if u.mustGet(t, to) != fresh {
		t.Error("one put back unused went before one used later")
	}
	u.Put(fresh)
	old.idleSince = old.idleSince.Add(-u.maxIdleTime / 2)
	if u.sweep(); len(to.idle) != 1 || to.idle[0] != fresh {
		t.Errorf("%d idle connections after the old one's time", len(to.idle))
	}
}

// The connection used last is used next, so that those not needed grow old and are closed.
func TestLatestConnectionFirst(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) })
	u := newPool()
	to := u.newTarget(addr)
	first, second := u.mustGet(t, to), u.mustGet(t, to)
	u.Put(first)
	u.Put(second)
	if u.mustGet(t, to) != second {
		t.Error("the connection used last was not taken")
	}
}

// Connections are bounded, so that descriptors do not run out; one that is idle elsewhere makes room.
func TestConnectionsAreBounded(t *testing.T) {
	u := newPool()
	one := u.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) }))
	two := u.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) }))
	u.options.MaxConns = 2
	ctx := context.Background()
	first, err := u.Get(ctx, one)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := u.Get(ctx, one); err != nil {
		t.Fatal(err)
	}
	if _, err := u.Get(ctx, two); err != errConnLimit {
		t.Fatalf("third connection: error %v, want %v", err, errConnLimit)
	}
	u.Put(first)
	if _, err := u.Get(ctx, two); err != nil {
		t.Errorf("third connection with one idle: %v", err)
	}
	if u.openConns != 2 {
		t.Errorf("%d connections counted, want 2", u.openConns)
	}
	// One that is refused gives its place back.
	u.options.MaxConns = 3
	if _, err := u.Get(ctx, u.newTarget(scriptedpeer.ClosedAddress(t))); err == nil {
		t.Error("a connection to nobody")
	}
	if u.openConns != 2 {
		t.Errorf("%d connections counted after one refused, want 2", u.openConns)
	}
}

// A probe asks for the load where there are reports, for the health elsewhere, and waits only so long.
func TestProbe(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/-/load":
			io.WriteString(w, "TEXT cpu_share=0.61, busy_reqs=7, served_ps=2")
		case "/-/healthy":
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	r := newPool().newTarget(addr).Probe()
	if got := fmt.Sprint(r.Status, r.Load); got != "0 [7 2 0.61]" {
		t.Errorf("probe: status and load %s, want 0 [7 2 0.61]", got)
	}
	r = newPool(func(o *Options) { o.LoadFields = nil }).newTarget(addr).Probe()
	if r.Status != balancer.OK || r.Load != nil {
		t.Errorf("probe without reports: status %v, load %v", r.Status, r.Load)
	}
	ended := make(chan error, 1)
	mute := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		_, err := r.ReadByte()
		ended <- err
	})
	if r := newPool().newTarget(mute).Probe(); r.Status == balancer.OK {
		t.Error("a probe that nobody answered is ok")
	}
	if err := scriptedpeer.Receive(t, ended, "end of a mute probe"); err == nil {
		t.Error("more was written to a mute probe")
	}
}

// What may rest is bounded for all who have endpoints here together; the one unused longest gives way, and a part of
// one is a part of its time.
func TestRestingConnectionsAreBounded(t *testing.T) {
	u := newPool()
	ctx := context.Background()
	var conns []*Conn
	for range 5 {
		addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) })
		c, err := u.Get(ctx, u.newTarget(addr))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	u.LimitIdle("a", 1.2)
	u.LimitIdle("b", 2.1)
	for _, c := range conns {
		u.Put(c)
	}
	if u.openConns != 3 || u.idleConns != 3 {
		t.Errorf("%d open, %d at rest, want 3", u.openConns, u.idleConns)
	}
	for i, c := range conns {
		if kept := len(c.target.idle) == 1; kept != (i >= 2) {
			t.Errorf("connection %d is kept: %v", i, kept)
		}
	}
	u.LimitIdle("b", 0)
	if u.openConns != 1 || u.idleConns != 1 {
		t.Errorf("%d open, %d at rest after a tighter bound, want 1", u.openConns, u.idleConns)
	}
	if got, err := u.Get(ctx, conns[4].target); err != nil || got != conns[4] || u.idleConns != 0 {
		t.Errorf("the one kept is not used again (error %v, %d at rest)", err, u.idleConns)
	}
	whole := newPool().maxIdleTime
	if u.LimitIdle("a", 0.25); u.maxIdleTime != whole/4 || u.maxIdle != 1 {
		t.Errorf("a quarter of a connection: %d for %v, want one for %v", u.maxIdle, u.maxIdleTime, whole/4)
	}
}

// An endpoint may answer twice, some milliseconds apart. What is written to the connection in between would be
// answered by the second: so the connection rests first, and one on which more came is not used again. Both ways of
// reading answers hold to it.
func TestLateSecondAnswer(t *testing.T) {
	for name, send := range map[string]func(u *Pool, to core.Target) (balancer.Status, string){
		"exchange": func(u *Pool, to core.Target) (balancer.Status, string) {
			r := u.sendOnce(plainGet(), to)
			a, _ := r.Response.(*BufferedResponse)
			if a == nil {
				return r.Status, ""
			}
			return r.Status, string(a.Body)
		},
		"whole": func(u *Pool, to core.Target) (balancer.Status, string) {
			r := u.Send(context.Background(), u.newAttempt(to), plainStreamedGet())
			a, _ := r.Response.(*Response)
			if a == nil {
				return r.Status, ""
			}
			return r.Status, string(a.Buffered)
		},
	} {
		t.Run(name, func(t *testing.T) {
			const settle = 300 * time.Millisecond // long beside a pause of the machine
			u := newPool(func(o *Options) { o.ReuseDelay = settle })
			var conns atomic.Int32
			to := u.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				mine := conns.Add(1)
				for first := true; ; first = false {
					if _, err := scriptedpeer.ReadRequest(r); err != nil {
						return
					}
					io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", mine))
					if first && mine == 1 {
						// The second copy comes when the next request has, or after a while.
						c.SetReadDeadline(time.Now().Add(settle / 3))
						r.Peek(1)
						c.SetReadDeadline(time.Time{})
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
					}
				}
			}))
			for i, want := range []string{"1", "2"} { // the second waits, sees that more came, and goes elsewhere
				if status, got := send(u, to); status != balancer.OK || got != want {
					t.Fatalf("request %d: status %v, %q, want %q", i, status, got, want)
				}
			}
			time.Sleep(settle) // what has rested is used again, unless more came on it: time is what this is about
			if status, got := send(u, to); status != balancer.OK || got != "2" {
				t.Errorf("then: status %v, %q, want the connection on which nothing more came", status, got)
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.openConns != len(to.idle) {
				t.Errorf("%d connections open, %d at rest", u.openConns, len(to.idle))
			}
		})
	}
}

// A connection that rests is waited for, since a new one costs more, and what that takes does not count as the
// endpoint's time; whoever leaves meanwhile leaves it as it was.
func TestRestingIsWaitedFor(t *testing.T) {
	var tried atomic.Int32
	const settle = 100 * time.Millisecond
	u := newPool(func(o *Options) {
		o.ReuseDelay = settle
		o.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			tried.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
	})
	to := u.newTarget(scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, okResponse)
		}
	}))
	send := func(ctx context.Context) engine.AttemptResult {
		return u.Send(ctx, u.newAttempt(to), plainStreamedGet())
	}
	for i := range 4 {
		begun := time.Now()
		r := send(context.Background())
		if r.Status != balancer.OK {
			t.Fatalf("request %d: status %v", i, r.Status)
		}
		if took := time.Since(begun); i > 0 && (took < settle/2 || r.ObservedAt-r.SentAt > took.Microseconds()/2) {
			t.Errorf("request %d: after %v, of which the endpoint's are %d", i, took, r.ObservedAt-r.SentAt)
		}
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	if r := send(left); r.Status != balancer.NotSent {
		t.Errorf("one that has left: status %v", r.Status)
	}
	if r := send(context.Background()); r.Status != balancer.OK {
		t.Errorf("after it: status %v", r.Status)
	}
	if n := tried.Load(); n != 1 {
		t.Errorf("%d connections asked for", n)
	}
}
