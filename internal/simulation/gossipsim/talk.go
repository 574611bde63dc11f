// Package gossipsim plays the words between the instances of a fleet in simulated time: members (package decide/fleet) with clocks
// of their own rates, ways that lose, delay, double and cut, and what goes wrong with them. It checks in every second of true
// time that what all spend of each budget is within it, and tells how much of it is used and what the words cost. A run is a pure
// function of its settings. It does no I/O, and knows nothing of requests or endpoints.
package gossipsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings say what is played.
type Settings struct {
	Members      int
	Candidates   int
	Units        float64 // of the one budget
	Demand       float64 // of all together, in units a second
	Duration     monotime.Micros
	Seed         uint64
	Coordination coordination.Settings          // of each: names and seeds are filled in
	MessageSize  func(coordination.Message) int // of a word as it is carried; nil counts words alone
	Faults       []Fault
	PlantedError string // an error that is planted, by name (Plants); "" is none
}

// Shipped are the settings that hold where operators say no more (package config).
func DefaultSettings() coordination.Settings {
	return coordination.Settings{LeaseDuration: second, Quota: quota.Settings{Reserve: 0.1, LeaseDuration: 2 * second, RequestInterval: second / 4, MaxClockDrift: 0.005}}
}

// Fault is something that goes wrong.
type Fault struct {
	Kind     string // Faults has them
	Start    monotime.Micros
	Duration monotime.Micros // 0 is to the end
	Members  []int           // members
	Factor   float64
}

// Faults are the names of faults, with what each is.
var FaultKinds = map[string]string{
	"kill":     "they are killed, and start anew when it ends",
	"kills":    "they are killed and start anew, again and again, every Factor seconds",
	"stop":     "they are stopped, and woken when it ends",
	"slow":     "their words take Factor times as long as a loan to reach anybody",
	"split":    "nothing passes between them and the others",
	"deaf":     "nothing reaches them",
	"dumb":     "nothing that they say reaches anybody",
	"flap":     "nothing passes between them and the others in every other second",
	"unseen":   "nothing passes between the first of them and the last",
	"lossy":    "the part Factor of all words is lost, and as much comes twice, or late by up to two loans",
	"demand":   "they want Factor times what they wanted",
	"lies":     "they say that they want Factor times what they do",
	"budget":   "they are told that the budget has Factor times its units",
	"replaced": "another process takes the place of each",
}

// Plants are the errors that can be planted, for the checker to find.
var PlantedErrors = []string{"two books", "slow clocks", "spends as it starts", "more than said"}

// Second is what was spent in a second.
type Second struct{ Demanded, Spent int }

// Result is what a run came to.
type Result struct {
	MaxSpent             int // units spent within any second, at most
	MaxSpentAt           monotime.Micros
	UnitsExceeded        int // units that were beyond the budget
	Utilization          float64
	Seconds              []Second
	MessageRate          float64 // a second, of a member that keeps no book
	ByteRate             float64
	AllocatorMessageRate float64         // words a second of the one that keeps the book
	AllocatorByteRate    float64         // and bytes
	ConvergedAt          monotime.Micros // until nine tenths of the budget were spent in a second for the first time
}

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
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
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

// carry takes a word to whom it is for.
func (w *simulation) transmit(from *member, o coordination.Outgoing) {
	from.messagesSent++
	if w.settings.MessageSize != nil {
		from.bytesSent += w.settings.MessageSize(o.Message)
	}
	if o.Message.Request != nil && from.demandFactor != 1 {
		for i := range o.Message.Request.Demands {
			o.Message.Request.Demands[i].Requested *= from.demandFactor
		}
	}
	to := w.byName[o.To]
	if to == nil {
		return
	}
	delay, copies := monotime.Micros(200+1000*w.rng.ExpFloat64()), 1
	for _, f := range w.activeFaults {
		switch f.Kind {
		case "lossy":
			if w.rng.Float64() < f.Factor {
				copies--
			}
			if w.rng.Float64() < f.Factor {
				copies++
			}
			if w.rng.Float64() < f.Factor {
				delay += monotime.Micros(w.rng.Float64() * 2 * float64(w.settings.Coordination.Quota.LeaseDuration))
			}
		case "slow":
			if slices.Contains(f.Members, from.index) {
				delay += monotime.Micros(f.Factor * float64(w.settings.Coordination.Quota.LeaseDuration))
			}
		}
	}
	for range copies {
		w.schedule(delay+w.rng.Int64N(100), func() { w.deliver(from, to, o.Message) })
	}
}

