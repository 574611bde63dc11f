package maintenance

import (
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// Report is what an instance says of how far it obeys, and the question for its next order.
type Report struct {
	Life    uint64         `json:"Life"`
	Number  uint64         `json:"Number"`  // of the report; they grow
	Version uint64         `json:"Version"` // of the order that it obeys; 0 is none yet
	Open    map[string]int `json:"Open"`    // of machines that nothing new may go to: what is still open there
}

// Told answers a Report with the order, which holds for so long from when the report went out.
type Told struct {
	Life   uint64          `json:"Life"`
	Number uint64          `json:"Number"`
	Order  Order           `json:"Order"`
	Lease  monotime.Micros `json:"Lease"`
}

// Duty is what one instance has to obey. Make one with NewDuty.
type Duty struct {
	s     Settings
	life  uint64
	order Order
	heard bool
	until monotime.Micros // the order holds
	sent  [8]struct {
		number uint64
		at     monotime.Micros
	}
	number uint64
}

// NewDuty returns the duty of a process that has heard nothing: until it has, it must send nowhere.
func NewDuty(s Settings, life uint64) (*Duty, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Duty{s: s, life: life}, nil
}

// Heard says whether it has heard an order at all.
func (d *Duty) Heard() bool { return d.heard }

// Inherit begins with what a process obeys whose place this one takes, until when that holds.
func (d *Duty) Inherit(o Order, until monotime.Micros) { d.order, d.heard, d.until = o, true, until }

// Report returns a report that goes out now; open says what is open at a machine.
func (d *Duty) Report(now monotime.Micros, open func(machine string) int) Report {
	d.number++
	at := &d.sent[d.number%uint64(len(d.sent))]
	at.number, at.at = d.number, now
	r := Report{Life: d.life, Number: d.number, Open: map[string]int{}}
	if d.heard {
		r.Version = d.order.Version
	}
	for _, name := range d.Out(now) {
		if n := open(name); n > 0 {
			r.Open[name] = n
		}
	}
	return r
}

// Hear takes an order in, and says whether it changes what is to be obeyed.
func (d *Duty) Hear(now monotime.Micros, t Told) (changed bool) {
	at := d.sent[t.Number%uint64(len(d.sent))]
	until := at.at + min(t.Lease, d.s.Lease)
	if t.Life != d.life || at.number != t.Number || t.Number == 0 || t.Order.Version < d.order.Version || until <= d.until || now >= until {
		return false // late, twice, or of before
	}
	over := now >= d.until
	changed = over || !d.heard || t.Order.Version != d.order.Version
	d.order, d.heard, d.until = t.Order, true, until
	return changed
}

// Out returns the machines that nothing new may go to now, in order. Where no order holds, those that are next in line are among them.
func (d *Duty) Out(now monotime.Micros) []string {
	out := slices.Clone(d.order.Stop)
	if now >= d.until {
		out = append(out, d.order.Ahead...)
		slices.Sort(out)
	}
	return out
}

// Alone says whether no order has held for so long that what is still open at machines that are ahead or out has to end.
func (d *Duty) Alone(now monotime.Micros) bool { return d.heard && now >= d.until+d.s.Quiet }

// Holds returns the order that was heard last, until when it holds, and when what is open at its machines has to end.
func (d *Duty) Holds() (o Order, until, end monotime.Micros) {
	return d.order, d.until, d.until + d.s.Quiet
}

// Watch is what who leads knows of how far all instances do. It begins with each leading anew.
type Watch struct {
	s     Settings
	since monotime.Micros
	of    map[Instance]*seen
}

// seen is an instance, as reported.
type seen struct {
	number  uint64
	version uint64
	open    map[string]int
	until   monotime.Micros // its lease is over by any clock
	heardAt monotime.Micros
}

// NewWatch returns what is known by one that leads from now on: what another before it has told instances holds for a lease at most.
func NewWatch(now monotime.Micros, s Settings) *Watch {
	return &Watch{s: s, since: now, of: map[Instance]*seen{}}
}

// Hear takes a report in. It says no of one that is older than another of the same process.
func (w *Watch) Hear(now monotime.Micros, name string, r Report) bool {
	who := Instance{name, r.Life}
	x := w.of[who]
	if x == nil {
		x = &seen{until: w.since + w.s.longer(w.s.Lease)}
		w.of[who] = x
	}
	if r.Number <= x.number {
		return false
	}
	x.number, x.version, x.open, x.heardAt = r.Number, r.Version, r.Open, now
	return true
}

// Telling notes that an instance is told an order now, and returns what it is told.
func (w *Watch) Telling(now monotime.Micros, name string, r Report, o Order) Told {
	x := w.of[Instance{name, r.Life}]
	x.until = max(x.until, now+w.s.longer(w.s.Lease))
	return Told{Life: r.Life, Number: r.Number, Order: o, Lease: w.s.Lease}
}

// Commands returns what is to be entered into the log by what is known: machines that all know as ahead, and such as are free. why says, by machine, what
// is waited for.
func (w *Watch) Commands(now monotime.Micros, x *State) (known, free []string, why map[string]string) {
	why = map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(x.Items)) {
		i := x.Items[name]
		switch i.Phase {
		case Ahead:
			if why[name] = w.unknown(now, x, i); why[name] == "" {
				known = append(known, name)
			}
		case Draining:
			if why[name] = w.sending(now, x, i); why[name] == "" {
				free = append(free, name)
			}
		}
	}
	return known, free, why
}

// unknown says who may not know a machine as ahead; "" is nobody.
func (w *Watch) unknown(now monotime.Micros, x *State, i *Item) string {
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		s := w.of[Instance{name, x.Instances[name]}]
		if s == nil || s.version < i.Version {
			return "instance " + name + " has not been told"
		}
	}
	return ""
}

// sending says who may still send to a machine, or have something open there; "" is nobody. One whose lease has been over for as long as
// it may have things open has neither, since it knew the machine as ahead.
func (w *Watch) sending(now monotime.Micros, x *State, i *Item) string {
	over := func(until monotime.Micros) bool { return now >= until+w.s.longer(w.s.Quiet) }
	if !over(w.since + w.s.longer(w.s.Lease)) {
		return "who led before may have told a process that is not heard yet" // of whichever life
	}
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		who := Instance{name, x.Instances[name]}
		s := w.of[who]
		switch {
		case s == nil || over(s.until):
		case s.version < i.Version:
			return "instance " + name + " has not been told to stop"
		case s.open[i.Machine] > 0:
			return "instance " + name + " still has something open there"
		}
	}
	// A process whose place another of its name has may still have things open.
	for _, who := range w.order() {
		if s := w.of[who]; x.Instances[who.Name] != who.Life && !over(s.until) {
			return "a former process of instance " + who.Name + " may have something open"
		}
	}
	return ""
}

func (w *Watch) order() []Instance {
	return slices.SortedFunc(maps.Keys(w.of), func(a, b Instance) int {
		if a.Name != b.Name {
			return map[bool]int{true: -1, false: 1}[a.Name < b.Name]
		}
		return map[bool]int{true: -1, false: 1}[a.Life < b.Life]
	})
}

// Lost returns instances that have not been heard for so long. Whoever is not told of machines next in line keeps them from being known: whether
// such a process still runs nobody here can tell.
func (w *Watch) Lost(now monotime.Micros, x *State, after monotime.Micros) (all []Instance) {
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		who := Instance{name, x.Instances[name]}
		if s := w.of[who]; s != nil && now >= s.heardAt+after || s == nil && now >= w.since+after {
			all = append(all, who)
		}
	}
	return all
}
