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

// receivedMessage is a message that a handler was called with, and the name of its sender.
type receivedMessage struct {
	from    string
	message coordination.Message
}

// startPeers starts an instance at a free address. It returns the instance, its address, and a channel with the
// messages that it receives. The caller must close the instance.
func startPeers(t *testing.T, name, fleet string, join ...string) (*Peers, string, chan receivedMessage) {
	t.Helper()
	address, err := freeport.Free()
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan receivedMessage, 100)
	p, err := Start(Options{
		Name:          name,
		Fleet:         fleet,
		Address:       address,
		Join:          join,
		Log:           slog.New(slog.DiscardHandler),
		HandleMessage: func(from string, m coordination.Message) { received <- receivedMessage{from, m} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return p, address, received
}

// waitUntil waits until a condition is true. If that takes longer than 20 s, it ends the test with the failure
// message.
func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// knowsAlive reports whether an instance regards the instance with the given name as alive.
func knowsAlive(p *Peers, name string) bool {
	for _, m := range p.Members() {
		if m.Name == name {
			return m.Alive
		}
	}
	return false
}

// Messages that fit into a datagram and messages that need TCP must arrive at their recipient. Instances of another
// fleet must not be discovered. After Close, the other instances must be notified and the address must be free.
func TestMessagesReachTheirRecipientWithinTheFleet(t *testing.T) {
	a, address, received := startPeers(t, "a", "one")
	b, _, _ := startPeers(t, "b", "one", address)
	c, _, _ := startPeers(t, "c", "two", address)
	defer b.Close(false)
	defer c.Close(false)
	waitUntil(t, "a and b do not discover each other", func() bool { return knowsAlive(a, "b") && knowsAlive(b, "a") })
	smallMessage := coordination.Message{Request: &quota.LeaseRequest{
		Incarnation: 1, Sequence: 2, Demands: []quota.Demand{{Budget: "x", Requested: 1.5, Held: 3}},
	}}
	largeMessage := coordination.Message{Request: smallMessage.Request, Observations: &observations.Observations{}}
	for i := range 200 {
		outcome := observations.OutcomeCount{Endpoint: fmt.Sprint("endpoint-", i), Succeeded: float64(i)}
		largeMessage.Observations.Outcomes = append(largeMessage.Observations.Outcomes, outcome)
	}
	for _, sentMessage := range []coordination.Message{smallMessage, largeMessage} {
		b.Send("a", sentMessage)
		select {
		case got := <-received:
			if got.from != "b" || fmt.Sprint(got.message.Request.Demands) != fmt.Sprint(sentMessage.Request.Demands) ||
				sentMessage.Observations != nil && len(got.message.Observations.Outcomes) != 200 {
				t.Errorf("received %+v", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("not received")
		}
	}
	if knowsAlive(c, "a") || knowsAlive(a, "c") {
		t.Error("instances of different fleets discover each other")
	}
	(*delegate)(a).NotifyMsg([]byte(strings.Repeat("\xff", 50)))
	if stats := a.Stats(); stats.Malformed != 1 || stats.Received != 2 {
		t.Errorf("%+v", stats)
	}
	a.Close(true)
	waitUntil(t, "b is not notified that a leaves", func() bool { return !knowsAlive(b, "a") })
	if _, err := net.Listen("tcp", address); err != nil {
		t.Errorf("the address is still in use after Close: %v", err)
	}
}

// Start must return an error if the address is in use or malformed.
func TestUnusableAddressIsAnError(t *testing.T) {
	a, usedAddress, _ := startPeers(t, "a", "one")
	defer a.Close(false)
	for _, unusable := range []string{usedAddress, "nowhere", "127.0.0.1:x"} {
		p, err := Start(Options{Name: "b", Fleet: "one", Address: unusable, Log: slog.New(slog.DiscardHandler)})
		if err == nil {
			p.Close(false)
			t.Errorf("%q is accepted", unusable)
		}
	}
}
