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

// receivedMessage is a message with its sender.
type receivedMessage struct {
	from    string
	message coordination.Message
}

// start starts an instance at a free address, and returns it with its address and the messages that it receives. The
// caller must close it.
func start(t *testing.T, name, fleet string, join ...string) (*Peers, string, chan receivedMessage) {
	t.Helper()
	addr, err := freeport.Free()
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan receivedMessage, 100)
	p, err := Start(Options{
		Name:          name,
		Fleet:         fleet,
		Address:       addr,
		Join:          join,
		Log:           slog.New(slog.DiscardHandler),
		HandleMessage: func(from string, m coordination.Message) { received <- receivedMessage{from, m} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return p, addr, received
}

// eventually waits for a condition, and ends the test if it does not become true within 20 s.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// alive reports whether an instance knows another one as alive.
func alive(p *Peers, name string) bool {
	for _, m := range p.Members() {
		if m.Name == name {
			return m.Alive
		}
	}
	return false
}

// Messages of any size arrive at their recipient, and at no instance of another fleet.
func TestMessagesReachTheirRecipientWithinTheFleet(t *testing.T) {
	a, address, received := start(t, "a", "one")
	b, _, _ := start(t, "b", "one", address)
	c, _, _ := start(t, "c", "two", address)
	defer b.Close(false)
	defer c.Close(false)
	eventually(t, "they do not find each other", func() bool { return alive(a, "b") && alive(b, "a") })
	small := coordination.Message{Request: &quota.LeaseRequest{
		Incarnation: 1, Sequence: 2, Demands: []quota.Demand{{Budget: "x", Requested: 1.5, Held: 3}},
	}}
	large := coordination.Message{Request: small.Request, Observations: &observations.Observations{}}
	for i := range 200 {
		outcome := observations.OutcomeCount{Endpoint: fmt.Sprint("endpoint-", i), Succeeded: float64(i)}
		large.Observations.Outcomes = append(large.Observations.Outcomes, outcome)
	}
	for _, sent := range []coordination.Message{small, large} {
		b.Send("a", sent)
		select {
		case got := <-received:
			if got.from != "b" || fmt.Sprint(got.message.Request.Demands) != fmt.Sprint(sent.Request.Demands) ||
				sent.Observations != nil && len(got.message.Observations.Outcomes) != 200 {
				t.Errorf("received %+v", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("not received")
		}
	}
	if alive(c, "a") || alive(a, "c") {
		t.Error("instances of two fleets know each other")
	}
	(*delegate)(a).NotifyMsg([]byte(strings.Repeat("\xff", 50)))
	if f := a.Stats(); f.Malformed != 1 || f.Received != 2 {
		t.Errorf("%+v", f)
	}
	a.Close(true)
	eventually(t, "b does not learn that a leaves", func() bool { return !alive(b, "a") })
	if _, err := net.Listen("tcp", address); err != nil {
		t.Errorf("the address is not free: %v", err)
	}
}

// An address that is in use or malformed is an error.
func TestUnusableAddressIsAnError(t *testing.T) {
	a, address, _ := start(t, "a", "one")
	defer a.Close(false)
	for _, addr := range []string{address, "nowhere", "127.0.0.1:x"} {
		p, err := Start(Options{Name: "b", Fleet: "one", Address: addr, Log: slog.New(slog.DiscardHandler)})
		if err == nil {
			p.Close(false)
			t.Errorf("%q is accepted", addr)
		}
	}
}
