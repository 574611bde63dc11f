package floodclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	otherRate        = 40 // requests a second of the other client
	otherTimeout     = 100 * time.Millisecond
	// lostAfter is how late a final answer is at most, before its request counts as lost.
	lostAfter = 500 * time.Millisecond
	// minServedPercent is the least part of the other client's requests that has to be served.
	minServedPercent = 90
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

// CheckOtherClient floods a server for some seconds while another client sends requests of the safe class. The test
// fails if a request of that client is lost, or if too few of them are served, or if the server's process, which has
// the ID pid, uses more than maxMemory bytes.
func CheckOtherClient(t *testing.T, options Options, pid, maxMemory int) {
	t.Helper()
	options.Connections = checkConnections
	ctx, cancel := context.WithTimeout(context.Background(), checkDuration)
	defer cancel()
	flooded := make(chan Counts, 1)
	go func() { flooded <- Run(ctx, options) }()
	report := client.New(client.Options{
		Name:     "other",
		Rate:     otherRate,
		Duration: checkDuration,
		Grace:    lostAfter,
		Classes:  []client.Class{{Name: options.SafeClass, Share: 1, Method: http.MethodGet, Timeout: otherTimeout}},
		Dial:     func(time.Time) (net.Conn, error) { return net.Dial("tcp", options.Addr) },
	}).Run(ctx)
	cancel()
	counts := <-flooded
	memory := peakMemory(t, pid)
	t.Logf("other client: %v, median %v, 99th percentile %v; flood: %+v; peak memory %d MiB", report.ByVerdict,
		report.Quantile(0.5), report.Quantile(0.99), counts, memory>>20)
	if lost := report.ByVerdict[client.TimedOut] + report.ByVerdict[client.ConnectionLost]; lost > 0 {
		t.Errorf("%d of %d requests of the other client lost", lost, report.Scheduled)
	}
	if served := report.ByVerdict[client.Served]; served*100 < report.Scheduled*minServedPercent {
		t.Errorf("%d of %d requests of the other client served", served, report.Scheduled)
	}
	if memory > maxMemory {
		t.Errorf("%d bytes of memory used, %d allowed", memory, maxMemory)
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
