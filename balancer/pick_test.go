package balancer

import (
	"cmp"
	"math"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

func TestPickTakesLeastLoadPlusOwnSends(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	b, r := startBalancer(t, s, readyEndpoints(3))
	for i, load := range []float32{4, 0, 9} {
		reportLoad(b, 1000, uint32(i+1), load)
	}
	for id := range uint64(4) {
		b.HandleRequest(2000, newTestRequest(id, 0, 2000))
	}
	// Endpoint 2 stays least until it holds as many as endpoint 1 reported.
	for i, s := range r.sends {
		if s.endpoint != 2 {
			t.Errorf("send %d went to %d", i, s.endpoint)
		}
	}
	if len(r.sends) != 4 {
		t.Fatalf("%d sends", len(r.sends))
	}
	if got := b.predictLoad(2000, b.endpointsByID[2]); math.Abs(got-4) > 0.1 {
		t.Errorf("load with own sends: %v", got)
	}
}

// In a large fleet all balancers learn of the same idle endpoint: none may fill it alone.
func TestOneLowAnswerDrawsNoHerd(t *testing.T) {
	for _, c := range []struct{ balancers, most int }{{1, 5}, {3, 3}, {15, 2}} {
		s := testSettings()
		s.Balancers = c.balancers
		b, r := startBalancer(t, s, readyEndpoints(4))
		for id := range uint32(4) {
			reportLoad(b, 1000, id+1, 3*float32(min(1, id)))
		}
		for id := range uint64(8) {
			b.HandleRequest(2000, Request{ID: id, Deadline: second, WorkHint: 10_000, HasWorkHint: true})
		}
		n := 0
		for _, at := range r.sends {
			if at.endpoint == 1 {
				n++
			}
		}
		if len(r.sends) != 8 || n == 0 || n > c.most {
			t.Errorf("%d balancers: %d of %d sends to the idle endpoint, want 1 to %d",
				c.balancers, n, len(r.sends), c.most)
		}
	}
}

func TestPoolAges(t *testing.T) {
	s := testSettings()
	b, r := startBalancer(t, s, readyEndpoints(2))
	reportLoad(b, 1000, 1, 0)
	now := 1000 + b.reportLifetime(1000) + 30*second
	seen := map[uint32]bool{}
	for id := range uint64(20) {
		b.HandleRequest(now, newTestRequest(id, 0, now))
		succeed(b, now, id, r.sends[len(r.sends)-1].endpoint, 1000)
		seen[r.sends[len(r.sends)-1].endpoint] = true
	}
	if len(seen) != 2 {
		t.Error("an answer beyond its age still decides: two random draws expected")
	}
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.HandleProbe(1000, 1, OK, 500, load)
		if b.endpoints[0].hasReport {
			t.Errorf("report %v taken for a load", load)
		}
	}
	reportLoad(b, 1000, 99, 1) // unknown endpoint
	b.HandleProbe(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.predictLoad(1000, b.endpoints[0]) != 2 {
		t.Errorf("load %v", b.predictLoad(1000, b.endpoints[0]))
	}
}

// Reports that count fewer than this balancer has there itself are late; they
// must not steer picks.
func TestLateReportsAreDetected(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	for id := range uint64(3) {
		b.HandleRequest(1000, newTestRequest(id, 0, 1000))
	}
	busy := b.endpointsByID[r.sends[0].endpoint]
	for i := range monotime.Micros(40) {
		busy.probing = false
		b.sendProbe(12_000+i, busy)
		reportLoad(b, 13_000+i, busy.ID, 0)
	}
	if !b.reportsLate {
		t.Fatal("not found out")
	}
	if got := b.predictLoad(15_000, busy); got < float64(busy.inflight) {
		t.Errorf("load %v is under own in-flight %d", got, busy.inflight)
	}
	for i := range monotime.Micros(400) {
		busy.probing = false
		b.sendProbe(14_000+i, busy)
		reportLoad(b, 15_000+i, busy.ID, 5)
	}
	if b.reportsLate {
		t.Error("not left again")
	}
}

// A wrong guess of a class's work must not reject that class for ever.
func TestLatencyRejectionAdmitsOnePerInterval(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.classes[0].meanWork.value = float64(100 * second)
	for i := range uint64(30) {
		now := 10*second + monotime.Micros(i)*second/10
		b.HandleRequest(now, newTestRequest(i, 0, now))
	}
	if n := len(r.sends); n < 2 || n > 4 {
		t.Errorf("%d of 30 sent in three seconds, about one a second wanted", n)
	}
	if len(r.rejected) != 30-len(r.sends) {
		t.Errorf("%d rejected, %d sent", len(r.rejected), len(r.sends))
	}
}

// Where no report has the load, only answers show that congestion is over. While a hundred a second are
// rejected, one that passes each second would leave a balancer rejecting for minutes what all endpoints could
// serve.
func TestRejectionEndsSoonAfterCongestion(t *testing.T) {
	for name, s := range map[string]func(*Settings){
		"no probes":  func(s *Settings) { s.Limits.Probes = false },
		"no reports": func(s *Settings) { s.LoadMetrics = nil },
	} {
		set := testSettings()
		set.Limits.Cancel = false
		s(&set)
		b, out := startBalancer(t, set, readyEndpoints(8))
		type due struct {
			at   monotime.Micros
			id   uint64
			took monotime.Micros
		}
		var owed []due
		rejected := map[bool]int{} // while congested, and from 5 s after that on
		const jam, calm, end = 10 * second, 15 * second, 25 * second
		id := uint64(0)
		for now := monotime.Micros(0); now < end; now += 10_000 {
			for len(owed) > 0 && owed[0].at <= now {
				b.HandleOutcome(now, Outcome{ID: owed[0].id, Status: OK, Latency: owed[0].took, Answered: true})
				owed = owed[1:]
			}
			id++
			sends, no := len(out.sends), len(out.rejected)
			b.HandleRequest(now, newTestRequest(id, 0, now))
			if took := monotime.Micros(50_000); len(out.sends) > sends {
				if now > 5*second && now < jam {
					took = 900_000
				}
				owed = append(owed, due{now + took, id, took})
				slices.SortFunc(owed, func(a, b due) int { return cmp.Compare(a.at, b.at) })
			}
			if len(out.rejected) > no {
				switch {
				case now < jam:
					rejected[true]++
				case now >= calm:
					rejected[false]++
				}
			}
		}
		if rejected[true] < 100 {
			t.Errorf("%s: %d rejected in 5 s of congestion, the test shows nothing", name, rejected[true])
		}
		if rejected[false] > 50 {
			t.Errorf("%s: %d of 1000 rejected from 5 s after the congestion on", name, rejected[false])
		}
	}
}

func TestFailingEndpointIsEjectedAndReadmitted(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(3))
	now := second
	sends := map[uint32]int{}
	id := uint64(0)
	step := func() {
		now += 20_000
		for e := range uint32(3) {
			reportLoad(b, now, e+1, 0)
		}
		id++
		from := len(r.sends)
		b.HandleRequest(now, newTestRequest(id, 0, now))
		for n := 0; from < len(r.sends); n++ {
			to := r.sends[from].endpoint
			from++
			sends[to]++
			status := OK
			if to == 1 {
				status = Error
			}
			b.HandleOutcome(now, Outcome{ID: id, Attempt: n, Endpoint: to, Status: status,
				Latency: 30_000 + monotime.Micros(id*7919%60_000), Answered: status == OK})
		}
	}
	for range 3000 {
		step()
	}
	if sends[1] > 300 {
		t.Errorf("a fast failing endpoint got %d of 3000", sends[1])
	}
	if sends[1] < 2 {
		t.Errorf("a failing endpoint is never tried again: %d sends", sends[1])
	}
}

