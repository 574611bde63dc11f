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
	MaxOut        int             // machines out at once, over all
	MaxOutPerZone int             // of one zone, 0 is no bound of its own;
	MaxOutPerCell int             // of one cell: one that is well stays in any case;
	MaxOutPerKind int             // of one type
	MaxAnnounced  int             // told ahead at most, those that are out not counted
	Headroom      float64         // the part of what is left that must stay unused
	LeaseDuration monotime.Micros // for so long an order holds at an instance
	InFlightGrace monotime.Micros // so long after its lease an instance ends what it still has open at machines ahead or out
	Warmup        monotime.Micros // so long after its return a machine counts as out
	MaxClockDrift float64         // by what part of itself a clock's rate may be off, at most
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("work: %s: %s", e.Key, e.Reason) }

// Check returns a *SettingError of settings that make no sense.
func (s *Settings) Check() error {
	switch {
	case s.MaxOut < 1:
		return &SettingError{"most", "must be at least 1"}
	case s.MaxOutPerZone < 0 || s.MaxOutPerCell < 0 || s.MaxOutPerKind < 0:
		return &SettingError{"zone", "bounds must not be negative"}
	case s.MaxAnnounced < s.MaxOut:
		return &SettingError{"ahead", "must be most at least: what is out was ahead before"}
	case !(s.Headroom >= 0 && s.Headroom < 1):
		return &SettingError{"room", "must be in 0..1, not 1"}
	case s.LeaseDuration < 10_000 || s.InFlightGrace < 0 || s.Warmup < 0:
		return &SettingError{"lease", "must be 10 ms at least, and no time negative"}
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= 0.1):
		return &SettingError{"drift", "must be in 0..0.1"}
	}
	return nil
}

// longer is how long one has to wait by the own clock for a time to have passed by any.
func (s *Settings) withDrift(d monotime.Micros) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(d) * (1 + s.MaxClockDrift) / (1 - s.MaxClockDrift)))
}

// Machine is one that requests go to, as it stands.
type MachineStatus struct {
	Name     string  `json:"Name"`
	Zone     string  `json:"Zone"`
	Kind     string  `json:"Kind"`
	Cell     int     `json:"Cell"`
	Capacity float64 `json:"Share"` // of what all can do, in any unit that all have alike
	Healthy  bool    `json:"Well"`  // it serves, warm, and nobody suspects it
}

// Phase is how far a machine is.
type Phase uint8

// The phases, in their order.
const (
	Requested        Phase = iota // for
	Announced                     // it is being told as next in line
	Acknowledged                  // all instances know it as that
	Draining                      // nothing new is to go there
	UnderMaintenance              // nobody sends there and nothing is open: it is free, and may be worked on
	Returning                     // requests may go there again; it is cold
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"asked", "ahead", "known", "draining", "at work", "returning"}[p]
}

// Job is what one asked for.
type Request struct {
	ID          string          `json:"ID"` // asking twice with one is asking once
	Machines    []string        `json:"Machines"`
	Duration    monotime.Micros `json:"For"`
	Reason      string          `json:"Why"`
	Requester   string          `json:"By"`
	Urgent      bool            `json:"Urgent"`
	RequestedAt monotime.Micros `json:"At"`
	OnHold      bool            `json:"Held"` // nothing of it begins
}

// Item is a machine in the order.
type Machine struct {
	Name         string          `json:"Machine"`
	Requests     []string        `json:"Jobs"` // that want it out; it is until all are done
	Phase        Phase           `json:"Phase"`
	Since        monotime.Micros `json:"Since"`
	DueAt        monotime.Micros `json:"Until"`   // at work: by when it was to be done
	PlanVersion  uint64          `json:"Version"` // of the order in which it was first told as it is now
	Overdue      bool            `json:"Overdue"`
	RecallReason string          `json:"Wanted"` // at work, and wanted back: why
	WaitReason   string          `json:"Waits"`  // why it does not go on
}

// Event is something that happened, for people.
type Event struct {
	Time monotime.Micros `json:"At"`
	Text string          `json:"What"`
}

// eventsMost is how many events are kept.
const maxEvents = 200

// Instance is a process that sends to machines.
type Instance struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"` // no two processes of a name have the same
}

