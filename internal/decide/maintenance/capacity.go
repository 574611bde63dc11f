package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// This file decides from the fleet's status whether another machine may be drained, and whether machines that are out
// are needed back.

// machineIndex returns the index in Machines of the machine with the given name, or -1 if there is none.
func (f *FleetStatus) machineIndex(name string) int {
	return slices.IndexFunc(f.Machines, func(m MachineStatus) bool { return m.Name == name })
}

// Equal reports whether two statuses have the same usage and the same machines in the same order.
func (f *FleetStatus) Equal(other FleetStatus) bool {
	return f.Usage == other.Usage && f.PeakUsage == other.PeakUsage && slices.Equal(f.Machines, other.Machines)
}

// demand returns the capacity that must stay in service: the larger of the present and the expected peak usage.
func (f *FleetStatus) demand() float64 { return max(f.Usage, f.PeakUsage) }

// isHealthy reports whether the fleet's status lists a machine as healthy.
func (state *State) isHealthy(name string) bool {
	i := state.Fleet.machineIndex(name)
	return i >= 0 && state.Fleet.Machines[i].Healthy
}

// isOut reports whether a machine is out of service: it is unhealthy, or it has reached phase Draining or a later one.
func (state *State) isOut(machineStatus *MachineStatus) bool {
	plannedMachine := state.Machines[machineStatus.Name]
	return !machineStatus.Healthy || plannedMachine != nil && plannedMachine.Phase >= Draining
}

// outage counts the machines that are out and adds up the capacity that is in service. It does not include the
// candidate, which is the machine that may be drained next.
type outage struct {
	// Numbers of machines that are out: in all, in the candidate's zone, in the candidate's cell, and of the
	// candidate's kind.
	totalOut, outInZone, outInCell, outOfKind int

	inServiceInCell   int     // number of machines in service in the candidate's cell
	remainingCapacity float64 // capacity of the machines in service
	aloneInCell       bool    // the candidate is the only machine of its cell
}

// outageWithout returns the outage of all machines except the candidate, which is given by its index in
// Fleet.Machines.
func (state *State) outageWithout(candidateIndex int) (others outage) {
	others.aloneInCell = true
	candidate := &state.Fleet.Machines[candidateIndex]
	for j := range state.Fleet.Machines {
		other := &state.Fleet.Machines[j]
		if other.Cell == candidate.Cell && other.Name != candidate.Name {
			others.aloneInCell = false
		}
		if j != candidateIndex {
			others.addMachine(candidate, other, state.isOut(other))
		}
	}
	return others
}

// addMachine adds a machine to the outage. The machine must not be the candidate.
func (o *outage) addMachine(candidate, other *MachineStatus, out bool) {
	if !out {
		o.remainingCapacity += other.Capacity
		if other.Cell == candidate.Cell {
			o.inServiceInCell++
		}
		return
	}
	o.totalOut++
	if other.Zone == candidate.Zone {
		o.outInZone++
	}
	if other.Cell == candidate.Cell {
		o.outInCell++
	}
	if other.Kind == candidate.Kind {
		o.outOfKind++
	}
}

// drainBlockReason returns why a machine must not be drained now; empty if it may be. It checks in this order whether
// drains are on hold, whether the machine is missing in the fleet's status, whether a zone is lost, and whether the
// drain would exceed a bound. The texts are replicated and must not change.
func (state *State) drainBlockReason(m *Machine) string {
	i := state.Fleet.machineIndex(m.Name)
	switch {
	case state.OnHold:
		return "all is held"
	case state.oldestRequest(m).OnHold:
		return "it is held"
	case i < 0:
		return "it is in no list now"
	}
	if zone := state.lostZone(); zone != "" {
		return fmt.Sprintf("more than half of zone %s is out unplanned", zone)
	}
	return state.exceededBound(&state.Fleet.Machines[i], state.outageWithout(i))
}

