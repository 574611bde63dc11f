package reuse

import (
	"fmt"
	"testing"

	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

var (
	testSettings      = Settings{ReuseDelay: 20 * ms, DistrustedReuseDelay: 40 * ms}
	firstEndpoint     = Endpoint{Pool: "clinic", Address: "127.0.0.1:1"}
	samePoolEndpoint  = Endpoint{Pool: "clinic", Address: "127.0.0.1:2"}
	otherPoolEndpoint = Endpoint{Pool: "archive", Address: "127.0.0.1:3"}
)

// newPunctualDecider returns a Decider that has observed its process minObservations times, always without a
// delay.
func newPunctualDecider(s Settings) *Decider {
	d := New(s)
	for range minObservations {
		d.ObserveDelay(0, 0)
	}
	return d
}

// checkReuseDelays checks the reuse delays of firstEndpoint, samePoolEndpoint and otherPoolEndpoint, in this
// order.
func checkReuseDelays(t *testing.T, d *Decider, now monotime.Micros, want ...monotime.Micros) {
	t.Helper()
	for i, e := range []Endpoint{firstEndpoint, samePoolEndpoint, otherPoolEndpoint} {
		if got := d.ReuseDelay(now, e); got != want[i] {
			t.Errorf("reuse delay of %v: %d, want %d", e, got, want[i])
		}
	}
}

// A process with fewer than minObservations assumes that it may run late, which lengthens the reuse delay.
func TestUnobservedProcessHasLongerReuseDelay(t *testing.T) {
	d := New(testSettings)
	for range minObservations {
		checkReuseDelays(t, d, 0, 40*ms, 40*ms, 40*ms)
		d.ObserveDelay(0, 0)
	}
	checkReuseDelays(t, d, 0, 20*ms, 20*ms, 20*ms)
	d = New(testSettings)
	d.ObserveDelay(0, 50*ms)
	checkReuseDelays(t, d, 0, 220*ms, 220*ms, 220*ms)
}

// A second response lengthens the reuse delays of its address and of its pool, in proportion to its lateness,
// until the evidence expires. If the previous response may have been misdelivered, the worst case is assumed
// for the pool.
func TestReuseDelayFollowsLateness(t *testing.T) {
	for _, c := range []struct {
		lateness, interval          monotime.Micros
		delayAtAddress, delayInPool monotime.Micros // expected reuse delays
		suspect                     bool
	}{
		{lateness: 5 * ms, delayAtAddress: 40 * ms, delayInPool: 20 * ms},
		{lateness: 30 * ms, delayAtAddress: 120 * ms, delayInPool: 60 * ms},
		{lateness: 150 * ms, delayAtAddress: 600 * ms, delayInPool: 300 * ms},
		{lateness: 1000 * ms, delayAtAddress: 4000 * ms, delayInPool: 2000 * ms},
		{lateness: 1001 * ms, delayAtAddress: 40 * ms, delayInPool: 20 * ms}, // over maxLateness, not counted
		{3 * ms, 60 * ms, 120 * ms, 120 * ms, true},
		{60 * ms, 25 * ms, 120 * ms, 120 * ms, true},
		{3 * ms, 300 * ms, 40 * ms, 20 * ms, true}, // interval over maxAssumedLateness: no misdelivery is assumed
		{0, 60 * ms, 40 * ms, 20 * ms, true},       // arrived together with the previous response
		{lateness: 3 * ms, interval: 2000 * ms, delayAtAddress: 40 * ms, delayInPool: 20 * ms},
	} {
		t.Run(fmt.Sprint(c.lateness, c.interval), func(t *testing.T) {
			d := newPunctualDecider(testSettings)
			suspect := d.ObserveSecondResponse(0, SecondResponse{firstEndpoint, c.lateness, c.interval})
			if suspect != c.suspect {
				t.Errorf("suspect %v, want %v", suspect, c.suspect)
			}
			checkReuseDelays(t, d, evidencePeriod-1, c.delayAtAddress, c.delayInPool, 20*ms)
			checkReuseDelays(t, d, evidencePeriod, 20*ms, 20*ms, 20*ms)
		})
	}
}

// If the certain lateness in a pool is at least as long as that of another second response, no misdelivery is
// assumed for the other one.
func TestCertainLatenessExplainsOthers(t *testing.T) {
	d := newPunctualDecider(testSettings)
	ambiguousResponse := SecondResponse{Endpoint: firstEndpoint, Lateness: 5 * ms, Interval: 200 * ms}
	d.ObserveSecondResponse(0, ambiguousResponse)
	checkReuseDelays(t, d, 0, 400*ms, 400*ms, 20*ms)
	d.ObserveSecondResponse(0, SecondResponse{Endpoint: samePoolEndpoint, Lateness: 15 * ms})
	checkReuseDelays(t, d, 0, 40*ms, 60*ms, 20*ms)
	d.ObserveSecondResponse(0, ambiguousResponse)
	checkReuseDelays(t, d, 0, 40*ms, 60*ms, 20*ms)
	d.ObserveSecondResponse(0, SecondResponse{Endpoint: firstEndpoint, Lateness: 16 * ms, Interval: 70 * ms})
	checkReuseDelays(t, d, 0, 140*ms, 140*ms, 20*ms)
	d.ObserveSecondResponse(0, SecondResponse{Endpoint: samePoolEndpoint})
	d.ObserveSecondResponse(0, ambiguousResponse)
	checkReuseDelays(t, d, 0, 64*ms, 60*ms, 20*ms)
}

// Delays of this process lengthen the reuse delays of all endpoints for a while, up to maxDelayAllowance.
func TestReuseDelayFollowsProcessDelays(t *testing.T) {
	d := newPunctualDecider(testSettings)
	d.ObserveDelay(0, minDelay-1)
	checkReuseDelays(t, d, 0, 20*ms, 20*ms, 20*ms)
	d.ObserveDelay(0, 10*ms)
	d.ObserveDelay(1, 5*ms)
	checkReuseDelays(t, d, delayPeriod, 60*ms, 60*ms, 60*ms)
	checkReuseDelays(t, d, 2*delayPeriod, 20*ms, 20*ms, 20*ms)
	d.ObserveDelay(2*delayPeriod, 10*monotime.Second)
	checkReuseDelays(t, d, 2*delayPeriod, 20*ms+maxDelayAllowance, 20*ms+maxDelayAllowance, 20*ms+maxDelayAllowance)
	checkReuseDelays(t, d, 10*delayPeriod, 20*ms, 20*ms, 20*ms)
}

// The reuse delays of all endpoints are longer for a while after the threads of this process have waited for
// processors far longer than they ran, even if the process itself was never late.
func TestReuseDelayFollowsProcessorTime(t *testing.T) {
	for _, c := range []struct {
		runTime, waitTime monotime.Micros
		wantStarved       bool
	}{
		{runTime: 10 * ms, waitTime: 39 * ms},
		{runTime: 10 * ms, waitTime: 40 * ms, wantStarved: true},
		{runTime: 0, waitTime: minProcessorWait, wantStarved: true},
		{runTime: 0, waitTime: minProcessorWait - 1},
		{runTime: 0, waitTime: 0},
	} {
		want := 20 * ms
		if c.wantStarved {
			want += maxDelayAllowance
		}
		d := newPunctualDecider(testSettings)
		d.ObserveProcessorTime(0, c.runTime, c.waitTime)
		checkReuseDelays(t, d, 0, want, want, want)
		checkReuseDelays(t, d, delayPeriod-1, want, want, want)
		checkReuseDelays(t, d, delayPeriod, 20*ms, 20*ms, 20*ms)
	}
}

// Guards against early reuse after a stall: time during which this process did not run does not count towards
// the reuse delay, however long it was.
func TestStallsDoNotCountTowardsReuseDelay(t *testing.T) {
	d := newPunctualDecider(testSettings)
	for _, c := range []struct{ elapsed, want monotime.Micros }{
		{0, 20 * ms}, {5 * ms, 15 * ms}, {20 * ms, 0}, {21 * ms, 0},
	} {
		if got := d.RemainingReuseDelay(1000*ms, firstEndpoint, c.elapsed); got != c.want {
			t.Errorf("%d left after %d, want %d", got, c.elapsed, c.want)
		}
	}
	now := 100 * monotime.Second
	d.ObserveDelay(now, 5*monotime.Second)
	reuseDelay := d.ReuseDelay(now, firstEndpoint)
	if got := d.RemainingReuseDelay(now, firstEndpoint, 5010*ms); got != reuseDelay-10*ms {
		t.Errorf("%d left after a pause, want %d", got, reuseDelay-10*ms)
	}
	now += 4 * delayPeriod
	if got := d.RemainingReuseDelay(now, firstEndpoint, 4*delayPeriod+5015*ms); got != 0 {
		t.Errorf("%d left after a long reuse delay, want none", got)
	}
}

// With zero Settings connections are reused at once, whatever was observed. With only a reuse delay for
// distrusted addresses, connections to all other addresses are reused at once.
func TestDisabledReuseDelays(t *testing.T) {
	secondResponse := SecondResponse{Endpoint: firstEndpoint, Lateness: 300 * ms}
	d := New(Settings{})
	d.ObserveSecondResponse(0, secondResponse)
	d.ObserveDelay(0, monotime.Second)
	checkReuseDelays(t, d, 0, 0, 0, 0)
	d = New(Settings{DistrustedReuseDelay: 100 * ms})
	d.ObserveSecondResponse(0, secondResponse)
	checkReuseDelays(t, d, 0, 1200*ms, 0, 0)
}

// Expire removes the evidence of all addresses whose evidence has expired, so that the memory is bounded.
func TestExpireForgetsAddresses(t *testing.T) {
	const endpoints = 3200
	d := newPunctualDecider(testSettings)
	for i := range endpoints {
		e := Endpoint{Pool: firstEndpoint.Pool, Address: fmt.Sprint(i)}
		d.ObserveSecondResponse(int64(i), SecondResponse{Endpoint: e, Lateness: ms})
	}
	d.Expire(evidencePeriod - 1)
	if len(d.addresses) != endpoints {
		t.Errorf("%d addresses known, want %d", len(d.addresses), endpoints)
	}
	if d.Expire(evidencePeriod + endpoints); len(d.addresses) != 0 {
		t.Errorf("%d addresses known after their expiry, want none", len(d.addresses))
	}
}

// A successor has the reuse delays of its predecessor for the rest of the evidence period, and keeps its own
// evidence. The snapshot's age counts.
func TestSnapshotKeepsReuseDelays(t *testing.T) {
	const age = 10 * ms
	predecessor := newPunctualDecider(testSettings)
	predecessor.ObserveSecondResponse(0, SecondResponse{Endpoint: firstEndpoint, Lateness: 150 * ms})
	takenAt := 10 * monotime.Second
	snapshot := predecessor.Snapshot(takenAt)
	successor := newPunctualDecider(testSettings)
	successor.ObserveSecondResponse(0, SecondResponse{Endpoint: otherPoolEndpoint, Lateness: 80 * ms})
	const now = 1000 * monotime.Second // the clock of the successor has another origin
	successor.Restore(now, snapshot, age)
	successor.Restore(now, nil, age)
	remaining := evidencePeriod - takenAt - age
	checkReuseDelays(t, successor, now, 600*ms, 300*ms, 20*ms)
	checkReuseDelays(t, successor, now+remaining-1, 600*ms, 300*ms, 20*ms)
	checkReuseDelays(t, successor, now+remaining, 20*ms, 20*ms, 20*ms)
	expired := newPunctualDecider(testSettings)
	expired.Restore(now, snapshot, evidencePeriod)
	checkReuseDelays(t, expired, now, 20*ms, 20*ms, 20*ms)
	if len(expired.addresses) != 0 {
		t.Error("an address with expired evidence was restored")
	}
}
