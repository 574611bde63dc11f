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
	Members int
	Lenders int
	Units   float64 // of the one budget
	Demand  float64 // of all together, in units a second
	Length  monotime.Micros
	Seed    uint64
	Fleet   coordination.Settings          // of each: names and seeds are filled in
	Size    func(coordination.Message) int // of a word as it is carried; nil counts words alone
	Faults  []Fault
	Plant   string // an error that is planted, by name (Plants); "" is none
}

// Shipped are the settings that hold where operators say no more (package config).
func Shipped() coordination.Settings {
	return coordination.Settings{LeaseDuration: second, Quota: quota.Settings{Reserve: 0.1, LeaseDuration: 2 * second, RequestInterval: second / 4, MaxClockDrift: 0.005}}
}

// Fault is something that goes wrong.
type Fault struct {
	What   string // Faults has them
	At     monotime.Micros
	For    monotime.Micros // 0 is to the end
	Of     []int           // members
	Factor float64
}

// Faults are the names of faults, with what each is.
var Faults = map[string]string{
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
var Plants = []string{"two books", "slow clocks", "spends as it starts", "more than said"}

// Second is what was spent in a second.
type Second struct{ Wanted, Spent int }

// Result is what a run came to.
type Result struct {
	Worst    int // units spent within any second, at most
	WorstAt  monotime.Micros
	Breaches int // units that were beyond the budget
	Use      float64
	Seconds  []Second
	Words    float64 // a second, of a member that keeps no book
	Bytes    float64
	BookOut  float64         // words a second of the one that keeps the book
	BookSize float64         // and bytes
	Settled  monotime.Micros // until nine tenths of the budget were spent in a second for the first time
}

type member struct {
	n      int
	name   string
	m      *coordination.Member
	up     bool
	asleep monotime.Micros // until then
	rate   float64
	zero   float64 // true instant at which its clock is 0
	wants  float64 // units a second
	says   float64 // times what it wants
	units  float64
	life   uint64
	wakeAt monotime.Micros
	words  int
	bytes  int
}

func (x *member) clock(at monotime.Micros) monotime.Micros {
	return monotime.Micros((float64(at) - x.zero) * x.rate)
}

func (x *member) world(local monotime.Micros) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(local)/x.rate + x.zero))
}

type event struct {
	at    monotime.Micros
	order uint64
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return x
}

type world struct {
	s       Settings
	rng     *rand.Rand
	now     monotime.Micros
	order   uint64
	queue   events
	members []*member
	byName  map[string]*member
	lenders []string
	active  []*Fault
	spent   []monotime.Micros // within the last second
	result  Result
	lives   uint64
}

// budget is the name of the one that is spent.
const budget = "tenant/one"

// Run plays.
func Run(s Settings) (*Result, error) {
	w := &world{s: s, rng: rand.New(rand.NewPCG(s.Seed, 11)), byName: map[string]*member{}}
	for i := range min(s.Lenders, s.Members) {
		w.lenders = append(w.lenders, name(i))
	}
	w.result.Seconds = make([]Second, max(1, (s.Length+second-1)/second))
	for i := range s.Members {
		x := &member{n: i, name: name(i), says: 1, units: s.Units, wants: s.Demand / float64(s.Members)}
		w.members = append(w.members, x)
		w.byName[x.name] = x
		if err := w.start(x); err != nil {
			return nil, err
		}
		w.demand(x)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		if Faults[f.What] == "" {
			return nil, fmt.Errorf("there is no fault %q", f.What)
		}
		w.after(f.At, func() { w.begins(f) })
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > s.Length {
			break
		}
		w.now = e.at
		e.do()
	}
	w.sumUp()
	return &w.result, nil
}

func name(i int) string { return fmt.Sprint("instance-", i) }

func (w *world) after(d monotime.Micros, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + max(0, d), w.order, do})
}

