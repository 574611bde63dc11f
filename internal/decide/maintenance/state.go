package maintenance

import (
	"fmt"
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// maxEvents is how many events a State keeps; older ones are dropped.
const maxEvents = 200

// State is the replicated plan of which machines are out of service. Make one with NewState; Apply builds it from the
// log. Its JSON is the content of a raft snapshot. The texts of events are part of it: replicas of two builds agree
// only as long as they stay the same.
type State struct {
	settings          Settings
	Now               monotime.Micros     `json:"Now"`
	PlanVersion       uint64              `json:"Version"`   // grows with each change of what Plan returns
	Requests          map[string]*Request `json:"Jobs"`      // by id
	Machines          map[string]*Machine `json:"Items"`     // by name
	Instances         map[string]uint64   `json:"Instances"` // incarnations, by the instance's name
	Fleet             FleetStatus         `json:"Facts"`
	OnHold            bool                `json:"Held"` // no further machine is drained
	Events            []Event             `json:"Events"`
	DrainsByRequester map[string]int      `json:"Taken"` // machines drained so far
	CommandCount      uint64              `json:"Count"` // commands applied so far
}

// NewState returns a plan in which no machine is out, or a *setting.Error.
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

// UseSettings sets the settings of a state that was decoded from a snapshot: they are no part of its stored form.
func (x *State) UseSettings(s Settings) { x.settings = s }

// Apply applies the log's next command. It returns the answer to the operator whose command it is, or an error that
// says why the command changes nothing; that error is an answer too, not a fault of the log.
func (x *State) Apply(c Command) (answer string, err error) {
	x.Now = max(x.Now, c.Time)
	x.CommandCount++
	switch {
	case c.Request != nil:
		answer, err = x.addRequest(*c.Request)
	case c.CancelRequest != "":
		answer, err = x.cancelRequest(c.CancelRequest)
	case c.Complete != nil:
		answer, err = x.completeRequest(*c.Complete)
	case c.Hold != nil:
		answer, err = x.setHold(*c.Hold)
	case c.Join != nil:
		x.Instances[c.Join.Name] = c.Join.Incarnation
	case c.Forget != nil:
		if x.Instances[c.Forget.Name] == c.Forget.Incarnation {
			delete(x.Instances, c.Forget.Name)
		}
	case c.FleetStatus != nil:
		x.Fleet = *c.FleetStatus
	}
	x.applyProgress(c.Acknowledged, c.Drained)
	x.advance()
	return answer, err
}

// applyProgress has machines enter the next phase that instances have come to by what the leader found.
func (x *State) applyProgress(acknowledged, drained []string) {
	for _, name := range acknowledged {
		if m := x.Machines[name]; m != nil && m.Phase == Announced {
			x.setPhase(m, Acknowledged)
		}
	}
	for _, name := range drained {
		m := x.Machines[name]
		if m == nil || m.Phase != Draining {
			continue
		}
		x.setPhase(m, UnderMaintenance)
		m.DueAt = x.Now + x.longestDuration(m)
		x.recordEvent("%s is free: nobody sends there and nothing is open; it is to be done in %d s",
			name, (m.DueAt-x.Now)/monotime.Second)
	}
}

// Plan returns the plan that instances are to apply.
func (x *State) Plan() Plan {
	plan := Plan{Version: x.PlanVersion}
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		switch listOf(x.Machines[name].Phase) {
		case listAnnounced:
			plan.Announced = append(plan.Announced, name)
		case listExcluded:
			plan.Excluded = append(plan.Excluded, name)
		}
	}
	return plan
}

// planList is the list of a Plan that a machine stands in.
type planList int

const (
	listNone planList = iota
	listAnnounced
	listExcluded
)

func listOf(p Phase) planList {
	switch p {
	case Announced, Acknowledged:
		return listAnnounced
	case Draining, UnderMaintenance:
		return listExcluded
	}
	return listNone
}

// setPhase has a machine enter a phase. Where that moves it to another list of the plan, the plan gets a new version.
func (x *State) setPhase(m *Machine, p Phase) {
	if listOf(m.Phase) != listOf(p) {
		x.PlanVersion++
		m.PlanVersion = x.PlanVersion
	}
	m.Phase = p
	m.Since = x.Now
	m.WaitReason = ""
	m.RecallReason = ""
	m.Overdue = false
}

// longestDuration returns the longest time for which one of a machine's requests needs it out.
func (x *State) longestDuration(m *Machine) (longest monotime.Micros) {
	for _, id := range m.Requests {
		if request := x.Requests[id]; request != nil {
			longest = max(longest, request.Duration)
		}
	}
	return longest
}

func (x *State) recordEvent(format string, args ...any) {
	x.Events = append(x.Events, Event{Time: x.Now, Text: fmt.Sprintf(format, args...)})
	if surplus := len(x.Events) - maxEvents; surplus > 0 {
		x.Events = slices.Delete(x.Events, 0, surplus)
	}
}