func TestTenantOverItsQuotaWeighsLess(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.05
	s.Tenants = []Tenant{{Name: "a", Quota: 50}, {Name: "b", Quota: 50}}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	for i := range monotime.Micros(100) {
		b.tenantRates[0].add(i*1000, 1)
		if i%4 == 0 {
			b.tenantRates[1].add(i*1000, 1)
		}
	}
	over, within := &request{Request: Request{Tenant: 0}}, &request{Request: Request{Tenant: 1}}
	b.rejectedRatio.value = 0.5
	if o, w := b.tenantWeight(100_000, over), b.tenantWeight(100_000, within); w != 1 || o > 0.6 {
		t.Errorf("weights %v over, %v within the share", o, w)
	}
	if got := b.tenantWeight(100_000, &request{Request: Request{Tenant: 9}}); got != 1 {
		t.Errorf("unknown tenant: %v", got)
	}
}

// At a start only few endpoints have answered; they must not get everything.
func TestFewAnswersDoNotTakeAll(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(8))
	reportLoad(b, 1000, 3, 0)
	for id := range uint64(24) {
		b.HandleRequest(2000, newTestRequest(id, 0, 2000))
	}
	seen := map[uint32]int{}
	for _, s := range r.sends {
		seen[s.endpoint]++
	}
	if len(r.sends) != 24 || len(seen) < 4 || seen[3] > 12 {
		t.Errorf("%d sends, by endpoint %v", len(r.sends), seen)
	}
}

