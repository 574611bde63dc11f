// Package maintenance decides which machines are taken out for work, in which order, and when nobody sends to one any more. State is the
// order that a fleet's instances settle among themselves: it is built from a log of commands, which all that keep it apply alike.
// Duty is what one instance has to obey of it, Watch what the one that leads knows of how far all instances do. All three are deterministic
// state machines for one caller at a time: no I/O, no clock, no chance. They may not know how a log is agreed on, sockets or balancers.
//
// An instance that is cut off does not hear of the order and must not go on sending to a machine under work. So a machine is told
// **ahead**: nothing is taken out that not every instance was told of as next in line. An order holds at an instance for a lease; one
// whose lease is over sends nothing new to any machine that it knows to be ahead or out, and a while later ends what it still has open
// there. So a machine is free once every instance has either said that it has stopped and has nothing open there, or has had no lease for
// that while, by any clock. How many may be ahead is bounded: that is what an instance that is cut off can lose. An instance that starts sends
// nothing before it has heard an order. docs/design/machines-out.md has the argument at length.
package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings bound what may be out; all instances have the same.
type Settings struct {
	Most  int             // machines out at once, over all
	Zone  int             // of one zone, 0 is no bound of its own;
	Cell  int             // of one cell: one that is well stays in any case;
	Kind  int             // of one type
	Ahead int             // told ahead at most, those that are out not counted
	Room  float64         // the part of what is left that must stay unused
	Lease monotime.Micros // for so long an order holds at an instance
	Quiet monotime.Micros // so long after its lease an instance ends what it still has open at machines ahead or out
	Warm  monotime.Micros // so long after its return a machine counts as out
	Drift float64         // by what part of itself a clock's rate may be off, at most
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("work: %s: %s", e.Key, e.Reason) }

// Check returns a *SettingError of settings that make no sense.
func (s *Settings) Check() error {
	switch {
	case s.Most < 1:
		return &SettingError{"most", "must be at least 1"}
	case s.Zone < 0 || s.Cell < 0 || s.Kind < 0:
		return &SettingError{"zone", "bounds must not be negative"}
	case s.Ahead < s.Most:
		return &SettingError{"ahead", "must be most at least: what is out was ahead before"}
	case !(s.Room >= 0 && s.Room < 1):
		return &SettingError{"room", "must be in 0..1, not 1"}
	case s.Lease < 10_000 || s.Quiet < 0 || s.Warm < 0:
		return &SettingError{"lease", "must be 10 ms at least, and no time negative"}
	case !(s.Drift >= 0 && s.Drift <= 0.1):
		return &SettingError{"drift", "must be in 0..0.1"}
	}
	return nil
}

// longer is how long one has to wait by the own clock for a time to have passed by any.
func (s *Settings) longer(d monotime.Micros) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(d) * (1 + s.Drift) / (1 - s.Drift)))
}

// Machine is one that requests go to, as it stands.
type Machine struct {
	Name  string  `json:"Name"`
	Zone  string  `json:"Zone"`
	Kind  string  `json:"Kind"`
	Cell  int     `json:"Cell"`
	Share float64 `json:"Share"` // of what all can do, in any unit that all have alike
	Well  bool    `json:"Well"`  // it serves, warm, and nobody suspects it
}

// Phase is how far a machine is.
type Phase uint8

// The phases, in their order.
const (
	Asked     Phase = iota // for
	Ahead                  // it is being told as next in line
	Known                  // all instances know it as that
	Draining               // nothing new is to go there
	Working                // nobody sends there and nothing is open: it is free, and may be worked on
	Returning              // requests may go there again; it is cold
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"asked", "ahead", "known", "draining", "at work", "returning"}[p]
}

// Job is what one asked for.
type Job struct {
	ID       string          `json:"ID"` // asking twice with one is asking once
	Machines []string        `json:"Machines"`
	For      monotime.Micros `json:"For"`
	Why      string          `json:"Why"`
	By       string          `json:"By"`
	Urgent   bool            `json:"Urgent"`
	At       monotime.Micros `json:"At"`
	Held     bool            `json:"Held"` // nothing of it begins
}

// Item is a machine in the order.
type Item struct {
	Machine string          `json:"Machine"`
	Jobs    []string        `json:"Jobs"` // that want it out; it is until all are done
	Phase   Phase           `json:"Phase"`
	Since   monotime.Micros `json:"Since"`
	Until   monotime.Micros `json:"Until"`   // at work: by when it was to be done
	Version uint64          `json:"Version"` // of the order in which it was first told as it is now
	Overdue bool            `json:"Overdue"`
	Wanted  string          `json:"Wanted"` // at work, and wanted back: why
	Waits   string          `json:"Waits"`  // why it does not go on
}

