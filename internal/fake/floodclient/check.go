package floodclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/scriptedpeer"
)

const (
	// floodPath ends the paths of requests whose bodies or responses have no end.
	floodPath = "/flood"
	// serviceTime is how long an endpoint takes for any other request.
	serviceTime = 2 * time.Millisecond

	checkDuration    = 1500 * time.Millisecond
	checkConnections = 6
	warmUpRequests   = 20
	otherRate        = 40 // requests a second of the other client
	otherTimeout     = 100 * time.Millisecond
	// lostAfter is how late a final answer is at most, before its request counts as lost.
	lostAfter = 500 * time.Millisecond
	// floodedServedPercent is the least part of the other client's requests that has to be served beside a flood.
	floodedServedPercent = 90
)

// StartEndpoint starts an endpoint, which ends with the test, and returns its address.
func StartEndpoint(t testing.TB) string {
	t.Helper()
	return scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, floodPath) {
			respondWithoutEnd(w)
			return
		}
		time.Sleep(serviceTime)
		fmt.Fprintln(w, r.Header.Get("X-Trace-Id"), "served")
	})
}

// respondWithoutEnd writes a response until its client leaves.
func respondWithoutEnd(w io.Writer) {
	for {
		if _, err := io.WriteString(w, largeChunk); err != nil {
			return
		}
	}
}

// ServerProcess is a server that is checked while clients disturb it.
type ServerProcess struct {
	Addr      string
	PID       int
	MaxMemory int    // bytes that the process may use
	SafeClass string // class of the other client's requests
}

// CheckFlooded floods a server for some seconds, and checks it meanwhile (CheckOtherClient).
func CheckFlooded(t *testing.T, server ServerProcess, options Options) {
	t.Helper()
	options.Addr = server.Addr
	options.SafeClass = server.SafeClass
	options.Connections = checkConnections
	server.CheckOtherClient(t, floodedServedPercent, func(ctx context.Context) {
		t.Logf("flood: %+v", Run(ctx, options))
	})
}

// CheckOtherClient has a client send requests of the safe class for some seconds, while disturb runs until its context
// ends. The test fails if a request of that client is lost, or if too few of them are served, or if the server's
// process uses too much memory. minServedPercent is the part that has to be served; others may be refused.
func (server *ServerProcess) CheckOtherClient(t *testing.T, minServedPercent int, disturb func(context.Context)) {
	t.Helper()
	server.warmUp(t)
	ctx, cancel := context.WithTimeout(context.Background(), checkDuration)
	defer cancel()
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		disturb(ctx)
	}()
	report := client.New(client.Options{
		Name:     "other",
		Rate:     otherRate,
		Duration: checkDuration,
		Grace:    lostAfter,
		Classes:  []client.Class{{Name: server.SafeClass, Share: 1, Method: http.MethodGet, Timeout: otherTimeout}},
		Dial:     func(time.Time) (net.Conn, error) { return net.Dial("tcp", server.Addr) },
		OnDone: func(result client.Result) {
			if result.Err != nil || result.Verdict == client.Rejected {
				t.Logf("%s: %v after %v: %v %s", result.ID, result.Verdict, result.Latency, result.Err, result.Reason)
			}
		},
	}).Run(ctx)
	cancel()
	<-disturbed
	memory := peakMemory(t, server.PID)
	t.Logf("other client: %v, median %v, 99th percentile %v; peak memory %d MiB", report.ByVerdict,
		report.Quantile(0.5), report.Quantile(0.99), memory>>20)
	if lost := report.ByVerdict[client.TimedOut] + report.ByVerdict[client.ConnectionLost]; lost > 0 {
		t.Errorf("%d of %d requests of the other client lost", lost, report.Scheduled)
	}
	if served := report.ByVerdict[client.Served]; served*100 < report.Scheduled*minServedPercent {
		t.Errorf("%d of %d requests of the other client served", served, report.Scheduled)
	}
	if memory > server.MaxMemory {
		t.Errorf("%d bytes of memory used, %d allowed", memory, server.MaxMemory)
	}
}

// warmUp sends requests one after another until some are served: before it has learned how long they take, a server
// assumes long times.
func (server *ServerProcess) warmUp(t *testing.T) {
	t.Helper()
	c := client.New(client.Options{Name: "warm-up", Network: "tcp", Addr: server.Addr})
	defer c.Close()
	class := client.Class{Name: server.SafeClass, Method: http.MethodGet, Timeout: time.Second}
	served := 0
	for n := 0; served < warmUpRequests; n++ {
		if n == 10*warmUpRequests {
			t.Fatalf("%d of %d requests served before the disturbance", served, n)
		}
		if c.Send(class, fmt.Sprint("warm-up-", n), "").Verdict == client.Served {
			served++
		}
	}
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t testing.TB, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, afterLabel, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(afterLabel), " ")
	kilobytes, err := strconv.Atoi(value)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// BuildProgram builds the program of the package in the current directory without the race detector, with which a
// process needs several times as much memory and processor time, and returns its path.
func BuildProgram(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}
