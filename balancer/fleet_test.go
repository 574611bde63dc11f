package balancer

import (
	"fmt"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

// Faults of a balancer in a large fleet: few requests, expensive probes, and no messages from the others.

// A balancer that is busy from the first moment must not keep the probe rate of before.
func TestProbeRateFollowsFirstRequests(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeBudget * calmProbeShare / 0.02 // one probe per fifty requests
	for seed := range uint64(20) {
		b, r := startBalancerWithSeed(t, s, readyEndpoints(60), seed)
		probeRoundAt := r.timerInstant(t, 0, tokenProbe)
		for now := monotime.Micros(0); now < 3*second; now += 5_000 {
			if probeRoundAt <= now {
				b.HandleTimer(now, tokenProbe)
				probeRoundAt = r.timerInstant(t, now, tokenProbe)
			}
			id := uint64(now) + 1
			b.HandleRequest(now, Request{ID: id, Deadline: now + second})
			succeed(b, now, id, 0, 30_000)
			for _, e := range r.probes {
				b.HandleProbe(now, e, OK, 1000, []float32{2})
			}
			r.probes = r.probes[:0]
		}
		if n := len(b.probePool); n < 5 {
			t.Errorf("seed %d: %d reports in the pool after 3 s of 200 requests per second, want at least 5", seed, n)
		}
	}
}

// Six in ten of the list are replaced, in one change or in twenty, while requests are in flight at those that go.
// Nothing new goes to these, each request has one final answer, and late outcomes are recorded.
func TestReplacedWithRequestsOut(t *testing.T) {
	for _, changes := range []int{1, 20} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) { testEndpointReplacement(t, changes) })
	}
}

func testEndpointReplacement(t *testing.T, changes int) {
	t.Helper()
	const initial, replaced = 60, 36
	b, r := startBalancer(t, testSettings(), readyEndpoints(initial))
	now := monotime.Micros(0)
	for i := range uint64(initial) {
		now += 1000
		b.HandleRequest(now, newTestRequest(i+1, 0, now))
	}
	openAttempts := slices.Clone(r.sends)
	endpoints := readyEndpoints(initial + replaced)
	removed := map[uint32]bool{}
	perChange := (replaced + changes - 1) / changes
	for from := 0; from < replaced; from += perChange {
		now += 10_000
		var delta []Endpoint
		for i := from; i < min(from+perChange, replaced); i++ {
			oldEndpoint, newEndpoint := endpoints[i], endpoints[initial+i]
			oldEndpoint.State = Gone
			newEndpoint.StartTime = now
			delta = append(delta, oldEndpoint, newEndpoint)
			removed[oldEndpoint.ID] = true
		}
		b.UpdateEndpoints(now, ListDelta, delta)
		requireNoSendsTo(t, b, r, now, removed)
	}
	// Half were served before their endpoint went, half saw their connection break.
	for _, attempt := range openAttempts {
		status := OK
		if removed[attempt.endpoint] && attempt.id%2 == 0 {
			status = Reset
		}
		b.HandleOutcome(now, Outcome{ID: attempt.id, Endpoint: attempt.endpoint, Status: status, Latency: now,
			Answered: status == OK})
	}
	for i := len(openAttempts); len(r.sends) > i; i++ { // their retries
		b.HandleOutcome(now, Outcome{ID: r.sends[i].id, Attempt: 1, Endpoint: r.sends[i].endpoint, Status: OK,
			Latency: 20_000, Answered: true})
	}
	if b.openRequests != 0 || len(b.requests) != 0 {
		t.Errorf("%d requests have no answer, %d have a record", b.openRequests, len(b.requests))
	}
	b.UpdateEndpoints(now, ListDelta, nil)
	if len(b.endpoints) != initial {
		t.Errorf("%d endpoints have a record, want %d", len(b.endpoints), initial)
	}
}

// requireNoSendsTo gives the balancer forty requests, which are answered, and requires that none goes to an endpoint
// that is gone.
func requireNoSendsTo(t *testing.T, b *Balancer, r *recorder, now monotime.Micros, gone map[uint32]bool) {
	t.Helper()
	for i := range uint64(40) {
		sends := len(r.sends)
		b.HandleRequest(now, newTestRequest(1000*uint64(now)+i, 0, now))
		if len(r.sends) == sends {
			continue
		}
		s := r.sends[sends]
		if gone[s.endpoint] {
			t.Errorf("a request went to endpoint %d, which is gone", s.endpoint)
		}
		succeed(b, now, s.id, s.endpoint, 20_000)
	}
}

