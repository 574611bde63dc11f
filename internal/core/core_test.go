package core

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// recordingUpstream is an Upstream that records the addresses for which it creates targets.
type recordingUpstream struct{ addrs chan string }

// inertTarget is a target that sends nothing.
type inertTarget struct{}

func (inertTarget) Probe() engine.AttemptResult {
	return engine.AttemptResult{Status: balancer.NotSent}
}
func (inertTarget) AttemptTimedOut(time.Time) {}
func (inertTarget) Drop()                     {}

func (u recordingUpstream) Target(_, addr string) Target {
	u.addrs <- addr
	return inertTarget{}
}

// testSite returns a site with one request class and one zone.
func testSite() *siteconfig.Site {
	return &siteconfig.Site{Classes: []string{"look"}, Zones: []string{"a"}, Settings: balancer.Settings{Balancers: 1,
		Classes: []balancer.Class{{Name: "look", Idempotency: balancer.Idempotent, LatencyObjective: 400_000,
			ClientTimeout: 1_000_000, PriorityWeight: 1}},
		Limits: balancer.Limits{Cancel: true, MaxAttempts: 3, MaxOpenRequests: 10},
		Contract: balancer.Contract{DrainGrace: 250_000, WarmupStartCapacity: 0.2, WarmupTime: 1_000_000,
			CollapseMultiple: 2.5,
			CollapseAfter:    1_000_000, PollInterval: 1_000_000}}}
}

// startCore runs a core until the test ends. The core has one pool, with the given endpoints in its initial
// list.
func startCore(t *testing.T, endpoints ...engine.EndpointInfo) (*Pool, recordingUpstream) {
	t.Helper()
	upstream := recordingUpstream{addrs: make(chan string, 16)}
	core := New(Config{Clock: clock.New(), Site: testSite(), Seed: 1, Upstream: upstream, Log: scriptedpeer.DiscardLog})
	p := addPool(t, core, "", endpoints...)
	ctx, cancel := context.WithCancel(context.Background())
	go core.Run(ctx)
	t.Cleanup(func() { cancel(); <-core.stopped })
	return p, upstream
}