// cut says whether nothing passes from one member to another now.
func (w *simulation) partitioned(from, to *member) bool {
	for _, f := range w.activeFaults {
		a, b := slices.Contains(f.Members, from.index), slices.Contains(f.Members, to.index)
		switch f.Kind {
		case "split":
			if a != b {
				return true
			}
		case "flap":
			if a != b && (w.now-f.Start)/second%2 == 0 {
				return true
			}
		case "deaf":
			if b {
				return true
			}
		case "dumb":
			if a {
				return true
			}
		case "unseen":
			first, last := f.Members[0], f.Members[len(f.Members)-1]
			if from.index == first && to.index == last || from.index == last && to.index == first {
				return true
			}
		}
	}
	return false
}

func (w *simulation) deliver(from, to *member, word coordination.Message) {
	if !to.running || w.partitioned(from, to) {
		return
	}
	if to.stoppedUntil > w.now {
		life := to.incarnation
		w.schedule(to.stoppedUntil-w.now, func() {
			if to.incarnation == life {
				w.deliver(from, to, word)
			}
		})
		return
	}
	to.coordinator.Receive(to.localTime(w.now), from.name, word)
	w.processOutgoing(to)
}

// ---- Demand and what is spent ------------------------------------------------

func (w *simulation) scheduleDemand(x *member) {
	if x.demandRate <= 0 {
		return
	}
	w.schedule(monotime.Micros(w.rng.ExpFloat64()/x.demandRate*float64(second)), func() {
		w.requestUnit(x)
		w.scheduleDemand(x)
	})
}

func (w *simulation) requestUnit(x *member) {
	at := &w.result.Seconds[min(int(w.now/second), len(w.result.Seconds)-1)]
	at.Demanded++
	if !x.running || x.stoppedUntil > w.now {
		return
	}
	local := x.localTime(w.now)
	x.coordinator.RecordDemand(local, budgetName)
	if !x.coordinator.Spend(local, budgetName) {
		return
	}
	at.Spent++
	w.recentlySpent = append(w.recentlySpent, w.now)
	n := 0
	for w.recentlySpent[n] <= w.now-second {
		n++
	}
	w.recentlySpent = w.recentlySpent[n:]
	if len(w.recentlySpent) > w.result.MaxSpent {
		w.result.MaxSpent, w.result.MaxSpentAt = len(w.recentlySpent), w.now
	}
	if float64(len(w.recentlySpent)) > w.maxBudget() {
		w.result.UnitsExceeded++
	}
}

// most is what the budget is at most by anybody's file now, or was within the time in which a change spreads.
func (w *simulation) maxBudget() float64 {
	most := w.settings.Units
	for i := range w.settings.Faults {
		if f := &w.settings.Faults[i]; f.Kind == "budget" {
			most = max(most, w.settings.Units*f.Factor)
		}
	}
	return most
}

// ---- What goes wrong ---------------------------------------------------------

