package concurrency

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

// serverPool is a number of servers with one queue, in simulated time, which get requests as fast as the limit allows.
type serverPool struct {
	limiter  *Limiter
	rng      *rand.Rand
	count    int
	meanTime monotime.Micros
	spread   float64
	now      monotime.Micros
	running  endHeap // by when they end
	queue    []job
	inFlight int
	demand   int // requests that clients would have in flight without a limit

	served    int
	totalTime monotime.Micros
}

// job is a request in flight.
type job struct {
	class    int
	inFlight int // when it was sent, itself included
	sentAt   monotime.Micros
	endsAt   monotime.Micros
	waited   bool
}

// endHeap is a heap (container/heap) of jobs by their end.
type endHeap []job

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(v any)        { *e = append(*e, v.(job)) }
func (e *endHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *serverPool) start(j job) {
	mean := float64(f.meanTime) * float64(1+j.class) // each class takes longer than the one before
	j.endsAt = f.now + monotime.Micros(mean*(1-f.spread+2*f.spread*f.rng.Float64()))
	heap.Push(&f.running, j)
}

func (f *serverPool) runUntil(at monotime.Micros) {
	f.served = 0
	f.totalTime = 0
	for f.now < at {
		for f.inFlight < min(f.limiter.Limit(), f.demand) {
			f.inFlight++
			j := job{class: f.rng.IntN(2), inFlight: f.inFlight, sentAt: f.now, waited: f.demand > f.limiter.Limit()}
			if len(f.running) < f.count {
				f.start(j)
			} else {
				f.queue = append(f.queue, j)
			}
		}
		j := heap.Pop(&f.running).(job)
		f.now = j.endsAt
		f.inFlight--
		for len(f.queue) > 0 && len(f.running) < f.count {
			f.start(f.queue[0])
			f.queue = f.queue[1:]
		}
		f.served++
		f.totalTime += f.now - j.sentAt
		f.limiter.AddSample(f.now, j.class, f.now-j.sentAt, j.inFlight, j.waited)
	}
}

func newServers(t *testing.T, servers, demand int) *serverPool {
	t.Helper()
	l, err := New(Settings{Classes: 2, Min: 2, Max: 1000, Initial: 16, Seed: 9})
	require.NoError(t, err)
	return &serverPool{
		limiter:  l,
		rng:      rand.New(rand.NewPCG(1, 2)),
		count:    servers,
		meanTime: 10 * ms,
		spread:   0.3,
		demand:   demand,
	}
}

// check runs on, and fails unless the servers' capacity is nearly used and requests hardly wait there. The first part
// of the run, transient, does not count.
func (f *serverPool) check(t *testing.T, name string, transient, length monotime.Micros) {
	t.Helper()
	f.runUntil(f.now + transient)
	from := f.now
	f.runUntil(from + length)
	mean := float64(f.meanTime) * 1.5
	possible := float64(f.count) * float64(f.now-from) / mean
	if got := float64(f.served) / possible; got < 0.92 {
		t.Errorf("%s: %.2f of the capacity of %d servers was used, limit %d", name, got, f.count, f.limiter.Limit())
	}
	if got := float64(f.totalTime) / float64(f.served) / mean; got > 1.9 {
		t.Errorf("%s: requests took %.2f times their time alone, limit %d of %d servers",
			name, got, f.limiter.Limit(), f.count)
	}
}

// Whatever the number of servers, the limit finds it, and follows it.
func TestLimitFollowsServerCount(t *testing.T) {
	for _, servers := range []int{4, 16, 100} {
		f := newServers(t, servers, 1000)
		f.check(t, "at first", 10*second, 40*second)
		f.count = servers * 2
		f.check(t, "with twice as many", 10*second, 40*second)
		f.count = servers
		f.check(t, "with half of them again", 10*second, 40*second)
	}
}

// When requests become slower for another reason than load, the baseline follows soon.
func TestBaselineFollowsSlowerRequests(t *testing.T) {
	f := newServers(t, 20, 1000)
	f.check(t, "at first", 10*second, 20*second)
	f.meanTime *= 4
	f.check(t, "four times as slow", 40*second, 40*second)
	f.meanTime /= 4
	f.check(t, "as fast as before", 20*second, 40*second)
}

// Without demand the limit stays as it is: nothing shows that there is more capacity.
func TestLimitDoesNotGrowWithoutDemand(t *testing.T) {
	f := newServers(t, 100, 3)
	f.runUntil(60 * second)
	if v := f.limiter.Limit(); v != 16 {
		t.Errorf("%d after a minute with 3 in flight, want 16 still", v)
	}
}

// The limit stays within Min and Max, also where requests take no time at all, or very long.
func TestLimitStaysWithinMinAndMax(t *testing.T) {
	for _, took := range []monotime.Micros{0, 1, 3600 * second} {
		l, err := New(Settings{Classes: 1, Min: 3, Max: 40, Initial: 5})
		require.NoError(t, err)
		for i := range 20_000 {
			l.AddSample(monotime.Micros(i)*5*ms, 0, took*monotime.Micros(i%7), 1+i%50, i%2 == 0)
			if v := l.Limit(); v < 3 || v > 40 {
				t.Fatalf("took %d: limit %d", took, v)
			}
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, s := range []Settings{
		{},
		{Classes: 1},
		{Classes: 1, Min: 2, Max: 1},
		{Classes: 1, Min: 1, Max: 9, Initial: 10},
		{Classes: 1, Min: 2, Max: 9, Initial: 1},
		{Min: 1, Max: 1, Initial: 1},
		{Classes: 1, Min: 1, Max: 9, Initial: 1, GrowThreshold: 0.5},
		{Classes: 1, Min: 1, Max: 9, Initial: 1, GrowThreshold: 0.5, ShrinkThreshold: 0.4},
	} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
}
