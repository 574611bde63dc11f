package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/platform"
)

// siteSettings are the settings of a small site without health checks. Its request classes are safe (look), with
// idempotency keys (book) and unsafe (pay).
const siteSettings = `{"peers-total":1,"areas":["a","b"],"skus":["m1"],"discovery":"automatic",
	"classes":[
	{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0},
	{"name":"book","repeat":"token","group":"cell","window":400000,"target":500000,"give-up":1000000,"credit":5.0},
	{"name":"pay","repeat":"side_effect","target":500000,"give-up":1000000,"credit":5.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,
	"overload-for":2000000,"ask-within":10000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":3,
	"most-held":1000,"max-retry-after":400000,"dial-timeout":1000000,"keepalive":15000000},
	"reporting":{"how":"probe","fields":["busy_reqs","served_ps","cpu_share"]},
	"tenants":[{"name":"acme","allowance-per-s":100.0,"share":1.0}]}`

// configureStatic returns a configuration whose discovery is down, so that the sidecar keeps the known endpoint
// list. edits are pairs of old and new text that are replaced in siteSettings.
func configureStatic(t *testing.T, known []discovery.Instance, edits ...string) *platform.Config {
	t.Helper()
	return configure(t, scriptedpeer.ClosedAddress(t), known, edits...)
}

// instances returns endpoints at the given addresses, named s-1, s-2 and so on.
func instances(addrs ...string) []discovery.Instance {
	var list []discovery.Instance
	for i, addr := range addrs {
		list = append(list, scripteddiscovery.Up(fmt.Sprint("s-", i+1), addr))
	}
	return list
}

// dial connects to the sidecar. The connection is closed at the end of the test.
func (s *testSidecar) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// idle reports whether no request and no attempt is open.
func (s *testSidecar) idle() bool {
	counts := s.sidecar.endpointPool.Counts()
	return counts.InFlight == 0 && counts.OpenCalls == 0
}

// openConnections returns the number of open client connections.
func (s *testSidecar) openConnections() int {
	open, _ := s.sidecar.frontend.ConnectionCounts()
	return open
}

// configure returns a configuration with the discovery at addr and a known endpoint list. edits are pairs of old
// and new text that are replaced in siteSettings.
func configure(t *testing.T, addr string, known []discovery.Instance, edits ...string) *platform.Config {
	t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": addr,
		"seed": "8c1f30d27a5be964", "limits": map[string]int{"memory_mb": 192, "sockets": 1024},
		"known":    discovery.List{Generation: 7, Reset: true, Instances: known},
		"settings": json.RawMessage(strings.NewReplacer(edits...).Replace(siteSettings))})
	require.NoError(t, err)
	c, err := platform.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
	return c
}

// testSidecar is a running sidecar under test.
type testSidecar struct {
	sidecar     *sidecar
	addr        string
	stop        context.CancelFunc
	serveResult chan error

	reload         chan os.Signal
	reloadedConfig chan *platform.Config // configurations that read returns; nil makes it return an error
}

// start runs a sidecar and waits until it is ready. The sidecar is stopped at the end of the test.
func start(t *testing.T, c *platform.Config) *testSidecar {
	t.Helper()
	return startDialing(t, c, nil)
}

// startDialing runs a sidecar as start does, and the sidecar connects to endpoints with the given dial.
func startDialing(t *testing.T, c *platform.Config, dial dialFunc) *testSidecar {
	t.Helper()
	ln, err := net.Listen("tcp", c.Listen)
	require.NoError(t, err)
	assembled, err := assemble(c, dial, scriptedpeer.DiscardLog)
	require.NoError(t, err)
	return serve(t, assembled, ln)
}

