package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// This file applies operators' commands. An error is the reply to an operator whose command has no effect; all replicas
// return the same.

var errIncompleteRequest = errors.New("an id, a machine and a time are needed")

// unknownRequest returns the error of a command for a request that does not exist. Its text predates the term request.
func unknownRequest(id string) error { return fmt.Errorf("no job is named %q", id) }

// addRequest adds a request and its machines to the plan. If a request of the same id exists, only that one's
// description is returned. It fails if a field is missing, or if a machine is not in the fleet's status, where
// that is known.
func (x *State) addRequest(request Request) (answer string, err error) {
	if request.ID == "" || len(request.Machines) == 0 || request.Duration <= 0 {
		return "", errIncompleteRequest
	}
	if earlier := x.Requests[request.ID]; earlier != nil {
		return x.describe(earlier), nil
	}
	request.Machines = slices.Clone(request.Machines)
	slices.Sort(request.Machines)
	request.Machines = slices.Compact(request.Machines)
	for _, name := range request.Machines {
		if len(x.Fleet.Machines) > 0 && x.Fleet.index(name) < 0 {
			return "", fmt.Errorf("no machine is named %q", name)
		}
	}
	request.RequestedAt = x.Now
	x.Requests[request.ID] = &request
	for _, name := range request.Machines {
		x.requireMachine(name, &request)
	}
	x.recordEvent("%s asks for %s: %s", request.Requester, strings.Join(request.Machines, ", "), request.Reason)
	x.advance()
	return x.describe(&request), nil
}

// requireMachine adds a request to those that need a machine out. One that is under maintenance stays so for at least
// the request's duration; one that is returning starts anew.
func (x *State) requireMachine(name string, request *Request) {
	m := x.Machines[name]
	switch {
	case m == nil:
		x.Machines[name] = &Machine{Name: name, Requests: []string{request.ID}, Since: x.Now}
	case m.Phase == Returning:
		m.Requests = []string{request.ID}
		x.setPhase(m, Requested)
	default:
		m.Requests = append(m.Requests, request.ID)
		if m.Phase == UnderMaintenance {
			m.DueAt = max(m.DueAt, x.Now+request.Duration)
		}
	}
}

// describe returns the phase of each of a request's machines, and what blocks it.
func (x *State) describe(request *Request) string {
	var parts []string
	for _, name := range request.Machines {
		m := x.Machines[name]
		switch {
		case m == nil || !slices.Contains(m.Requests, request.ID):
			parts = append(parts, name+" is back")
		case m.WaitReason != "":
			parts = append(parts, fmt.Sprintf("%s is %v: %s", name, m.Phase, m.WaitReason))
		default:
			parts = append(parts, fmt.Sprintf("%s is %v", name, m.Phase))
		}
	}
	return strings.Join(parts, "; ")
}

// cancelRequest withdraws a request: machines under maintenance return, and those that were not drained stay in
// service.
func (x *State) cancelRequest(id string) (answer string, err error) {
	request := x.Requests[id]
	if request == nil {
		return "", unknownRequest(id)
	}
	for _, name := range request.Machines {
		x.releaseMachine(name, id)
	}
	x.recordEvent("%s is cancelled", id)
	delete(x.Requests, id)
	return "cancelled", nil
}

// completeRequest releases one machine of a request, or all, and removes the request once it needs no machine.
func (x *State) completeRequest(c Completion) (answer string, err error) {
	request := x.Requests[c.Request]
	if request == nil {
		return "", unknownRequest(c.Request)
	}
	machines := request.Machines
	if c.Machine != "" {
		machines = []string{c.Machine}
		if !slices.Contains(request.Machines, c.Machine) {
			return "", fmt.Errorf("%s does not ask for %q", c.Request, c.Machine)
		}
	}
	for _, name := range machines {
		x.releaseMachine(name, c.Request)
	}
	answer = x.describe(request)
	if !slices.ContainsFunc(request.Machines, func(name string) bool { return x.needs(request.ID, name) }) {
		delete(x.Requests, request.ID)
	}
	return answer, nil
}

// needs reports whether a request still needs a machine out.
func (x *State) needs(requestID, name string) bool {
	m := x.Machines[name]
	return m != nil && slices.Contains(m.Requests, requestID)
}

// releaseMachine removes a request from those that need a machine out. Without any left, a machine under maintenance
// returns, and any other is removed from the plan.
func (x *State) releaseMachine(name, requestID string) {
	if !x.needs(requestID, name) {
		return
	}
	m := x.Machines[name]
	m.Requests = slices.DeleteFunc(m.Requests, func(id string) bool { return id == requestID })
	switch {
	case len(m.Requests) > 0:
	case m.Phase == UnderMaintenance:
		x.setPhase(m, Returning)
		x.recordEvent("%s returns, cold", name)
	case m.Phase == Draining:
		// No work on the machine has begun: it needs no warm-up.
		x.PlanVersion++
		delete(x.Machines, name)
		x.recordEvent("%s stays in", name)
	default:
		if listOf(m.Phase) == listAnnounced {
			x.PlanVersion++
		}
		delete(x.Machines, name)
	}
}

// setHold starts or ends a hold of one request, or of all.
func (x *State) setHold(h Hold) (answer string, err error) {
	if h.Request == "" {
		x.OnHold = h.On
		x.recordEvent("held: %v", h.On)
		return "held", nil
	}
	request := x.Requests[h.Request]
	if request == nil {
		return "", unknownRequest(h.Request)
	}
	request.OnHold = h.On
	return x.describe(request), nil
}
