package engine

import (
	"fmt"
	"strings"
	"testing"

	"dunlinsail/balancer"
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

// checkFinalResponse checks the final response of a request whose attempts ended in the given order. done is set if
// there is one.
func checkFinalResponse(t *testing.T, class balancer.Class, ends []attemptEnd, done bool, response *Response) {
	t.Helper()
	var names []string
	var ranEnds []string // names of the attempt ends after which the attempt may have run
	for _, end := range ends {
		names = append(names, end.name)
		if end.mayHaveRun {
			ranEnds = append(ranEnds, end.name)
		}
	}
	order := fmt.Sprintf("%s: %s", class.Name, strings.Join(names, "; "))
	if !done {
		t.Errorf("%s: no final response", order)
		return
	}
	forwarded := response.Result != nil && response.Result.Response != nil
	promise := response.Verdict == Rejected && !forwarded || forwarded && response.Result.PromisesHarmlessRetry
	// An endpoint's own response, such as "unavailable", speaks for the attempt that got it.
	onlyOwnAttemptRan := forwarded && len(ranEnds) == 1 &&
		strings.HasPrefix(ranEnds[0], response.Result.Response.(string))
	if promise && class.Idempotency != balancer.Idempotent && len(ranEnds) > 0 && !onlyOwnAttemptRan {
		t.Errorf("%s: the response promises that a retry is harmless: %+v", order, response)
	}
	if len(ranEnds) == 0 && response.Verdict != Rejected && response.Verdict != Served {
		t.Errorf("%s: verdict %v, want %v since no attempt may have run", order, response.Verdict, Rejected)
	}
	last := ends[len(ends)-1]
	wantFailure := Failed
	if last.name == "timeout" || last.name == "deadline" {
		wantFailure = TimedOut
	}
	failed := response.Verdict == Failed || response.Verdict == TimedOut
	if failed && response.Verdict != wantFailure {
		t.Errorf("%s: verdict %v, want %v", order, response.Verdict, wantFailure)
	}
	served := response.Verdict == Served && response.Result.Response == "success"
	if strings.HasPrefix(last.name, "success") && !served {
		t.Errorf("%s: %+v, want the successful response", order, response)
	}
	if last.name == "rejection" && len(ranEnds) == 0 && (!forwarded || response.Result.Response != "rejection") {
		t.Errorf("%s: %+v, want the endpoint's rejection", order, response)
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
			checkFinalResponse(t, site.Settings.Classes[class], planned, done, &response)
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
