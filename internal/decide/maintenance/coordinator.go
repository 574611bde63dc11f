package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// Coordinator is the leader's record of each instance's progress in applying the plan. It is not stored: the leader
// creates one with NewCoordinator at the start of each term.
type Coordinator struct {
	settings  Settings
	termStart monotime.Micros // start of the leader's term
	instances map[Instance]*instanceProgress
}

// instanceProgress is the progress of one process in applying the plan, from its latest report.
type instanceProgress struct {
	sequence    uint64          // sequence number of the report
	planVersion uint64          // version of the plan that the process applies
	inFlight    map[string]int  // number of requests in flight, by excluded machine
	leaseEnd    monotime.Micros // time at which the process's lease has expired on every clock
	reportedAt  monotime.Micros // time at which the report was received
}

// NewCoordinator returns the coordinator of an instance that becomes leader at now. The leases that earlier leaders
// granted are unknown to it; each expires within Settings.LeaseDuration.
func NewCoordinator(now monotime.Micros, s Settings) *Coordinator {
	return &Coordinator{settings: s, termStart: now, instances: map[Instance]*instanceProgress{}}
}

// RecordReport records an instance's report. It returns false, and ignores the report, if it is not newer than
// the last report of the same process.
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

// earlierLeasesEnd returns the time at which all leases that earlier leaders granted have expired on every clock.
func (c *Coordinator) earlierLeasesEnd() monotime.Micros {
	return c.termStart + c.settings.withDrift(c.settings.LeaseDuration)
}

// Grant returns the reply to a report for which RecordReport returned true, and records the lease that it grants.
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

// Progress lists the machines that may enter their next phase according to the instances' reports. The leader appends
// it to the log.
type Progress struct {
	Acknowledged []string          // machines that the plan of every instance lists as announced
	Drained      []string          // machines without requests in flight, to which no instance sends
	WaitReasons  map[string]string // why each machine must wait, by machine name; empty if it need not wait
}

// Progress returns which announced and draining machines may enter their next phase, sorted by name, and why the others
// must wait.
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

// acknowledgmentWaitReason returns why an announced machine must not enter phase Acknowledged: an instance may not have
// a plan that lists the machine as announced. It is empty if every instance has one.
func (c *Coordinator) acknowledgmentWaitReason(state *State, m *Machine) string {
	for _, name := range slices.Sorted(maps.Keys(state.Instances)) {
		progress := c.instances[Instance{Name: name, Incarnation: state.Instances[name]}]
		if progress == nil || progress.planVersion < m.PlanVersion {
			return "instance " + name + " has not been told"
		}
	}
	return ""
}

// drainWaitReason returns why a draining machine does not count as drained: an instance may still send requests to it,
// or has requests in flight there. It is empty if the machine is drained. An instance whose lease and grace period are
// over does neither, because its plan lists the machine as announced.
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

// predecessorWaitReason returns why a draining machine does not count as drained: an earlier process of an instance may
// still have requests in flight. It is empty if there is no such process.
func (c *Coordinator) predecessorWaitReason(now monotime.Micros, state *State) string {
	for _, instance := range c.sortedInstances() {
		isCurrent := state.Instances[instance.Name] == instance.Incarnation
		if !isCurrent && !c.gracePeriodOver(now, c.instances[instance].leaseEnd) {
			return "a former process of instance " + instance.Name + " may have something open"
		}
	}
	return ""
}

// gracePeriodOver reports whether the time Settings.InFlightGrace since the end of a lease has passed on every clock.
func (c *Coordinator) gracePeriodOver(now, leaseEnd monotime.Micros) bool {
	return now >= leaseEnd+c.settings.withDrift(c.settings.InFlightGrace)
}

// sortedInstances returns all processes that have reported in this term, sorted by name and incarnation.
func (c *Coordinator) sortedInstances() []Instance {
	return slices.SortedFunc(maps.Keys(c.instances), func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// SilentInstances returns the instances that have sent no report for at least timeout, sorted by name. The process of
// such an instance may have ended or may be cut off. Machines may stay announced until it reports again.
func (c *Coordinator) SilentInstances(now monotime.Micros, state *State, timeout monotime.Micros) []Instance {
	var silentInstances []Instance
	for _, name := range slices.Sorted(maps.Keys(state.Instances)) {
		instance := Instance{Name: name, Incarnation: state.Instances[name]}
		lastReport := c.termStart
		if progress := c.instances[instance]; progress != nil {
			lastReport = progress.reportedAt
		}
		if now >= lastReport+timeout {
			silentInstances = append(silentInstances, instance)
		}
	}
	return silentInstances
}
