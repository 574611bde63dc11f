package eventlog

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Written events are read again, among other lines and after a collector's time. An incomplete event is an error that
// names the line.
func TestEventsSurviveWriteAndRead(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, func() monotime.Micros { return 7 })
	l.AttemptStarted(1, "s 1")
	l.AttemptEnded(2, "s-1", balancer.Reset, 55)
	l.EndpointsUpdated(3, engine.EndpointUpdate{Endpoints: []engine.EndpointInfo{{Name: "s-2", State: balancer.Gone}}})
	l.DiscoveryPolled(nil)
	if _, err := l.ConnOpened("1.2.3.4:5", nil, net.ErrClosed); err == nil {
		t.Error("the error of a dial was lost")
	}
	text := "time=x level=INFO msg=serving\n0.015 " + strings.ReplaceAll(out.String(), "\n", "\n0.1 ")
	got, err := Read(strings.NewReader(text))
	want := []Event{
		{1, AttemptStarted, "s_1", "", "", 0},
		{2, AttemptEnded, "s-1", "", "reset", 55},
		{3, EndpointUpdated, "s-2", "", "gone", 0},
		{7, DiscoveryPolled, "", "", "ok", 0},
		{7, ConnOpened, "1.2.3.4:5", "", "failed", 0},
	}
	if err != nil || len(got) != len(want) {
		t.Fatalf("%v, %v", got, err)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("event %d: %+v, want %+v", i, got[i], want[i])
		}
	}
	for _, bad := range []string{"event", "event 1 sent", "event x sent - - - 0", "event 1 sent - - - -"} {
		_, err := Read(strings.NewReader("ok\n" + bad + " \n"))
		if bad != "event" && (err == nil || !strings.Contains(err.Error(), "line 2")) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Two instances, and three endpoints: one that fails most attempts for three seconds, one that is added, and one that
// is removed while it is still used.
func TestAnalyze(t *testing.T) {
	updated := func(at monotime.Micros, name, state string) Event {
		return Event{At: at, Kind: EndpointUpdated, Endpoint: name, Addr: name + ":1", Status: state}
	}
	ended := func(at monotime.Micros, name, status string) Event {
		return Event{At: at, Kind: AttemptEnded, Endpoint: name, Status: status}
	}
	var a, b []Event
	opened := Event{At: 2, Kind: ConnOpened, Endpoint: "bad:1", Status: "ok"}
	closed := Event{At: 3, Kind: ConnClosed, Endpoint: "bad:1"}
	a = append(a, updated(1, "bad", "ready"), updated(1, "goes", "ready"), opened)
	b = append(b, updated(1, "bad", "ready"), updated(1, "goes", "ready"), opened, closed)
	for i := range monotime.Micros(6) {
		a = append(a, ended(4*second+i*second/2, "bad", "error"))
	}
	b = append(b, ended(4*second+1, "bad", "error"), ended(4*second+2, "bad", "ok"), ended(7*second, "goes", "reset"))
	started := Event{At: 10 * second, Kind: AttemptStarted, Endpoint: "comes"}
	a = append(a, updated(8*second, "goes", "gone"), updated(9*second, "comes", "ready"), started)
	b = append(b, updated(8*second+second/2, "goes", "gone"), updated(9*second+second/4, "comes", "ready"))
	c := Analyze([][]Event{a, b})
	faults := [...]float64{c.Faults.Failures.Max, c.Faults.Instances.Max, c.Faults.PerInstance.Max, c.Faults.Late.Max}
	if c.Faults.Episodes != 1 || faults != [...]float64{7, 2, 6, 1} {
		t.Errorf("bad: %+v", c.Faults)
	}
	if c.Added.Endpoints != 1 || c.Added.Notified.Max != 0.25 || c.Added.FirstUse.Max != 1 || c.Added.Users.Max != 1 {
		t.Errorf("new: %+v", c.Added)
	}
	if c.Removed.Endpoints != 1 || c.Removed.Notified.Max != 0.5 || c.Removed.StaleFailures.Max != 1 {
		t.Errorf("lost: %+v", c.Removed)
	}
	if c.OpenConns.Max != 2 || c.Failures != 8 {
		t.Errorf("%v held at once, %d failures", c.OpenConns.Max, c.Failures)
	}
}