// Command is an entry of the log; one of its parts is set beside At.
type Command struct {
	Time          monotime.Micros `json:"At"` // on the state's clock, by who leads; it never runs back
	Request       *Request        `json:"Ask"`
	CancelRequest string          `json:"Cancel"` // a job, by its id
	Complete      *Completion     `json:"Done"`
	Hold          *Hold           `json:"Hold"`
	Join          *Instance       `json:"Join"` // it is about to be told the order
	Forget        *Instance       `json:"Gone"` // it sends nothing any more, known for sure
	FleetStatus   *FleetStatus    `json:"Facts"`
	Acknowledged  []string        `json:"Known"` // machines that every instance knows as ahead
	Drained       []string        `json:"Free"`  // machines that nobody sends to, with nothing open there
}

// Done says that work is done on a machine, or on all of a job's where Machine is empty.
type Completion struct {
	Request string `json:"Job"`
	Machine string `json:"Machine"`
}

// Hold has nothing more of a job begin, of all where Job is empty, or ends that.
type Hold struct {
	Request string `json:"Job"`
	On      bool   `json:"On"`
}

// Facts are how all machines stand, and how much of their shares is in use, now and, as far as is known, in the hour ahead.
type FleetStatus struct {
	Machines  []MachineStatus `json:"Machines"`
	Usage     float64         `json:"Use"`
	PeakUsage float64         `json:"Peak"`
}

// State is the order. Make one with New.
type State struct {
	settings          Settings
	Now               monotime.Micros     `json:"Now"`
	PlanVersion       uint64              `json:"Version"` // of what instances are told; it grows with each change of that
	Requests          map[string]*Request `json:"Jobs"`
	Machines          map[string]*Machine `json:"Items"` // by machine
	Instances         map[string]uint64   `json:"Instances"`
	Fleet             FleetStatus         `json:"Facts"`
	OnHold            bool                `json:"Held"`
	Events            []Event             `json:"Events"`
	DrainsByRequester map[string]int      `json:"Taken"` // machines taken out so far, by who asked
	CommandCount      uint64              `json:"Count"` // of commands
}

// New returns an order in which nothing is out, or a *SettingError.
func NewState(s Settings) (*State, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &State{settings: s, Requests: map[string]*Request{}, Machines: map[string]*Machine{}, Instances: map[string]uint64{}, DrainsByRequester: map[string]int{}}, nil
}

// Restored has a state that was kept go by settings.
func (x *State) UseSettings(s Settings) { x.settings = s }

// Apply takes a command in, and returns what to tell who gave it, or the reason why nothing comes of it.
func (x *State) Apply(c Command) (answer string, err error) {
	x.Now = max(x.Now, c.Time)
	x.CommandCount++
	switch {
	case c.Request != nil:
		answer, err = x.addRequest(*c.Request)
	case c.CancelRequest != "":
		answer, err = x.cancelRequest(c.CancelRequest)
	case c.Complete != nil:
		answer, err = x.completeRequest(*c.Complete)
	case c.Hold != nil:
		answer, err = x.setHold(*c.Hold)
	case c.Join != nil:
		x.Instances[c.Join.Name] = c.Join.Incarnation
	case c.Forget != nil:
		if x.Instances[c.Forget.Name] == c.Forget.Incarnation {
			delete(x.Instances, c.Forget.Name)
		}
	case c.FleetStatus != nil:
		x.Fleet = *c.FleetStatus
	}
	for _, name := range c.Acknowledged {
		if i := x.Machines[name]; i != nil && i.Phase == Announced {
			x.setPhase(i, Acknowledged)
		}
	}
	for _, name := range c.Drained {
		if i := x.Machines[name]; i != nil && i.Phase == Draining {
			x.setPhase(i, UnderMaintenance)
			i.DueAt = x.Now + x.longestDuration(i)
			x.recordEvent("%s is free: nobody sends there and nothing is open; it is to be done in %d s", name, (i.DueAt-x.Now)/second)
		}
	}
	x.advance()
	return answer, err
}

func (x *State) recordEvent(format string, args ...any) {
	x.Events = append(x.Events, Event{x.Now, fmt.Sprintf(format, args...)})
	if over := len(x.Events) - maxEvents; over > 0 {
		x.Events = slices.Delete(x.Events, 0, over)
	}
}

// enter has a machine go on to another phase.
func (x *State) setPhase(i *Machine, p Phase) {
	told := func(p Phase) int {
		return map[Phase]int{Announced: 1, Acknowledged: 1, Draining: 2, UnderMaintenance: 2}[p]
	}
	if told(i.Phase) != told(p) {
		x.PlanVersion++
		i.PlanVersion = x.PlanVersion
	}
	i.Phase, i.Since, i.WaitReason, i.RecallReason, i.Overdue = p, x.Now, "", "", false
}

