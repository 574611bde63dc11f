package reuse

import (
	"fmt"
	"testing"

	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

var (
	testSettings      = Settings{Rest: 20 * ms, DistrustedRest: 40 * ms}
	firstEndpoint     = Endpoint{Pool: "clinic", Address: "127.0.0.1:1"}
	samePoolEndpoint  = Endpoint{Pool: "clinic", Address: "127.0.0.1:2"}
	otherPoolEndpoint = Endpoint{Pool: "archive", Address: "127.0.0.1:3"}
)

// newPunctualDecider returns a Decider of a process that has observed itself for long enough, and never ran late.
func newPunctualDecider(s Settings) *Decider {
	d := New(s)
	for range minObservations {
		d.ObserveDelay(0, 0)
	}
	return d
}

// checkReuseDelays checks the rests of firstEndpoint, samePoolEndpoint and otherPoolEndpoint.
func checkReuseDelays(t *testing.T, d *Decider, now monotime.Micros, want ...monotime.Micros) {
	t.Helper()
	for i, e := range []Endpoint{firstEndpoint, samePoolEndpoint, otherPoolEndpoint} {
		if got := d.Rest(now, e); got != want[i] {
			t.Errorf("rest at %v: %d, want %d", e, got, want[i])
		}
	}
}

// A process that has not observed itself for long assumes that it may run late.
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

// A second response makes connections rest longer at its address and in its pool, by its lateness, until it is
// forgotten. If the response before it may have been misdelivered, the worst case is assumed in the pool.
func TestReuseDelayFollowsLateness(t *testing.T) {
	for _, c := range []struct {
		lateness, interval monotime.Micros
		atAddress, inPool  monotime.Micros // rests
		suspect            bool
	}{
		{lateness: 5 * ms, atAddress: 40 * ms, inPool: 20 * ms},
		{lateness: 30 * ms, atAddress: 120 * ms, inPool: 60 * ms},
		{lateness: 150 * ms, atAddress: 600 * ms, inPool: 300 * ms},
		{lateness: 1000 * ms, atAddress: 4000 * ms, inPool: 2000 * ms},
		{lateness: 1001 * ms, atAddress: 40 * ms, inPool: 20 * ms}, // no second response to a request
		{3 * ms, 60 * ms, 120 * ms, 120 * ms, true},
		{60 * ms, 25 * ms, 120 * ms, 120 * ms, true},
		{3 * ms, 300 * ms, 40 * ms, 20 * ms, true}, // later than what is assumed
		{0, 60 * ms, 40 * ms, 20 * ms, true},       // it came together with the response before it
		{lateness: 3 * ms, interval: 2000 * ms, atAddress: 40 * ms, inPool: 20 * ms},
	} {
		t.Run(fmt.Sprint(c.lateness, c.interval), func(t *testing.T) {
			d := newPunctualDecider(testSettings)
			suspect := d.ObserveSecondResponse(0, SecondResponse{firstEndpoint, c.lateness, c.interval})
			if suspect != c.suspect {
				t.Errorf("suspect %v, want %v", suspect, c.suspect)
			}
			checkReuseDelays(t, d, evidencePeriod-1, c.atAddress, c.inPool, 20*ms)
			checkReuseDelays(t, d, evidencePeriod, 20*ms, 20*ms, 20*ms)
		})
	}
}

// Where a lateness is certain in a pool, the worst case is not assumed of second responses that are no later.
func TestCertainLatenessExplainsOthers(t *testing.T) {
	d := newPunctualDecider(testSettings)
	ambiguous := SecondResponse{Endpoint: firstEndpoint, Lateness: 5 * ms, Interval: 200 * ms}
	d.ObserveSecondResponse(0, ambiguous)
	checkReuseDelays(t, d, 0, 400*ms, 400*ms, 20*ms)
	d.ObserveSecondResponse(0, SecondResponse{Endpoint: samePoolEndpoint, Lateness: 15 * ms})
	checkReuseDelays(t, d, 0, 40*ms, 60*ms, 20*ms)
	d.ObserveSecondResponse(0, ambiguous)
	checkReuseDelays(t, d, 0, 40*ms, 60*ms, 20*ms)
	d.ObserveSecondResponse(0, SecondResponse{Endpoint: firstEndpoint, Lateness: 16 * ms, Interval: 70 * ms})
	checkReuseDelays(t, d, 0, 140*ms, 140*ms, 20*ms)
	d.ObserveSecondResponse(0, SecondResponse{Endpoint: samePoolEndpoint})
	d.ObserveSecondResponse(0, ambiguous)
	checkReuseDelays(t, d, 0, 64*ms, 60*ms, 20*ms)
}

// Delays of this process lengthen all rests for a while, up to a bound.
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

// Connections rest longer for a while after the threads of this process have waited for processors far longer than they
// ran, whatever its own delays are.
func TestReuseDelayFollowsProcessorTime(t *testing.T) {
	for _, c := range []struct {
		ran, waited monotime.Micros
		starved     bool
	}{
		{ran: 10 * ms, waited: 39 * ms},
		{ran: 10 * ms, waited: 40 * ms, starved: true},
		{ran: 0, waited: minProcessorWait, starved: true},
		{ran: 0, waited: minProcessorWait - 1},
		{ran: 0, waited: 0},
	} {
		want := 20 * ms
		if c.starved {
			want += maxDelayAllowance
		}
		d := newPunctualDecider(testSettings)
		d.ObserveProcessorTime(0, c.ran, c.waited)
		checkReuseDelays(t, d, 0, want, want, want)
		checkReuseDelays(t, d, delayPeriod-1, want, want, want)
		checkReuseDelays(t, d, delayPeriod, 20*ms, 20*ms, 20*ms)
	}
}

// Times for which this process did not run are no rest, however long they were.
func TestStallsDoNotCountTowardsReuseDelay(t *testing.T) {
	d := newPunctualDecider(testSettings)
	for _, c := range []struct{ elapsed, want monotime.Micros }{
		{0, 20 * ms}, {5 * ms, 15 * ms}, {20 * ms, 0}, {21 * ms, 0},
	} {
		if got := d.Left(1000*ms, firstEndpoint, c.elapsed); got != c.want {
			t.Errorf("%d left after %d, want %d", got, c.elapsed, c.want)
		}
	}
	now := 100 * monotime.Second
	d.ObserveDelay(now, 5*monotime.Second)
	reuseDelay := d.Rest(now, firstEndpoint)
	if got := d.Left(now, firstEndpoint, 5010*ms); got != reuseDelay-10*ms {
		t.Errorf("%d left after a pause, want %d", got, reuseDelay-10*ms)
	}
	now += 4 * delayPeriod
	if got := d.Left(now, firstEndpoint, 4*delayPeriod+5015*ms); got != 0 {
		t.Errorf("%d left after a long rest, want none", got)
	}
}

// Without a rest connections are reused at once, whatever was seen; with one for distrusted addresses only, at others.
func TestDisabledReuseDelays(t *testing.T) {
	secondResponse := SecondResponse{Endpoint: firstEndpoint, Lateness: 300 * ms}
	d := New(Settings{})
	d.ObserveSecondResponse(0, secondResponse)
	d.ObserveDelay(0, monotime.Second)
	checkReuseDelays(t, d, 0, 0, 0, 0)
	d = New(Settings{DistrustedRest: 100 * ms})
	d.ObserveSecondResponse(0, secondResponse)
	checkReuseDelays(t, d, 0, 1200*ms, 0, 0)
}

// Old evidence takes up no memory.
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
		t.Errorf("%d addresses known after their time, want none", len(d.addresses))
	}
}