// serve runs an assembled sidecar on a listener and waits until it is ready. The sidecar is stopped at the end of
// the test.
func serve(t *testing.T, parts *sidecar, ln net.Listener) *testSidecar {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	s := &testSidecar{sidecar: parts, addr: ln.Addr().String(), stop: stop, serveResult: make(chan error, 1),
		reload: make(chan os.Signal, 1), reloadedConfig: make(chan *platform.Config, 1)}
	go func() {
		s.serveResult <- parts.serve(ctx, ln, s.reload, s.read)
		close(s.serveResult)
	}()
	t.Cleanup(func() {
		stop()
		<-s.serveResult
	})
	scriptedpeer.Eventually(t, "the sidecar is ready", func() bool { return s.readyStatus() == 200 })
	return s
}

// readyStatus returns the status code of a readiness check, or 0 without a response.
func (s *testSidecar) readyStatus() int {
	resp, err := http.Get("http://" + s.addr + "/-/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// read returns the configuration that a test has sent to reloadedConfig, or an error if it is nil.
func (s *testSidecar) read() (*platform.Config, error) {
	if c := <-s.reloadedConfig; c != nil {
		return c, nil
	}
	return nil, errors.New("unreadable")
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// safeRequest returns a request of the safe class with a timeout in milliseconds.
func safeRequest(timeoutMs int) *http.Request {
	return request("GET", "/look/1", "look", timeoutMs, "")
}

var lastRequestID atomic.Uint32

// request returns a request of a class with a timeout in milliseconds and a new id. Requests of class book have an
// idempotency key.
func request(method, path, class string, timeoutMs int, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body == "" {
		r.Body = http.NoBody // otherwise the body has an unknown length
	}
	r.Header.Set("X-Trace-Id", fmt.Sprintf("9b1f03aa%08x", lastRequestID.Add(1)))
	r.Header.Set("X-Qos", class)
	r.Header.Set("X-Customer", "acme")
	r.Header.Set("X-Expires-In-Ms", fmt.Sprint(timeoutMs))
	if class == "book" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// request sends a request to the sidecar on a new connection and returns the response and its body.
func (s *testSidecar) request(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c := s.dial(t)
	return s.requestOn(t, c, r)
}

// requestOn sends a request on a connection and returns the response and its body.
func (s *testSidecar) requestOn(t *testing.T, c net.Conn, r *http.Request) (*http.Response, string) {
	t.Helper()
	require.NoError(t, r.Write(c))
	resp := readHead(t, c, r)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the response is not complete: %v", err)
	}
	return resp, string(body)
}

// readHead reads the head of the response to a request. The caller reads the body.
func readHead(t *testing.T, c net.Conn, r *http.Request) *http.Response {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	return resp
}

// requestInBackground sends a request on a new connection, and returns a channel that receives the status code of
// the response.
func (s *testSidecar) requestInBackground(t *testing.T, r *http.Request) <-chan int {
	t.Helper()
	c := s.dial(t)
	status := make(chan int, 1)
	go func() {
		resp, _ := s.requestOn(t, c, r)
		status <- resp.StatusCode
	}()
	return status
}

// checkServed checks that a request of the safe class gets status 200. situation is part of the error message.
func (s *testSidecar) checkServed(t *testing.T, situation string) {
	t.Helper()
	if resp, _ := s.request(t, safeRequest(900)); resp.StatusCode != 200 {
		t.Errorf("%s: %s", situation, resp.Status)
	}
}

// checkEnded waits until a stopped sidecar ends, and checks that it ends without an error.
func (s *testSidecar) checkEnded(t *testing.T) {
	t.Helper()
	if err := scriptedpeer.Receive(t, s.serveResult, "end"); err != nil {
		t.Errorf("the sidecar ended with %v", err)
	}
}

// startBlockingEndpoint starts an endpoint that reports each request for a path on received and responds once
// release is closed. It responds to requests for other paths at once. An empty path matches every request. It
// returns the endpoint's address.
func startBlockingEndpoint(t *testing.T, path string, received chan<- struct{}, release <-chan struct{}) string {
	t.Helper()
	return scriptedpeer.StartHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		if path == "" || r.URL.Path == path {
			received <- struct{}{}
			<-release
		}
	})
}