// longest is for how long a machine is wanted out at most.
func (x *State) longestDuration(i *Machine) (d monotime.Micros) {
	for _, id := range i.Requests {
		if j := x.Requests[id]; j != nil {
			d = max(d, j.Duration)
		}
	}
	return d
}

// ---- What operators say ------------------------------------------------------

func (x *State) addRequest(j Request) (string, error) {
	if j.ID == "" || len(j.Machines) == 0 || j.Duration <= 0 {
		return "", fmt.Errorf("an id, a machine and a time are needed")
	}
	if old := x.Requests[j.ID]; old != nil {
		return x.describe(old), nil
	}
	j.Machines = slices.Clone(j.Machines)
	slices.Sort(j.Machines)
	j.Machines = slices.Compact(j.Machines)
	for _, name := range j.Machines {
		if len(x.Fleet.Machines) > 0 && !slices.ContainsFunc(x.Fleet.Machines, func(m MachineStatus) bool { return m.Name == name }) {
			return "", fmt.Errorf("no machine is named %q", name)
		}
	}
	j.RequestedAt = x.Now
	x.Requests[j.ID] = &j
	for _, name := range j.Machines {
		i := x.Machines[name]
		switch {
		case i == nil:
			x.Machines[name] = &Machine{Name: name, Requests: []string{j.ID}, Since: x.Now}
		case i.Phase == Returning:
			i.Requests = []string{j.ID}
			x.setPhase(i, Requested)
		default:
			i.Requests = append(i.Requests, j.ID) // another has asked for it: it is out for both
			if i.Phase == UnderMaintenance {
				i.DueAt = max(i.DueAt, x.Now+j.Duration)
			}
		}
	}
	x.recordEvent("%s asks for %s: %s", j.Requester, strings.Join(j.Machines, ", "), j.Reason)
	x.advance()
	return x.describe(&j), nil
}

// say tells how a job stands, and what comes next.
func (x *State) describe(j *Request) string {
	var parts []string
	for _, name := range j.Machines {
		i := x.Machines[name]
		switch {
		case i == nil || !slices.Contains(i.Requests, j.ID):
			parts = append(parts, name+" is back")
		case i.WaitReason != "":
			parts = append(parts, fmt.Sprintf("%s is %v: %s", name, i.Phase, i.WaitReason))
		default:
			parts = append(parts, fmt.Sprintf("%s is %v", name, i.Phase))
		}
	}
	return strings.Join(parts, "; ")
}

// cancel takes a job back: what is at work returns, what has not begun is forgotten.
func (x *State) cancelRequest(id string) (string, error) {
	j := x.Requests[id]
	if j == nil {
		return "", fmt.Errorf("no job is named %q", id)
	}
	for _, name := range j.Machines {
		x.releaseMachine(name, id)
	}
	x.recordEvent("%s is cancelled", id)
	delete(x.Requests, id)
	return "cancelled", nil
}

func (x *State) completeRequest(d Completion) (string, error) {
	j := x.Requests[d.Request]
	if j == nil {
		return "", fmt.Errorf("no job is named %q", d.Request)
	}
	of := j.Machines
	if d.Machine != "" {
		if of = []string{d.Machine}; !slices.Contains(j.Machines, d.Machine) {
			return "", fmt.Errorf("%s does not ask for %q", d.Request, d.Machine)
		}
	}
	for _, name := range of {
		x.releaseMachine(name, d.Request)
	}
	answer := x.describe(j)
	if !slices.ContainsFunc(j.Machines, func(name string) bool { i := x.Machines[name]; return i != nil && slices.Contains(i.Requests, j.ID) }) {
		delete(x.Requests, j.ID)
	}
	return answer, nil
}

// leave has a job want a machine no more. Once none does, one that is out returns, and another is in no order any more.
func (x *State) releaseMachine(name, id string) {
	i := x.Machines[name]
	if i == nil || !slices.Contains(i.Requests, id) {
		return
	}
	i.Requests = slices.DeleteFunc(i.Requests, func(o string) bool { return o == id })
	switch {
	case len(i.Requests) > 0:
	case i.Phase == UnderMaintenance:
		x.setPhase(i, Returning)
		x.recordEvent("%s returns, cold", name)
	case i.Phase == Draining:
		// Nothing was done to it: requests may go there as before.
		x.PlanVersion++
		delete(x.Machines, name)
		x.recordEvent("%s stays in", name)
	default:
		if i.Phase == Announced || i.Phase == Acknowledged {
			x.PlanVersion++
		}
		delete(x.Machines, name)
	}
}

