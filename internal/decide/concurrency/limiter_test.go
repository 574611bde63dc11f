package concurrency

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

// serverPool simulates several servers with one common queue. Clients send requests as soon as the limit
// allows.
type serverPool struct {
	limiter           *Limiter
	rng               *rand.Rand
	serverCount       int
	meanServiceTime   monotime.Micros
	serviceTimeSpread float64
	now               monotime.Micros
	running           completionHeap // requests in service
	queue             []simJob
	inFlight          int
	maxDemand         int // requests that clients would have in flight without a limit

	servedCount int
	totalTime   monotime.Micros
}

// simJob is a request in flight.
type simJob struct {
	class    int
	inFlight int // requests in flight when it was sent, including itself
	sentAt   monotime.Micros
	endsAt   monotime.Micros
	waited   bool
}

// completionHeap is a heap (container/heap) of jobs, ordered by the instant at which they end.
type completionHeap []simJob

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(v any)        { *h = append(*h, v.(simJob)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (p *serverPool) startService(j simJob) {
	mean := float64(p.meanServiceTime) * float64(1+j.class) // the service time of class 1 is twice that of class 0
	j.endsAt = p.now + monotime.Micros(mean*(1-p.serviceTimeSpread+2*p.serviceTimeSpread*p.rng.Float64()))
	heap.Push(&p.running, j)
}

func (p *serverPool) runUntil(until monotime.Micros) {
	p.servedCount = 0
	p.totalTime = 0
	for p.now < until {
		for p.inFlight < min(p.limiter.Limit(), p.maxDemand) {
			p.inFlight++
			j := simJob{
				class:    p.rng.IntN(2),
				inFlight: p.inFlight,
				sentAt:   p.now,
				waited:   p.maxDemand > p.limiter.Limit(),
			}
			if len(p.running) < p.serverCount {
				p.startService(j)
			} else {
				p.queue = append(p.queue, j)
			}
		}
		j := heap.Pop(&p.running).(simJob)
		p.now = j.endsAt
		p.inFlight--
		for len(p.queue) > 0 && len(p.running) < p.serverCount {
			p.startService(p.queue[0])
			p.queue = p.queue[1:]
		}
		p.servedCount++
		p.totalTime += p.now - j.sentAt
		p.limiter.AddSample(p.now, j.class, p.now-j.sentAt, j.inFlight, j.waited)
	}
}

func newServerPool(t *testing.T, servers, maxDemand int) *serverPool {
	t.Helper()
	l, err := New(Settings{Classes: 2, Min: 2, Max: 1000, Initial: 16, Seed: 9})
	require.NoError(t, err)
	return &serverPool{
		limiter:           l,
		rng:               rand.New(rand.NewPCG(1, 2)),
		serverCount:       servers,
		meanServiceTime:   10 * ms,
		serviceTimeSpread: 0.3,
		maxDemand:         maxDemand,
	}
}

// check continues the simulation, and fails unless nearly all of the servers' capacity is used and requests
// hardly wait at the servers. The time of transient at the start does not count.
func (p *serverPool) check(t *testing.T, phase string, transientDuration, duration monotime.Micros) {
	t.Helper()
	p.runUntil(p.now + transientDuration)
	start := p.now
	p.runUntil(start + duration)
	meanTimeAlone := float64(p.meanServiceTime) * 1.5
	capacity := float64(p.serverCount) * float64(p.now-start) / meanTimeAlone
	if got := float64(p.servedCount) / capacity; got < 0.92 {
		t.Errorf("%s: %.2f of the capacity of %d servers was used, limit %d",
			phase, got, p.serverCount, p.limiter.Limit())
	}
	if got := float64(p.totalTime) / float64(p.servedCount) / meanTimeAlone; got > 1.9 {
		t.Errorf("%s: requests took %.2f times as long as alone, limit %d with %d servers",
			phase, got, p.limiter.Limit(), p.serverCount)
	}
}

// The limit adapts to the capacity for any number of servers, and follows it when the number changes.
func TestLimitFollowsServerCount(t *testing.T) {
	for _, servers := range []int{4, 16, 100} {
		pool := newServerPool(t, servers, 1000)
		pool.check(t, "at first", 10*second, 40*second)
		pool.serverCount = servers * 2
		pool.check(t, "with twice as many", 10*second, 40*second)
		pool.serverCount = servers
		pool.check(t, "with half of them again", 10*second, 40*second)
	}
}

// If requests become slower or faster for another reason than load, the baseline follows within a few
// measurements.
func TestBaselineFollowsSlowerRequests(t *testing.T) {
	pool := newServerPool(t, 20, 1000)
	pool.check(t, "at first", 10*second, 20*second)
	pool.meanServiceTime *= 4
	pool.check(t, "four times as slow", 40*second, 40*second)
	pool.meanServiceTime /= 4
	pool.check(t, "as fast as before", 20*second, 40*second)
}

// Without demand the limit does not change: there is no evidence of more capacity.
func TestLimitDoesNotGrowWithoutDemand(t *testing.T) {
	pool := newServerPool(t, 100, 3)
	pool.runUntil(60 * second)
	if limit := pool.limiter.Limit(); limit != 16 {
		t.Errorf("limit %d after a minute with 3 requests in flight, want the initial 16", limit)
	}
}

// The limit stays between Min and Max, even if requests take no time at all or several hours.
func TestLimitStaysWithinMinAndMax(t *testing.T) {
	for _, timeInFlight := range []monotime.Micros{0, 1, 3600 * second} {
		l, err := New(Settings{Classes: 1, Min: 3, Max: 40, Initial: 5})
		require.NoError(t, err)
		for i := range 20_000 {
			l.AddSample(monotime.Micros(i)*5*ms, 0, timeInFlight*monotime.Micros(i%7), 1+i%50, i%2 == 0)
			if limit := l.Limit(); limit < 3 || limit > 40 {
				t.Fatalf("time in flight %d: limit %d", timeInFlight, limit)
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
