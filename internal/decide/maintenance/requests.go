package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// This file applies operators' commands. If a command has no effect, the reply to the operator is an error. All
// replicas must return the same replies and errors, so the texts must not change.

var errIncompleteRequest = errors.New("an id, a machine and a time are needed")

// unknownRequest returns the error for a command that names a request that does not exist. The text is older than the
// term request.
func unknownRequest(id string) error { return fmt.Errorf("no job is named %q", id) }

// addRequest adds a request and its machines to the plan, and returns its description. If a request with the
// same ID exists, it adds nothing and returns the description of the existing one. It fails if a required field
// is missing, or if the fleet's status is known and does not list one of the machines.
func (state *State) addRequest(request Request) (reply string, err error) {
	if request.ID == "" || len(request.Machines) == 0 || request.Duration <= 0 {
		return "", errIncompleteRequest
	}
	if existing := state.Requests[request.ID]; existing != nil {
		return state.describe(existing), nil
	}
	request.Machines = slices.Clone(request.Machines)
	slices.Sort(request.Machines)
	request.Machines = slices.Compact(request.Machines)
	for _, name := range request.Machines {
		if len(state.Fleet.Machines) > 0 && state.Fleet.machineIndex(name) < 0 {
			return "", fmt.Errorf("no machine is named %q", name)
		}
	}
	request.RequestedAt = state.Now
	state.Requests[request.ID] = &request
	for _, name := range request.Machines {
		state.requireMachine(name, &request)
	}
	state.recordEvent("%s asks for %s: %s", request.Requester, strings.Join(request.Machines, ", "), request.Reason)
	state.advance()
	return state.describe(&request), nil
}

// requireMachine records that a request needs a machine to be out. If the machine is under maintenance, its due time is
// extended to cover the request's duration. If it is returning, it goes back to phase Requested.
func (state *State) requireMachine(name string, request *Request) {
	m := state.Machines[name]
	switch {
	case m == nil:
		state.Machines[name] = &Machine{Name: name, Requests: []string{request.ID}, PhaseSince: state.Now}
	case m.Phase == Returning:
		m.Requests = []string{request.ID}
		state.setPhase(m, Requested)
	default:
		m.Requests = append(m.Requests, request.ID)
		if m.Phase == UnderMaintenance {
			m.DueAt = max(m.DueAt, state.Now+request.Duration)
		}
	}
}

// describe returns a text with the phase of each machine of a request, and with the machine's wait reason if it has
// one.
func (state *State) describe(request *Request) string {
	var machineTexts []string
	for _, name := range request.Machines {
		m := state.Machines[name]
		switch {
		case m == nil || !slices.Contains(m.Requests, request.ID):
			machineTexts = append(machineTexts, name+" is back")
		case m.WaitReason != "":
			machineTexts = append(machineTexts, fmt.Sprintf("%s is %v: %s", name, m.Phase, m.WaitReason))
		default:
			machineTexts = append(machineTexts, fmt.Sprintf("%s is %v", name, m.Phase))
		}
	}
	return strings.Join(machineTexts, "; ")
}

// cancelRequest removes a request from the plan. A machine that no other request needs to be out returns if it is under
// maintenance, and stays in service otherwise.
func (state *State) cancelRequest(id string) (reply string, err error) {
	request := state.Requests[id]
	if request == nil {
		return "", unknownRequest(id)
	}
	for _, name := range request.Machines {
		state.releaseMachine(name, id)
	}
	state.recordEvent("%s is cancelled", id)
	delete(state.Requests, id)
	return "cancelled", nil
}

// completeRequest releases one machine of a request, or all its machines. It removes the request once the request needs
// no machine to be out.
func (state *State) completeRequest(c Completion) (reply string, err error) {
	request := state.Requests[c.Request]
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
		state.releaseMachine(name, c.Request)
	}
	reply = state.describe(request)
	if !slices.ContainsFunc(request.Machines, func(name string) bool { return state.requestNeeds(request.ID, name) }) {
		delete(state.Requests, request.ID)
	}
	return reply, nil
}

// requestNeeds reports whether a request still needs a machine to be out.
func (state *State) requestNeeds(requestID, name string) bool {
	m := state.Machines[name]
	return m != nil && slices.Contains(m.Requests, requestID)
}

// releaseMachine records that a request no longer needs a machine to be out. If no other request needs it to be out,
// the machine returns if it is under maintenance, and is removed from the plan otherwise.
func (state *State) releaseMachine(name, requestID string) {
	if !state.requestNeeds(requestID, name) {
		return
	}
	m := state.Machines[name]
	m.Requests = slices.DeleteFunc(m.Requests, func(id string) bool { return id == requestID })
	switch {
	case len(m.Requests) > 0:
	case m.Phase == UnderMaintenance:
		state.setPhase(m, Returning)
		state.recordEvent("%s returns, cold", name)
	case m.Phase == Draining:
		// A draining machine needs no warm-up, because work on it has not started.
		state.PlanVersion++
		delete(state.Machines, name)
		state.recordEvent("%s stays in", name)
	default:
		if planListOf(m.Phase) == listAnnounced {
			state.PlanVersion++
		}
		delete(state.Machines, name)
	}
}

// setHold starts or ends a hold on one request, or on all requests.
func (state *State) setHold(h Hold) (reply string, err error) {
	if h.Request == "" {
		state.OnHold = h.On
		state.recordEvent("held: %v", h.On)
		return "held", nil
	}
	request := state.Requests[h.Request]
	if request == nil {
		return "", unknownRequest(h.Request)
	}
	request.OnHold = h.On
	return state.describe(request), nil
}