// Event is something that happened, for people.
type Event struct {
	At   monotime.Micros `json:"At"`
	What string          `json:"What"`
}

// eventsMost is how many events are kept.
const eventsMost = 200

// Instance is a process that sends to machines.
type Instance struct {
	Name string `json:"Name"`
	Life uint64 `json:"Life"` // no two processes of a name have the same
}

// Command is an entry of the log; one of its parts is set beside At.
type Command struct {
	At     monotime.Micros `json:"At"` // on the state's clock, by who leads; it never runs back
	Ask    *Job            `json:"Ask"`
	Cancel string          `json:"Cancel"` // a job, by its id
	Done   *Done           `json:"Done"`
	Hold   *Hold           `json:"Hold"`
	Join   *Instance       `json:"Join"` // it is about to be told the order
	Gone   *Instance       `json:"Gone"` // it sends nothing any more, known for sure
	Facts  *Facts          `json:"Facts"`
	Known  []string        `json:"Known"` // machines that every instance knows as ahead
	Free   []string        `json:"Free"`  // machines that nobody sends to, with nothing open there
}

// Done says that work is done on a machine, or on all of a job's where Machine is empty.
type Done struct {
	Job     string `json:"Job"`
	Machine string `json:"Machine"`
}

// Hold has nothing more of a job begin, of all where Job is empty, or ends that.
type Hold struct {
	Job string `json:"Job"`
	On  bool   `json:"On"`
}

// Facts are how all machines stand, and how much of their shares is in use, now and, as far as is known, in the hour ahead.
type Facts struct {
	Machines []Machine `json:"Machines"`
	Use      float64   `json:"Use"`
	Peak     float64   `json:"Peak"`
}

// State is the order. Make one with New.
type State struct {
	s         Settings
	Now       monotime.Micros   `json:"Now"`
	Version   uint64            `json:"Version"` // of what instances are told; it grows with each change of that
	Jobs      map[string]*Job   `json:"Jobs"`
	Items     map[string]*Item  `json:"Items"` // by machine
	Instances map[string]uint64 `json:"Instances"`
	Facts     Facts             `json:"Facts"`
	Held      bool              `json:"Held"`
	Events    []Event           `json:"Events"`
	Taken     map[string]int    `json:"Taken"` // machines taken out so far, by who asked
	Count     uint64            `json:"Count"` // of commands
}

// New returns an order in which nothing is out, or a *SettingError.
func New(s Settings) (*State, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &State{s: s, Jobs: map[string]*Job{}, Items: map[string]*Item{}, Instances: map[string]uint64{}, Taken: map[string]int{}}, nil
}

// Restored has a state that was kept go by settings.
func (x *State) Restored(s Settings) { x.s = s }

// Apply takes a command in, and returns what to tell who gave it, or the reason why nothing comes of it.
func (x *State) Apply(c Command) (answer string, err error) {
	x.Now = max(x.Now, c.At)
	x.Count++
	switch {
	case c.Ask != nil:
		answer, err = x.ask(*c.Ask)
	case c.Cancel != "":
		answer, err = x.cancel(c.Cancel)
	case c.Done != nil:
		answer, err = x.done(*c.Done)
	case c.Hold != nil:
		answer, err = x.hold(*c.Hold)
	case c.Join != nil:
		x.Instances[c.Join.Name] = c.Join.Life
	case c.Gone != nil:
		if x.Instances[c.Gone.Name] == c.Gone.Life {
			delete(x.Instances, c.Gone.Name)
		}
	case c.Facts != nil:
		x.Facts = *c.Facts
	}
	for _, name := range c.Known {
		if i := x.Items[name]; i != nil && i.Phase == Ahead {
			x.enter(i, Known)
		}
	}
	for _, name := range c.Free {
		if i := x.Items[name]; i != nil && i.Phase == Draining {
			x.enter(i, Working)
			i.Until = x.Now + x.longest(i)
			x.tell("%s is free: nobody sends there and nothing is open; it is to be done in %d s", name, (i.Until-x.Now)/second)
		}
	}
	x.step()
	return answer, err
}

