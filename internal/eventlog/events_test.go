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

// Events that were written must be read back, even if the log contains other lines and a collector's timestamp
// before each event. A malformed event must be an error that contains the line number.
func TestEventsSurviveWriteAndRead(t *testing.T) {
	var written bytes.Buffer
	log := NewLog(&written, func() monotime.Micros { return 7 })
	log.AttemptStarted(1, "s 1")
	log.AttemptEnded(2, "s-1", balancer.Reset, 55)
	log.EndpointsUpdated(3, engine.EndpointUpdate{
		Endpoints: []engine.EndpointInfo{{Name: "s-2", State: balancer.Gone}},
	})
	log.DiscoveryPolled(nil)
	if _, err := log.ConnOpened("1.2.3.4:5", nil, net.ErrClosed); err == nil {
		t.Error("the error of a failed dial is not returned")
	}
	logText := "time=x level=INFO msg=serving\n0.015 " + strings.ReplaceAll(written.String(), "\n", "\n0.1 ")
	got, err := Read(strings.NewReader(logText))
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
	for _, invalidLine := range []string{"event", "event 1 sent", "event x sent - - - 0", "event 1 sent - - - -"} {
		_, err := Read(strings.NewReader("ok\n" + invalidLine + " \n"))
		if invalidLine != "event" && (err == nil || !strings.Contains(err.Error(), "line 2")) {
			t.Errorf("%q: %v", invalidLine, err)
		}
	}
}

// Analyze must compute the statistics of two instances and three endpoints: "bad" fails most attempts for three
// seconds, "comes" is added, and "goes" is removed but still used by an instance that is not notified yet.
func TestAnalyze(t *testing.T) {
	newUpdate := func(at monotime.Micros, name, state string) Event {
		return Event{At: at, Kind: EndpointUpdated, Endpoint: name, Addr: name + ":1", Status: state}
	}
	newAttemptEnd := func(at monotime.Micros, name, status string) Event {
		return Event{At: at, Kind: AttemptEnded, Endpoint: name, Status: status}
	}
	var firstInstance, secondInstance []Event
	connOpened := Event{At: 2, Kind: ConnOpened, Endpoint: "bad:1", Status: "ok"}
	connClosed := Event{At: 3, Kind: ConnClosed, Endpoint: "bad:1"}
	firstInstance = append(firstInstance, newUpdate(1, "bad", "ready"), newUpdate(1, "goes", "ready"), connOpened)
	secondInstance = append(secondInstance, newUpdate(1, "bad", "ready"), newUpdate(1, "goes", "ready"),
		connOpened, connClosed)
	for i := range monotime.Micros(6) {
		firstInstance = append(firstInstance, newAttemptEnd(4*second+i*second/2, "bad", "error"))
	}
	secondInstance = append(secondInstance, newAttemptEnd(4*second+1, "bad", "error"),
		newAttemptEnd(4*second+2, "bad", "ok"), newAttemptEnd(7*second, "goes", "reset"))
	attemptStarted := Event{At: 10 * second, Kind: AttemptStarted, Endpoint: "comes"}
	firstInstance = append(firstInstance, newUpdate(8*second, "goes", "gone"), newUpdate(9*second, "comes", "ready"),
		attemptStarted)
	secondInstance = append(secondInstance, newUpdate(8*second+second/2, "goes", "gone"),
		newUpdate(9*second+second/4, "comes", "ready"))
	stats := Analyze([][]Event{firstInstance, secondInstance})
	faults := [...]float64{
		stats.Faults.Failures.Max, stats.Faults.AffectedInstances.Max,
		stats.Faults.FailuresPerInstance.Max, stats.Faults.LateFailures.Max,
	}
	if stats.Faults.Episodes != 1 || faults != [...]float64{7, 2, 6, 1} {
		t.Errorf("faults: %+v", stats.Faults)
	}
	if stats.Added.Endpoints != 1 || stats.Added.NotificationDelay.Max != 0.25 || stats.Added.FirstUseDelay.Max != 1 ||
		stats.Added.InstancesWithAttempts.Max != 1 {
		t.Errorf("added endpoints: %+v", stats.Added)
	}
	if stats.Removed.Endpoints != 1 || stats.Removed.NotificationDelay.Max != 0.5 ||
		stats.Removed.StaleFailures.Max != 1 {
		t.Errorf("removed endpoints: %+v", stats.Removed)
	}
	if stats.MaxOpenConns.Max != 2 || stats.Failures != 8 {
		t.Errorf("at most %v open connections, %d failures", stats.MaxOpenConns.Max, stats.Failures)
	}
}
