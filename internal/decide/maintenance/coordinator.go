package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// Coordinator is what the leader knows of how far every instance has applied the plan. Each term of leadership has
// its own, made with NewCoordinator; none of it is stored.
type Coordinator struct {
	settings  Settings
	since     monotime.Micros
	instances map[Instance]*instanceProgress
}

// instanceProgress is how far a process has come, by its last report.
type instanceProgress struct {
	sequence    uint64
	planVersion uint64
	inFlight    map[string]int
	leaseEnd    monotime.Micros // when its lease is over by any clock
	reportedAt  monotime.Micros
}

// NewCoordinator returns the knowledge of an instance that leads from now on: what leaders before it granted holds
// for one lease at most.
func NewCoordinator(now monotime.Micros, s Settings) *Coordinator {
	return &Coordinator{settings: s, since: now, instances: map[Instance]*instanceProgress{}}
}

// RecordReport records an instance's report, and reports whether it is newer than the last one of the same process.
func (c *Coordinator) RecordReport(now monotime.Micros, name string, report Report) bool {
	instance := Instance{Name: name, Incarnation: report.Incarnation}
	progress := c.instances[instance]
	if progress == nil {
		progress = &instanceProgress{leaseEnd: c.earlierLeasesEnd()}
		c.instances[instance] = progress
	}
	if report.Sequence <= progress.sequence {
		return false
	}
	progress.sequence = report.Sequence
	progress.planVersion = report.PlanVersion
	progress.inFlight = report.InFlight
	progress.reportedAt = now
	return true
}

// earlierLeasesEnd returns when all leases that leaders before this one granted are over by any clock.
func (c *Coordinator) earlierLeasesEnd() monotime.Micros {
	return c.since + c.settings.withDrift(c.settings.LeaseDuration)
}

// Grant returns the answer to a report that was recorded, and notes the lease that it gives.
func (c *Coordinator) Grant(now monotime.Micros, name string, report Report, plan Plan) PlanGrant {
	progress := c.instances[Instance{Name: name, Incarnation: report.Incarnation}]
	progress.leaseEnd = max(progress.leaseEnd, now+c.settings.withDrift(c.settings.LeaseDuration))
	return PlanGrant{
		Incarnation:   report.Incarnation,
		Sequence:      report.Sequence,
		Plan:          plan,
		LeaseDuration: c.settings.LeaseDuration,
	}
}

// Progress is what instances' reports allow to be entered into the log.
type Progress struct {
	Acknowledged []string          // machines that all instances know as announced
	Drained      []string          // machines that nobody sends to, with nothing in flight there
	WaitReasons  map[string]string // what the others wait for, by machine
}

// Progress returns which machines of a state may enter their next phase, by name.
func (c *Coordinator) Progress(now monotime.Micros, x *State) Progress {
	progress := Progress{WaitReasons: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		m := x.Machines[name]
		switch m.Phase {
		case Announced:
			progress.WaitReasons[name] = c.notAcknowledgedBy(x, m)
			if progress.WaitReasons[name] == "" {
				progress.Acknowledged = append(progress.Acknowledged, name)
			}
		case Draining:
			progress.WaitReasons[name] = c.stillInUseBy(now, x, m)
			if progress.WaitReasons[name] == "" {
				progress.Drained = append(progress.Drained, name)
			}
		}
	}
	return progress
}

// notAcknowledgedBy returns which instance may not know that a machine is announced; "" if none.
func (c *Coordinator) notAcknowledgedBy(x *State, m *Machine) string {
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		progress := c.instances[Instance{Name: name, Incarnation: x.Instances[name]}]
		if progress == nil || progress.planVersion < m.PlanVersion {
			return "instance " + name + " has not been told"
		}
	}
	return ""
}

// stillInUseBy returns who may still send to a draining machine or have something in flight there; "" is nobody. An
// instance whose lease and grace time are over does neither: it knew the machine as announced.
func (c *Coordinator) stillInUseBy(now monotime.Micros, x *State, m *Machine) string {
	if !c.ended(now, c.earlierLeasesEnd()) {
		return "who led before may have told a process that is not heard yet"
	}
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		progress := c.instances[Instance{Name: name, Incarnation: x.Instances[name]}]
		switch {
		case progress == nil || c.ended(now, progress.leaseEnd):
		case progress.planVersion < m.PlanVersion:
			return "instance " + name + " has not been told to stop"
		case progress.inFlight[m.Name] > 0:
			return "instance " + name + " still has something open there"
		}
	}
	return c.predecessorInUse(now, x)
}

// predecessorInUse returns which instance's earlier process may still have something in flight; "" if none.
func (c *Coordinator) predecessorInUse(now monotime.Micros, x *State) string {
	for _, instance := range c.sortedInstances() {
		current := x.Instances[instance.Name] == instance.Incarnation
		if !current && !c.ended(now, c.instances[instance].leaseEnd) {
			return "a former process of instance " + instance.Name + " may have something open"
		}
	}
	return ""
}

// ended reports whether the grace time after a lease is over by any clock.
func (c *Coordinator) ended(now, leaseEnd monotime.Micros) bool {
	return now >= leaseEnd+c.settings.withDrift(c.settings.InFlightGrace)
}

func (c *Coordinator) sortedInstances() []Instance {
	return slices.SortedFunc(maps.Keys(c.instances), func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// SilentInstances returns the instances that have not reported for a time, by name. They keep machines from being
// acknowledged: whether such a process still runs cannot be told here.
func (c *Coordinator) SilentInstances(now monotime.Micros, x *State, after monotime.Micros) []Instance {
	var silent []Instance
	for _, name := range slices.Sorted(maps.Keys(x.Instances)) {
		instance := Instance{Name: name, Incarnation: x.Instances[name]}
		lastReport := c.since
		if progress := c.instances[instance]; progress != nil {
			lastReport = progress.reportedAt
		}
		if now >= lastReport+after {
			silent = append(silent, instance)
		}
	}
	return silent
}
