package gossipsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

type member struct {
	index        int
	name         string
	coordinator  *coordination.Member
	running      bool
	stoppedUntil monotime.Micros // until then
	clockRate    float64
	clockOrigin  float64 // true instant at which its clock is 0
	demandRate   float64 // units a second
	demandFactor float64 // times what it wants
	budgetUnits  float64
	incarnation  uint64
	wakeAt       monotime.Micros
	messagesSent int
	bytesSent    int
}

func (x *member) localTime(at monotime.Micros) monotime.Micros {
	return monotime.Micros((float64(at) - x.clockOrigin) * x.clockRate)
}

func (x *member) trueTime(local monotime.Micros) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(local)/x.clockRate + x.clockOrigin))
}

type event struct {
	at    monotime.Micros
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return x
}

type simulation struct {
	settings      Settings
	rng           *rand.Rand
	now           monotime.Micros
	nextOrder     uint64
	queue         eventQueue
	members       []*member
	byName        map[string]*member
	candidates    []string
	activeFaults  []*Fault
	recentlySpent []monotime.Micros // within the last second
	result        Result
	incarnations  uint64
}

// budget is the name of the one that is spent.
const budgetName = "tenant/one"

// Run plays.
func Run(s Settings) (*Result, error) {
	w := &simulation{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 11)), byName: map[string]*member{}}
	for i := range min(s.Candidates, s.Members) {
		w.candidates = append(w.candidates, memberName(i))
	}
	w.result.Seconds = make([]Second, max(1, (s.Duration+second-1)/second))
	for i := range s.Members {
		x := &member{index: i, name: memberName(i), demandFactor: 1, budgetUnits: s.Units, demandRate: s.Demand / float64(s.Members)}
		w.members = append(w.members, x)
		w.byName[x.name] = x
		if err := w.start(x); err != nil {
			return nil, err
		}
		w.scheduleDemand(x)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		if FaultKinds[f.Kind] == "" {
			return nil, fmt.Errorf("there is no fault %q", f.Kind)
		}
		w.schedule(f.Start, func() { w.startFault(f) })
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > s.Duration {
			break
		}
		w.now = e.at
		e.run()
	}
	w.summarize()
	return &w.result, nil
}

func memberName(i int) string { return fmt.Sprint("instance-", i) }

func (w *simulation) schedule(d monotime.Micros, do func()) {
	w.nextOrder++
	heap.Push(&w.queue, event{w.now + max(0, d), w.nextOrder, do})
}

// start starts a member's process.
func (w *simulation) start(x *member) error {
	w.incarnations++
	x.incarnation = w.incarnations
	x.clockRate = 1 + w.settings.Coordination.Quota.MaxClockDrift*(2*w.rng.Float64()-1)
	if w.settings.PlantedError == "slow clocks" && x.index%3 == 1 {
		x.clockRate = 0.5 // off by far more than what is stated
	}
	x.clockOrigin = float64(w.now) - 1e9*w.rng.Float64()
	x.running, x.stoppedUntil = true, 0
	m, err := w.newCoordinator(x)
	if err != nil {
		return err
	}
	x.coordinator = m
	if w.settings.PlantedError == "spends as it starts" {
		m.Start(x.localTime(w.now)-10*second, x.incarnation)
	} else {
		m.Start(x.localTime(w.now), x.incarnation)
	}
	w.processOutgoing(x)
	return nil
}

func (w *simulation) newCoordinator(x *member) (*coordination.Member, error) {
	f := w.settings.Coordination
	f.Self, f.Candidates, f.Seed = x.name, w.candidates, w.settings.Seed<<20+w.incarnations
	f.Quota.MaxInstances = w.settings.Members
	if w.settings.PlantedError == "two books" && x.index%2 == 1 {
		f.Candidates = []string{x.name}
	}
	if w.settings.PlantedError == "more than said" {
		f.Quota.MaxInstances = max(1, w.settings.Members/4)
	}
	m, err := coordination.New(f)
	if err == nil {
		m.SetBudget(budgetName, x.budgetUnits, false)
	}
	return m, err
}

// settle takes what a member says, and has it woken in time.
func (w *simulation) processOutgoing(x *member) {
	for _, o := range x.coordinator.TakeOutgoing() {
		w.transmit(x, o)
	}
	if at := x.trueTime(x.coordinator.NextTick()); x.wakeAt <= w.now || at < x.wakeAt {
		x.wakeAt = max(at, w.now+1)
		life := x.incarnation
		w.schedule(x.wakeAt-w.now, func() { w.tick(x, life) })
	}
}

func (w *simulation) tick(x *member, life uint64) {
	if !x.running || x.incarnation != life {
		return
	}
	if x.stoppedUntil > w.now {
		w.schedule(x.stoppedUntil-w.now, func() { w.tick(x, life) })
		return
	}
	x.coordinator.Tick(x.localTime(w.now))
	w.processOutgoing(x)
}
