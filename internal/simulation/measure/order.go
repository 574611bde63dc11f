package measure

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// World is what a run's endpoints and instances could do, as far as a plan says.
type World struct {
	Capacity func(at monotime.Micros) float64            // useful work that all endpoints can do in a microsecond
	Reached  func(instance int, at monotime.Micros) bool // whether an instance takes requests
}

// work is the work of a class's stories that began in a second, and what of it was served.
type work struct{ asked, served, worth float64 }

// weigher counts work, second by second and class by class.
type weigher struct {
	world   World
	seconds [][]work
}

// World tells what the run's endpoints and instances could do.
func (m *Meter) World(w World) {
	m.weigher = &weigher{world: w, seconds: make([][]work, len(m.seconds))}
	for i := range m.weigher.seconds {
		m.weigher.seconds[i] = make([]work, len(m.judge.Classes))
	}
}

// done takes in a story. What began at an instance that takes nothing could not be served: it is left out.
func (x *weigher) done(s *simclient.Story, worth float64, inAim bool) {
	if x == nil || !x.world.Reached(s.Instance, s.Began) {
		return
	}
	w := &x.seconds[min(s.Began/second, monotime.Micros(len(x.seconds)-1))][s.Class]
	w.asked += float64(s.Work)
	w.worth += worth
	if inAim {
		w.served += float64(s.Work)
	}
}

// figures adds how much was served of what could have been, and how far the order was kept. In each second at best the
// classes of most worth for their work are served as far as the endpoints' work goes. Out of order is, in a second, what was
// not served of the better classes while worse ones were, at the division into better and worse at which that is most.
func (x *weigher) figures(f map[string]float64, earned float64) {
	f["of_could"], f["out_of_order"] = 1, 0
	if x == nil {
		return
	}
	var could, wrong, all float64
	for i, classes := range x.seconds {
		left := x.world.Capacity(monotime.Micros(i)*second+second/2) * float64(second)
		order := slices.Clone(classes)
		slices.SortFunc(order, func(a, b work) int {
			return cmp.Compare(b.worth*max(1, a.asked), a.worth*max(1, b.asked))
		})
		var worst, missed, below float64
		for _, w := range order {
			below += w.served
		}
		for _, w := range order {
			take := min(left, w.asked)
			left -= take
			if w.asked > 0 {
				could += w.worth * take / w.asked
			}
			missed += w.asked - w.served
			below -= w.served
			worst = max(worst, min(missed, below))
			all += w.asked
		}
		wrong += worst
	}
	if could > 0 {
		f["of_could"] = earned / could
	}
	if all > 0 {
		f["out_of_order"] = wrong / all
	}
}