func (x *State) tell(format string, args ...any) {
	x.Events = append(x.Events, Event{x.Now, fmt.Sprintf(format, args...)})
	if over := len(x.Events) - eventsMost; over > 0 {
		x.Events = slices.Delete(x.Events, 0, over)
	}
}

// enter has a machine go on to another phase.
func (x *State) enter(i *Item, p Phase) {
	told := func(p Phase) int { return map[Phase]int{Ahead: 1, Known: 1, Draining: 2, Working: 2}[p] }
	if told(i.Phase) != told(p) {
		x.Version++
		i.Version = x.Version
	}
	i.Phase, i.Since, i.Waits, i.Wanted, i.Overdue = p, x.Now, "", "", false
}

// longest is for how long a machine is wanted out at most.
func (x *State) longest(i *Item) (d monotime.Micros) {
	for _, id := range i.Jobs {
		if j := x.Jobs[id]; j != nil {
			d = max(d, j.For)
		}
	}
	return d
}

// ---- What operators say ------------------------------------------------------

func (x *State) ask(j Job) (string, error) {
	if j.ID == "" || len(j.Machines) == 0 || j.For <= 0 {
		return "", fmt.Errorf("an id, a machine and a time are needed")
	}
	if old := x.Jobs[j.ID]; old != nil {
		return x.say(old), nil
	}
	j.Machines = slices.Clone(j.Machines)
	slices.Sort(j.Machines)
	j.Machines = slices.Compact(j.Machines)
	for _, name := range j.Machines {
		if len(x.Facts.Machines) > 0 && !slices.ContainsFunc(x.Facts.Machines, func(m Machine) bool { return m.Name == name }) {
			return "", fmt.Errorf("no machine is named %q", name)
		}
	}
	j.At = x.Now
	x.Jobs[j.ID] = &j
	for _, name := range j.Machines {
		i := x.Items[name]
		switch {
		case i == nil:
			x.Items[name] = &Item{Machine: name, Jobs: []string{j.ID}, Since: x.Now}
		case i.Phase == Returning:
			i.Jobs = []string{j.ID}
			x.enter(i, Asked)
		default:
			i.Jobs = append(i.Jobs, j.ID) // another has asked for it: it is out for both
			if i.Phase == Working {
				i.Until = max(i.Until, x.Now+j.For)
			}
		}
	}
	x.tell("%s asks for %s: %s", j.By, strings.Join(j.Machines, ", "), j.Why)
	x.step()
	return x.say(&j), nil
}

// say tells how a job stands, and what comes next.
func (x *State) say(j *Job) string {
	var parts []string
	for _, name := range j.Machines {
		i := x.Items[name]
		switch {
		case i == nil || !slices.Contains(i.Jobs, j.ID):
			parts = append(parts, name+" is back")
		case i.Waits != "":
			parts = append(parts, fmt.Sprintf("%s is %v: %s", name, i.Phase, i.Waits))
		default:
			parts = append(parts, fmt.Sprintf("%s is %v", name, i.Phase))
		}
	}
	return strings.Join(parts, "; ")
}

// cancel takes a job back: what is at work returns, what has not begun is forgotten.
func (x *State) cancel(id string) (string, error) {
	j := x.Jobs[id]
	if j == nil {
		return "", fmt.Errorf("no job is named %q", id)
	}
	for _, name := range j.Machines {
		x.leave(name, id)
	}
	x.tell("%s is cancelled", id)
	delete(x.Jobs, id)
	return "cancelled", nil
}

func (x *State) done(d Done) (string, error) {
	j := x.Jobs[d.Job]
	if j == nil {
		return "", fmt.Errorf("no job is named %q", d.Job)
	}
	of := j.Machines
	if d.Machine != "" {
		if of = []string{d.Machine}; !slices.Contains(j.Machines, d.Machine) {
			return "", fmt.Errorf("%s does not ask for %q", d.Job, d.Machine)
		}
	}
	for _, name := range of {
		x.leave(name, d.Job)
	}
	answer := x.say(j)
	if !slices.ContainsFunc(j.Machines, func(name string) bool { i := x.Items[name]; return i != nil && slices.Contains(i.Jobs, j.ID) }) {
		delete(x.Jobs, j.ID)
	}
	return answer, nil
}

