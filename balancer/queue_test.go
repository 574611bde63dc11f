package balancer

import (
	"testing"

	"dunlinsail/internal/monotime"
)

// queueingSettings are settings under which a request may wait for three probes.
func queueingSettings() Settings {
	s := testSettings()
	s.Prices.Probe = 0
	return s
}

// A quiet balancer's pooled answers are old: without fresh ones it would send by what was true long ago.
func TestQuietBalancerProbesBeforeItSends(t *testing.T) {
	b, r := startBalancer(t, queueingSettings(), readyEndpoints(4))
	b.HandleRequest(second, newTestRequest(1, 0, second))
	if len(r.sends) != 0 || len(r.probes) != 3 {
		t.Fatalf("sends %v, probes %v: 3 probes and no send wanted", r.sends, r.probes)
	}
	probes := r.probes
	for i, e := range probes {
		reportLoad(b, second+1000, e, float32(2-i))
	}
	if len(r.sends) != 1 || r.sends[0].endpoint != probes[2] {
		t.Errorf("sends %v, want one to %d, which answered the least", r.sends, probes[2])
	}
}

// Probes may be lost: a queued request must go out all the same, and end by its deadline.
func TestQueuedRequestDoesNotWaitForLostProbes(t *testing.T) {
	for _, left := range []monotime.Micros{second, 10_000} {
		b, r := startBalancer(t, queueingSettings(), readyEndpoints(4))
		b.HandleRequest(second, Request{ID: 1, Deadline: second + left})
		i := len(r.timers) - 1
		if r.delays[i] > min(40_000, left) {
			t.Errorf("queued for %d with %d left", r.delays[i], left)
		}
		b.HandleTimer(second+r.delays[i], r.timers[i])
		if len(r.sends)+len(r.rejected) != 1 {
			t.Errorf("%d left: sends %v, rejected %v", left, r.sends, r.rejected)
		}
		// Answers of the old round come late; they must not release the next one early.
		old := r.probes
		b.HandleRequest(2*second, newTestRequest(2, 0, 2*second))
		for _, e := range old {
			if at := b.endpointsByID[e]; at.awaitedInRound != b.queueRound {
				b.HandleProbe(2*second, e, ConnectFailed, 500, nil)
			}
		}
		if b.requests[2] != nil && !b.requests[2].queued && b.awaitedProbes > 0 {
			t.Error("released by answers of another round")
		}
	}
}

// A client may leave while its request is queued: the record must not be sent later for another.
func TestQueuedRequestOfGoneClient(t *testing.T) {
	b, r := startBalancer(t, queueingSettings(), readyEndpoints(4))
	b.HandleRequest(second, newTestRequest(1, 0, second))
	b.HandleClientGone(second+1, 1)
	for _, e := range r.probes {
		reportLoad(b, second+1000, e, 1)
	}
	if len(r.sends) != 0 || len(b.queued) != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, queued %d", r.sends, len(b.queued))
	}
}

// Where reports are made anew more seldom than requests end, all balancers would follow the same old one.
func TestNoQueueingOnRarelyRenewedReports(t *testing.T) {
	for _, c := range []struct {
		name   string
		next   float32 // what the endpoint reports at each further probe
		queues bool
	}{{"renewed", 1, true}, {"the same for long", 0, false}} {
		b, r := startBalancer(t, queueingSettings(), readyEndpoints(4))
		now, load := second, float32(5)
		for range 40 {
			load += c.next
			now += 50_000
			reportLoad(b, now, 1, load)
		}
		now += 5 * second
		b.HandleRequest(now, newTestRequest(1, 0, now))
		if queued := len(r.sends) == 0; queued != c.queues {
			t.Errorf("%s: queued %v, want %v (report interval %.0f us)", c.name, queued, c.queues, b.reportInterval())
		}
	}
}

// An old low answer must not win over what is known now.
func TestReportsFadeToTypicalLoad(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(4))
	reportLoad(b, 0, 1, 0)
	b.typicalLoad = ewma{value: 4, samples: manySamples}
	e := b.endpointsByID[1]
	if l := b.predictLoad(1, e); l > 0.1 {
		t.Errorf("fresh answer of 0: load %.2f", l)
	}
	if l := b.predictLoad(10*second, e); l < 3.9 {
		t.Errorf("answer of 0, ten seconds old: load %.2f, want the usual 4", l)
	}
}

// With a thousand balancers at a warming endpoint, each alone saves too slowly for one request; their sum
// must still come near what the endpoint can do, and never near what pushes it over.
func TestWarmupCapacityOfManyQuietBalancers(t *testing.T) {
	s := testSettings()
	const balancers, perSecond, endpoints, work = 400, 2.0, 41, 40_000.0
	sent := 0.0
	for i := range balancers {
		out := &recorder{}
		b, err := New(s, uint64(i), out)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.UpdateEndpoints(0, ListCached, readyEndpoints(endpoints-1))
		b.meanWork = ewma{value: work, samples: manySamples}
		for now := monotime.Micros(0); now < 10*second; now += second / 2 {
			b.sentWorkRate.add(now, work*perSecond/2)
		}
		start := 10 * second
		b.UpdateEndpoints(start, ListDelta, []Endpoint{{ID: 999, StartTime: start}})
		e := b.endpointsByID[999]
		for now := start; now < start+second; now += second / 2 {
			b.sentWorkRate.add(now, work*perSecond/2)
			if b.hasWarmupCapacity(now, e, work) {
				e.warmupTokens -= work * warmupCharge
				sent += work
			}
		}
	}
	// At work 40 ms the fleet has 32 core-seconds a second to do: 0.78 for each endpoint.
	fair := balancers * perSecond * work / endpoints
	if share := sent / fair; share < 0.05 || share > 0.5 {
		t.Errorf("the warming endpoint was sent %.2f of a warm one's work in its first second, at 0.2 of its capacity",
			share)
	}
}

