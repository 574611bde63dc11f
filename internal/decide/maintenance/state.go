package maintenance

import (
	"fmt"
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// maxEvents is the maximum number of events in a State; the oldest events beyond it are dropped.
const maxEvents = 200

// State is the replicated plan of the machines that are taken out of service. Create one with NewState; Apply applies
// the commands of the log to it. Its JSON encoding is the content of a raft snapshot and includes the texts of events,
// so replicas of different builds agree only if these texts stay the same.
type State struct {
	settings          Settings
	Now               monotime.Micros     `json:"Now"`       // latest Command.Time that was applied
	PlanVersion       uint64              `json:"Version"`   // version of the plan; increases when its lists change
	Requests          map[string]*Request `json:"Jobs"`      // open requests, by ID
	Machines          map[string]*Machine `json:"Items"`     // machines in the plan, by name
	Instances         map[string]uint64   `json:"Instances"` // incarnation of each known instance, by instance name
	Fleet             FleetStatus         `json:"Facts"`
	OnHold            bool                `json:"Held"` // an operator has put all drains on hold
	Events            []Event             `json:"Events"`
	DrainsByRequester map[string]int      `json:"Taken"` // number of drains so far, by requester
	CommandCount      uint64              `json:"Count"` // number of commands applied so far
}

// NewState returns a state without requests and machines, or a *setting.Error if the settings are invalid.
func NewState(s Settings) (*State, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &State{
		settings:          s,
		Requests:          map[string]*Request{},
		Machines:          map[string]*Machine{},
		Instances:         map[string]uint64{},
		DrainsByRequester: map[string]int{},
	}, nil
}

// UseSettings sets the settings of a state that was decoded from a snapshot, since snapshots do not contain settings.
func (state *State) UseSettings(s Settings) { state.settings = s }

// Apply applies the next command of the log, and then makes all phase changes that are due or possible. It returns the
// reply to the operator who issued the command. An error is a reply as well: it states why the command has no effect,
// and does not mean that the log is faulty. All replicas return the same reply and error.
func (state *State) Apply(c Command) (reply string, err error) {
	state.Now = max(state.Now, c.Time)
	state.CommandCount++
	switch {
	case c.Request != nil:
		reply, err = state.addRequest(*c.Request)
	case c.CancelRequest != "":
		reply, err = state.cancelRequest(c.CancelRequest)
	case c.Complete != nil:
		reply, err = state.completeRequest(*c.Complete)
	case c.Hold != nil:
		reply, err = state.setHold(*c.Hold)
	case c.Join != nil:
		state.Instances[c.Join.Name] = c.Join.Incarnation
	case c.Forget != nil:
		if state.Instances[c.Forget.Name] == c.Forget.Incarnation {
			delete(state.Instances, c.Forget.Name)
		}
	case c.FleetStatus != nil:
		state.Fleet = *c.FleetStatus
	}
	state.applyProgress(c.Acknowledged, c.Drained)
	state.advance()
	return reply, err
}

// applyProgress moves announced machines to Acknowledged and draining machines to UnderMaintenance, as listed in the
// leader's Progress.
func (state *State) applyProgress(acknowledged, drained []string) {
	for _, name := range acknowledged {
		if m := state.Machines[name]; m != nil && m.Phase == Announced {
			state.setPhase(m, Acknowledged)
		}
	}
	for _, name := range drained {
		m := state.Machines[name]
		if m == nil || m.Phase != Draining {
			continue
		}
		state.setPhase(m, UnderMaintenance)
		m.DueAt = state.Now + state.longestDuration(m)
		state.recordEvent("%s is free: nobody sends there and nothing is open; it is to be done in %d s",
			name, (m.DueAt-state.Now)/monotime.Second)
	}
}

// Plan returns the plan that all instances have to apply.
func (state *State) Plan() Plan {
	plan := Plan{Version: state.PlanVersion}
	for _, name := range slices.Sorted(maps.Keys(state.Machines)) {
		switch planListOf(state.Machines[name].Phase) {
		case listAnnounced:
			plan.Announced = append(plan.Announced, name)
		case listExcluded:
			plan.Excluded = append(plan.Excluded, name)
		}
	}
	return plan
}

// planList identifies the list of a Plan that contains a machine.
type planList int

const (
	listNone planList = iota
	listAnnounced
	listExcluded
)

// planListOf returns which list of a Plan contains the machines in phase p.
func planListOf(p Phase) planList {
	switch p {
	case Announced, Acknowledged:
		return listAnnounced
	case Draining, UnderMaintenance:
		return listExcluded
	}
	return listNone
}

// setPhase moves a machine to phase p. The plan gets a new version if that moves the machine to another list of the
// plan.
func (state *State) setPhase(m *Machine, p Phase) {
	if planListOf(m.Phase) != planListOf(p) {
		state.PlanVersion++
		m.PlanVersion = state.PlanVersion
	}
	m.Phase = p
	m.PhaseSince = state.Now
	m.WaitReason = ""
	m.RecallReason = ""
	m.Overdue = false
}

// longestDuration returns the longest duration of the requests that need a machine to be out.
func (state *State) longestDuration(m *Machine) (maxDuration monotime.Micros) {
	for _, id := range m.Requests {
		if request := state.Requests[id]; request != nil {
			maxDuration = max(maxDuration, request.Duration)
		}
	}
	return maxDuration
}

// recordEvent adds an event at the present time, and drops the oldest events beyond maxEvents.
func (state *State) recordEvent(format string, args ...any) {
	state.Events = append(state.Events, Event{Time: state.Now, Text: fmt.Sprintf(format, args...)})
	if excess := len(state.Events) - maxEvents; excess > 0 {
		state.Events = slices.Delete(state.Events, 0, excess)
	}
}