// While reports are late, averages decide; they must not reject what an
// endpoint that they cannot show would serve.
func TestLateReportsAllowTheFullObjective(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	r := &request{Request: newTestRequest(1, 0, 0), work: 50_000}
	b.classes[0].requestRate.add(0, 1)
	before := b.latencyBudget(0, r, b.endpoints[0])
	b.reportsLate = true
	if after := b.latencyBudget(0, r, b.endpoints[0]); after <= before ||
		after != float64(b.settings.Classes[0].LatencyObjective) {
		t.Errorf("limit %v before, %v while late", before, after)
	}
}

// What a warming endpoint can do grows with its capacity fraction, and so must what is
// expected of it, also once its service time ratio has been learned.
func TestWarmingEndpointIsExpectedToBeSlow(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.endpointsByID[9]
	if got := e.currentServiceTimeRatio(1000, b); !near(got, 5) { // capacity fraction 0.2
		t.Errorf("service time ratio %v just started", got)
	}
	e.serviceTimeRatio, e.serviceTimeObservedAt = ewma{value: 2, samples: manySamples}, 6*second
	if got := e.currentServiceTimeRatio(6*second, b); got < 2.9 || got > 3 { // capacity fraction 0.68
		t.Errorf("service time ratio %v half way", got)
	}
	if got := e.currentServiceTimeRatio(12*second, b); got > 2 {
		t.Errorf("service time ratio %v once warm", got)
	}
}

// An endpoint that answers in a fraction of a millisecond must not be left for a silence of a few: nobody's
// clock tells so little, and an attempt given less time than it takes to write it is never made.
func TestFastEndpointsMayHaveQueues(t *testing.T) {
	s := testSettings()
	s.Limits.Probes = false
	b, r := startBalancer(t, s, readyEndpoints(4))
	for id := range uint64(3000) {
		now := monotime.Micros(id) * 700
		b.HandleRequest(now, newTestRequest(id, 0, now))
		if len(r.sends) != int(id)+1 {
			t.Fatalf("request %d was not sent", id)
		}
		if wait := r.timeouts[id]; wait != 0 && wait < s.Classes[0].LatencyObjective/minTimeoutDivisor {
			t.Fatalf("attempt %d is waited for %d us only", id, wait)
		}
		succeed(b, now+200, id, r.sends[id].endpoint, 200)
	}
	if r.timeouts[2999] == 0 {
		t.Error("attempts of a safe class are waited for without end")
	}
}

// A stuck endpoint must not look idle while its answers are merely missing.
func TestSilentEndpointIsAvoidedBeforeAveragesShowIt(t *testing.T) {
	s := testSettings()
	s.Limits.Hedging = false
	b, r := startBalancer(t, s, readyEndpoints(2))
	reportLoad(b, 1000, 1, 0)
	reportLoad(b, 1000, 2, 2)
	b.HandleRequest(1000, newTestRequest(1, 0, 1000))
	if r.sends[0].endpoint != 1 {
		t.Fatal("not the idle endpoint")
	}
	for id := range uint64(5) {
		now := 300_000 + 1000*monotime.Micros(id)
		b.HandleRequest(now, newTestRequest(10+id, 0, now))
		last := r.sends[len(r.sends)-1]
		if last.endpoint != 2 || last.id != 10+id {
			t.Fatalf("request %d went to %d, silent for 0.3 s", last.id, last.endpoint)
		}
		succeed(b, now, last.id, 2, 900)
	}
	succeed(b, 310_000, 1, 1, 309_000)
	if got := b.predictLatency(310_000, b.endpointsByID[1], 1000); got > 100_000 {
		t.Errorf("after its answer still %v expected", got)
	}
}