// A list that shrinks to one endpoint: all requests go there while their answers would be in time, the others are
// rejected at once. When the other endpoints are listed again, they are used again.
func TestListShrinksToOne(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(20))
	trustWorkEstimates(b)
	b.UpdateEndpoints(second, ListFull, readyEndpoints(1))
	now := second
	for i := range uint64(200) {
		now += 1000
		b.HandleRequest(now, newTestRequest(i+1, 0, now))
	}
	if len(r.sends)+len(r.rejected) != 200 || len(r.rejected) == 0 || len(r.sends) == 0 {
		t.Fatalf("%d sent, %d rejected of 200", len(r.sends), len(r.rejected))
	}
	for _, attempt := range r.sends {
		if attempt.endpoint != 1 {
			t.Fatalf("sent to %d, which is not listed", attempt.endpoint)
		}
		succeed(b, now, attempt.id, 1, 100_000)
	}
	b.UpdateEndpoints(now, ListFull, readyEndpoints(20))
	now += 60 * second // they were up all the time, and what was learned of the load has aged
	r.sends = r.sends[:0]
	for i := range uint64(40) {
		b.HandleRequest(now, newTestRequest(1000+i, 0, now))
	}
	used := map[uint32]bool{}
	for _, attempt := range r.sends {
		used[attempt.endpoint] = true
	}
	if len(used) < 10 {
		t.Errorf("%d endpoints used of 20 that are back", len(used))
	}
}

// A fifth of the new endpoints fail all requests. A sidecar with three requests per second and one with a hundred, each
// with its own observations only, serve nearly all requests, and the busy one finds the outliers soon.
func TestOutliersAmongNewEndpoints(t *testing.T) {
	for _, c := range []struct {
		rate      float64 // requests per second
		minServed float64 // ratio
	}{{3, 0.9}, {100, 0.97}} {
		s := testSettings()
		s.Balancers = 80
		s.Prices.Probe = probeBudget * calmProbeShare / 0.05
		b, r := startBalancer(t, s, readyEndpoints(24))
		list := readyEndpoints(60)
		for i := 24; i < 60; i++ {
			list[i].StartTime = second
		}
		b.UpdateEndpoints(second, ListFull, list)
		served, total, failed := 0, 0, 0 // requests; failed have one attempt that failed, or several
		for now := second; now < 31*second; now += monotime.Micros(float64(second) / c.rate) {
			total++
			ok, attempts := requestAmongOutliers(b, r, now)
			served += int(indicator(ok))
			failed += int(indicator(attempts > 1 || attempts == 1 && !ok))
		}
		if ratio := float64(served) / float64(total); ratio < c.minServed {
			t.Errorf("%v per second: %.3f of %d served, want %.2f", c.rate, ratio, total, c.minServed)
		}
		if c.rate > 50 && failed > total/20 {
			t.Errorf("%v per second: %d of %d requests met an outlier", c.rate, failed, total)
		}
	}
}

// requestAmongOutliers fires the probe timer and gives the balancer a request, of which the attempts at each fifth
// endpoint from 25 on fail. It reports whether the request was served, and how many attempts it had.
func requestAmongOutliers(b *Balancer, r *recorder, now monotime.Micros) (served bool, attempts int) {
	b.HandleTimer(now, tokenProbe)
	id := uint64(now)
	nextSend := len(r.sends)
	b.HandleRequest(now, Request{ID: id, Deadline: now + second})
	for _, e := range slices.Clone(r.probes) {
		b.HandleProbe(now, e, OK, 1000, []float32{1})
	}
	r.probes = r.probes[:0]
	for ; len(r.sends) > nextSend; attempts++ {
		e := r.sends[nextSend].endpoint
		nextSend = len(r.sends)
		if e > 24 && e%5 == 0 {
			b.HandleOutcome(now, Outcome{ID: id, Attempt: attempts, Endpoint: e, Status: Error, Latency: 1000})
			continue
		}
		b.HandleOutcome(now, Outcome{ID: id, Attempt: attempts, Endpoint: e, Status: OK, Latency: 30_000,
			Answered: true})
		served = true
	}
	return served, attempts
}
