package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// keyedRouteConfig is a configuration whose only class is retried within a GROUP of the endpoints of LIST.
const keyedRouteConfig = `
[[listener]]
address = "127.0.0.1:0"
[fleet]
zone = "a"
zones = ["a", "b"]
[[pool]]
name = "agenda"
LIST
[[class]]
name = "book"
repeat = "keyed"
group = "GROUP"
window = "10s"
aim = "5s"
give_up = "10s"
[[route]]
pool = "agenda"
class = "book"
key = "header:Idempotency-Key"
`

// startLosingEndpoint starts an endpoint that closes its connections without a response to the first of the requests
// that runs counts.
func startLosingEndpoint(t *testing.T, runs *atomic.Int32) (addr string) {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := scriptedpeer.ReadRequest(r); err == nil && runs.Add(1) > 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// fileList writes a file with a list of endpoints, each with further keys, and returns the setting that names it.
func fileList(t *testing.T, addrs, keys []string) string {
	t.Helper()
	var instances []string
	for i, addr := range addrs {
		instances = append(instances, fmt.Sprintf(
			`{"instanceId":"f-%d","hostPort":%q,"lifecycle":"up","weight":1%s}`, i, addr, keys[i]))
	}
	file := filepath.Join(t.TempDir(), "pool.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"instances":[`+strings.Join(instances, ",")+`]}`), 0o600))
	return fmt.Sprintf("file = %q", file)
}

// Guards against a keyed request that takes effect twice since its answer got lost and the list does not state which
// endpoints drop its repeats, and against one that is not retried although the list states them.
func TestKeyedRetriesByKindOfList(t *testing.T) {
	static := func(_ *testing.T, addrs []string) string {
		return fmt.Sprintf("endpoints = [%q, %q]", addrs[0], addrs[1])
	}
	file := func(first, second string) func(t *testing.T, addrs []string) string {
		return func(t *testing.T, addrs []string) string {
			t.Helper()
			return fileList(t, addrs, []string{first, second})
		}
	}
	for name, tc := range map[string]struct {
		group string
		list  func(t *testing.T, addrs []string) string
		runs  int32
	}{
		"static, cell":         {"cell", static, 1},
		"static, zone":         {"zone", static, 1},
		"static, all":          {"all", static, 2},
		"file, no cells":       {"cell", file(``, ``), 1},
		"file, cell 0":         {"cell", file(`,"cell":0`, `,"cell":0`), 2},
		"file, two cells":      {"cell", file(`,"cell":0`, `,"cell":1`), 1},
		"file, one cell named": {"cell", file(`,"cell":0`, ``), 1},
		"file, no zones":       {"zone", file(``, ``), 1},
		"file, other zones":    {"zone", file(`,"zone":"x"`, `,"zone":"y"`), 1},
		"file, same zone":      {"zone", file(`,"zone":"x"`, `,"zone":"x"`), 2},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			addrs := []string{startLosingEndpoint(t, &runs), startLosingEndpoint(t, &runs)}
			_, addr := startRoutedDaemon(t, keyedRouteConfig, "GROUP", tc.group, "LIST", tc.list(t, addrs))
			resp, _ := dial(t, "tcp", addr).roundTrip(t,
				"POST /visits HTTP/1.1\r\nHost: h\r\nIdempotency-Key: visit-1\r\nContent-Length: 2\r\n\r\n{}")
			if runs.Load() != tc.runs || (resp.StatusCode == 200) != (tc.runs == 2) || resp.StatusCode == 503 {
				t.Errorf("%s after %d attempts, want %d", resp.Status, runs.Load(), tc.runs)
			}
		})
	}
}
