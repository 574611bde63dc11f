package eventlog

import (
	"bytes"
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// goldenLogPath is the path of a log that was written by an earlier build. The file must not change, so that the
// tests below detect a change of the line format.
var goldenLogPath = filepath.Join("testdata", "events.log")

// goldenEvents are the events in the log at goldenLogPath.
var goldenEvents = []Event{
	{1, "sent", "node-1", "", "", 0},
	{2, "sent", "node_with_blanks", "", "", 0},
	{10, "ended", "node-1", "", "ok", 1001},
	{11, "ended", "node-1", "", "error", 1002},
	{12, "ended", "node-1", "", "full", 1003},
	{13, "ended", "node-1", "", "timeout", 1004},
	{14, "ended", "node-1", "", "connect", 1005},
	{15, "ended", "node-1", "", "reset", 1006},
	{16, "ended", "node-1", "", "cancelled", 1007},
	{17, "ended", "node-1", "", "moot", 1008},
	{20, "probed", "node-2", "", "ok", 55},
	{21, "probed", "node-2", "", "timeout", 56},
	{30, "told", "node-1", "10.0.0.1:80", "ready", 0},
	{30, "told", "node-2", "10.0.0.2:80", "draining", 0},
	{30, "told", "node-3", "", "gone", 0},
	{77, "asked", "", "", "ok", 0},
	{77, "asked", "", "", "failed", 0},
	{77, "dialed", "10.0.0.9:80", "", "failed", 0},
	{77, "dialed", "10.0.0.1:80", "", "ok", 0},
	{77, "closed", "10.0.0.1:80", "", "", 0},
}

// renderGoldenEvents writes the events of goldenLogPath to a Log and returns the lines.
func renderGoldenEvents(t *testing.T) []byte {
	t.Helper()
	var written bytes.Buffer
	log := NewLog(&written, func() monotime.Micros { return 77 })
	log.AttemptStarted(1, "node-1")
	log.AttemptStarted(2, "node with blanks")
	outcomes := []balancer.Status{
		balancer.OK, balancer.Error, balancer.Rejected, balancer.Timeout, balancer.ConnectFailed,
		balancer.Reset, balancer.Cancelled, balancer.NotSent,
	}
	for i, status := range outcomes {
		log.AttemptEnded(monotime.Micros(10+i), "node-1", status, monotime.Micros(1001+i))
	}
	log.ProbeEnded(20, "node-2", balancer.OK, 55)
	log.ProbeEnded(21, "node-2", balancer.Timeout, 56)
	log.EndpointsUpdated(30, engine.EndpointUpdate{Endpoints: []engine.EndpointInfo{
		{Name: "node-1", Addr: "10.0.0.1:80", State: balancer.Ready},
		{Name: "node-2", Addr: "10.0.0.2:80", State: balancer.Draining},
		{Name: "node-3", State: balancer.Gone},
	}})
	log.DiscoveryPolled(nil)
	log.DiscoveryPolled(errors.New("discovery is down"))
	if _, err := log.ConnOpened("10.0.0.9:80", nil, net.ErrClosed); err == nil {
		t.Error("the error of a failed dial is not returned")
	}
	conn, err := log.ConnOpened("10.0.0.1:80", &net.TCPConn{}, nil)
	require.NoError(t, err)
	conn.Close()
	return written.Bytes()
}

// Events in the log of an earlier build must be read as they were written.
func TestGoldenEventsAreRead(t *testing.T) {
	file, err := os.Open(goldenLogPath)
	require.NoError(t, err)
	defer file.Close()
	got, err := Read(file)
	require.NoError(t, err)
	if !slices.Equal(got, goldenEvents) {
		t.Errorf("read %+v,\nwant %+v", got, goldenEvents)
	}
}

// The same events must be written as the same bytes as in an earlier build.
func TestGoldenEventsAreWritten(t *testing.T) {
	want, err := os.ReadFile(goldenLogPath)
	require.NoError(t, err)
	if got := renderGoldenEvents(t); !bytes.Equal(got, want) {
		t.Errorf("wrote\n%s\nwant\n%s", got, want)
	}
}
