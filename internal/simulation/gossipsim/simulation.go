package gossipsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// budgetName is the name of the only budget of a run.
const budgetName = "tenant/one"

// member is a simulated instance.
type member struct {
	index        int
	name         string
	coordinator  *coordination.Member
	running      bool
	stoppedUntil monotime.Micros
	clockRate    float64
	clockOrigin  float64         // true time at which the member's clock is 0
	demandRate   float64         // units that the member demands a second
	demandFactor float64         // factor by which the member overstates its demand to the allocator
	budgetUnits  float64         // units of the budget in the member's configuration
	incarnation  uint64          // incarnation of the running process; 0 while the process is killed
	nextTickAt   monotime.Micros // instant for which the next tick is scheduled
	messagesSent int
	bytesSent    int
}

// localTime returns the time of the member's clock at an instant of true time.
func (x *member) localTime(at monotime.Micros) monotime.Micros {
	return monotime.Micros((float64(at) - x.clockOrigin) * x.clockRate)
}

// trueTime returns the true time at which the member's clock shows the given time.
func (x *member) trueTime(localTime monotime.Micros) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(localTime)/x.clockRate + x.clockOrigin))
}

// simulation is the state of a run of the simulation.
type simulation struct {
	settings            Settings
	rng                 *rand.Rand
	now                 monotime.Micros
	lastSequence        uint64 // sequence number of the event that was scheduled last
	queue               eventHeap
	members             []*member
	byName              map[string]*member
	candidates          []string
	activeFaults        []*Fault
	recentlySpent       []monotime.Micros // instants at which units were spent within the last second
	startedIncarnations uint64            // number of incarnations that have started
	result              Result
}

// Run executes a simulation. It returns an error for an unknown kind of fault, or for settings that are out of
// range.
func Run(settings Settings) (*Result, error) {
	sim := &simulation{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 11)), byName: map[string]*member{}}
	for i := range min(settings.Candidates, settings.Members) {
		sim.candidates = append(sim.candidates, memberName(i))
	}
	sim.result.Seconds = make([]Second, max(1, (settings.Duration+second-1)/second))
	for i := range settings.Members {
		if err := sim.addMember(i); err != nil {
			return nil, err
		}
	}
	for i := range settings.Faults {
		fault := &settings.Faults[i]
		if FaultKinds[fault.Kind] == "" {
			return nil, fmt.Errorf("unknown kind of fault: %q", fault.Kind)
		}
		sim.schedule(fault.Start, func() { sim.startFault(fault) })
	}
	for len(sim.queue) > 0 {
		nextEvent := heap.Pop(&sim.queue).(scheduledEvent)
		if nextEvent.at > settings.Duration {
			break
		}
		sim.now = nextEvent.at
		nextEvent.run()
	}
	sim.summarize()
	return &sim.result, nil
}

// memberName returns the name of the i-th member.
func memberName(i int) string { return fmt.Sprint("instance-", i) }

// addMember adds a member, starts its process, and schedules its demand.
func (sim *simulation) addMember(index int) error {
	x := &member{
		index:        index,
		name:         memberName(index),
		demandFactor: 1,
		budgetUnits:  sim.settings.BudgetRate,
		demandRate:   sim.settings.DemandRate / float64(sim.settings.Members),
	}
	sim.members = append(sim.members, x)
	sim.byName[x.name] = x
	if err := sim.start(x); err != nil {
		return err
	}
	sim.scheduleDemand(x)
	return nil
}

// start starts a member's process, with a new clock of random rate and origin.
func (sim *simulation) start(x *member) error {
	sim.startedIncarnations++
	x.incarnation = sim.startedIncarnations
	x.clockRate = 1 + sim.settings.Coordination.Quota.MaxClockDrift*(2*sim.rng.Float64()-1)
	if sim.settings.PlantedError == slowClocks && x.index%slowClockEvery == 1 {
		x.clockRate = slowClockRate
	}
	x.clockOrigin = float64(sim.now) - 1e9*sim.rng.Float64()
	x.running = true
	x.stoppedUntil = 0
	coordinator, err := sim.newCoordinator(x)
	if err != nil {
		return err
	}
	x.coordinator = coordinator
	startedAt := x.localTime(sim.now)
	if sim.settings.PlantedError == spendsOnStart {
		startedAt -= 10 * second
	}
	coordinator.Start(startedAt, x.incarnation)
	sim.processOutgoing(x)
	return nil
}

// newCoordinator creates the coordination state of a member, with the planted error if the run has one.
func (sim *simulation) newCoordinator(x *member) (*coordination.Member, error) {
	settings := sim.settings.Coordination
	settings.Self = x.name
	settings.Candidates = sim.candidates
	settings.Seed = sim.settings.Seed<<20 + sim.startedIncarnations
	settings.Quota.MaxInstances = sim.settings.Members
	if sim.settings.PlantedError == twoAllocators && x.index%2 == 1 {
		settings.Candidates = []string{x.name}
	}
	if sim.settings.PlantedError == tooManyMembers {
		settings.Quota.MaxInstances = max(1, sim.settings.Members/membersPerMaxInstance)
	}
	coordinator, err := coordination.New(settings)
	if err == nil {
		coordinator.SetBudget(budgetName, x.budgetUnits, false)
	}
	return coordinator, err
}

// processOutgoing transmits a member's outgoing messages and schedules its next tick.
func (sim *simulation) processOutgoing(x *member) {
	for _, outgoing := range x.coordinator.TakeOutgoing() {
		sim.transmit(x, outgoing)
	}
	if tickAt := x.trueTime(x.coordinator.NextTick()); x.nextTickAt <= sim.now || tickAt < x.nextTickAt {
		x.nextTickAt = max(tickAt, sim.now+1)
		incarnation := x.incarnation
		sim.schedule(x.nextTickAt-sim.now, func() { sim.tick(x, incarnation) })
	}
}

// tick runs a member's timers, unless the process has ended since the tick was scheduled. A stopped member
// ticks when it resumes.
func (sim *simulation) tick(x *member, incarnation uint64) {
	if !x.running || x.incarnation != incarnation {
		return
	}
	if x.stoppedUntil > sim.now {
		sim.schedule(x.stoppedUntil-sim.now, func() { sim.tick(x, incarnation) })
		return
	}
	x.coordinator.Tick(x.localTime(sim.now))
	sim.processOutgoing(x)
}

// ---- Events ----------------------------------------------------------------

// schedule runs a function after a delay. Functions for the same instant run in the order in which they were
// scheduled.
func (sim *simulation) schedule(delay monotime.Micros, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, scheduledEvent{sim.now + max(0, delay), sim.lastSequence, run})
}

// scheduledEvent is a function that runs at an instant; sequence orders the functions of the same instant.
type scheduledEvent struct {
	at       monotime.Micros
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface; the earliest event is first.
type eventHeap []scheduledEvent

func (q eventHeap) Len() int { return len(q) }

func (q eventHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventHeap) Swap(i, j int) {
	first := q[i]
	q[i] = q[j]
	q[j] = first
}

func (q *eventHeap) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventHeap) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = scheduledEvent{}
	*q = (*q)[:last]
	return x
}