// When the whole fleet turns slow, an endpoint known as fast must be expected to be slow, too, and
// must be trusted again soon after the recovery.
func TestFleetWideSlowdownIsLearnedAtOnce(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	serve := func(from, step monotime.Micros, n int, times float64) {
		for i := range n {
			now := from + step*monotime.Micros(i)
			id := uint64(now)
			reportLoad(b, now, 1, 9) // the others serve
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
			if len(r.sends) == 0 || r.sends[len(r.sends)-1].id != id {
				continue // rejected
			}
			latency := monotime.Micros(times * b.requests[id].attempts[0].expectedLatency)
			succeed(b, now, id, r.sends[len(r.sends)-1].endpoint, latency)
		}
	}
	one := func(now monotime.Micros) float64 {
		reportLoad(b, now, 1, 0)
		b.endpointsByID[1].serviceTimeRatio, b.endpointsByID[1].serviceTimeObservedAt = ewma{1, manySamples}, now
		return b.predictLatency(now, b.endpointsByID[1], 10_000)
	}
	serve(0, 1000, 50, 1)
	before := one(60_000)
	serve(100_000, 1000, 15, 4)
	if slow := one(120_000); slow < 2*before {
		t.Errorf("expected %v before, %v after 15 outcomes of four times the prediction", before, slow)
	}
	// While all is rejected only the forced passes, one a second, tell of the recovery.
	serve(200_000, second/2, 80, 0.5)
	if after := one(41 * second); after > 1.2*before {
		t.Errorf("expected %v before, %v after the recovery", before, after)
	}
}

// A hint must count for as much as it predicts, or idle endpoints get no requests that only seem large.
func TestHintTrustIsLearned(t *testing.T) {
	for _, c := range []struct {
		name     string
		latency  func(hint monotime.Micros) monotime.Micros
		from, to float64
	}{
		{"useless hints", func(monotime.Micros) monotime.Micros { return 20_000 }, 0, 0.15},
		{"exact hints", func(hint monotime.Micros) monotime.Micros { return hint }, 0.85, 1},
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		hints := randomSource(3)
		for i := range 4000 {
			now := 10_000 * monotime.Micros(i)
			hint := 5_000 + hints.durationBelow(60_000)
			b.HandleRequest(now, Request{ID: uint64(i), Deadline: now + second, WorkHint: hint, HasWorkHint: true})
			if n := len(r.sends); n > 0 && r.sends[n-1].id == uint64(i) {
				succeed(b, now, uint64(i), r.sends[n-1].endpoint, c.latency(hint))
			}
		}
		if b.hintTrust < c.from || b.hintTrust > c.to {
			t.Errorf("%s: trust %.2f, want %.2f to %.2f", c.name, b.hintTrust, c.from, c.to)
		}
	}
}

// A balancer that rejects everything must still learn when it may stop, and one that rejects nothing needs
// few probes.
func TestProbesContinueWhileAllIsRejected(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeBudget // one probe a request
	b, _ := startBalancer(t, s, readyEndpoints(4))
	for i := range 1000 {
		b.requestRate.add(5000*monotime.Micros(i), 1)
	}
	now := 5 * second
	all := b.requestRate.rate(now)
	for _, c := range []struct{ rejected, want float64 }{{0, calmProbeShare},
		{fullProbeRejectedRatio / 2, (1 - fullProbeRejectedRatio/2) * (1 + calmProbeShare) / 2},
		{fullProbeRejectedRatio, 1 - fullProbeRejectedRatio}, {0.5, 0.5}, {0.9, minFirstAttemptRatio}, {1,
			minFirstAttemptRatio}} {
		b.rejectedRatio.value = c.rejected
		if got := b.probeRate(now) / all; math.Abs(got-c.want) > 0.001 {
			t.Errorf("rejected %v: %v of the probe rate, want %v", c.rejected, got, c.want)
		}
	}
}
