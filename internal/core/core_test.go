package core

import (
	"context"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/shares"
	"dunlinsail/internal/site"
	"dunlinsail/internal/standin/peer"
)

// upstreams is an Upstream whose targets only count what is asked of them.
type upstreams struct{ made chan string }

type target struct{ nowhere }

func (u upstreams) Target(addr string) Target {
	u.made <- addr
	return target{}
}

func testSite() *site.Site {
	return &site.Site{Classes: []string{"look"}, Zones: []string{"a"}, Settings: balancer.Settings{Balancers: 1,
		Classes: []balancer.Class{{Name: "look", Repeat: balancer.Safe, Aim: 400_000, GiveUp: 1_000_000, Worth: 1}},
		Limits:  balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpen: 10},
		Contract: balancer.Contract{DrainGrace: 250_000, ColdFrom: 0.2, RampTime: 1_000_000, FallMultiple: 2.5,
			OverloadFor: 1_000_000, AskWithin: 1_000_000}}}
}

// running runs a core until the test ends.
func running(t *testing.T, known ...Member) (*Core, upstreams) {
	t.Helper()
	u := upstreams{made: make(chan string, 16)}
	x, err := New(Config{Clock: clock.New(), Site: testSite(), Seed: 1, Known: Told{Generation: 7, Members: known}, Upstream: u,
		Watch: func(bool) {}, Log: peer.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go x.Run(ctx)
	t.Cleanup(func() { cancel(); <-x.over })
	return x, u
}

// sync waits until all events so far have been handled.
func (x *Core) sync(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	x.post(func(balancer.Micros) { close(done) })
	peer.Within(t, done, "event")
}

// Without any endpoint a core is not ready; with one it is.
func TestReady(t *testing.T) {
	x, _ := running(t)
	x.sync(t)
	if x.Ready() {
		t.Error("ready without an endpoint")
	}
	x.Members(context.Background(), Told{Kind: balancer.ListDelta, Generation: 8,
		Members: []Member{{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"}}})
	x.sync(t)
	if !x.Ready() {
		t.Error("not ready with an endpoint")
	}
}

// A list older than the one held changes nothing, unless another discovery tells it.
func TestStaleList(t *testing.T) {
	x, u := running(t, Member{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a", State: balancer.Draining})
	up := []Member{{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"}}
	x.Members(context.Background(), Told{Kind: balancer.ListFull, Generation: 6, Members: up})
	x.sync(t)
	if x.Ready() {
		t.Error("an old list brought a draining endpoint back")
	}
	x.Members(context.Background(), Told{Kind: balancer.ListFull, Generation: 1, Anew: true, Members: up})
	x.sync(t)
	if !x.Ready() || len(u.made) != 1 {
		t.Error("another discovery's list was passed over")
	}
}

// What a watch tells after its end is not heard: it may be older than what the next one has told.
func TestEndedWatchIsNotHeard(t *testing.T) {
	x, u := running(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	x.Members(ctx, Told{Kind: balancer.ListFull, Generation: 8, Members: []Member{{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"}}})
	x.sync(t)
	if x.Ready() || len(u.made) != 0 {
		t.Error("a list of an ended watch was heard")
	}
}

// A request has one answer, whatever comes of its attempts, and after the core's end nobody waits for it.
func TestOneAnswer(t *testing.T) {
	x, _ := running(t, Member{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"})
	release := make(chan struct{})
	in := balancer.Request{Deadline: x.config.Clock.Now() + 1_000_000}
	client, err := x.NewClient(shares.Spec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	c := &Call{Client: client, Arrived: x.config.Clock.Now(), ID: "1", Answer: make(chan Answer, 1), In: in,
		Attempt: func(ctx context.Context, _ Target, _ balancer.Micros, mayGo func(balancer.Micros) bool) Reply {
			if !mayGo(x.config.Clock.Now()) {
				return Reply{Status: balancer.Moot}
			}
			<-release
			return Reply{Status: balancer.OK, At: x.config.Clock.Now(), Answer: "yes"}
		}}
	x.Submit(c)
	again := &Call{Client: client, ID: "1", Answer: make(chan Answer, 1), In: in}
	x.Submit(again)
	if a := peer.Within(t, again.Answer, "answer to an open id"); a.Verdict != IDOpen {
		t.Errorf("the same id once more: verdict %v", a.Verdict)
	}
	close(release)
	if a := peer.Within(t, c.Answer, "answer"); a.Verdict != Served || a.Reply.Answer != "yes" {
		t.Errorf("answer %+v", a)
	}
	x.Leave(c) // too late to matter
	left := make(chan [2]int, 1)
	x.post(func(balancer.Micros) { left <- [2]int{len(x.calls), len(client.ids)} })
	if n := peer.Within(t, left, "counts"); n != [2]int{} {
		t.Errorf("left behind: %d calls, %d ids", n[0], n[1])
	}
	select {
	case a := <-c.Answer:
		t.Errorf("a second answer: %+v", a)
	case <-time.After(time.Millisecond):
	}
}