// start starts a member's process.
func (w *world) start(x *member) error {
	w.lives++
	x.life = w.lives
	x.rate = 1 + w.s.Fleet.Quota.MaxClockDrift*(2*w.rng.Float64()-1)
	if w.s.Plant == "slow clocks" && x.n%3 == 1 {
		x.rate = 0.5 // off by far more than what is stated
	}
	x.zero = float64(w.now) - 1e9*w.rng.Float64()
	x.up, x.asleep = true, 0
	m, err := w.member(x)
	if err != nil {
		return err
	}
	x.m = m
	if w.s.Plant == "spends as it starts" {
		m.Start(x.clock(w.now)-10*second, x.life)
	} else {
		m.Start(x.clock(w.now), x.life)
	}
	w.settle(x)
	return nil
}

func (w *world) member(x *member) (*coordination.Member, error) {
	f := w.s.Fleet
	f.Self, f.Candidates, f.Seed = x.name, w.lenders, w.s.Seed<<20+w.lives
	f.Quota.MaxInstances = w.s.Members
	if w.s.Plant == "two books" && x.n%2 == 1 {
		f.Candidates = []string{x.name}
	}
	if w.s.Plant == "more than said" {
		f.Quota.MaxInstances = max(1, w.s.Members/4)
	}
	m, err := coordination.New(f)
	if err == nil {
		m.SetBudget(budget, x.units, false)
	}
	return m, err
}

// settle takes what a member says, and has it woken in time.
func (w *world) settle(x *member) {
	for _, o := range x.m.TakeOutgoing() {
		w.carry(x, o)
	}
	if at := x.world(x.m.NextTick()); x.wakeAt <= w.now || at < x.wakeAt {
		x.wakeAt = max(at, w.now+1)
		life := x.life
		w.after(x.wakeAt-w.now, func() { w.wake(x, life) })
	}
}

func (w *world) wake(x *member, life uint64) {
	if !x.up || x.life != life {
		return
	}
	if x.asleep > w.now {
		w.after(x.asleep-w.now, func() { w.wake(x, life) })
		return
	}
	x.m.Tick(x.clock(w.now))
	w.settle(x)
}

// carry takes a word to whom it is for.
func (w *world) carry(from *member, o coordination.Outgoing) {
	from.words++
	if w.s.Size != nil {
		from.bytes += w.s.Size(o.Message)
	}
	if o.Message.Request != nil && from.says != 1 {
		for i := range o.Message.Request.Demands {
			o.Message.Request.Demands[i].Requested *= from.says
		}
	}
	to := w.byName[o.To]
	if to == nil {
		return
	}
	delay, copies := monotime.Micros(200+1000*w.rng.ExpFloat64()), 1
	for _, f := range w.active {
		switch f.What {
		case "lossy":
			if w.rng.Float64() < f.Factor {
				copies--
			}
			if w.rng.Float64() < f.Factor {
				copies++
			}
			if w.rng.Float64() < f.Factor {
				delay += monotime.Micros(w.rng.Float64() * 2 * float64(w.s.Fleet.Quota.LeaseDuration))
			}
		case "slow":
			if slices.Contains(f.Of, from.n) {
				delay += monotime.Micros(f.Factor * float64(w.s.Fleet.Quota.LeaseDuration))
			}
		}
	}
	for range copies {
		w.after(delay+w.rng.Int64N(100), func() { w.arrive(from, to, o.Message) })
	}
}

