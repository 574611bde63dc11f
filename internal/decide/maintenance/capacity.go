package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

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
