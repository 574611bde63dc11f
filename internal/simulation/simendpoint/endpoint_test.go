package simendpoint

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

// drain advances an endpoint until it holds no job, and passes each that ends to over.
func drain(t *rapid.T, n *Endpoint, over func(j *Job, how string)) {
	t.Helper()
	for i := 0; n.InFlight() > 0; i++ {
		at, ok := n.NextCompletion()
		if !ok || i > 1000 {
			t.Fatalf("%d requests are held and none ends", n.InFlight())
		}
		for _, e := range n.Advance(at) {
			over(e.Job, "ended")
		}
	}
}

// drawConfig draws an endpoint of a few cores that warms up.
func drawConfig(t *rapid.T) Config {
	t.Helper()
	return Config{
		Cores:          rapid.IntRange(1, 4).Draw(t, "cores"),
		Speed:          rapid.Float64Range(0.3, 2).Draw(t, "speed"),
		QueueCapacity:  rapid.IntRange(0, 5).Draw(t, "queue"),
		Cancellation:   Cancellation(rapid.IntRange(0, 2).Draw(t, "cancel")),
		ErrorRate:      0.1,
		WarmupFrom:     0.2,
		WarmupDuration: second,
	}
}

// openJobs are the jobs of an endpoint that have not ended, and the work of those that completed.
type openJobs struct {
	t        *rapid.T
	endpoint *Endpoint
	open     map[*Job]bool
	done     float64 // work of completed jobs
}

// end marks a job as ended, and fails the test if it was not open.
func (o *openJobs) end(j *Job, how string) {
	if !o.open[j] {
		o.t.Fatalf("%s: a request that was not open", how)
	}
	delete(o.open, j)
}

// advance runs the endpoint until an instant.
func (o *openJobs) advance(now monotime.Micros) {
	for _, e := range o.endpoint.Advance(now) {
		o.end(e.Job, "ended")
		o.done += float64(e.Job.Work)
		if e.At > now {
			o.t.Fatalf("ended at %d, which is after %d", e.At, now)
		}
	}
}

// step draws one thing that happens to the endpoint: a cancellation, a restart, a pause or a request.
func (o *openJobs) step(now monotime.Micros) {
	switch rapid.IntRange(0, 9).Draw(o.t, "what") {
	case 0:
		o.cancelOne(now)
	case 1:
		if rapid.IntRange(0, 9).Draw(o.t, "kill") == 0 {
			o.restart(now)
		}
	case 2:
		o.endpoint.Pause(now, 20_000)
	default:
		j := &Job{
			Work:   monotime.Micros(rapid.IntRange(1, 60_000).Draw(o.t, "work")),
			Chance: rapid.Float64Range(0, 1).Draw(o.t, "luck"),
		}
		if o.endpoint.Arrive(now, j) == Accepted {
			o.open[j] = true
		}
	}
}

// cancelOne cancels any open job.
func (o *openJobs) cancelOne(now monotime.Micros) {
	for j := range o.open {
		if o.endpoint.Cancel(now, j) {
			o.end(j, "cancelled")
		}
		return
	}
}

// restart kills the endpoint, which has to return all open jobs, and starts it again.
func (o *openJobs) restart(now monotime.Micros) {
	for _, j := range o.endpoint.Kill(now) {
		o.end(j, "killed")
	}
	if len(o.open) != 0 {
		o.t.Fatalf("%d requests outlived the process", len(o.open))
	}
	o.endpoint.Start(now, false)
}

// Whatever happens, each request that an endpoint accepts ends once, it runs no more requests than it has cores, and it
// does no more work than it has time for.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		n := New(c, NewDedupGroup(400_000))
		o := &openJobs{t: t, endpoint: n, open: map[*Job]bool{}}
		now := monotime.Micros(0)
		n.Start(now, rapid.Bool().Draw(t, "warm"))
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			now += monotime.Micros(rapid.IntRange(0, 40_000).Draw(t, "gap"))
			o.advance(now)
			o.step(now)
			if n.InFlight() != len(o.open) || n.busy > c.Cores {
				t.Fatalf("%d in flight, %d running; %d are open", n.InFlight(), n.busy, len(o.open))
			}
		}
		capacity := float64(now) * c.Speed * float64(c.Cores)
		if o.done > capacity+float64(c.Cores*60_000) {
			t.Fatalf("%v of work done, at most %v is possible", o.done, capacity)
		}
		drain(t, n, o.end)
	})
}

