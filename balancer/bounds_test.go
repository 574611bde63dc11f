package balancer

import (
	"testing"

	"dunlinsail/internal/monotime"
)

// bounded is a balancer of three endpoints, and the bounds that it is told.
func bounded(t *testing.T) (*Balancer, *recorder, *Bounds) {
	t.Helper()
	s := testSettings()
	b, r := startBalancer(t, s, readyEndpoints(3))
	all := make([]float64, len(s.Classes))
	for i := range all {
		all[i] = 1
	}
	to := &Bounds{Admit: all, Excess: make([]float64, len(all)), Waits: []float64{0.6, 0.6, 0.6, 0.6, 0.6}[:len(all)], First: 0.6,
		Again: 1, Further: true, Probes: 1000, PassEvery: 100 * second}
	b.Bound(to)
	return b, r, to
}

// A part of the requests goes on, the same ones however often it is asked; what a tenant asks beyond its share goes by the
// part for that.
func TestOverloadPolicyRejects(t *testing.T) {
	b, _, to := bounded(t)
	to.Admit[0] = 0.3
	went := 0
	for id := range uint64(2000) {
		in := newTestRequest(id, 0, 0)
		after, away := b.TurnsAway(in)
		if _, again := b.TurnsAway(in); again != away {
			t.Fatalf("request %d: turned away %v, then %v", id, away, again)
		}
		if away && b.settings.Limits.RetryAfter && after <= 0 {
			t.Fatal("turned away without a word when to come back")
		}
		if !away {
			went++
		}
	}
	if went < 500 || went > 700 {
		t.Errorf("%d of 2000 go on, want three in ten", went)
	}
	// Balancers that begin together do not turn the same ones of their requests away.
	other, err := New(b.settings, 99, b.actions)
	if err != nil {
		t.Fatal(err)
	}
	other.Bound(to)
	same := 0
	for id := range uint64(2000) {
		_, a := b.TurnsAway(newTestRequest(id, 0, 0))
		if _, o := other.TurnsAway(newTestRequest(id, 0, 0)); a == o {
			same++
		}
	}
	if same < 1050 || same > 1270 { // 0.58 by chance
		t.Errorf("two balancers judge %d of 2000 alike", same)
	}
	to.Admit[0], to.Inside = 1, []float64{0.5}
	went = 0
	for id := range uint64(2000) {
		in := newTestRequest(id, 0, 0)
		in.Tenant = 0
		if _, away := b.TurnsAway(in); !away {
			went++
		}
	}
	if went < 900 || went > 1100 {
		t.Errorf("%d of 2000 go on where half lies beyond a tenant's share", went)
	}
	to.Inside, to.Again = nil, 0
	repeat := newTestRequest(1, 0, 0)
	repeat.Retry = true
	if _, away := b.TurnsAway(repeat); !away {
		t.Error("a repeat goes on where none does")
	}
	b.Bound(nil)
	if _, away := b.TurnsAway(newTestRequest(1, 0, 0)); away {
		t.Error("turned away without bounds")
	}
}

// Where every endpoint is full, one request of a class passes against its limit in the time that the bounds give, not one
// a second; and how soon the first does differs between balancers that start together.
func TestOverloadPolicySetsForcedAdmitInterval(t *testing.T) {
	count := func(to *Bounds, b *Balancer, r *recorder) int {
		for id := range uint32(3) {
			b.Probed(1000, id+1, OK, 500, []float32{10_000})
		}
		id := uint64(1)
		for now := monotime.Micros(2000); now < 20*second; now += second / 10 {
			for e := range uint32(3) { // they stay full
				b.Probed(now, e+1, OK, 500, []float32{10_000})
			}
			b.Request(now, newTestRequest(id, 0, now))
			for _, s := range r.sends {
				b.Outcome(now, Outcome{ID: s.id, Endpoint: s.endpoint, Status: Full, Settled: true})
			}
			id++
		}
		return len(r.sends)
	}
	b, r, to := bounded(t)
	to.Further = false
	some := count(to, b, r)
	b, r, _ = bounded(t)
	b.Bound(nil)
	if all := count(nil, b, r); some > 1 || all < 10 {
		t.Errorf("%d requests passed within 20 s, of one in 100 s; without bounds %d, of one a second", some, all)
	}
}

// No further attempt goes out without the bounds' leave, whatever was saved up before.
func TestOverloadPolicyLimitsRetries(t *testing.T) {
	for _, may := range []bool{true, false} {
		b, r, to := bounded(t)
		to.Further = may
		b.Request(1000, newTestRequest(1, 0, 1000))
		b.Outcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Full, Latency: 1000})
		if again := len(r.sends) > 1; again != may {
			t.Errorf("further attempts allowed %v, %d sends", may, len(r.sends))
		}
	}
}
