package gossipsim

import (
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

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
