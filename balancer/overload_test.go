package balancer

import (
	"testing"

	"dunlinsail/internal/monotime"
)

// withOverloadPolicy returns a balancer of three endpoints and its overload policy.
func withOverloadPolicy(t *testing.T) (*Balancer, *recorder, *OverloadPolicy) {
	t.Helper()
	s := testSettings()
	b, r := startBalancer(t, s, readyEndpoints(3))
	all := make([]float64, len(s.Classes))
	for i := range all {
		all[i] = 1
	}
	to := &OverloadPolicy{AdmitRatio: all, OverQuotaAdmitRatio: make([]float64, len(all)),
		QueueWaitFraction: []float64{0.6, 0.6, 0.6, 0.6, 0.6}[:len(all)], TopQueueWaitFraction: 0.6,
		RetryAdmitRatio: 1, RetryAllowed: true, MaxProbeRate: 1000, ForcedAdmitInterval: 100 * second}
	b.SetOverloadPolicy(to)
	return b, r, to
}

// A part of the requests is admitted, the same ones at each call; of requests over a tenant's quota another
// part.
func TestOverloadPolicyRejects(t *testing.T) {
	b, _, to := withOverloadPolicy(t)
	to.AdmitRatio[0] = 0.3
	went := 0
	for id := range uint64(2000) {
		in := newTestRequest(id, 0, 0)
		after, away := b.ShouldReject(in)
		if _, again := b.ShouldReject(in); again != away {
			t.Fatalf("request %d: rejected %v, then %v", id, away, again)
		}
		if away && b.settings.Limits.RetryAfter && after <= 0 {
			t.Fatal("rejected without Retry-After")
		}
		if !away {
			went++
		}
	}
	if went < 500 || went > 700 {
		t.Errorf("%d of 2000 admitted, want three in ten", went)
	}
	// Balancers that start at once do not turn the same ones of their requests away.
	other, err := New(b.settings, 99, b.actions)
	if err != nil {
		t.Fatal(err)
	}
	other.SetOverloadPolicy(to)
	same := 0
	for id := range uint64(2000) {
		_, a := b.ShouldReject(newTestRequest(id, 0, 0))
		if _, o := other.ShouldReject(newTestRequest(id, 0, 0)); a == o {
			same++
		}
	}
	if same < 1050 || same > 1270 { // 0.58 by chance
		t.Errorf("two balancers decide alike on %d of 2000", same)
	}
	to.AdmitRatio[0], to.WithinQuotaRatio = 1, []float64{0.5}
	went = 0
	for id := range uint64(2000) {
		in := newTestRequest(id, 0, 0)
		in.Tenant = 0
		if _, away := b.ShouldReject(in); !away {
			went++
		}
	}
	if went < 900 || went > 1100 {
		t.Errorf("%d of 2000 admitted where half is over a tenant's quota", went)
	}
	to.WithinQuotaRatio, to.RetryAdmitRatio = nil, 0
	repeat := newTestRequest(1, 0, 0)
	repeat.Retry = true
	if _, away := b.ShouldReject(repeat); !away {
		t.Error("a retry is admitted where none should be")
	}
	b.SetOverloadPolicy(nil)
	if _, away := b.ShouldReject(newTestRequest(1, 0, 0)); away {
		t.Error("rejected without a policy")
	}
}

// Where every endpoint is full, one request of a class is admitted against its limit in the interval of the
// policy, not one a second; and how soon the first is differs between balancers that start at once.
func TestOverloadPolicySetsForcedAdmitInterval(t *testing.T) {
	count := func(b *Balancer, r *recorder) int {
		for id := range uint32(3) {
			b.HandleProbe(1000, id+1, OK, 500, []float32{10_000})
		}
		id := uint64(1)
		for now := monotime.Micros(2000); now < 20*second; now += second / 10 {
			for e := range uint32(3) { // they stay full
				b.HandleProbe(now, e+1, OK, 500, []float32{10_000})
			}
			b.HandleRequest(now, newTestRequest(id, 0, now))
			for _, s := range r.sends {
				b.HandleOutcome(now, Outcome{ID: s.id, Endpoint: s.endpoint, Status: Rejected, Answered: true})
			}
			id++
		}
		return len(r.sends)
	}
	b, r, to := withOverloadPolicy(t)
	to.RetryAllowed = false
	some := count(b, r)
	b, r, _ = withOverloadPolicy(t)
	b.SetOverloadPolicy(nil)
	if all := count(b, r); some > 1 || all < 10 {
		t.Errorf("%d requests passed within 20 s, of one in 100 s; without a policy %d, of one a second", some, all)
	}
}

// No retry goes out unless the policy allows it, whatever was saved up before.
func TestOverloadPolicyLimitsRetries(t *testing.T) {
	for _, may := range []bool{true, false} {
		b, r, to := withOverloadPolicy(t)
		to.RetryAllowed = may
		b.HandleRequest(1000, newTestRequest(1, 0, 1000))
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Rejected, Latency: 1000})
		if again := len(r.sends) > 1; again != may {
			t.Errorf("retries allowed %v, %d sends", may, len(r.sends))
		}
	}
}