func (w *simulation) startFault(f *Fault) {
	w.activeFaults = append(w.activeFaults, f)
	until := f.Duration
	if f.Duration == 0 {
		until = w.settings.Duration
	}
	for _, n := range f.Members {
		x := w.members[n]
		switch f.Kind {
		case "kill", "kills":
			w.kill(x)
		case "stop":
			x.stoppedUntil = w.now + until
		case "demand":
			was := x.demandRate
			x.demandRate = was * f.Factor
			if was == 0 {
				x.demandRate = f.Factor
				w.scheduleDemand(x)
			}
		case "lies":
			x.demandFactor = f.Factor
		case "budget":
			x.budgetUnits = w.settings.Units * f.Factor
			if x.running {
				x.coordinator.SetBudget(budgetName, x.budgetUnits, false)
			}
		case "replaced":
			w.replace(x)
		}
	}
	if f.Kind == "kills" {
		every := monotime.Micros(f.Factor * float64(second))
		var turn func()
		turn = func() {
			if w.now >= f.Start+until {
				return
			}
			for _, n := range f.Members {
				w.kill(w.members[n])
				w.start(w.members[n])
			}
			w.schedule(every, turn)
		}
		w.schedule(every, turn)
	}
	if f.Duration > 0 {
		w.schedule(f.Duration, func() { w.endFault(f) })
	}
}

func (w *simulation) kill(x *member) {
	x.running = false
	x.incarnation = 0
}

// replace has another process take a member's place: what was said to the former is heard by none.
func (w *simulation) replace(x *member) {
	if !x.running || x.stoppedUntil > w.now {
		return
	}
	w.processOutgoing(x)
	state := x.coordinator.HandOver(x.localTime(w.now))
	for _, o := range x.coordinator.TakeOutgoing() {
		w.transmit(x, o)
	}
	w.incarnations++
	x.incarnation = w.incarnations
	m, err := w.newCoordinator(x)
	if err != nil {
		panic(err) // the same settings were taken before
	}
	x.coordinator, x.wakeAt = m, 0
	m.Restore(x.localTime(w.now), 0, x.incarnation, state)
	w.processOutgoing(x)
}

func (w *simulation) endFault(f *Fault) {
	w.activeFaults = slices.DeleteFunc(w.activeFaults, func(o *Fault) bool { return o == f })
	for _, n := range f.Members {
		x := w.members[n]
		switch f.Kind {
		case "kill", "kills":
			if !x.running {
				w.start(x)
			}
		case "demand":
			x.demandRate /= f.Factor
		case "lies":
			x.demandFactor = 1
		case "budget":
			x.budgetUnits = w.settings.Units
			if x.running {
				x.coordinator.SetBudget(budgetName, x.budgetUnits, false)
			}
		}
	}
}

// sumUp makes the figures that are of the whole run.
func (w *simulation) summarize() {
	r := &w.result
	var could, spent int
	for i, s := range r.Seconds {
		most := int(w.settings.Units)
		could += min(s.Demanded, most)
		spent += min(s.Spent, most)
		if r.ConvergedAt == 0 && 10*s.Spent >= 9*min(s.Demanded, most) {
			r.ConvergedAt = monotime.Micros(i+1) * second
		}
	}
	r.Utilization = 1
	if could > 0 {
		r.Utilization = float64(spent) / float64(could)
	}
	length := float64(w.settings.Duration) / float64(second)
	others := 0
	for _, x := range w.members {
		words, size := float64(x.messagesSent)/length, float64(x.bytesSent)/length
		if words > r.AllocatorMessageRate {
			r.AllocatorMessageRate, r.AllocatorByteRate = words, size
		}
		if x.index >= len(w.candidates) {
			r.MessageRate += words
			r.ByteRate += size
			others++
		}
	}
	r.MessageRate /= float64(max(1, others))
	r.ByteRate /= float64(max(1, others))
}