// cut says whether nothing passes from one member to another now.
func (w *world) cut(from, to *member) bool {
	for _, f := range w.active {
		a, b := slices.Contains(f.Of, from.n), slices.Contains(f.Of, to.n)
		switch f.What {
		case "split":
			if a != b {
				return true
			}
		case "flap":
			if a != b && (w.now-f.At)/second%2 == 0 {
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
			first, last := f.Of[0], f.Of[len(f.Of)-1]
			if from.n == first && to.n == last || from.n == last && to.n == first {
				return true
			}
		}
	}
	return false
}

func (w *world) arrive(from, to *member, word coordination.Message) {
	if !to.up || w.cut(from, to) {
		return
	}
	if to.asleep > w.now {
		life := to.life
		w.after(to.asleep-w.now, func() {
			if to.life == life {
				w.arrive(from, to, word)
			}
		})
		return
	}
	to.m.Receive(to.clock(w.now), from.name, word)
	w.settle(to)
}

// ---- Demand and what is spent ------------------------------------------------

func (w *world) demand(x *member) {
	if x.wants <= 0 {
		return
	}
	w.after(monotime.Micros(w.rng.ExpFloat64()/x.wants*float64(second)), func() {
		w.want(x)
		w.demand(x)
	})
}

func (w *world) want(x *member) {
	at := &w.result.Seconds[min(int(w.now/second), len(w.result.Seconds)-1)]
	at.Wanted++
	if !x.up || x.asleep > w.now {
		return
	}
	local := x.clock(w.now)
	x.m.RecordDemand(local, budget)
	if !x.m.Spend(local, budget) {
		return
	}
	at.Spent++
	w.spent = append(w.spent, w.now)
	n := 0
	for w.spent[n] <= w.now-second {
		n++
	}
	w.spent = w.spent[n:]
	if len(w.spent) > w.result.Worst {
		w.result.Worst, w.result.WorstAt = len(w.spent), w.now
	}
	if float64(len(w.spent)) > w.most() {
		w.result.Breaches++
	}
}

// most is what the budget is at most by anybody's file now, or was within the time in which a change spreads.
func (w *world) most() float64 {
	most := w.s.Units
	for i := range w.s.Faults {
		if f := &w.s.Faults[i]; f.What == "budget" {
			most = max(most, w.s.Units*f.Factor)
		}
	}
	return most
}

// ---- What goes wrong ---------------------------------------------------------

func (w *world) begins(f *Fault) {
	w.active = append(w.active, f)
	until := f.For
	if f.For == 0 {
		until = w.s.Length
	}
	for _, n := range f.Of {
		x := w.members[n]
		switch f.What {
		case "kill", "kills":
			w.kill(x)
		case "stop":
			x.asleep = w.now + until
		case "demand":
			was := x.wants
			x.wants = was * f.Factor
			if was == 0 {
				x.wants = f.Factor
				w.demand(x)
			}
		case "lies":
			x.says = f.Factor
		case "budget":
			x.units = w.s.Units * f.Factor
			if x.up {
				x.m.SetBudget(budget, x.units, false)
			}
		case "replaced":
			w.replace(x)
		}
	}
	if f.What == "kills" {
		every := monotime.Micros(f.Factor * float64(second))
		var turn func()
		turn = func() {
			if w.now >= f.At+until {
				return
			}
			for _, n := range f.Of {
				w.kill(w.members[n])
				w.start(w.members[n])
			}
			w.after(every, turn)
		}
		w.after(every, turn)
	}
	if f.For > 0 {
		w.after(f.For, func() { w.ends(f) })
	}
}

func (w *world) kill(x *member) {
	x.up = false
	x.life = 0
}

// replace has another process take a member's place: what was said to the former is heard by none.
func (w *world) replace(x *member) {
	if !x.up || x.asleep > w.now {
		return
	}
	w.settle(x)
	state := x.m.HandOver(x.clock(w.now))
	for _, o := range x.m.TakeOutgoing() {
		w.carry(x, o)
	}
	w.lives++
	x.life = w.lives
	m, err := w.member(x)
	if err != nil {
		panic(err) // the same settings were taken before
	}
	x.m, x.wakeAt = m, 0
	m.Restore(x.clock(w.now), 0, x.life, state)
	w.settle(x)
}

func (w *world) ends(f *Fault) {
	w.active = slices.DeleteFunc(w.active, func(o *Fault) bool { return o == f })
	for _, n := range f.Of {
		x := w.members[n]
		switch f.What {
		case "kill", "kills":
			if !x.up {
				w.start(x)
			}
		case "demand":
			x.wants /= f.Factor
		case "lies":
			x.says = 1
		case "budget":
			x.units = w.s.Units
			if x.up {
				x.m.SetBudget(budget, x.units, false)
			}
		}
	}
}

// sumUp makes the figures that are of the whole run.
func (w *world) sumUp() {
	r := &w.result
	var could, spent int
	for i, s := range r.Seconds {
		most := int(w.s.Units)
		could += min(s.Wanted, most)
		spent += min(s.Spent, most)
		if r.Settled == 0 && 10*s.Spent >= 9*min(s.Wanted, most) {
			r.Settled = monotime.Micros(i+1) * second
		}
	}
	r.Use = 1
	if could > 0 {
		r.Use = float64(spent) / float64(could)
	}
	length := float64(w.s.Length) / float64(second)
	others := 0
	for _, x := range w.members {
		words, size := float64(x.words)/length, float64(x.bytes)/length
		if words > r.BookOut {
			r.BookOut, r.BookSize = words, size
		}
		if x.n >= len(w.lenders) {
			r.Words += words
			r.Bytes += size
			others++
		}
	}
	r.Words /= float64(max(1, others))
	r.Bytes /= float64(max(1, others))
}

// Cases are the hard cases, each with what goes wrong in a run of so many members.
func Cases(members int) map[string][]Fault {
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
		"lenders killed":       {{What: "kill", At: at, For: 2 * second, Of: lenders[:1]}, {What: "kill", At: at + 6*second, For: second, Of: lenders[min(1, len(lenders)-1):min(2, len(lenders))]}},
		"lenders stopped":      {{What: "stop", At: at, For: 7 * second, Of: lenders[:1]}, {What: "stop", At: at + 3*second, For: 7 * second, Of: lenders[min(1, len(lenders)-1):]}},
		"lenders slow":         {{What: "slow", At: at, For: long, Of: lenders, Factor: 0.3}},
		"split in halves":      {{What: "split", At: at, For: long, Of: half}},
		"one and the rest":     {{What: "split", At: at, For: long, Of: one}},
		"lenders and the rest": {{What: "split", At: at, For: long, Of: lenders}},
		"split in three":       {{What: "split", At: at, For: long, Of: half}, {What: "split", At: at + second, For: long, Of: third}},
		"one way":              {{What: "deaf", At: at, For: long, Of: lenders[:1]}, {What: "dumb", At: at + long, For: long, Of: lenders[:1]}},
		"flapping":             {{What: "flap", At: at, For: long, Of: half}},
		"seen by some":         {{What: "unseen", At: at, For: long, Of: last}},
		"late, twice, lost":    {{What: "lossy", At: 0, For: 25 * second, Factor: 0.2}},
		"all start at once":    {{What: "kill", At: at, For: second, Of: all}},
		"killed ten times":     {{What: "kills", At: at, For: 20 * second, Of: half, Factor: 2}},
		"stopped and woken":    {{What: "stop", At: at, For: 5 * second, Of: rest}},
		"a liar":               {{What: "lies", At: 0, Of: one, Factor: 1000}},
		"demand moves":         {{What: "demand", At: at, Of: half, Factor: 0.05}, {What: "demand", At: at, Of: one, Factor: 8}},
		"half have less":       {{What: "budget", At: at, Of: half, Factor: 0.5}},
		"one after another":    {{What: "replaced", At: at, Of: half}, {What: "replaced", At: at + 2*second, Of: lenders}, {What: "replaced", At: at + 2*second + 1, Of: half}},
	}
}

// Random draws what goes wrong: up to eight faults of any kind.
func Random(seed uint64, members int, length monotime.Micros) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 13))
	kinds := make([]string, 0, len(Faults))
	for what := range Faults {
		kinds = append(kinds, what)
	}
	slices.Sort(kinds)
	for range 1 + rng.IntN(8) {
		f := Fault{What: kinds[rng.IntN(len(kinds))], At: rng.Int64N(length), For: 1 + rng.Int64N(8*second)}
		for _, n := range rng.Perm(members)[:1+rng.IntN(members)] {
			f.Of = append(f.Of, n)
		}
		switch f.What {
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