func (x *State) setHold(h Hold) (string, error) {
	if h.Request == "" {
		x.OnHold = h.On
		x.recordEvent("held: %v", h.On)
		return "held", nil
	}
	j := x.Requests[h.Request]
	if j == nil {
		return "", fmt.Errorf("no job is named %q", h.Request)
	}
	j.OnHold = h.On
	return x.describe(j), nil
}

// ---- Who is next -------------------------------------------------------------

// step does what has become due or possible.
func (x *State) advance() {
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		i := x.Machines[name]
		switch {
		case i.Phase == UnderMaintenance && x.Now >= i.DueAt && !i.Overdue:
			i.Overdue = true
			x.recordEvent("%s was to be done by now: work done, or ask for longer", name)
		case i.Phase == Returning && x.Now >= i.Since+x.settings.Warmup && x.isHealthy(name):
			delete(x.Machines, name)
			x.recordEvent("%s is back", name)
		case i.Phase == Returning && x.Now >= i.Since+x.settings.Warmup && i.WaitReason == "":
			i.WaitReason = "it is back, and not well"
			x.recordEvent("%s is back, and not well", name)
		}
	}
	x.recallUnaffordable()
	next := x.queue()
	ahead := 0
	for _, i := range x.Machines {
		ahead += map[bool]int{true: 1}[i.Phase == Announced || i.Phase == Acknowledged]
	}
	// What was drained and stays in is next in line again: the last of those gives way.
	for _, i := range slices.Backward(next) {
		if ahead > x.settings.MaxAnnounced && (i.Phase == Announced || i.Phase == Acknowledged) {
			x.setPhase(i, Requested)
			ahead--
		}
	}
	for _, i := range next {
		if i.Phase != Requested {
			continue
		}
		if ahead >= x.settings.MaxAnnounced && x.preemptFor(next, i) {
			ahead--
		}
		if ahead < x.settings.MaxAnnounced {
			x.setPhase(i, Announced)
			ahead++
		} else {
			i.WaitReason = fmt.Sprintf("%d are next in line before it", ahead)
		}
	}
	for _, i := range next {
		if i.Phase != Acknowledged {
			continue
		}
		if i.WaitReason = x.drainBlockedBy(i); i.WaitReason == "" {
			x.DrainsByRequester[x.Requests[i.Requests[0]].Requester]++
			x.setPhase(i, Draining)
			x.recordEvent("%s is drained", i.Name)
		}
	}
}

// giveWay has the last that is next in line and not urgent give way to one that is, and says whether there was one.
func (x *State) preemptFor(next []*Machine, to *Machine) bool {
	if !x.Requests[to.Requests[0]].Urgent {
		return false
	}
	for _, i := range slices.Backward(next) {
		if (i.Phase == Announced || i.Phase == Acknowledged) && !x.Requests[i.Requests[0]].Urgent {
			x.setPhase(i, Requested)
			return true
		}
	}
	return false
}

// order returns the machines that are not out in their turn: urgent ones first, then by how many who asked has had, then by age.
func (x *State) queue() (all []*Machine) {
	for _, i := range x.Machines {
		if i.Phase < Draining && len(i.Requests) > 0 {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b *Machine) int {
		p, q := x.Requests[a.Requests[0]], x.Requests[b.Requests[0]]
		urgent := func(j *Request) int { return map[bool]int{true: 0, false: 1}[j.Urgent] }
		return cmp.Or(cmp.Compare(urgent(p), urgent(q)), cmp.Compare(x.DrainsByRequester[p.Requester], x.DrainsByRequester[q.Requester]), cmp.Compare(p.RequestedAt, q.RequestedAt), cmp.Compare(a.Name, b.Name))
	})
	return all
}

func (x *State) isHealthy(name string) bool {
	for i := range x.Fleet.Machines {
		if m := &x.Fleet.Machines[i]; m.Name == name {
			return m.Healthy
		}
	}
	return false
}

// out says whether a machine counts as out.
func (x *State) isOut(m *MachineStatus) bool {
	i := x.Machines[m.Name]
	return !m.Healthy || i != nil && i.Phase >= Draining
}

