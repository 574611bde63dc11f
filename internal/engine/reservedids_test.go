package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// startOnceOnly returns an engine whose only class has the given idempotency, with a client.
func startOnceOnly(t *testing.T, idempotency balancer.Idempotency) (*Engine, *Pool, *recordingHost, *Client) {
	t.Helper()
	site := tenantSite(0, 1, 0)
	site.Settings.Classes[0].Idempotency = idempotency
	site.Settings.Classes[0].DedupWindow = 400_000
	engine, pool, host := newEngine(t, site, nil, nil)
	client, err := NewClient(fairqueue.ClientSpec{Name: "desk", Weight: 1})
	require.NoError(t, err)
	return engine, pool, host, client
}

// submitID submits a request with an ID, and reports whether it was refused as a duplicate.
func submitID(engine *Engine, p *Pool, h *recordingHost, c *Client, now monotime.Micros, id string) (*Call, bool) {
	delete(h.responses, id)
	call := &Call{Client: c, Pool: p, ID: id, ArrivedAt: now,
		Request: balancer.Request{Tenant: 1, Deadline: now + 500_000}}
	engine.Submit(now, call)
	response, responded := h.responses[id]
	return call, responded && response.Verdict == DuplicateID
}

// Guards against an ID that runs twice because it comes again after its client has left, while an endpoint may still
// run the first request.
func TestIDOfClientThatLeftRunsOnce(t *testing.T) {
	for _, idempotency := range []balancer.Idempotency{
		balancer.Idempotent, balancer.IdempotentByKey, balancer.NonIdempotent,
	} {
		for _, end := range attemptEnds() {
			if end.name == "deadline" || end.streamed {
				continue // the client cannot have left before its final response
			}
			t.Run(fmt.Sprint(idempotency, " ", end.name), func(t *testing.T) {
				checkIDOfClientThatLeft(t, idempotency, end)
			})
		}
	}
}

// checkIDOfClientThatLeft sends an ID again whose client has left and whose only attempt has ended in the given way.
func checkIDOfClientThatLeft(t *testing.T, idempotency balancer.Idempotency, end attemptEnd) {
	t.Helper()
	engine, pool, host, client := startOnceOnly(t, idempotency)
	now := monotime.Micros(100_000)
	call, _ := submitID(engine, pool, host, client, now, "visit-1")
	attempt := host.nextAttempt()
	now += 1_000
	engine.ClientGone(now, call)
	result := end.result
	result.ObservedAt = now
	engine.AttemptEnded(now, attempt, result)
	advanceTo(engine, now)
	wantRefused := end.mayHaveRun && idempotency != balancer.Idempotent
	if _, refused := submitID(engine, pool, host, client, now+1_000, "visit-1"); refused != wantRefused {
		t.Errorf("the ID that came again: refused %v, want %v", refused, wantRefused)
	}
	if _, refused := submitID(engine, pool, host, client, now+1_000, "visit-2"); refused {
		t.Error("another ID was refused")
	}
	if !wantRefused {
		return
	}
	later := now + engine.config.Site.Settings.Classes[0].ClientTimeout + 1
	if _, refused := submitID(engine, pool, host, client, later, "visit-1"); refused {
		t.Error("the ID was refused after the time of its request")
	}
}

// Guards against an ID that runs twice because it comes again at the successor while it is open in the predecessor.
func TestOpenIDIsReservedInSuccessor(t *testing.T) {
	for _, idempotency := range []balancer.Idempotency{
		balancer.Idempotent, balancer.IdempotentByKey, balancer.NonIdempotent,
	} {
		predecessor, pool, host, client := startOnceOnly(t, idempotency)
		now := monotime.Micros(100_000)
		if _, refused := submitID(predecessor, pool, host, client, now, "visit-1"); refused {
			t.Fatal("refused at first")
		}
		generated, _ := submitID(predecessor, pool, host, client, now, "generated")
		generated.GeneratedID = true
		successor, successorPool, successorHost, successorClient := startOnceOnly(t, idempotency)
		successor.Restore(now+2_000, 1_000, predecessor.Snapshot(now+1_000))
		want := idempotency != balancer.Idempotent
		for id, wantRefused := range map[string]bool{"visit-1": want, "generated": false, "visit-2": false} {
			_, refused := submitID(successor, successorPool, successorHost, successorClient, now+3_000, id)
			if refused != wantRefused {
				t.Errorf("idempotency %v, %s: refused %v, want %v", idempotency, id, refused, wantRefused)
			}
		}
		successor.Restore(now+4_000, 0, &Snapshot{})
		if len(successor.inheritedIDs.until) != 0 {
			t.Error("reservations of an earlier snapshot are left")
		}
	}
}

// Guards against memory that grows with IDs that are never repeated.
func TestReservationsAreBounded(t *testing.T) {
	var r idReservations
	for i := range 3 * maxReservedIDs {
		r.reserve(0, monotime.Second, clientRequestID{"desk", fmt.Sprint(i)})
	}
	if len(r.until) > maxReservedIDs || len(r.order) > maxReservedIDs {
		t.Errorf("%d reservations in a list of %d", len(r.until), len(r.order))
	}
	r.reserve(2*monotime.Second, 3*monotime.Second, clientRequestID{"desk", "last"})
	if len(r.until) != 1 || len(r.order) != 1 {
		t.Errorf("%d reservations in a list of %d after their time", len(r.until), len(r.order))
	}
}