// Cases are the hard cases, each with what goes wrong in a run of so many members.
func HardCases(members int) map[string][]Fault {
	half, third := make([]int, 0, members), make([]int, 0, members)
	all := make([]int, 0, members)
	for i := range members {
		all = append(all, i)
		if i%2 == 0 {
			half = append(half, i)
		}
		if i%3 == 0 {
			third = append(third, i)
		}
	}
	const at, long = 10 * second, 12 * second
	lenders := all[:min(3, members)]
	one, rest := all[members-1:], all[:members-1]
	last := []int{0, members - 1}
	return map[string][]Fault{
		"calm":                 nil,
		"lenders killed":       {{Kind: "kill", Start: at, Duration: 2 * second, Members: lenders[:1]}, {Kind: "kill", Start: at + 6*second, Duration: second, Members: lenders[min(1, len(lenders)-1):min(2, len(lenders))]}},
		"lenders stopped":      {{Kind: "stop", Start: at, Duration: 7 * second, Members: lenders[:1]}, {Kind: "stop", Start: at + 3*second, Duration: 7 * second, Members: lenders[min(1, len(lenders)-1):]}},
		"lenders slow":         {{Kind: "slow", Start: at, Duration: long, Members: lenders, Factor: 0.3}},
		"split in halves":      {{Kind: "split", Start: at, Duration: long, Members: half}},
		"one and the rest":     {{Kind: "split", Start: at, Duration: long, Members: one}},
		"lenders and the rest": {{Kind: "split", Start: at, Duration: long, Members: lenders}},
		"split in three":       {{Kind: "split", Start: at, Duration: long, Members: half}, {Kind: "split", Start: at + second, Duration: long, Members: third}},
		"one way":              {{Kind: "deaf", Start: at, Duration: long, Members: lenders[:1]}, {Kind: "dumb", Start: at + long, Duration: long, Members: lenders[:1]}},
		"flapping":             {{Kind: "flap", Start: at, Duration: long, Members: half}},
		"seen by some":         {{Kind: "unseen", Start: at, Duration: long, Members: last}},
		"late, twice, lost":    {{Kind: "lossy", Start: 0, Duration: 25 * second, Factor: 0.2}},
		"all start at once":    {{Kind: "kill", Start: at, Duration: second, Members: all}},
		"killed ten times":     {{Kind: "kills", Start: at, Duration: 20 * second, Members: half, Factor: 2}},
		"stopped and woken":    {{Kind: "stop", Start: at, Duration: 5 * second, Members: rest}},
		"a liar":               {{Kind: "lies", Start: 0, Members: one, Factor: 1000}},
		"demand moves":         {{Kind: "demand", Start: at, Members: half, Factor: 0.05}, {Kind: "demand", Start: at, Members: one, Factor: 8}},
		"half have less":       {{Kind: "budget", Start: at, Members: half, Factor: 0.5}},
		"one after another":    {{Kind: "replaced", Start: at, Members: half}, {Kind: "replaced", Start: at + 2*second, Members: lenders}, {Kind: "replaced", Start: at + 2*second + 1, Members: half}},
	}
}

// Random draws what goes wrong: up to eight faults of any kind.
func RandomFaults(seed uint64, members int, length monotime.Micros) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 13))
	kinds := make([]string, 0, len(FaultKinds))
	for what := range FaultKinds {
		kinds = append(kinds, what)
	}
	slices.Sort(kinds)
	for range 1 + rng.IntN(8) {
		f := Fault{Kind: kinds[rng.IntN(len(kinds))], Start: rng.Int64N(length), Duration: 1 + rng.Int64N(8*second)}
		for _, n := range rng.Perm(members)[:1+rng.IntN(members)] {
			f.Members = append(f.Members, n)
		}
		switch f.Kind {
		case "kills":
			f.Factor = 0.5 + 2*rng.Float64()
		case "slow":
			f.Factor = 1.5 * rng.Float64()
		case "lossy":
			f.Factor = 0.4 * rng.Float64()
		case "demand":
			f.Factor = 3 * rng.Float64()
		case "lies":
			f.Factor = 1000
		case "budget":
			f.Factor = 0.2 + 1.3*rng.Float64()
		}
		all = append(all, f)
	}
	return all
}