// leave has a job want a machine no more. Once none does, one that is out returns, and another is in no order any more.
func (x *State) leave(name, id string) {
	i := x.Items[name]
	if i == nil || !slices.Contains(i.Jobs, id) {
		return
	}
	i.Jobs = slices.DeleteFunc(i.Jobs, func(o string) bool { return o == id })
	switch {
	case len(i.Jobs) > 0:
	case i.Phase == Working:
		x.enter(i, Returning)
		x.tell("%s returns, cold", name)
	case i.Phase == Draining:
		// Nothing was done to it: requests may go there as before.
		x.Version++
		delete(x.Items, name)
		x.tell("%s stays in", name)
	default:
		if i.Phase == Ahead || i.Phase == Known {
			x.Version++
		}
		delete(x.Items, name)
	}
}

func (x *State) hold(h Hold) (string, error) {
	if h.Job == "" {
		x.Held = h.On
		x.tell("held: %v", h.On)
		return "held", nil
	}
	j := x.Jobs[h.Job]
	if j == nil {
		return "", fmt.Errorf("no job is named %q", h.Job)
	}
	j.Held = h.On
	return x.say(j), nil
}

// ---- Who is next -------------------------------------------------------------

// step does what has become due or possible.
func (x *State) step() {
	for _, name := range slices.Sorted(maps.Keys(x.Items)) {
		i := x.Items[name]
		switch {
		case i.Phase == Working && x.Now >= i.Until && !i.Overdue:
			i.Overdue = true
			x.tell("%s was to be done by now: work done, or ask for longer", name)
		case i.Phase == Returning && x.Now >= i.Since+x.s.Warm && x.well(name):
			delete(x.Items, name)
			x.tell("%s is back", name)
		case i.Phase == Returning && x.Now >= i.Since+x.s.Warm && i.Waits == "":
			i.Waits = "it is back, and not well"
			x.tell("%s is back, and not well", name)
		}
	}
	x.recall()
	next := x.order()
	ahead := 0
	for _, i := range x.Items {
		ahead += map[bool]int{true: 1}[i.Phase == Ahead || i.Phase == Known]
	}
	// What was drained and stays in is next in line again: the last of those gives way.
	for _, i := range slices.Backward(next) {
		if ahead > x.s.Ahead && (i.Phase == Ahead || i.Phase == Known) {
			x.enter(i, Asked)
			ahead--
		}
	}
	for _, i := range next {
		if i.Phase != Asked {
			continue
		}
		if ahead >= x.s.Ahead && x.giveWay(next, i) {
			ahead--
		}
		if ahead < x.s.Ahead {
			x.enter(i, Ahead)
			ahead++
		} else {
			i.Waits = fmt.Sprintf("%d are next in line before it", ahead)
		}
	}
	for _, i := range next {
		if i.Phase != Known {
			continue
		}
		if i.Waits = x.against(i); i.Waits == "" {
			x.Taken[x.Jobs[i.Jobs[0]].By]++
			x.enter(i, Draining)
			x.tell("%s is drained", i.Machine)
		}
	}
}

// giveWay has the last that is next in line and not urgent give way to one that is, and says whether there was one.
func (x *State) giveWay(next []*Item, to *Item) bool {
	if !x.Jobs[to.Jobs[0]].Urgent {
		return false
	}
	for _, i := range slices.Backward(next) {
		if (i.Phase == Ahead || i.Phase == Known) && !x.Jobs[i.Jobs[0]].Urgent {
			x.enter(i, Asked)
			return true
		}
	}
	return false
}

// order returns the machines that are not out in their turn: urgent ones first, then by how many who asked has had, then by age.
func (x *State) order() (all []*Item) {
	for _, i := range x.Items {
		if i.Phase < Draining && len(i.Jobs) > 0 {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b *Item) int {
		p, q := x.Jobs[a.Jobs[0]], x.Jobs[b.Jobs[0]]
		urgent := func(j *Job) int { return map[bool]int{true: 0, false: 1}[j.Urgent] }
		return cmp.Or(cmp.Compare(urgent(p), urgent(q)), cmp.Compare(x.Taken[p.By], x.Taken[q.By]), cmp.Compare(p.At, q.At), cmp.Compare(a.Machine, b.Machine))
	})
	return all
}

func (x *State) well(name string) bool {
	for i := range x.Facts.Machines {
		if m := &x.Facts.Machines[i]; m.Name == name {
			return m.Well
		}
	}
	return false
}

// out says whether a machine counts as out.
func (x *State) out(m *Machine) bool {
	i := x.Items[m.Name]
	return !m.Well || i != nil && i.Phase >= Draining
}

