package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/siteconfig"
)

// A missing or invalid value of a load report must be NaN and not 0, the value of an idle endpoint.
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

// A request must be written only once, even on a reused connection that breaks after the endpoint has read the
// request. An http.Transport would write it again.
func TestBrokenIdleConnectionIsNotResent(t *testing.T) {
	for name, request := range map[string]*BufferedRequest{
		"get":             newPlainGet(),
		"idempotency key": newIdempotentPost("x"),
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			pool := newPool()
			target := pool.newTarget(scriptedpeer.StartTCP(t, respondToFirstRequest(&received)))
			if r := pool.sendOnce(request, target); r.Status != balancer.OK {
				t.Fatalf("request 1: status %v, want OK", r.Status)
			}
			if r := pool.sendOnce(request, target); r.Status != balancer.Reset {
				t.Errorf("request 2: status %v, want Reset", r.Status)
			}
			if n := received.Load(); n != 2 {
				t.Errorf("the endpoint received %d requests, want 2", n)
			}
		})
	}
}

// respondToFirstRequest returns an endpoint that responds to the first request on a connection and closes the
// connection when it has read the second. It counts the requests in received.
func respondToFirstRequest(received *atomic.Int32) func(c *net.TCPConn, r *bufio.Reader) {
	return func(c *net.TCPConn, r *bufio.Reader) {
		for i := range 2 {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			if received.Add(1); i == 0 {
				io.WriteString(c, okResponse)
			}
		}
	}
}

// truncatingConn is a connection whose writes fail before their last bytes are written, or afterwards.
type truncatingConn struct {
	net.Conn
	unwrittenBytes  int  // number of bytes at the end of a write that are not written
	failsAfterWrite bool // writes fail although all bytes are written
}

func (s truncatingConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p[:max(0, len(p)-s.unwrittenBytes)])
	if s.unwrittenBytes > 0 || s.failsAfterWrite {
		err = net.ErrClosed
	}
	return n, err
}

// An attempt has the status ConnectFailed, which means that it never ran, unless the last byte of the request
// was written.
func TestLastByteDecides(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		c.SetLinger(0) // closing the connection resets it
	})
	request := newIdempotentPost(strings.Repeat("x", 1000))
	for _, tc := range []struct {
		name            string
		unwrittenBytes  int
		failsAfterWrite bool
		want            balancer.Status
	}{
		{"all but one byte", 1, false, balancer.ConnectFailed},
		{"no byte", 1 << 20, false, balancer.ConnectFailed},
		{"all", 0, false, balancer.Reset},
		{"all, then an error", 0, true, balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := newPool()
			dial := pool.options.Dial
			pool.options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				return truncatingConn{c, tc.unwrittenBytes, tc.failsAfterWrite}, err
			}
			if r := pool.sendOnce(request, pool.newTarget(addr)); r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
		})
	}
	pool := newPool()
	if r := pool.sendOnce(request, pool.newTarget(scriptedpeer.ClosedAddress(t))); r.Status != balancer.ConnectFailed {
		t.Errorf("closed port: status %v, want ConnectFailed", r.Status)
	}
}

// The status of an attempt follows from the response. Only a 503 or 504 with X-Never-Ran proves that the
// request never ran, and only a complete 200 is a success.
func TestStatusOfResponses(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response string
		want     balancer.Status
	}{
		{"complete", okResponse, balancer.OK},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.OK},
		{"after a 100", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, balancer.OK},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"rejected", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
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
				io.WriteString(c, tc.response)
			})
			pool := newPool()
			r := pool.sendOnce(newIdempotentPost("x"), pool.newTarget(addr))
			if r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
			if r.Status == balancer.OK && string(r.Response.(*BufferedResponse).Body) != "ok" {
				t.Errorf("body %q", r.Response.(*BufferedResponse).Body)
			}
		})
	}
}

// A response that stalls before its end, or has an unacceptable length, must fail within maxResponseStall even
// if the connection stays open. Otherwise the attempt would last until its deadline.
func TestResponseWithoutEnd(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
			scriptedpeer.ReadRequest(r)
			io.WriteString(c, response)
			r.ReadByte()
		})
		pool := newPool()
		start := time.Now()
		r := pool.sendOnce(newIdempotentPost("x"), pool.newTarget(addr))
		if took := time.Since(start); r.Status != balancer.Reset || took > 5*maxResponseStall {
			t.Errorf("%q: status %v after %v, want Reset at once", response, r.Status, took)
		}
		if pool.openConns != 0 {
			t.Errorf("response %q: its connection is still open", response)
		}
	}
}

// The final response may arrive more than maxResponseStall after an interim (1xx) response.
func TestSlowAfterInterim(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 102 Wait\r\n\r\n")
		time.Sleep(2 * maxResponseStall) // the endpoint processes the request
		io.WriteString(c, okResponse)
	})
	pool := newPool()
	if r := pool.sendOnce(newIdempotentPost("x"), pool.newTarget(addr)); r.Status != balancer.OK {
		t.Errorf("status %v, want OK", r.Status)
	}
}

// An attempt must succeed if more bytes follow its response, and these bytes must not be taken for the response
// to the next request.
func TestBytesBehindResponse(t *testing.T) {
	addr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := scriptedpeer.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Trace-Id")
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			io.WriteString(c, response+response)
		}
	})
	pool := newPool()
	target := pool.newTarget(addr)
	for i := range 4 {
		request := newPlainGet()
		request.Header.Set("X-Trace-Id", fmt.Sprint(i))
		r := pool.sendOnce(request, target)
		response, _ := r.Response.(*BufferedResponse)
		if r.Status != balancer.OK || string(response.Body) != fmt.Sprint(i) {
			t.Errorf("request %d: status %v, response %v", i, r.Status, response)
		}
	}
}

// A health check requests a load report if the pool has load fields, and the health path otherwise. It fails if
// there is no response within probeTimeout.
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
	silentAddr := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		_, err := r.ReadByte()
		ended <- err
	})
	if r := newPool().newTarget(silentAddr).Probe(); r.Status == balancer.OK {
		t.Error("a probe without a response has status OK")
	}
	if err := scriptedpeer.Receive(t, ended, "end of the unanswered probe"); err == nil {
		t.Error("bytes were written after the unanswered probe")
	}
}
