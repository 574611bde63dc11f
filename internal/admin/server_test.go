package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
)

// startServer starts a server that serves calls until the test ends. cordons returns the endpoint and value of
// each successful SetCordon call.
func startServer(t *testing.T, backend Backend) (addr string, cordons func() []string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var cordonCalls []string
	if backend.SetCordon == nil {
		backend.SetCordon = func(_ context.Context, endpoint string, cordoned bool) error {
			if endpoint == "s-nobody" {
				return ErrUnknownEndpoint
			}
			mu.Lock()
			defer mu.Unlock()
			cordonCalls = append(cordonCalls, fmt.Sprint(endpoint, " ", cordoned))
			return nil
		}
	}
	if backend.Ready == nil {
		backend.Ready = func() (bool, string) { return true, "" }
	}
	backend.Metrics = func(context.Context) ([]byte, error) { return []byte("open_requests=3\n"), nil }
	backend.Log = slog.New(slog.DiscardHandler)
	serveResult := make(chan error, 1)
	go func() { serveResult <- Serve(ln, backend) }()
	t.Cleanup(func() {
		ln.Close()
		if err := <-serveResult; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return cordonCalls
	}
}

// roundTrip sends the text of an HTTP request and returns the status, the Allow header and the body of the response.
func roundTrip(t *testing.T, addr, text string) (code int, allow, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	responseBody, err := io.ReadAll(response.Body)
	if err != nil || !response.Close {
		t.Errorf("%.60q: error %v, connection closed: %v", text, err, response.Close)
	}
	return response.StatusCode, response.Header.Get("Allow"), string(responseBody)
}

func postRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestRequests(t *testing.T) {
	addr, cordons := startServer(t, Backend{})
	for _, tc := range []struct {
		text  string
		code  int
		allow string
		want  string
	}{
		{getRequest("/ready"), 200, "", "ready"},
		{getRequest("/metrics"), 200, "", "open_requests=3"},
		{postRequest("/endpoints/disable", `{"target":"s-1"}`), 200, "", "s-1 is out"},
		{postRequest("/endpoints/enable", ` {"target":"s-1","why":"restarted"} `), 200, "", "s-1 may serve"},
		{
			"POST /endpoints/enable HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"10\r\n{\"target\":\"s-2\"}\r\n0\r\n\r\n",
			200, "", "s-2",
		},
		{postRequest("/endpoints/disable", `{"target":"s-nobody"}`), 404, "", "s-nobody"},
		{postRequest("/endpoints/disable", `{"target":`), 400, "", "target"},
		{postRequest("/endpoints/disable", `{"target":7}`), 400, "", "target"},
		{postRequest("/endpoints/disable", `{"target":"s-1"}{"target":"s-2"}`), 400, "", "follows"},
		{postRequest("/endpoints/disable", `{}`), 400, "", "missing"},
		{postRequest("/endpoints/disable", `{"target":""}`), 400, "", "missing"},
		{postRequest("/endpoints/disable", `{"target":"a\u0000b"}`), 400, "", "control"},
		{postRequest("/endpoints/disable", ``), 400, "", "target"},
		{postRequest("/endpoints/disable", `{"target":"`+strings.Repeat("x", 300)+`"}`), 400, "", "256"},
		{postRequest("/endpoints/disable", `{"target":"`+strings.Repeat("x", 5000)+`"}`), 400, "", "4096"},
		{getRequest("/endpoints/disable"), 405, "POST", "POST"},
		{postRequest("/ready", ``), 405, "GET", "GET"},
		{getRequest("/nothing"), 404, "", "/metrics"},
		{"GET /ready\r\n\r\n", 400, "", ""},
	} {
		code, allow, body := roundTrip(t, addr, tc.text)
		if code != tc.code || allow != tc.allow || !strings.Contains(body, tc.want) {
			t.Errorf("%.60q: %d %q %q", tc.text, code, allow, body)
		}
	}
	if got, want := fmt.Sprint(cordons()), "[s-1 true s-1 false s-2 false]"; got != want {
		t.Errorf("SetCordon calls: %s, want %s", got, want)
	}
}

// Connections that send nothing or only a part of a call must not delay other calls, even if there are three
// times as many of them as may be open.
func TestSilentConnectionsDoNotBlockOthers(t *testing.T) {
	addr, _ := startServer(t, Backend{})
	for i := range 3 * maxConns {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /endpoints/disable HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\n{")
		}
	}
	for range 2 * maxConns {
		start := time.Now()
		if code, _, _ := roundTrip(t, addr, getRequest("/ready")); code != 200 {
			t.Errorf("response status %d", code)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("response after %v", took)
		}
	}
}

// If the backend does not execute a call within its timeout, the client gets an error response, and gets it in time.
func TestSlowBackendIsReportedInTime(t *testing.T) {
	addr, _ := startServer(t, Backend{
		Ready: func() (bool, string) { return false, "no endpoint" },
		SetCordon: func(ctx context.Context, _ string, _ bool) error {
			<-ctx.Done()
			return ctx.Err()
		},
	})
	start := time.Now()
	code, _, body := roundTrip(t, addr, postRequest("/endpoints/disable", `{"target":"s-1"}`))
	if code != 503 || !strings.Contains(body, "again") {
		t.Errorf("%d %q", code, body)
	}
	if took := time.Since(start); took > backendTimeout+time.Second {
		t.Errorf("response after %v", took)
	}
	code, _, body = roundTrip(t, addr, getRequest("/ready"))
	if code != 503 || !strings.Contains(body, "no endpoint") {
		t.Errorf("%d %q", code, body)
	}
}