// addPool adds a pool to a core, with the given endpoints in its initial list.
func addPool(t *testing.T, core *Core, name string, endpoints ...engine.EndpointInfo) *Pool {
	t.Helper()
	p, err := core.NewPool(engine.PoolConfig{
		Name:             name,
		InitialEndpoints: engine.EndpointUpdate{Generation: 7, Endpoints: endpoints},
		SetWatch:         func(bool) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// sync waits until all events that were posted before it have been handled.
func (core *Core) sync(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	core.post(func(monotime.Micros) { close(done) })
	scriptedpeer.Receive(t, done, "event")
}

// A core without endpoints is not ready; it is ready once its list has an endpoint.
func TestReadyOnceAnEndpointIsReady(t *testing.T) {
	p, _ := startCore(t)
	core := p.core
	core.sync(t)
	if core.Ready() {
		t.Error("ready without an endpoint")
	}
	p.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListDelta, Generation: 8,
		Endpoints: []engine.EndpointInfo{{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"}}})
	core.sync(t)
	if !core.Ready() {
		t.Error("not ready with an endpoint")
	}
}

// An endpoint list that is older than the current one is ignored, unless it comes from another source. A list
// whose generations were reset does not make a draining endpoint ready again.
func TestStaleListIsIgnored(t *testing.T) {
	p, upstream := startCore(t,
		engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a", State: balancer.Draining})
	core := p.core
	readyEndpoints := []engine.EndpointInfo{{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"}}
	p.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFull, Generation: 6,
		Endpoints: readyEndpoints})
	core.sync(t)
	if core.Ready() {
		t.Error("an old list made a draining endpoint ready")
	}
	p.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFull, Generation: 3,
		NewSource: true, GenerationsReset: true, Endpoints: readyEndpoints})
	core.sync(t)
	if core.Ready() {
		t.Error("a list whose generations were reset made a draining endpoint ready")
	}
	p.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFull, Generation: 1,
		NewSource: true, Endpoints: readyEndpoints})
	core.sync(t)
	if !core.Ready() || len(upstream.addrs) != 1 {
		t.Error("the list of another source was ignored")
	}
}

// An update that arrives after its watch has ended is ignored, because it may be older than the updates of the
// next watch.
func TestUpdateOfEndedWatchIsIgnored(t *testing.T) {
	p, upstream := startCore(t)
	core := p.core
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.UpdateEndpoints(ctx, engine.EndpointUpdate{Kind: balancer.ListFull, Generation: 8,
		Endpoints: []engine.EndpointInfo{{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"}}})
	core.sync(t)
	if core.Ready() || len(upstream.addrs) != 0 {
		t.Error("an update of an ended watch was applied")
	}
}

// A request gets one response, even if a second request with the same ID is submitted or the client goes away
// after the response. When the request has ended, the core keeps no state of it.
func TestEachRequestGetsOneResponse(t *testing.T) {
	p, _ := startCore(t, engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"})
	core := p.core
	release := make(chan struct{})
	request := balancer.Request{Deadline: core.config.Clock.Now() + 1_000_000}
	client, err := engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	c := &Call{Client: client, Pool: p, ArrivedAt: core.config.Clock.Now(), ID: "1",
		Response: make(chan engine.Response, 1), Request: request,
		Attempt: func(_ context.Context, attempt *AttemptContext) engine.AttemptResult {
			if !attempt.ClaimSend(core.config.Clock.Now()) {
				return engine.AttemptResult{Status: balancer.NotSent}
			}
			<-release
			return engine.AttemptResult{Status: balancer.OK, ObservedAt: core.config.Clock.Now(), Response: "yes"}
		}}
	core.Submit(c)
	duplicate := &Call{Client: client, Pool: p, ID: "1", Response: make(chan engine.Response, 1), Request: request}
	core.Submit(duplicate)
	if response := scriptedpeer.Receive(t, duplicate.Response,
		"response to a duplicate request"); response.Verdict != engine.DuplicateID {
		t.Errorf("duplicate request: verdict %v", response.Verdict)
	}
	close(release)
	if response := scriptedpeer.Receive(t, c.Response, "response"); response.Verdict != engine.Served ||
		response.Result.Response != "yes" {
		t.Errorf("response %+v", response)
	}
	core.ClientGone(c) // has no effect after the response
	counts := make(chan [2]int, 1)
	core.post(func(monotime.Micros) { counts <- [2]int{core.engine.OpenCalls(), client.OpenCalls()} })
	if n := scriptedpeer.Receive(t, counts, "counts"); n != [2]int{} {
		t.Errorf("after the end: %d calls and %d request IDs left", n[0], n[1])
	}
	select {
	case response := <-c.Response:
		t.Errorf("a second response: %+v", response)
	case <-time.After(time.Millisecond):
	}
}

// newCall returns a call whose attempts respond once release is closed.
func (p *Pool) newCall(client *engine.Client, id string, release <-chan struct{}) *Call {
	now := p.core.config.Clock.Now()
	return &Call{Client: client, Pool: p, ArrivedAt: now, ID: id,
		Response: make(chan engine.Response, 1), Request: balancer.Request{Deadline: now + 1_000_000},
		Attempt: func(_ context.Context, attempt *AttemptContext) engine.AttemptResult {
			if !attempt.ClaimSend(p.core.config.Clock.Now()) {
				return engine.AttemptResult{Status: balancer.NotSent}
			}
			<-release
			return engine.AttemptResult{Status: balancer.OK, ObservedAt: p.core.config.Clock.Now(),
				Response: p.enginePool.Name()}
		}}
}

// Each pool has its own endpoints. A pool that is closed while a request is open finishes that request and
// rejects new ones.
func TestClosedPoolDissolvesOnceIdle(t *testing.T) {
	firstPool, upstream := startCore(t, engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"})
	core := firstPool.core
	secondPool := addPool(t, core, "second", engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:2", Zone: "a"})
	client, err := engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	firstCall := firstPool.newCall(client, "1", release)
	secondCall := secondPool.newCall(client, "2", release)
	core.Submit(firstCall)
	core.Submit(secondCall)
	core.sync(t)
	if got := []string{<-upstream.addrs, <-upstream.addrs}; got[0] != "127.0.0.1:1" || got[1] != "127.0.0.1:2" {
		t.Errorf("targets %v", got)
	}
	snapshot := core.Snapshot()
	if len(snapshot.Pools) != 2 || snapshot.Pool("second") == nil ||
		snapshot.Pool("second").Endpoints[0].Addr != "127.0.0.1:2" {
		t.Errorf("snapshot %+v", snapshot)
	}
	secondPool.Close(nil)
	lateCall := secondPool.newCall(client, "3", release)
	core.Submit(lateCall)
	if got := scriptedpeer.Receive(t, lateCall.Response, "response of a closed pool"); got.Verdict != engine.Rejected {
		t.Errorf("a closed pool accepted a request: %+v", got)
	}
	dissolved := make(chan bool, 1)
	core.post(func(monotime.Micros) { dissolved <- secondPool.enginePool.Dissolved() })
	if <-dissolved {
		t.Error("a pool was dissolved with a request open")
	}
	close(release)
	for _, c := range []*Call{firstCall, secondCall} {
		got := scriptedpeer.Receive(t, c.Response, "response")
		if got.Verdict != engine.Served || got.Result.Response != c.Pool.enginePool.Name() {
			t.Errorf("response %+v", got)
		}
	}
	core.post(func(monotime.Micros) {
		dissolved <- secondPool.enginePool.Dissolved() && core.engine.Pools() == 1 && !firstPool.enginePool.Dissolved()
	})
	if !<-dissolved {
		t.Error("a closed pool without requests is not dissolved")
	}
	// An update after the pool has dissolved has no effect.
	secondPool.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFull, Generation: 9})
	core.sync(t)
}

// Once a response has started, the client gets it: neither the deadline nor a later failure of the attempt ends
// the request.
func TestStartedResponseOutlivesDeadline(t *testing.T) {
	p, _ := startCore(t, engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"})
	core := p.core
	client, err := engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1, MaxOpen: 1})
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	contextActive := make(chan bool, 1)
	c := p.newCall(client, "1", nil)
	c.Request.Deadline = c.ArrivedAt + 50_000
	c.Attempt = func(ctx context.Context, attempt *AttemptContext) engine.AttemptResult {
		now := core.config.Clock.Now()
		started := engine.AttemptResult{Status: balancer.OK, ObservedAt: now, Response: "started"}
		if !attempt.ClaimSend(now) || !attempt.ResponseStarted(started) {
			return engine.AttemptResult{Status: balancer.NotSent}
		}
		<-release
		contextActive <- ctx.Err() == nil
		return engine.AttemptResult{Status: balancer.Reset, ObservedAt: now}
	}
	core.Submit(c)
	got := scriptedpeer.Receive(t, c.Response, "response")
	if got.Verdict != engine.Served || got.Result.Response != "started" {
		t.Fatalf("response %+v", got)
	}
	deadlinePassed := make(chan struct{})
	untilDeadline := clock.Duration(c.Request.Deadline + 20_000 - core.config.Clock.Now())
	defer time.AfterFunc(untilDeadline, func() { close(deadlinePassed) }).Stop()
	scriptedpeer.Receive(t, deadlinePassed, "the deadline")
	if n := p.Counts(); n.Queued != 0 || n.InFlight != 0 || n.OpenCalls != 1 {
		t.Errorf("counts while the response is streamed: %+v", n)
	}
	close(release)
	if !scriptedpeer.Receive(t, contextActive, "the end of the attempt") {
		t.Error("the deadline ended a response that had started")
	}
	for waitDeadline := time.Now().Add(scriptedpeer.WaitTimeout); ; {
		if p.Counts().OpenCalls == 0 {
			break
		}
		if time.Now().After(waitDeadline) {
			t.Fatal("the call stays in the request table")
		}
	}
}

// If a client goes away just as its response starts, the attempt is aborted. Otherwise the attempt would wait
// for a reader that never comes.
func TestClientGoneAsResponseStartsAbortsAttempt(t *testing.T) {
	p, _ := startCore(t, engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"})
	core := p.core
	client, err := engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	attemptEnded := make(chan struct{})
	c := p.newCall(client, "1", nil)
	c.Attempt = func(ctx context.Context, attempt *AttemptContext) engine.AttemptResult {
		now := core.config.Clock.Now()
		started := engine.AttemptResult{Status: balancer.OK, ObservedAt: now}
		if attempt.ClaimSend(now) && attempt.ResponseStarted(started) {
			<-ctx.Done()
			close(attemptEnded)
		}
		return engine.AttemptResult{Status: balancer.Cancelled, ObservedAt: now}
	}
	core.Submit(c)
	scriptedpeer.Receive(t, c.Response, "response")
	core.ClientGone(c)
	scriptedpeer.Receive(t, attemptEnded, "the end of the attempt")
}

// A request that cannot be sent again is not retried, even though its class is idempotent. The balancer decides
// whether the request is rejected or fails, as for any other request.
func TestRequestNotReplayableIsNotRetried(t *testing.T) {
	p, _ := startCore(t, engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"},
		engine.EndpointInfo{Name: "s-2", Addr: "127.0.0.1:2", Zone: "a"})
	core := p.core
	client, err := engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, notReplayable := range []bool{true, false} {
		attempts := make(chan struct{}, 10)
		c := p.newCall(client, "1", nil)
		c.NotReplayable = func() bool { return notReplayable }
		c.Attempt = func(_ context.Context, attempt *AttemptContext) engine.AttemptResult {
			attempt.ClaimSend(core.config.Clock.Now())
			attempts <- struct{}{}
			return engine.AttemptResult{Status: balancer.Error, ObservedAt: core.config.Clock.Now(), Response: "said"}
		}
		core.Submit(c)
		got := scriptedpeer.Receive(t, c.Response, "response")
		if got.Result == nil || got.Result.Response != "said" || notReplayable != (len(attempts) == 1) ||
			notReplayable && got.Verdict != engine.Rejected {
			t.Errorf("not replayable %v: %+v after %d attempts", notReplayable, got, len(attempts))
		}
		core.sync(t)
	}
}

// The sending of an aborted attempt stops before the next event is handled, even if the AttemptFunc notices the
// abort late. Otherwise two attempts could be in flight where only one is allowed.
func TestAbortEndsSendingBeforeNextEvent(t *testing.T) {
	p, _ := startCore(t, engine.EndpointInfo{Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"})
	core := p.core
	client, err := engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	var aborted atomic.Bool
	sent := make(chan struct{})
	testOver := make(chan struct{})
	defer close(testOver)
	c := p.newCall(client, "1", nil)
	c.Request.Deadline = core.config.Clock.Now() + 2*scriptedpeer.WaitTimeout.Microseconds()
	c.Attempt = func(ctx context.Context, attempt *AttemptContext) engine.AttemptResult {
		if attempt.OnAbort(func() { aborted.Store(true) }) && attempt.ClaimSend(core.config.Clock.Now()) {
			close(sent)
		}
		<-testOver // ignores the abort
		return engine.AttemptResult{Status: balancer.Reset, ObservedAt: core.config.Clock.Now()}
	}
	core.Submit(c)
	scriptedpeer.Receive(t, sent, "the attempt")
	core.ClientGone(c)
	core.sync(t)
	if !aborted.Load() {
		t.Error("the attempt is still being sent when the next event is handled")
	}
}

// Either the attempt or an abort gets the connection: an abort does not stop a detached sending, and a sending
// that was aborted cannot be detached.
func TestSendGuardEndsSendingOnce(t *testing.T) {
	var detachedGuard sendGuard
	if !detachedGuard.attach(func() { t.Error("sending stopped after it was detached") }) || !detachedGuard.detach() {
		t.Error("not attached, or not detached")
	}
	detachedGuard.abort()
	if detachedGuard.attach(func() {}) {
		t.Error("attached after the abort")
	}
	abortCalls := 0
	var abortedGuard sendGuard
	abortedGuard.attach(func() { abortCalls++ })
	abortedGuard.abort()
	abortedGuard.abort()
	if abortedGuard.detach() || abortCalls != 1 {
		t.Errorf("detached after the abort, or stopped %d times, want 1", abortCalls)
	}
}
