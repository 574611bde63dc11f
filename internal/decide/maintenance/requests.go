package maintenance

import (
	"fmt"
	"slices"
	"strings"
)

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
