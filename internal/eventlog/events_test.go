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

// What is written is read again, among other lines and behind a collector's time; half a line is an error that names it.
func TestWrittenAndRead(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, func() monotime.Micros { return 7 })
	l.AttemptStarted(1, "s 1")
	l.AttemptEnded(2, "s-1", balancer.Reset, 55)
	l.EndpointsUpdated(3, engine.EndpointUpdate{Endpoints: []engine.EndpointInfo{{Name: "s-2", State: balancer.Gone}}})
	l.Asked(nil)
	if _, err := l.Dialed("1.2.3.4:5", nil, net.ErrClosed); err == nil {
		t.Error("the error of a dial was lost")
	}
	text := "time=x level=INFO msg=serving\n0.015 " + strings.ReplaceAll(out.String(), "\n", "\n0.1 ")
	got, err := Read(strings.NewReader(text))
	want := []Event{{1, Sent, "s_1", "", "", 0}, {2, Ended, "s-1", "", "reset", 55}, {3, Told, "s-2", "", "gone", 0},
		{7, Asked, "", "", "ok", 0}, {7, Dialed, "1.2.3.4:5", "", "failed", 0}}
	if err != nil || len(got) != len(want) {
		t.Fatalf("%v, %v", got, err)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("event %d: %+v, want %+v", i, got[i], want[i])
		}
	}
	for _, bad := range []string{"event", "event 1 sent", "event x sent - - - 0", "event 1 sent - - - -"} {
		if _, err := Read(strings.NewReader("ok\n" + bad + " \n")); bad != "event" && (err == nil || !strings.Contains(err.Error(), "line 2")) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Two instances: an endpoint that fails most for three seconds, one that comes, one that goes while it is still asked.
func TestCount(t *testing.T) {
	told := func(at monotime.Micros, name, state string) Event {
		return Event{At: at, Kind: Told, Endpoint: name, Addr: name + ":1", Status: state}
	}
	ended := func(at monotime.Micros, name, status string) Event {
		return Event{At: at, Kind: Ended, Endpoint: name, Status: status}
	}
	var a, b []Event
	a = append(a, told(1, "bad", "ready"), told(1, "goes", "ready"), Event{At: 2, Kind: Dialed, Endpoint: "bad:1", Status: "ok"})
	b = append(b, told(1, "bad", "ready"), told(1, "goes", "ready"), Event{At: 2, Kind: Dialed, Endpoint: "bad:1", Status: "ok"},
		Event{At: 3, Kind: Closed, Endpoint: "bad:1"})
	for i := range monotime.Micros(6) {
		a = append(a, ended(4*second+i*second/2, "bad", "error"))
	}
	b = append(b, ended(4*second+1, "bad", "error"), ended(4*second+2, "bad", "ok"), ended(7*second, "goes", "reset"))
	a = append(a, told(8*second, "goes", "gone"), told(9*second, "comes", "ready"), Event{At: 10 * second, Kind: Sent, Endpoint: "comes"})
	b = append(b, told(8*second+second/2, "goes", "gone"), told(9*second+second/4, "comes", "ready"))
	c := Count([][]Event{a, b})
	if c.Bad.Stretches != 1 || c.Bad.Failures.Most != 7 || c.Bad.Met.Most != 2 || c.Bad.Each.Most != 6 || c.Bad.Late.Most != 1 {
		t.Errorf("bad: %+v", c.Bad)
	}
	if c.New.Endpoints != 1 || c.New.Told.Most != 0.25 || c.New.Used.Most != 1 || c.New.Users.Most != 1 {
		t.Errorf("new: %+v", c.New)
	}
	if c.Lost.Endpoints != 1 || c.Lost.Told.Most != 0.5 || c.Lost.Unknowing.Most != 1 {
		t.Errorf("lost: %+v", c.Lost)
	}
	if c.Held.Most != 2 || c.Failures != 8 {
		t.Errorf("%v held at once, %d failures", c.Held.Most, c.Failures)
	}
}