// In a deploy most endpoints warm up at once: the few warm ones are no measure of what each warming one can
// take.
func TestWarmupCapacityWhenFewAreWarm(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	list := readyEndpoints(10)
	for i := range list[1:] {
		list[1+i].StartTime = 10 * second
	}
	b, _ := startBalancer(t, s, nil)
	b.UpdateEndpoints(10*second, ListDelta, list)
	for now := 9 * second; now <= 10*second; now += 10_000 {
		b.sentWorkRate.add(now, 40_000) // four cores' worth a second
	}
	e := b.endpointsByID[2]
	e.warmupTokens, e.warmupRefilledAt = 0, 10*second
	b.hasWarmupCapacity(10*second+second/10, e, 1)
	// Its part by capacity fraction is 0.2/(1+9*0.2) of 4 core-seconds a second.
	if most := 0.2 / 2.8 * 4 * float64(second) / 10 * 1.1; e.warmupTokens > most {
		t.Errorf("room for %.0f us of work after 0.1 s, %.0f at most", e.warmupTokens, most)
	}
}

// Each quiet balancer sees few tenants, often one: that says nothing of anyone's share.
func TestQuietBalancerDoesNotWeighTenants(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", Quota: 100}, {Name: "b", Quota: 100}}
	s.OverQuotaWeight = 0.1
	for _, c := range []struct {
		rate  int
		judge bool
	}{{2, false}, {100, true}} {
		b, _ := startBalancer(t, s, readyEndpoints(2))
		for i := range 4 * c.rate {
			b.tenantRates[0].add(4*second*monotime.Micros(i)/monotime.Micros(4*c.rate), 1)
		}
		r := &request{Request: Request{Tenant: 0}}
		if judged := b.tenantWeight(4*second, r) < 1; judged != c.judge {
			t.Errorf("%d requests a second: judged %v, want %v", c.rate, judged, c.judge)
		}
	}
}

// Where much of a request's time is waiting for others, requests held side by side slow each other little:
// taken for crowding, that rejected requests on quiet days.
func TestReportedServiceTimeSetsCoreFraction(t *testing.T) {
	s := testSettings()
	s.LoadMetrics = []LoadMetric{MetricLatency, MetricInflight}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	b.meanWork = ewma{value: 200_000, samples: manySamples}
	crowd := map[float32]float64{}
	for _, ms := range []float32{200, 50} {
		b.serviceTime = ewma{}
		b.HandleProbe(second, 1, OK, 500, []float32{ms, 7})
		crowd[ms] = b.queueDelayFactor(second, b.endpointsByID[1])
	}
	if crowd[200] < 3.9 || crowd[50] > 1.5 {
		t.Errorf("queue delay at 7 requests: %.2f if all of the time needs a core, %.2f if a quarter", crowd[200],
			crowd[50])
	}
}

// With most endpoints full, each retry of what never ran meets the next full one: without a budget, the
// retries of a jam outnumber its requests many times.
func TestRejectedAttemptsSpendTheRetryBudget(t *testing.T) {
	s := testSettings()
	s.Limits.MaxAttempts = 50
	b, r := startBalancer(t, s, readyEndpoints(40))
	const requests = 100
	for id := range uint64(requests) {
		now := second + 10_000*monotime.Micros(id)
		b.HandleRequest(now, newTestRequest(id, 0, now))
		for i := 0; b.requests[id] != nil; i++ {
			b.HandleOutcome(now, Outcome{ID: id, Attempt: i, Endpoint: r.sends[len(r.sends)-1].endpoint,
				Status: Rejected})
		}
	}
	if retries := len(r.sends) - requests; float64(retries) > retryBurst+DefaultRetryRatio*requests+1 {
		t.Errorf("%d retries of %d requests, all answered full", retries, requests)
	}
}

// At the start of a small fleet two answers are pooled before the others: they must not take all the traffic.
func TestPoolOfFewDoesNotTakeAll(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(10))
	reportLoad(b, 1000, 1, 1)
	reportLoad(b, 1000, 2, 1)
	few := 0
	for id := range uint64(12) {
		b.HandleRequest(2000, newTestRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		few += int(indicator(s.endpoint <= 2))
	}
	if len(r.sends) != 12 || few > 8 {
		t.Errorf("%d of %d sends to the two endpoints that have answered", few, len(r.sends))
	}
}

// The watch must be shorter than the span in which an answer is recent: watched for that long, reports made
// anew every few milliseconds would seem as old as the limit, and queueing would stop (incident id71e59).
func TestReportIntervalOfFreshReports(t *testing.T) {
	b, r := startBalancer(t, queueingSettings(), readyEndpoints(4))
	now, load := second, float32(1)
	for range 400 {
		r.timers, r.delays = nil, nil
		load++
		reportLoad(b, now, 1, load)
		now += 10 * second
		for i, token := range r.timers {
			if token == tokenRecheck {
				load++
				reportLoad(b, now-10*second+r.delays[i]+5000, 1, load)
			}
		}
	}
	if span := recentWorks * b.meanWork.value; b.reportWatchTime == 0 || b.reportInterval() > 0.8*span {
		t.Errorf("refresh %.0f after %.0f watched, limit %.0f", b.reportInterval(), b.reportWatchTime, span)
	}
}
