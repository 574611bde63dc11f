package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// Coordinator is the leader's record of each instance's progress in applying the plan. Each term of leadership has its
// own, created with NewCoordinator; it is not stored.
type Coordinator struct {
	settings  Settings
	termStart monotime.Micros // start of the term
	instances map[Instance]*instanceProgress
}

// instanceProgress is a process's progress, by its latest report.
type instanceProgress struct {
	sequence    uint64          // of the report
	planVersion uint64          // of the plan that it applies
	inFlight    map[string]int  // requests in flight, by excluded machine
	leaseEnd    monotime.Micros // when its lease has expired by any clock
	reportedAt  monotime.Micros
}

// NewCoordinator returns the coordinator of an instance that leads from now on. The leases that earlier leaders granted
// are unknown; each expires within one lease's duration.
func NewCoordinator(now monotime.Micros, s Settings) *Coordinator {
	return &Coordinator{settings: s, termStart: now, instances: map[Instance]*instanceProgress{}}
}

// RecordReport records an instance's report. It reports whether the report is newer than the last one of the same
// process; an older one is ignored.
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

// earlierLeasesEnd returns when all leases of earlier leaders have expired by any clock.
func (c *Coordinator) earlierLeasesEnd() monotime.Micros {
	return c.termStart + c.settings.withDrift(c.settings.LeaseDuration)
}

// Grant returns the reply to a report that was recorded, and records the lease in it.
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

// Progress is the machines that may enter their next phase, by the instances' reports. The leader puts it into the log.
type Progress struct {
	Acknowledged []string          // machines that all instances have a plan with, as announced
	Drained      []string          // machines to which no instance sends, with nothing in flight there
	WaitReasons  map[string]string // by machine: why it may not enter its next phase; empty if it may
}

// Progress returns the machines of a state that may enter their next phase, sorted by name, and what the others wait
// for.
func (c *Coordinator) Progress(now monotime.Micros, state *State) Progress {
	progress := Progress{WaitReasons: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(state.Machines)) {
		m := state.Machines[name]
		switch m.Phase {
		case Announced:
			progress.WaitReasons[name] = c.acknowledgmentWaitReason(state, m)
			if progress.WaitReasons[name] == "" {
				progress.Acknowledged = append(progress.Acknowledged, name)
			}
		case Draining:
			progress.WaitReasons[name] = c.drainWaitReason(now, state, m)
			if progress.WaitReasons[name] == "" {
				progress.Drained = append(progress.Drained, name)
			}
		}
	}
	return progress
}

// acknowledgmentWaitReason returns which instance may not have a plan that lists a machine as announced; empty if none.
func (c *Coordinator) acknowledgmentWaitReason(state *State, m *Machine) string {
	for _, name := range slices.Sorted(maps.Keys(state.Instances)) {
		progress := c.instances[Instance{Name: name, Incarnation: state.Instances[name]}]
		if progress == nil || progress.planVersion < m.PlanVersion {
			return "instance " + name + " has not been told"
		}
	}
	return ""
}

// drainWaitReason returns which instance may still send to a draining machine or have requests in flight there; empty if
// none. An instance whose lease and grace time are over does neither, since its plan lists the machine as announced.
func (c *Coordinator) drainWaitReason(now monotime.Micros, state *State, m *Machine) string {
	if !c.gracePeriodOver(now, c.earlierLeasesEnd()) {
		return "who led before may have told a process that is not heard yet"
	}
	for _, name := range slices.Sorted(maps.Keys(state.Instances)) {
		progress := c.instances[Instance{Name: name, Incarnation: state.Instances[name]}]
		switch {
		case progress == nil || c.gracePeriodOver(now, progress.leaseEnd):
		case progress.planVersion < m.PlanVersion:
			return "instance " + name + " has not been told to stop"
		case progress.inFlight[m.Name] > 0:
			return "instance " + name + " still has something open there"
		}
	}
	return c.predecessorWaitReason(now, state)
}

// predecessorWaitReason returns which instance's earlier process may still have requests in flight; empty if none.
func (c *Coordinator) predecessorWaitReason(now monotime.Micros, state *State) string {
	for _, instance := range c.sortedInstances() {
		isCurrent := state.Instances[instance.Name] == instance.Incarnation
		if !isCurrent && !c.gracePeriodOver(now, c.instances[instance].leaseEnd) {
			return "a former process of instance " + instance.Name + " may have something open"
		}
	}
	return ""
}

// ended reports whether the grace time after a lease has passed by any clock.
func (c *Coordinator) gracePeriodOver(now, leaseEnd monotime.Micros) bool {
	return now >= leaseEnd+c.settings.withDrift(c.settings.InFlightGrace)
}

// sortedInstances returns all processes that have reported in this term, by name and incarnation.
func (c *Coordinator) sortedInstances() []Instance {
	return slices.SortedFunc(maps.Keys(c.instances), func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// SilentInstances returns the instances that have sent no report for a time, sorted by name. They prevent machines from
// being acknowledged: such a process may have ended, or be cut off.
func (c *Coordinator) SilentInstances(now monotime.Micros, state *State, timeout monotime.Micros) []Instance {
	var silent []Instance
	for _, name := range slices.Sorted(maps.Keys(state.Instances)) {
		instance := Instance{Name: name, Incarnation: state.Instances[name]}
		lastReport := c.termStart
		if progress := c.instances[instance]; progress != nil {
			lastReport = progress.reportedAt
		}
		if now >= lastReport+timeout {
			silent = append(silent, instance)
		}
	}
	return silent
}