// An endpoint that is warming up and is sent too much for too long falls over, and stays so until it is started again;
// one that is warm, or is sent what it can do, does not.
func TestFallsOver(t *testing.T) {
	c := Config{
		Cores:          2,
		Speed:          1,
		WarmupFrom:     0.2,
		WarmupDuration: 20 * second,
		CollapseLoad:   2.5,
		CollapseWindow: 2 * second,
	}
	push := func(n *Endpoint, from monotime.Micros, load float64) bool {
		const work = 20_000
		gap := monotime.Micros(work / (load * 2))
		for now := from; now < from+5*second; now += gap {
			n.Advance(now)
			n.Arrive(now, &Job{Work: work, Chance: 0.5})
		}
		return n.Collapsed()
	}
	for load, falls := range map[float64]bool{0.2: false, 0.45: false, 0.8: true} {
		n := New(c, nil)
		n.Start(0, false)
		if got := push(n, 0, load); got != falls {
			t.Errorf("cold, sent %v of what it can do once warm: fell %v", load, got)
		}
		if falls {
			if v := n.Arrive(30*second, &Job{Work: 1}); v != Rejected {
				t.Errorf("one that fell over takes a request: %v", v)
			}
			n.Kill(30 * second)
			n.Start(31*second, false)
			if n.Collapsed() {
				t.Error("it stays down though started again")
			}
		}
	}
	n := New(c, nil)
	n.Start(0, true)
	if push(n, 0, 3) {
		t.Error("a warm one fell over")
	}
}

// Repeats of a key are dropped by all of a group, for as long as it remembers.
func TestRepeats(t *testing.T) {
	g := NewDedupGroup(400_000)
	a := New(Config{Cores: 1, Speed: 1}, g)
	b := New(Config{Cores: 1, Speed: 1}, g)
	a.Start(0, true)
	b.Start(0, true)
	run := func(n *Endpoint, now monotime.Micros) Completion {
		if v := n.Arrive(now, &Job{Work: 1000, IdempotencyKey: 7, Chance: 0.5}); v != Accepted {
			t.Fatalf("arrival: %v", v)
		}
		return n.Advance(now + 2000)[0]
	}
	for i, step := range []struct {
		n      *Endpoint
		at     monotime.Micros
		effect bool
	}{{a, 0, true}, {a, 10_000, false}, {b, 100_000, false}, {b, 402_000, true}, {a, 500_000, false}} {
		if e := run(step.n, step.at); e.Effect != step.effect || (e.Verdict == Duplicate) == step.effect {
			t.Errorf("step %d: effect %v, verdict %v", i, e.Effect, e.Verdict)
		}
	}
}

// Reports have the requests in flight, late ones those of then, and false ones none.
func TestReports(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	n := New(Config{Cores: 1, Speed: 1}, nil)
	n.Start(0, true)
	if l := n.Probe(second, r); l.Inflight != 0 {
		t.Errorf("idle: %+v", l)
	}
	for range 3 {
		n.Arrive(second, &Job{Work: second, Chance: 0.5})
	}
	if l := n.Probe(second+1000, r); l.Inflight != 3 || l.Queue != 2 {
		t.Errorf("holding three: %+v", l)
	}
	n.SetCondition(Condition{ReportDelay: second / 2})
	if l := n.Probe(second+2000, r); l.Inflight != 0 {
		t.Errorf("late by half a second: %+v", l)
	}
	n.SetCondition(Condition{FalseReports: true})
	if l := n.Probe(second+3000, r); l != (Load{}) {
		t.Errorf("lying: %+v", l)
	}
}
