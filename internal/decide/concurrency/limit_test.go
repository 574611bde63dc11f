package concurrency

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"dunlinsail/internal/monotime"
)

const ms monotime.Micros = 1000

// fleet is a number of servers with one queue, in simulated time, asked as fast as the limit lets.
type fleet struct {
	l       *Limit
	rng     *rand.Rand
	servers int
	mean    monotime.Micros
	spread  float64
	now     monotime.Micros
	busy    ends // those being worked at, by when they end
	queue   []job
	out     int // in flight
	demand  int // the most that clients would have in flight

	served int
	took   monotime.Micros
	lost   int
}

type job struct {
	class, inFlight int
	sent, ends      monotime.Micros
	waited          bool
}

type ends []job

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].ends < e[j].ends }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(v any)        { *e = append(*e, v.(job)) }
func (e *ends) Pop() any          { l := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return l }

func (f *fleet) work(j job) {
	mean := float64(f.mean) * float64(1+j.class) // each class takes longer than the one before
	j.ends = f.now + monotime.Micros(mean*(1-f.spread+2*f.spread*f.rng.Float64()))
	heap.Push(&f.busy, j)
}

func (f *fleet) until(at monotime.Micros) {
	f.served, f.took = 0, 0
	for f.now < at {
		for f.out < min(f.l.Value(), f.demand) {
			f.out++
			j := job{class: f.rng.IntN(2), inFlight: f.out, sent: f.now, waited: f.demand > f.l.Value()}
			if len(f.busy) < f.servers {
				f.work(j)
			} else {
				f.queue = append(f.queue, j)
			}
		}
		j := heap.Pop(&f.busy).(job)
		f.now = j.ends
		f.out--
		for len(f.queue) > 0 && len(f.busy) < f.servers {
			f.work(f.queue[0])
			f.queue = f.queue[1:]
		}
		f.served++
		f.took += f.now - j.sent
		f.l.Sample(f.now, j.class, f.now-j.sent, j.inFlight, j.waited)
	}
}

func newFleet(t *testing.T, servers, demand int) *fleet {
	l, err := New(Settings{Classes: 2, Least: 2, Most: 1000, First: 16, Seed: 9})
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{l: l, rng: rand.New(rand.NewPCG(1, 2)), servers: servers, mean: 10 * ms, spread: 0.3, demand: demand}
}

// check plays on and says whether nearly all that the servers can do was done, and not much waited there.
func (f *fleet) check(t *testing.T, name string, warm, length monotime.Micros) {
	t.Helper()
	f.until(f.now + warm)
	from := f.now
	f.until(from + length)
	mean := float64(f.mean) * 1.5
	can := float64(f.servers) * float64(f.now-from) / mean
	if got := float64(f.served) / can; got < 0.92 {
		t.Errorf("%s: %.2f of what %d servers can do was done, limit %d", name, got, f.servers, f.l.Value())
	}
	if got := float64(f.took) / float64(f.served) / mean; got > 1.9 {
		t.Errorf("%s: requests took %.2f times what they take alone, limit %d of %d servers", name, got, f.l.Value(), f.servers)
	}
}

// Whatever the number of servers, the limit finds it, and follows it.
func TestLimitFollowsTheServers(t *testing.T) {
	for _, servers := range []int{4, 16, 100} {
		f := newFleet(t, servers, 1000)
		f.check(t, "at first", 10*second, 40*second)
		f.servers = servers * 2
		f.check(t, "with twice as many", 10*second, 40*second)
		f.servers = servers
		f.check(t, "with half of them again", 10*second, 40*second)
	}
}

// When requests turn slower for another reason, that is soon what they take alone.
func TestSlowerRequests(t *testing.T) {
	f := newFleet(t, 20, 1000)
	f.check(t, "at first", 10*second, 20*second)
	f.mean *= 4
	f.check(t, "four times as slow", 40*second, 40*second)
	f.mean /= 4
	f.check(t, "as fast as before", 20*second, 40*second)
}

// Without demand the limit stays as it is: nothing tells that more could be done.
func TestLimitDoesNotGrowUnused(t *testing.T) {
	f := newFleet(t, 100, 3)
	f.until(60 * second)
	if v := f.l.Value(); v != 16 {
		t.Errorf("%d after a minute with 3 in flight, want 16 still", v)
	}
}

// The bounds hold, also where requests take no time at all or for ever.
func TestBounds(t *testing.T) {
	for _, took := range []monotime.Micros{0, 1, 3600 * second} {
		l, err := New(Settings{Classes: 1, Least: 3, Most: 40, First: 5})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20_000 {
			l.Sample(monotime.Micros(i)*5*ms, 0, took*monotime.Micros(i%7), 1+i%50, i%2 == 0)
			if v := l.Value(); v < 3 || v > 40 {
				t.Fatalf("took %d: limit %d", took, v)
			}
		}
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for _, s := range []Settings{{}, {Classes: 1}, {Classes: 1, Least: 2, Most: 1}, {Classes: 1, Least: 1, Most: 9, First: 10},
		{Classes: 1, Least: 2, Most: 9, First: 1}, {Least: 1, Most: 1, First: 1}, {Classes: 1, Least: 1, Most: 9, First: 1, Grow: 0.5},
		{Classes: 1, Least: 1, Most: 9, First: 1, Grow: 0.5, Shrink: 0.4}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v was taken", s)
		}
	}
}