// against says why a machine must not be taken out now; "" is nothing.
func (x *State) against(i *Item) string {
	at := slices.IndexFunc(x.Facts.Machines, func(m Machine) bool { return m.Name == i.Machine })
	switch {
	case x.Held:
		return "all is held"
	case x.Jobs[i.Jobs[0]].Held:
		return "it is held"
	case at < 0:
		return "it is in no list now"
	}
	m := &x.Facts.Machines[at]
	if zone := x.lost(); zone != "" {
		return fmt.Sprintf("more than half of zone %s is out unplanned", zone)
	}
	var all, zone, cell, kind, left int
	var room float64
	for j := range x.Facts.Machines {
		o := &x.Facts.Machines[j]
		if j == at {
			continue
		}
		if !x.out(o) {
			room += o.Share
			left += map[bool]int{true: 1}[o.Cell == m.Cell]
			continue
		}
		all++
		zone += map[bool]int{true: 1}[o.Zone == m.Zone]
		cell += map[bool]int{true: 1}[o.Cell == m.Cell]
		kind += map[bool]int{true: 1}[o.Kind == m.Kind]
	}
	alone := !slices.ContainsFunc(x.Facts.Machines, func(o Machine) bool { return o.Cell == m.Cell && o.Name != m.Name })
	switch {
	case all >= x.s.Most:
		return fmt.Sprintf("%d are out, %d may be", all, x.s.Most)
	case x.s.Zone > 0 && zone >= x.s.Zone:
		return fmt.Sprintf("%d of zone %s are out, %d may be", zone, m.Zone, x.s.Zone)
	case x.s.Cell > 0 && cell >= x.s.Cell:
		return fmt.Sprintf("%d of cell %d are out, %d may be", cell, m.Cell, x.s.Cell)
	case left == 0 && !alone:
		return fmt.Sprintf("it is the last of cell %d", m.Cell)
	case x.s.Kind > 0 && kind >= x.s.Kind:
		return fmt.Sprintf("%d of type %s are out, %d may be", kind, m.Kind, x.s.Kind)
	case room*(1-x.s.Room) < max(x.Facts.Use, x.Facts.Peak):
		return fmt.Sprintf("what is left would not do for what is asked for: %.2f of %.2f", max(x.Facts.Use, x.Facts.Peak), room*(1-x.s.Room))
	}
	return ""
}

// lost returns a zone of which more than half is out that nobody asked to be; "" is none.
func (x *State) lost() string {
	all, gone := map[string]int{}, map[string]int{}
	for i := range x.Facts.Machines {
		m := &x.Facts.Machines[i]
		all[m.Zone]++
		if it := x.Items[m.Name]; !m.Well && (it == nil || it.Phase < Draining) {
			gone[m.Zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(all)) {
		if 2*gone[zone] > all[zone] {
			return zone
		}
	}
	return ""
}

// recall asks back what is out and no longer affordable: what only drains stays in, what is at work is wanted.
func (x *State) recall() {
	var room float64
	for i := range x.Facts.Machines {
		if m := &x.Facts.Machines[i]; !x.out(m) {
			room += m.Share
		}
	}
	why := ""
	if zone := x.lost(); zone != "" {
		why = "more than half of zone " + zone + " is out unplanned"
	} else if len(x.Facts.Machines) > 0 && room < max(x.Facts.Use, x.Facts.Peak) {
		why = fmt.Sprintf("what is asked for is %.2f of the %.2f that are left", max(x.Facts.Use, x.Facts.Peak), room)
	}
	for _, name := range slices.Sorted(maps.Keys(x.Items)) {
		i := x.Items[name]
		switch {
		case i.Phase == Draining && why != "":
			x.enter(i, Known)
			i.Waits = why
			x.tell("%s stays in: %s", name, why)
		case i.Phase == Working && (why != "") != (i.Wanted != ""):
			if i.Wanted = why; why != "" {
				x.tell("%s is wanted back: %s", name, why)
			}
		}
	}
}

// Order is what instances are told: the machines that are next in line, and those that nothing new may go to.
type Order struct {
	Version uint64   `json:"Version"`
	Ahead   []string `json:"Ahead"`
	Stop    []string `json:"Stop"`
}

// Order returns it.
func (x *State) Order() Order {
	o := Order{Version: x.Version}
	for _, name := range slices.Sorted(maps.Keys(x.Items)) {
		switch x.Items[name].Phase {
		case Ahead, Known:
			o.Ahead = append(o.Ahead, name)
		case Draining, Working:
			o.Stop = append(o.Stop, name)
		}
	}
	return o
}
