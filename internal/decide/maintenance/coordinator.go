package maintenance

import (
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// Watch is what who leads knows of how far all instances do. It begins with each leading anew.
type Coordinator struct {
	settings  Settings
	since     monotime.Micros
	instances map[Instance]*instanceProgress
}

// seen is an instance, as reported.
type instanceProgress struct {
	sequence    uint64
	planVersion uint64
	inFlight    map[string]int
	leaseEnd    monotime.Micros // its lease is over by any clock
	reportedAt  monotime.Micros
}

// NewWatch returns what is known by one that leads from now on: what another before it has told instances holds for a lease at most.
func NewCoordinator(now monotime.Micros, s Settings) *Coordinator {
	return &Coordinator{settings: s, since: now, instances: map[Instance]*instanceProgress{}}
}

// Hear takes a report in. It says no of one that is older than another of the same process.
func (w *Coordinator) RecordReport(now monotime.Micros, name string, r Report) bool {
	who := Instance{name, r.Incarnation}
	x := w.instances[who]
	if x == nil {
		x = &instanceProgress{leaseEnd: w.since + w.settings.withDrift(w.settings.LeaseDuration)}
		w.instances[who] = x
	}
	if r.Sequence <= x.sequence {
		return false
	}
	x.sequence, x.planVersion, x.inFlight, x.reportedAt = r.Sequence, r.PlanVersion, r.InFlight, now
	return true
}

// Telling notes that an instance is told an order now, and returns what it is told.
func (w *Coordinator) Grant(now monotime.Micros, name string, r Report, o Plan) PlanGrant {
	x := w.instances[Instance{name, r.Incarnation}]
	x.leaseEnd = max(x.leaseEnd, now+w.settings.withDrift(w.settings.LeaseDuration))
	return PlanGrant{Incarnation: r.Incarnation, Sequence: r.Sequence, Plan: o, LeaseDuration: w.settings.LeaseDuration}
}

// Commands returns what is to be entered into the log by what is known: machines that all know as ahead, and such as are free. why says, by machine, what
// is waited for.
func (w *Coordinator) Progress(now monotime.Micros, x *State) (known, free []string, why map[string]string) {
	why = map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		i := x.Machines[name]
		switch i.Phase {
		case Announced:
			if why[name] = w.notAcknowledgedBy(now, x, i); why[name] == "" {
				known = append(known, name)
			}
		case Draining:
			if why[name] = w.stillInUseBy(now, x, i); why[name] == "" {
				free = append(free, name)
			}
		}
	}
	return known, free, why
}

// unknown says who may not know a machine as ahead; "" is nobody.
func (w *Coordinator) notAcknowledgedBy(now monotime.Micros, x *State, i *Machine) string {
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		s := w.instances[Instance{name, x.Instances[name]}]
		if s == nil || s.planVersion < i.PlanVersion {
			return "instance " + name + " has not been told"
		}
	}
	return ""
}

// sending says who may still send to a machine, or have something open there; "" is nobody. One whose lease has been over for as long as
// it may have things open has neither, since it knew the machine as ahead.
func (w *Coordinator) stillInUseBy(now monotime.Micros, x *State, i *Machine) string {
	over := func(until monotime.Micros) bool { return now >= until+w.settings.withDrift(w.settings.InFlightGrace) }
	if !over(w.since + w.settings.withDrift(w.settings.LeaseDuration)) {
		return "who led before may have told a process that is not heard yet" // of whichever life
	}
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		who := Instance{name, x.Instances[name]}
		s := w.instances[who]
		switch {
		case s == nil || over(s.leaseEnd):
		case s.planVersion < i.PlanVersion:
			return "instance " + name + " has not been told to stop"
		case s.inFlight[i.Name] > 0:
			return "instance " + name + " still has something open there"
		}
	}
	// A process whose place another of its name has may still have things open.
	for _, who := range w.sortedInstances() {
		if s := w.instances[who]; x.Instances[who.Name] != who.Incarnation && !over(s.leaseEnd) {
			return "a former process of instance " + who.Name + " may have something open"
		}
	}
	return ""
}

func (w *Coordinator) sortedInstances() []Instance {
	return slices.SortedFunc(maps.Keys(w.instances), func(a, b Instance) int {
		if a.Name != b.Name {
			return map[bool]int{true: -1, false: 1}[a.Name < b.Name]
		}
		return map[bool]int{true: -1, false: 1}[a.Incarnation < b.Incarnation]
	})
}

// Lost returns instances that have not been heard for so long. Whoever is not told of machines next in line keeps them from being known: whether
// such a process still runs nobody here can tell.
func (w *Coordinator) SilentInstances(now monotime.Micros, x *State, after monotime.Micros) (all []Instance) {
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		who := Instance{name, x.Instances[name]}
		if s := w.instances[who]; s != nil && now >= s.reportedAt+after || s == nil && now >= w.since+after {
			all = append(all, who)
		}
	}
	return all
}
