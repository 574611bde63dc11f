package engine

import (
	"fmt"
	"strings"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// attemptEnd is a way in which an attempt can end, as the host reports it.
type attemptEnd struct {
	name       string
	result     AttemptResult
	streamed   bool // the response is reported as started before it has ended
	mayHaveRun bool
}

// attemptEnds returns all ways in which an attempt can end. Responses are texts that name the attempt end.
func attemptEnds() []attemptEnd {
	const (
		harmless = true // the response promises that a retry is harmless
		ran      = true
	)
	withResponse := func(name string, status balancer.Status, promise, mayHaveRun bool) attemptEnd {
		result := AttemptResult{Status: status, Response: name, PromisesHarmlessRetry: promise}
		return attemptEnd{name: name, result: result, mayHaveRun: mayHaveRun}
	}
	ends := []attemptEnd{
		withResponse("rejection", balancer.Rejected, harmless, !ran),
		withResponse("error", balancer.Error, !harmless, ran),
		withResponse("unavailable", balancer.Error, harmless, ran),
		withResponse("success", balancer.OK, !harmless, ran),
		withResponse("unavailable, not an error", balancer.OK, harmless, ran),
	}
	for _, end := range ends {
		end.streamed = true
		end.name += ", streamed"
		ends = append(ends, end)
	}
	return append(ends,
		attemptEnd{name: "reset", result: AttemptResult{Status: balancer.Reset}, mayHaveRun: true},
		attemptEnd{name: "timeout", result: AttemptResult{Status: balancer.Timeout}, mayHaveRun: true},
		attemptEnd{name: "cancelled", result: AttemptResult{Status: balancer.Cancelled}, mayHaveRun: true},
		attemptEnd{name: "connect failed", result: AttemptResult{Status: balancer.ConnectFailed}},
		attemptEnd{name: "not sent", result: AttemptResult{Status: balancer.NotSent}},
		attemptEnd{name: "deadline", mayHaveRun: true}, // no result before the deadline of the request
	)
}

// end ends an attempt, and returns the instant at which it ended.
func (end *attemptEnd) end(engine *Engine, now monotime.Micros, a *Attempt) monotime.Micros {
	result := end.result
	result.ObservedAt = now
	switch {
	case end.name == "deadline":
		now = a.Call.Request.Deadline
		advanceTo(engine, now)
		return now
	case end.streamed:
		started := result
		started.Status = balancer.OK
		if !engine.ResponseStarted(now, a, started) {
			result.Status = balancer.Cancelled
		}
		result.Response = nil // the host has passed it on, or dropped it
	}
	engine.AttemptEnded(now, a, result)
	return now
}

// finalResponse is the final response of a request whose attempts ended in the given order.
type finalResponse struct {
	class    balancer.Class
	ends     []attemptEnd
	response Response
}

// String returns the class of the request and the names of the attempt ends.
func (f *finalResponse) String() string {
	var names []string
	for _, end := range f.ends {
		names = append(names, end.name)
	}
	return f.class.Name + ": " + strings.Join(names, "; ")
}

// forwarded returns the name of the attempt end whose response was forwarded, or "" if none was.
func (f *finalResponse) forwarded() string {
	if f.response.Result == nil || f.response.Result.Response == nil {
		return ""
	}
	return f.response.Result.Response.(string)
}

// ranEnds returns the names of the attempt ends after which the attempt may have run.
func (f *finalResponse) ranEnds() (names []string) {
	for _, end := range f.ends {
		if end.mayHaveRun {
			names = append(names, end.name)
		}
	}
	return names
}

// checkPromise checks that the response promises that a retry is harmless only if it is.
func (f *finalResponse) checkPromise(t *testing.T) {
	t.Helper()
	promise := f.response.Verdict == Rejected
	if f.forwarded() != "" {
		promise = f.response.Result.PromisesHarmlessRetry
	}
	ran := f.ranEnds()
	if !promise || f.class.Idempotency == balancer.Idempotent || len(ran) == 0 {
		return
	}
	// An endpoint's own response, such as "unavailable", speaks for the attempt that got it.
	if f.forwarded() == "" || len(ran) > 1 || !strings.HasPrefix(ran[0], f.forwarded()) {
		t.Errorf("%v: the response promises that a retry is harmless: %+v", f, f.response)
	}
}

// checkVerdict checks the verdict, and that a success or a last rejection is forwarded.
func (f *finalResponse) checkVerdict(t *testing.T) {
	t.Helper()
	last := f.ends[len(f.ends)-1]
	verdict := f.response.Verdict
	wantFailure := Failed
	if last.name == "timeout" || last.name == "deadline" {
		wantFailure = TimedOut
	}
	noneRan := len(f.ranEnds()) == 0
	switch {
	case noneRan && verdict != Rejected && verdict != Served:
		t.Errorf("%v: verdict %v, want %v since no attempt may have run", f, verdict, Rejected)
	case (verdict == Failed || verdict == TimedOut) && verdict != wantFailure:
		t.Errorf("%v: verdict %v, want %v", f, verdict, wantFailure)
	case strings.HasPrefix(last.name, "success") && (verdict != Served || f.forwarded() != "success"):
		t.Errorf("%v: %+v, want the successful response", f, f.response)
	case last.name == "rejection" && noneRan && f.forwarded() != "rejection":
		t.Errorf("%v: %+v, want the endpoint's rejection", f, f.response)
	}
}

// Guards against a request whose retry gets no response before the deadline being answered by the outcome of an earlier
// attempt, and against a rejection that an endpoint gave to one attempt being the final response of a request of which
// another attempt may have run: the client would retry it, and it would take effect twice. All orders are tried in
// which the attempts of a request can end.
func TestFinalResponseOfEveryOrderOfAttemptEnds(t *testing.T) {
	site := tenantSite(0, 1, 0)
	site.Classes = []string{"safe", "keyed", "unsafe"}
	template := site.Settings.Classes[0]
	site.Settings.Classes = nil
	site.Settings.StrictIdempotencyKeys = true
	for i, idempotency := range []balancer.Idempotency{
		balancer.Idempotent, balancer.IdempotentByKey, balancer.NonIdempotent,
	} {
		class := template
		class.Name = site.Classes[i]
		class.Idempotency = idempotency
		class.DedupWindow = 400_000
		site.Settings.Classes = append(site.Settings.Classes, class)
	}
	orders := 0
	var tryOrders func(class int, planned []attemptEnd)
	tryOrders = func(class int, planned []attemptEnd) {
		engine, p, h := newEngine(t, site, nil, nil)
		now := monotime.Micros(100_000)
		request := balancer.Request{Class: uint8(class), Tenant: 1, Deadline: now + 500_000}
		engine.Submit(now, newCall(t, p, now, "r", request))
		for i := range planned {
			now = planned[i].end(engine, now+1_000, h.nextAttempt())
		}
		response, done := h.responses["r"]
		if done || len(h.started) == 0 {
			orders++
			if !done {
				t.Errorf("no final response after %v", planned)
			}
			final := &finalResponse{site.Settings.Classes[class], planned, response}
			final.checkPromise(t)
			final.checkVerdict(t)
			return
		}
		for _, end := range attemptEnds() {
			tryOrders(class, append(planned[:len(planned):len(planned)], end))
		}
	}
	for class := range site.Classes {
		tryOrders(class, nil)
	}
	t.Logf("%d orders", orders)
}

// A request whose time is over before anything of it was sent times out, and what its attempt reports later changes
// nothing.
func TestExpire(t *testing.T) {
	engine, pool, host := newEngine(t, tenantSite(0, 1, 0), nil, nil)
	call := newCall(t, pool, 0, "upload", balancer.Request{Deadline: 600 * monotime.Second, Upload: true})
	engine.Submit(0, call)
	engine.Expire(300_000, call)
	if _, responded := host.responses["upload"]; !responded || len(host.started) != 1 {
		t.Fatalf("%d attempts, responses %v; want one attempt and a response", len(host.started), host.responses)
	}
	engine.Expire(350_000, call)
	host.serveAll(engine, 400_000)
	if verdict := host.responses["upload"].Verdict; verdict != TimedOut || engine.OpenCalls() != 0 {
		t.Errorf("verdict %v with %d open calls, want %v and none", verdict, engine.OpenCalls(), TimedOut)
	}
}

// Guards against requests without a response when the process ends: one that is queued is rejected, one with an attempt
// times out, and nothing is sent any more.
func TestExpireAll(t *testing.T) {
	const inFlight, queued = 2, 1
	host := &recordingHost{responses: map[string]Response{}}
	engine := New(Config{Site: tenantSite(0, 1, 0), Seed: 1, Host: host,
		Concurrency: ConcurrencySettings{MaxOpen: 1000, MaxInFlight: inFlight}})
	pool, err := engine.NewPool(PoolConfig{InitialEndpoints: EndpointUpdate{Generation: -1}, SetWatch: func(bool) {}})
	require.NoError(t, err)
	pool.Start(0)
	pool.UpdateEndpoints(0, EndpointUpdate{Kind: balancer.ListFull, Generation: 1,
		Endpoints: []EndpointInfo{readyAt("e0", "a")}})
	for i := range inFlight + queued {
		submit(t, engine, pool, 1_000, fmt.Sprint(i), 1)
	}
	if expired := engine.ExpireAll(2_000); expired != inFlight+queued || len(host.started) != inFlight {
		t.Errorf("%d expired, %d attempts; want %d and %d", expired, len(host.started), inFlight+queued, inFlight)
	}
	verdicts := map[Verdict]int{}
	for _, response := range host.responses {
		verdicts[response.Verdict]++
	}
	if verdicts[TimedOut] != inFlight || verdicts[Rejected] != queued || engine.ExpireAll(3_000) != 0 {
		t.Errorf("verdicts %v", verdicts)
	}
}
