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

// Whatever comes, each request that an endpoint takes ends once, it works at no more than its cores allow, and in time
// it does no more work than it can.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		n := New(c, NewDedupGroup(400_000))
		now := monotime.Micros(0)
		n.Start(now, rapid.Bool().Draw(t, "warm"))
		open := map[*Job]bool{}
		over := func(j *Job, how string) {
			if !open[j] {
				t.Fatalf("%s: a request that was not open", how)
			}
			delete(open, j)
		}
		var done float64
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			now += monotime.Micros(rapid.IntRange(0, 40_000).Draw(t, "gap"))
			for _, e := range n.Advance(now) {
				over(e.Job, "ended")
				done += float64(e.Job.Work)
				if e.At > now {
					t.Fatalf("ended at %d, which is after %d", e.At, now)
				}
			}
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				for j := range open {
					if n.Cancel(now, j) {
						over(j, "given up")
					}
					break
				}
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "kill") == 0 {
					for _, j := range n.Kill(now) {
						over(j, "killed")
					}
					if len(open) != 0 {
						t.Fatalf("%d requests outlived the process", len(open))
					}
					n.Start(now, false)
				}
			case 2:
				n.Pause(now, 20_000)
			default:
				j := &Job{
					Work:   monotime.Micros(rapid.IntRange(1, 60_000).Draw(t, "work")),
					Chance: rapid.Float64Range(0, 1).Draw(t, "luck"),
				}
				if v := n.Arrive(now, j); v == Accepted {
					open[j] = true
				}
			}
			if n.InFlight() != len(open) || n.busy > c.Cores {
				t.Fatalf("holds %d, %d at work; %d are open", n.InFlight(), n.busy, len(open))
			}
		}
		if can := float64(now) * c.Speed * float64(c.Cores); done > can+float64(c.Cores*60_000) {
			t.Fatalf("%v of work done, at most %v could be", done, can)
		}
		drain(t, n, over)
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
