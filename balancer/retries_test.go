package balancer

import (
	"testing"

	"dunlinsail/internal/monotime"
)

// errs has each attempt of a request answered with an error until there is none left, and returns their
// number.
func errs(b *Balancer, r *recorder, id uint64) int {
	first := len(r.sends)
	for i := first - 1; i < len(r.sends); i++ {
		b.HandleOutcome(1000, Outcome{ID: id, Attempt: i - first + 1, Endpoint: r.sends[i].endpoint, Status: Error,
			Latency: 100})
	}
	return len(r.sends) - first + 1
}

// A request's own limit of attempts holds within that of the settings.
func TestMaxAttemptsOfRequest(t *testing.T) {
	for tries, want := range map[int]int{0: 3, 1: 1, 2: 2, 9: 3} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(8))
		in := newTestRequest(1, 0, 0)
		in.MaxAttempts = tries
		b.HandleRequest(0, in)
		if n := errs(b, r, 1); n != want {
			t.Errorf("%d tries with a bound of %d, want %d", n, tries, want)
		}
	}
}

// Further tries are a share of the requests, and what was saved up before.
func TestRetryRatio(t *testing.T) {
	const requests = 200
	for _, share := range []float64{0, 0.05, 1} {
		s := testSettings()
		s.RetryRatio = share
		if share == 0 {
			share = DefaultRetryRatio
		}
		b, r := startBalancer(t, s, readyEndpoints(200)) // so many that no breaker comes before it
		for id := uint64(1); id <= requests; id++ {
			b.HandleRequest(0, newTestRequest(id, 0, 0))
			errs(b, r, id)
		}
		most := retryBurst + share*requests
		if more := float64(len(r.sends) - requests); more > most || more < 0.5*min(most, 2*requests) {
			t.Errorf("%v retries of %d requests with a ratio of %v", more, requests, share)
		}
	}
}

// A budget that saves nothing up holds from the first request on and over any second in which requests come
// evenly, after a quiet minute too. A quiet balancer has the least that is stated, and no more.
func TestRetryRatioOverAWindow(t *testing.T) {
	for _, c := range []struct {
		rate, share, least float64
		least1, most1      float64 // retries in any second
	}{{1000, 0.1, 0, 70, 100}, {1000, 0.1, 20, 70, 100}, {20, 0.1, 0, 1, 2}, {2, 0.1, 1, 1, 1}, {2, 0.1, 0, 0, 0}, {2,
		0.1, 3, 2, 3}} {
		s := testSettings()
		s.RetryRatio, s.MinRetryRate, s.RetryWindow = c.share, c.least, second
		b, r := startBalancer(t, s, readyEndpoints(200))
		var again []monotime.Micros
		id := uint64(0)
		for _, from := range []monotime.Micros{0, 60 * second} {
			for now := from; now < from+5*second; now += monotime.Micros(float64(second) / c.rate) {
				id++
				n := len(r.sends)
				b.HandleRequest(now, newTestRequest(id, 0, now))
				for i := n; i < len(r.sends); i++ {
					if i > n {
						again = append(again, now)
					}
					b.HandleOutcome(now, Outcome{ID: id, Attempt: i - n, Endpoint: r.sends[i].endpoint, Status: Error,
						Latency: 100})
				}
			}
		}
		most, from := 0, 0
		for i, at := range again {
			for again[from] <= at-second {
				from++
			}
			most = max(most, i-from+1)
		}
		if float64(most) > c.most1 || float64(most) < c.least1 {
			t.Errorf("%+v: %d retries in the worst second", c, most)
		}
	}
}

// With Strict a keyed request that may have run is never rejected.
func TestStrictIdempotencyKeys(t *testing.T) {
	for _, strict := range []bool{false, true} {
		s := testSettings()
		s.StrictIdempotencyKeys = strict
		b, r := startBalancer(t, s, readyEndpoints(8))
		b.HandleRequest(0, newTestRequest(1, 1, 0))
		errs(b, r, 1)
		if strict != (len(r.failed) == 1) || strict == (len(r.rejected) == 1) {
			t.Errorf("strict %v: rejected %v, failed %v", strict, r.rejected, r.failed)
		}
		b.HandleRequest(0, Request{ID: 2, Class: 1, Deadline: 0}) // never sent: rejected all the same
		if len(r.rejected) == 0 || r.rejected[len(r.rejected)-1] != 2 {
			t.Errorf("strict %v: what was never sent is not rejected", strict)
		}
	}
}