// A successor has the rests of its predecessor, for the time that was left, and keeps evidence of its own.
func TestSnapshotKeepsReuseDelays(t *testing.T) {
	const age = 10 * ms
	predecessor := newPunctualDecider(testSettings)
	predecessor.ObserveSecondResponse(0, SecondResponse{Endpoint: firstEndpoint, Lateness: 150 * ms})
	takenAt := 10 * monotime.Second
	s := predecessor.Snapshot(takenAt)
	successor := newPunctualDecider(testSettings)
	successor.ObserveSecondResponse(0, SecondResponse{Endpoint: otherPoolEndpoint, Lateness: 80 * ms})
	const now = 1000 * monotime.Second // its clock has another origin
	successor.Restore(now, s, age)
	successor.Restore(now, nil, age)
	remaining := evidencePeriod - takenAt - age
	checkReuseDelays(t, successor, now, 600*ms, 300*ms, 20*ms)
	checkReuseDelays(t, successor, now+remaining-1, 600*ms, 300*ms, 20*ms)
	checkReuseDelays(t, successor, now+remaining, 20*ms, 20*ms, 20*ms)
	expired := newPunctualDecider(testSettings)
	expired.Restore(now, s, evidencePeriod)
	checkReuseDelays(t, expired, now, 20*ms, 20*ms, 20*ms)
	if len(expired.addresses) != 0 {
		t.Error("an address whose evidence is forgotten was restored")
	}
}
