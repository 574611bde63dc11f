package peers

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/fake/freeport"
)

type receivedMessage struct {
	from    string
	message coordination.Message
}

// start starts an instance at an address of its own, with what it hears.
func start(t *testing.T, name, of string, join ...string) (*Peers, string, chan receivedMessage) {
	t.Helper()
	addr, err := freeport.Free()
	if err != nil {
		t.Fatal(err)
	}
	all := make(chan receivedMessage, 100)
	p, err := Start(Options{Name: name, Fleet: of, Address: addr, Join: join, Log: slog.New(slog.DiscardHandler), HandleMessage: func(from string, w coordination.Message) { all <- receivedMessage{from, w} }})
	if err != nil {
		t.Fatal(err)
	}
	return p, addr, all
}

// until waits for something that takes no time of its own.
func until(t *testing.T, what string, yes func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !yes(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func alive(p *Peers, name string) bool {
	for _, m := range p.Members() {
		if m.Name == name {
			return m.Alive
		}
	}
	return false
}

// Words of any size come to whom they are for, and to nobody of another fleet.
func TestWords(t *testing.T) {
	a, at, hears := start(t, "a", "one")
	b, _, _ := start(t, "b", "one", at)
	c, _, _ := start(t, "c", "two", at)
	defer b.Close(false)
	defer c.Close(false)
	until(t, "they do not find one another", func() bool { return alive(a, "b") && alive(b, "a") })
	small := coordination.Message{Request: &quota.LeaseRequest{Incarnation: 1, Sequence: 2, Demands: []quota.Demand{{Budget: "x", Requested: 1.5, Held: 3}}}}
	large := coordination.Message{Request: small.Request, Observations: &observations.Observations{}}
	for i := range 200 {
		large.Observations.Outcomes = append(large.Observations.Outcomes, observations.OutcomeCount{Endpoint: fmt.Sprint("endpoint-", i), Succeeded: float64(i)})
	}
	for _, w := range []coordination.Message{small, large} {
		b.Send("a", w)
		select {
		case h := <-hears:
			if h.from != "b" || fmt.Sprint(h.message.Request.Demands) != fmt.Sprint(w.Request.Demands) || w.Observations != nil && len(h.message.Observations.Outcomes) != 200 {
				t.Errorf("heard %+v", h)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("not heard")
		}
	}
	if alive(c, "a") || alive(a, "c") {
		t.Error("two fleets mix")
	}
	(*delegate)(a).NotifyMsg([]byte(strings.Repeat("\xff", 50)))
	if f := a.Stats(); f.Malformed != 1 || f.Received != 2 {
		t.Errorf("%+v", f)
	}
	a.Close(true)
	until(t, "b does not hear that a leaves", func() bool { return !alive(b, "a") })
	if _, err := net.Listen("tcp", at); err != nil {
		t.Errorf("the address is not free: %v", err)
	}
}

// An address in use, or none, is an error that says so.
func TestAddress(t *testing.T) {
	a, at, _ := start(t, "a", "one")
	defer a.Close(false)
	for _, addr := range []string{at, "nowhere", "127.0.0.1:x"} {
		if p, err := Start(Options{Name: "b", Fleet: "one", Address: addr, Log: slog.New(slog.DiscardHandler)}); err == nil {
			p.Close(false)
			t.Errorf("%q is taken", addr)
		}
	}
}
