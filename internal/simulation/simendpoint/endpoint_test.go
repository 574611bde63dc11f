package simendpoint

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

// finishJobs advances an endpoint until it has no request in flight, and calls onEnd for each completed
// request.
func finishJobs(t *rapid.T, e *Endpoint, onEnd func(job *Job, cause string)) {
	t.Helper()
	for count := 0; e.InFlight() > 0; count++ {
		at, ok := e.NextCompletion()
		if !ok || count > 1000 {
			t.Fatalf("%d requests are in flight and none completes", e.InFlight())
		}
		for _, completion := range e.Advance(at) {
			onEnd(completion.Job, "ended")
		}
	}
}

// drawConfig draws the configuration of an endpoint with one to four cores and a warm-up.
func drawConfig(t *rapid.T) Config {
	t.Helper()
	return Config{
		Cores:            rapid.IntRange(1, 4).Draw(t, "cores"),
		Speed:            rapid.Float64Range(0.3, 2).Draw(t, "speed"),
		QueueCapacity:    rapid.IntRange(0, 5).Draw(t, "queue"),
		Cancellation:     Cancellation(rapid.IntRange(0, 2).Draw(t, "cancel")),
		ErrorRate:        0.1,
		WarmupStartShare: 0.2,
		WarmupDuration:   second,
	}
}

// trackedJobs records the requests of an endpoint that have not ended, and the work of those that completed.
type trackedJobs struct {
	t             *rapid.T
	endpoint      *Endpoint
	pending       map[*Job]bool // requests that have not ended
	completedWork float64       // total work of the completed requests
}

// markEnded marks a request as ended, and fails the test if it is not pending. cause is part of the failure
// message.
func (j *trackedJobs) markEnded(job *Job, cause string) {
	if !j.pending[job] {
		j.t.Fatalf("%s: a request that was not pending", cause)
	}
	delete(j.pending, job)
}

// advance runs the endpoint until an instant.
func (j *trackedJobs) advance(now monotime.Micros) {
	for _, completion := range j.endpoint.Advance(now) {
		j.markEnded(completion.Job, "ended")
		j.completedWork += float64(completion.Job.Work)
		if completion.At > now {
			j.t.Fatalf("request completed at %d, after the present time %d", completion.At, now)
		}
	}
}

// step applies one random action to the endpoint: a cancellation, a restart, a pause or a request.
func (j *trackedJobs) step(now monotime.Micros) {
	switch rapid.IntRange(0, 9).Draw(j.t, "what") {
	case 0:
		j.cancelOne(now)
	case 1:
		if rapid.IntRange(0, 9).Draw(j.t, "kill") == 0 {
			j.restart(now)
		}
	case 2:
		j.endpoint.Pause(now, 20_000)
	default:
		job := &Job{
			Work:   monotime.Micros(rapid.IntRange(1, 60_000).Draw(j.t, "work")),
			Chance: rapid.Float64Range(0, 1).Draw(j.t, "luck"),
		}
		if j.endpoint.Arrive(now, job) == Accepted {
			j.pending[job] = true
		}
	}
}

// cancelOne cancels one of the pending requests.
func (j *trackedJobs) cancelOne(now monotime.Micros) {
	for job := range j.pending {
		if j.endpoint.Cancel(now, job) {
			j.markEnded(job, "cancelled")
		}
		return
	}
}

// restart kills the endpoint, which must return all pending requests, and starts it again.
func (j *trackedJobs) restart(now monotime.Micros) {
	for _, job := range j.endpoint.Kill(now) {
		j.markEnded(job, "killed")
	}
	if len(j.pending) != 0 {
		j.t.Fatalf("%d requests outlived the process", len(j.pending))
	}
	j.endpoint.Start(now, false)
}

// Under random cancellations, restarts and pauses, each request that an endpoint accepts must end exactly
// once, the endpoint must not run more requests than it has cores, and it must not do more work than its
// cores can do in the elapsed time.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		e := New(config, NewDedupGroup(400_000))
		jobs := &trackedJobs{t: t, endpoint: e, pending: map[*Job]bool{}}
		now := monotime.Micros(0)
		e.Start(now, rapid.Bool().Draw(t, "warm"))
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			now += monotime.Micros(rapid.IntRange(0, 40_000).Draw(t, "gap"))
			jobs.advance(now)
			jobs.step(now)
			if e.InFlight() != len(jobs.pending) || e.busyCores > config.Cores {
				t.Fatalf("%d in flight, %d running; want %d in flight", e.InFlight(), e.busyCores, len(jobs.pending))
			}
		}
		capacity := float64(now) * config.Speed * float64(config.Cores)
		if jobs.completedWork > capacity+float64(config.Cores*60_000) {
			t.Fatalf("%v of work done, at most %v is possible", jobs.completedWork, capacity)
		}
		finishJobs(t, e, jobs.markEnded)
	})
}