// against says why a machine must not be taken out now; "" is nothing.
func (x *State) drainBlockedBy(i *Machine) string {
	at := slices.IndexFunc(x.Fleet.Machines, func(m MachineStatus) bool { return m.Name == i.Name })
	switch {
	case x.OnHold:
		return "all is held"
	case x.Requests[i.Requests[0]].OnHold:
		return "it is held"
	case at < 0:
		return "it is in no list now"
	}
	m := &x.Fleet.Machines[at]
	if zone := x.lostZone(); zone != "" {
		return fmt.Sprintf("more than half of zone %s is out unplanned", zone)
	}
	var all, zone, cell, kind, left int
	var room float64
	for j := range x.Fleet.Machines {
		o := &x.Fleet.Machines[j]
		if j == at {
			continue
		}
		if !x.isOut(o) {
			room += o.Capacity
			left += map[bool]int{true: 1}[o.Cell == m.Cell]
			continue
		}
		all++
		zone += map[bool]int{true: 1}[o.Zone == m.Zone]
		cell += map[bool]int{true: 1}[o.Cell == m.Cell]
		kind += map[bool]int{true: 1}[o.Kind == m.Kind]
	}
	alone := !slices.ContainsFunc(x.Fleet.Machines, func(o MachineStatus) bool { return o.Cell == m.Cell && o.Name != m.Name })
	switch {
	case all >= x.settings.MaxOut:
		return fmt.Sprintf("%d are out, %d may be", all, x.settings.MaxOut)
	case x.settings.MaxOutPerZone > 0 && zone >= x.settings.MaxOutPerZone:
		return fmt.Sprintf("%d of zone %s are out, %d may be", zone, m.Zone, x.settings.MaxOutPerZone)
	case x.settings.MaxOutPerCell > 0 && cell >= x.settings.MaxOutPerCell:
		return fmt.Sprintf("%d of cell %d are out, %d may be", cell, m.Cell, x.settings.MaxOutPerCell)
	case left == 0 && !alone:
		return fmt.Sprintf("it is the last of cell %d", m.Cell)
	case x.settings.MaxOutPerKind > 0 && kind >= x.settings.MaxOutPerKind:
		return fmt.Sprintf("%d of type %s are out, %d may be", kind, m.Kind, x.settings.MaxOutPerKind)
	case room*(1-x.settings.Headroom) < max(x.Fleet.Usage, x.Fleet.PeakUsage):
		return fmt.Sprintf("what is left would not do for what is asked for: %.2f of %.2f", max(x.Fleet.Usage, x.Fleet.PeakUsage), room*(1-x.settings.Headroom))
	}
	return ""
}

// lost returns a zone of which more than half is out that nobody asked to be; "" is none.
func (x *State) lostZone() string {
	all, gone := map[string]int{}, map[string]int{}
	for i := range x.Fleet.Machines {
		m := &x.Fleet.Machines[i]
		all[m.Zone]++
		if it := x.Machines[m.Name]; !m.Healthy && (it == nil || it.Phase < Draining) {
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
func (x *State) recallUnaffordable() {
	var room float64
	for i := range x.Fleet.Machines {
		if m := &x.Fleet.Machines[i]; !x.isOut(m) {
			room += m.Capacity
		}
	}
	why := ""
	if zone := x.lostZone(); zone != "" {
		why = "more than half of zone " + zone + " is out unplanned"
	} else if len(x.Fleet.Machines) > 0 && room < max(x.Fleet.Usage, x.Fleet.PeakUsage) {
		why = fmt.Sprintf("what is asked for is %.2f of the %.2f that are left", max(x.Fleet.Usage, x.Fleet.PeakUsage), room)
	}
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		i := x.Machines[name]
		switch {
		case i.Phase == Draining && why != "":
			x.setPhase(i, Acknowledged)
			i.WaitReason = why
			x.recordEvent("%s stays in: %s", name, why)
		case i.Phase == UnderMaintenance && (why != "") != (i.RecallReason != ""):
			if i.RecallReason = why; why != "" {
				x.recordEvent("%s is wanted back: %s", name, why)
			}
		}
	}
}

// Order is what instances are told: the machines that are next in line, and those that nothing new may go to.
type Plan struct {
	Version   uint64   `json:"Version"`
	Announced []string `json:"Ahead"`
	Excluded  []string `json:"Stop"`
}

// Order returns it.
func (x *State) Plan() Plan {
	o := Plan{Version: x.PlanVersion}
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		switch x.Machines[name].Phase {
		case Announced, Acknowledged:
			o.Announced = append(o.Announced, name)
		case Draining, UnderMaintenance:
			o.Excluded = append(o.Excluded, name)
		}
	}
	return o
}
