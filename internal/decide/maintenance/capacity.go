package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// This file decides by the fleet's status whether another machine may be drained, and whether one is recalled.

// index returns a machine's index in Machines, or -1.
func (f *FleetStatus) index(name string) int {
	return slices.IndexFunc(f.Machines, func(m MachineStatus) bool { return m.Name == name })
}

// Equal reports whether two statuses are the same, machine by machine.
func (f *FleetStatus) Equal(other FleetStatus) bool {
	return f.Usage == other.Usage && f.PeakUsage == other.PeakUsage && slices.Equal(f.Machines, other.Machines)
}

// demand returns the capacity that the machines in service must have: the present or the expected usage, if higher.
func (f *FleetStatus) demand() float64 { return max(f.Usage, f.PeakUsage) }

// isHealthy reports whether the fleet's status has a machine as healthy.
func (x *State) isHealthy(name string) bool {
	i := x.Fleet.index(name)
	return i >= 0 && x.Fleet.Machines[i].Healthy
}

// isOut reports whether a machine counts as out: it is drained or beyond by the plan, or it is unhealthy.
func (x *State) isOut(status *MachineStatus) bool {
	m := x.Machines[status.Name]
	return !status.Healthy || m != nil && m.Phase >= Draining
}

// outage is the machines out of service, and the capacity in service, without one machine that may be drained.
type outage struct {
	total, sameZone, sameCell, sameKind int // machines out
	healthyInCell                       int // machines in service in the machine's cell
	remainingCapacity                   float64
	aloneInCell                         bool // no other machine is in its cell
}

// outageBeside returns the outage without the i-th machine, counted by that machine's zone, cell and kind.
func (x *State) outageBeside(i int) (o outage) {
	o.aloneInCell = true
	status := &x.Fleet.Machines[i]
	for j := range x.Fleet.Machines {
		other := &x.Fleet.Machines[j]
		if other.Cell == status.Cell && other.Name != status.Name {
			o.aloneInCell = false
		}
		if j != i {
			o.count(status, other, x.isOut(other))
		}
	}
	return o
}

// count adds another machine to an outage.
func (o *outage) count(status, other *MachineStatus, out bool) {
	if !out {
		o.remainingCapacity += other.Capacity
		if other.Cell == status.Cell {
			o.healthyInCell++
		}
		return
	}
	o.total++
	if other.Zone == status.Zone {
		o.sameZone++
	}
	if other.Cell == status.Cell {
		o.sameCell++
	}
	if other.Kind == status.Kind {
		o.sameKind++
	}
}

// drainBlockedBy returns why a machine must not be drained now; empty if it may be. The reasons are, in this order: a
// hold, a machine that is not in the fleet's status, a lost zone, and the bounds of boundReachedBy. The texts are
// replicated, and stay as they are.
func (x *State) drainBlockedBy(m *Machine) string {
	i := x.Fleet.index(m.Name)
	switch {
	case x.OnHold:
		return "all is held"
	case x.firstRequest(m).OnHold:
		return "it is held"
	case i < 0:
		return "it is in no list now"
	}
	if zone := x.lostZone(); zone != "" {
		return fmt.Sprintf("more than half of zone %s is out unplanned", zone)
	}
	return x.boundReachedBy(&x.Fleet.Machines[i], x.outageBeside(i))
}

// boundReachedBy returns which bound of the settings a machine's drain would break, given the machines that are out;
// empty if none. After a drain the capacity in service, less Settings.Headroom, must cover the fleet's demand.
func (x *State) boundReachedBy(status *MachineStatus, o outage) string {
	s := &x.settings
	spareable := o.remainingCapacity * (1 - s.Headroom)
	switch {
	case o.total >= s.MaxOut:
		return fmt.Sprintf("%d are out, %d may be", o.total, s.MaxOut)
	case s.MaxOutPerZone > 0 && o.sameZone >= s.MaxOutPerZone:
		return fmt.Sprintf("%d of zone %s are out, %d may be", o.sameZone, status.Zone, s.MaxOutPerZone)
	case s.MaxOutPerCell > 0 && o.sameCell >= s.MaxOutPerCell:
		return fmt.Sprintf("%d of cell %d are out, %d may be", o.sameCell, status.Cell, s.MaxOutPerCell)
	case o.healthyInCell == 0 && !o.aloneInCell:
		return fmt.Sprintf("it is the last of cell %d", status.Cell)
	case s.MaxOutPerKind > 0 && o.sameKind >= s.MaxOutPerKind:
		return fmt.Sprintf("%d of type %s are out, %d may be", o.sameKind, status.Kind, s.MaxOutPerKind)
	case spareable < x.Fleet.demand():
		return fmt.Sprintf("what is left would not do for what is asked for: %.2f of %.2f", x.Fleet.demand(), spareable)
	}
	return ""
}

// lostZone returns the first zone, by name, of which more than half of the machines are unhealthy without being
// drained; empty if there is none. While a zone is lost, its machines' capacity is needed elsewhere: nothing is
// drained.
func (x *State) lostZone() string {
	total := map[string]int{}
	unplanned := map[string]int{}
	for i := range x.Fleet.Machines {
		status := &x.Fleet.Machines[i]
		total[status.Zone]++
		m := x.Machines[status.Name]
		if !status.Healthy && (m == nil || m.Phase < Draining) {
			unplanned[status.Zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(total)) {
		if 2*unplanned[zone] > total[zone] {
			return zone
		}
	}
	return ""
}

// recallUnaffordable recalls machines while the capacity in service is too small (recallReason): a draining machine
// goes back into service, and one under maintenance is marked as needed back, until the reason no longer holds.
func (x *State) recallUnaffordable() {
	reason := x.recallReason()
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		m := x.Machines[name]
		switch {
		case m.Phase == Draining && reason != "":
			x.setPhase(m, Acknowledged)
			m.WaitReason = reason
			x.recordEvent("%s stays in: %s", name, reason)
		case m.Phase == UnderMaintenance && (reason != "") != (m.RecallReason != ""):
			m.RecallReason = reason
			if reason != "" {
				x.recordEvent("%s is wanted back: %s", name, reason)
			}
		}
	}
}

// recallReason returns why capacity that is out is needed back; empty if it is not: a zone is lost, or the capacity in
// service is less than the fleet's demand. Settings.Headroom does not count here, so that a drain that was just allowed
// is not undone by a small rise of the demand.
func (x *State) recallReason() string {
	if zone := x.lostZone(); zone != "" {
		return "more than half of zone " + zone + " is out unplanned"
	}
	remaining := 0.0
	for i := range x.Fleet.Machines {
		status := &x.Fleet.Machines[i]
		if !x.isOut(status) {
			remaining += status.Capacity
		}
	}
	if len(x.Fleet.Machines) > 0 && remaining < x.Fleet.demand() {
		return fmt.Sprintf("what is asked for is %.2f of the %.2f that are left", x.Fleet.demand(), remaining)
	}
	return ""
}
