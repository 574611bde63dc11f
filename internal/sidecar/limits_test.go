package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/platform"
)

// Requests above the configured limit on open requests are rejected and not sent to an endpoint.
func TestRequestLimit(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	addr := startBlockingEndpoint(t, "", received, release)
	s := start(t, configureStatic(t, instances(addr), `"most-held":1000`, `"most-held":1`))
	firstStatus := s.requestInBackground(t, request("POST", "/pay", "pay", 900, "x"))
	scriptedpeer.Receive(t, received, "first attempt")
	if resp, _ := s.request(t, request("POST", "/pay", "pay", 900, "x")); resp.StatusCode != 503 {
		t.Errorf("second request: %s, want 503", resp.Status)
	}
	close(release)
	if code := scriptedpeer.Receive(t, firstStatus, "first response"); code != 200 {
		t.Errorf("first request: %d, want 200", code)
	}
	if len(received) != 0 {
		t.Error("the second request was sent")
	}
}

// At the limit on client connections, the connection that has been idle longest is closed for each new one. Idle
// connections never use descriptors that the sidecar needs itself.
func TestConnectionLimit(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	addr := startBlockingEndpoint(t, "/pay", received, release)
	cfg := configureStatic(t, instances(addr))
	cfg.Sockets = platform.MinSockets
	s := start(t, cfg)
	openStatus := s.requestInBackground(t, request("POST", "/pay", "pay", 1000, "x"))
	scriptedpeer.Receive(t, received, "attempt")
	var silentConns []net.Conn
	for range 2 * clientLimits(cfg.Sockets, cfg.MemoryMB).MaxConnections {
		silentConns = append(silentConns, s.dial(t))
	}
	activeConn := s.dial(t)
	for range 3 {
		if resp, _ := s.requestOn(t, activeConn, safeRequest(900)); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("request with silent connections open: %s, close %v", resp.Status, resp.Close)
		}
	}
	longestSilent := silentConns[0]
	longestSilent.SetReadDeadline(time.Now().Add(http1.RequestTimeout / 2))
	if _, err := longestSilent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection that is silent for longest: %v, want it closed", err)
	}
	latestSilent := silentConns[len(silentConns)-1]
	if resp, _ := s.requestOn(t, latestSilent, safeRequest(900)); resp.StatusCode != 200 {
		t.Errorf("the latest silent connection: %s", resp.Status)
	}
	close(release)
	if code := scriptedpeer.Receive(t, openStatus, "response"); code != 200 {
		t.Errorf("the request that was open meanwhile: %d", code)
	}
}

// Idle client connections may use only a small fraction of the descriptors, because the clients' machine has a
// limit on connections, too. Connections with an open request may use all descriptors for clients.
func TestIdleConnectionLimit(t *testing.T) {
	received, release := make(chan struct{}, 64), make(chan struct{})
	addr := startBlockingEndpoint(t, "/pay", received, release)
	releaseAll := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseAll)              // otherwise the endpoint cannot be closed
	var endpoints []discovery.Instance // 64, because a single endpoint would seem overloaded
	for i := range 64 {
		endpoints = append(endpoints, scripteddiscovery.Up(fmt.Sprint("s-", i), addr))
	}
	cfg := configureStatic(t, endpoints)
	cfg.Sockets = 2 * platform.MinSockets
	limits := clientLimits(cfg.Sockets, cfg.MemoryMB)
	if 4*limits.MaxIdle > cfg.Sockets {
		t.Fatalf("%d of %d descriptors may be idle: want at most a quarter",
			limits.MaxIdle, cfg.Sockets)
	}
	s := start(t, cfg)
	var idleConns []net.Conn
	for range 2 * limits.MaxIdle {
		c := s.dial(t)
		if resp, _ := s.requestOn(t, c, safeRequest(900)); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("%s, close %v", resp.Status, resp.Close)
		}
		idleConns = append(idleConns, c)
	}
	// The connections that have been idle longest are closed at once, not after an idle timeout.
	for i, c := range idleConns[:limits.MaxIdle] {
		c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("connection %d: %v, want it closed", i, err)
		}
	}
	// With as many idle connections as allowed, the idle timeout is far shorter than for a single connection.
	started := time.Now()
	idleConns[limits.MaxIdle].SetReadDeadline(started.Add(maxIdleTime / 2))
	if _, err := idleConns[limits.MaxIdle].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection at the limit on idle connections: %v, want it closed", err)
	}
	statuses := make(chan int, limits.MaxConnections)
	for range limits.MaxConnections {
		c := s.dial(t)
		go func() {
			resp, _ := s.requestOn(t, c, request("POST", "/pay", "pay", 1000, "x"))
			statuses <- resp.StatusCode
		}()
		scriptedpeer.Receive(t, received, "attempt of each open request")
	}
	releaseAll()
	for range limits.MaxConnections {
		if code := scriptedpeer.Receive(t, statuses, "response"); code != 200 {
			t.Errorf("request open together with others: %d", code)
		}
	}
}

// A client that sends no complete request gets an error response or is disconnected within 3 s, which is less
// than two read timeouts (http1.RequestTimeout), so that it cannot delay a stop of the sidecar.
func TestIncompleteRequests(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) { t.Error("an attempt was made") })
	s := start(t, configureStatic(t, instances(addr)))
	for _, text := range []string{
		"",
		"GET /look/1 HT",
		"GET /look/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\n",
		"POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nContent-Length: 20\r\n\r\nhalf",
	} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			t.Parallel()
			c := s.dial(t)
			io.WriteString(c, text)
			c.SetReadDeadline(time.Now().Add(3 * time.Second))
			got, err := io.ReadAll(c)
			if err != nil || (len(got) > 0) != (text != "") ||
				text != "" && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("response %q, %v", got, err)
			}
		})
	}
}

// A request with the id of an open request gets status 409, because an endpoint could not distinguish the two.
func TestDuplicateRequestID(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	addr := startBlockingEndpoint(t, "", received, release)
	s := start(t, configureStatic(t, instances(addr)))
	r := safeRequest(900)
	firstStatus := s.requestInBackground(t, r)
	scriptedpeer.Receive(t, received, "attempt")
	duplicate := safeRequest(900)
	duplicate.Header.Set("X-Trace-Id", r.Header.Get("X-Trace-Id"))
	if resp, _ := s.request(t, duplicate); resp.StatusCode != 409 {
		t.Errorf("request with the id of an open request: %s, want 409", resp.Status)
	}
	close(release)
	if code := scriptedpeer.Receive(t, firstStatus, "response"); code != 200 {
		t.Errorf("first request with the id: %d, want 200", code)
	}
	if resp, _ := s.request(t, duplicate); resp.StatusCode != 200 {
		t.Errorf("request with the id of an ended request: %s", resp.Status)
	}
}