// exceededBound describes the bound that the candidate's drain would exceed, given the outage of the other
// machines; empty if there is none. After the drain the capacity in service, less Settings.Headroom, must cover
// the fleet's demand.
func (state *State) exceededBound(candidate *MachineStatus, others outage) string {
	s := &state.settings
	usableCapacity := others.remainingCapacity * (1 - s.Headroom)
	switch {
	case others.totalOut >= s.MaxOut:
		return fmt.Sprintf("%d are out, %d may be", others.totalOut, s.MaxOut)
	case s.MaxOutPerZone > 0 && others.outInZone >= s.MaxOutPerZone:
		return fmt.Sprintf("%d of zone %s are out, %d may be", others.outInZone, candidate.Zone, s.MaxOutPerZone)
	case s.MaxOutPerCell > 0 && others.outInCell >= s.MaxOutPerCell:
		return fmt.Sprintf("%d of %s are out, %d may be", others.outInCell, candidate.cellName(), s.MaxOutPerCell)
	case others.inServiceInCell == 0 && !others.aloneInCell:
		return "it is the last of " + candidate.cellName()
	case s.MaxOutPerKind > 0 && others.outOfKind >= s.MaxOutPerKind:
		return fmt.Sprintf("%d of type %s are out, %d may be", others.outOfKind, candidate.Kind, s.MaxOutPerKind)
	case usableCapacity < state.Fleet.demand():
		return fmt.Sprintf("what is left would not do for what is asked for: %.2f of %.2f",
			state.Fleet.demand(), usableCapacity)
	}
	return ""
}

// cellName returns the machine's cell for operators.
func (m *MachineStatus) cellName() string {
	if m.Cell == UnknownCell {
		return "the machines without a cell in their list"
	}
	return fmt.Sprint("cell ", m.Cell)
}

// lostZone returns the first zone by name in which more than half of the machines are unhealthy although the plan has
// not taken them out; empty if there is none. While a zone is lost no machine is drained, because the other zones need
// their capacity to replace that of the lost zone.
func (state *State) lostZone() string {
	machineCount := map[string]int{}
	unplannedOut := map[string]int{}
	for i := range state.Fleet.Machines {
		status := &state.Fleet.Machines[i]
		machineCount[status.Zone]++
		plannedMachine := state.Machines[status.Name]
		if !status.Healthy && (plannedMachine == nil || plannedMachine.Phase < Draining) {
			unplannedOut[status.Zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(machineCount)) {
		if 2*unplannedOut[zone] > machineCount[zone] {
			return zone
		}
	}
	return ""
}

// updateRecalls recalls machines while recallReason returns a reason: a draining machine goes back into service, and a
// machine under maintenance is marked as needed back until there is no reason any more.
func (state *State) updateRecalls() {
	reason := state.recallReason()
	for _, name := range slices.Sorted(maps.Keys(state.Machines)) {
		m := state.Machines[name]
		switch {
		case m.Phase == Draining && reason != "":
			state.setPhase(m, Acknowledged)
			m.WaitReason = reason
			state.recordEvent("%s stays in: %s", name, reason)
		case m.Phase == UnderMaintenance && (reason != "") != (m.RecallReason != ""):
			m.RecallReason = reason
			if reason != "" {
				state.recordEvent("%s is wanted back: %s", name, reason)
			}
		}
	}
}

// recallReason returns why machines that are out are needed back: a zone is lost, or the capacity in service is less
// than the fleet's demand. It is empty if they are not needed. Settings.Headroom is not subtracted here, so that a
// small increase in demand does not undo a drain that was just allowed.
func (state *State) recallReason() string {
	if zone := state.lostZone(); zone != "" {
		return "more than half of zone " + zone + " is out unplanned"
	}
	remainingCapacity := 0.0
	for i := range state.Fleet.Machines {
		status := &state.Fleet.Machines[i]
		if !state.isOut(status) {
			remainingCapacity += status.Capacity
		}
	}
	if len(state.Fleet.Machines) > 0 && remainingCapacity < state.Fleet.demand() {
		return fmt.Sprintf("what is asked for is %.2f of the %.2f that are left",
			state.Fleet.demand(), remainingCapacity)
	}
	return ""
}