// An endpoint that is overloaded for too long while it warms up must collapse and stay collapsed until it is
// started again. An endpoint that is warm, or is offered no more work than it can do, must not collapse.
func TestFallsOver(t *testing.T) {
	config := Config{
		Cores:            2,
		Speed:            1,
		WarmupStartShare: 0.2,
		WarmupDuration:   20 * second,
		CollapseLoad:     2.5,
		CollapseWindow:   2 * second,
	}
	offerLoad := func(e *Endpoint, from monotime.Micros, load float64) bool {
		const work = 20_000
		gap := monotime.Micros(work / (load * 2))
		for now := from; now < from+5*second; now += gap {
			e.Advance(now)
			e.Arrive(now, &Job{Work: work, Chance: 0.5})
		}
		return e.Collapsed()
	}
	for load, collapses := range map[float64]bool{0.2: false, 0.45: false, 0.8: true} {
		e := New(config, nil)
		e.Start(0, false)
		if collapsed := offerLoad(e, 0, load); collapsed != collapses {
			t.Errorf("warming up, offered %v of its full capacity: collapsed %v", load, collapsed)
		}
		if collapses {
			if verdict := e.Arrive(30*second, &Job{Work: 1}); verdict != Rejected {
				t.Errorf("verdict of a collapsed endpoint: %v, want Rejected", verdict)
			}
			e.Kill(30 * second)
			e.Start(31*second, false)
			if e.Collapsed() {
				t.Error("the endpoint is still collapsed after a restart")
			}
		}
	}
	e := New(config, nil)
	e.Start(0, true)
	if offerLoad(e, 0, 3) {
		t.Error("a warm endpoint collapsed")
	}
}

// Repeats of an idempotency key must have no effect at any endpoint of a group, as long as the window of the
// first request lasts.
func TestRepeats(t *testing.T) {
	group := NewDedupGroup(400_000)
	a := New(Config{Cores: 1, Speed: 1}, group)
	b := New(Config{Cores: 1, Speed: 1}, group)
	a.Start(0, true)
	b.Start(0, true)
	run := func(e *Endpoint, now monotime.Micros) Completion {
		if verdict := e.Arrive(now, &Job{Work: 1000, IdempotencyKey: 7, Chance: 0.5}); verdict != Accepted {
			t.Fatalf("arrival: %v", verdict)
		}
		return e.Advance(now + 2000)[0]
	}
	for i, step := range []struct {
		endpoint *Endpoint
		at       monotime.Micros
		effect   bool
	}{{a, 0, true}, {a, 10_000, false}, {b, 100_000, false}, {b, 402_000, true}, {a, 500_000, false}} {
		if completion := run(step.endpoint, step.at); completion.Effect != step.effect ||
			(completion.Verdict == Duplicate) == step.effect {
			t.Errorf("step %d: effect %v, verdict %v", i, completion.Effect, completion.Verdict)
		}
	}
}

// Load reports must contain the requests in flight; delayed reports must contain those of the earlier time,
// and false reports must be zero.
func TestReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := New(Config{Cores: 1, Speed: 1}, nil)
	e.Start(0, true)
	if load := e.Probe(second, random); load.Inflight != 0 {
		t.Errorf("report of an idle endpoint: %+v", load)
	}
	for range 3 {
		e.Arrive(second, &Job{Work: second, Chance: 0.5})
	}
	if load := e.Probe(second+1000, random); load.Inflight != 3 || load.Queue != 2 {
		t.Errorf("report with three requests in flight: %+v", load)
	}
	e.SetCondition(Condition{ReportDelay: second / 2})
	if load := e.Probe(second+2000, random); load.Inflight != 0 {
		t.Errorf("report that is delayed by half a second: %+v", load)
	}
	e.SetCondition(Condition{FalseReports: true})
	if load := e.Probe(second+3000, random); load != (Load{}) {
		t.Errorf("false report: %+v", load)
	}
}
