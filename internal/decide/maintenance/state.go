package maintenance

import (
	"fmt"
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// eventsMost is how many events are kept.
const maxEvents = 200

// State is the order. Make one with New.
type State struct {
	settings          Settings
	Now               monotime.Micros     `json:"Now"`
	PlanVersion       uint64              `json:"Version"` // of what instances are told; it grows with each change of that
	Requests          map[string]*Request `json:"Jobs"`
	Machines          map[string]*Machine `json:"Items"` // by machine
	Instances         map[string]uint64   `json:"Instances"`
	Fleet             FleetStatus         `json:"Facts"`
	OnHold            bool                `json:"Held"`
	Events            []Event             `json:"Events"`
	DrainsByRequester map[string]int      `json:"Taken"` // machines taken out so far, by who asked
	CommandCount      uint64              `json:"Count"` // of commands
}

// New returns an order in which nothing is out, or a *SettingError.
func NewState(s Settings) (*State, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &State{settings: s, Requests: map[string]*Request{}, Machines: map[string]*Machine{}, Instances: map[string]uint64{}, DrainsByRequester: map[string]int{}}, nil
}

// Restored has a state that was kept go by settings.
func (x *State) UseSettings(s Settings) { x.settings = s }

// Apply takes a command in, and returns what to tell who gave it, or the reason why nothing comes of it.
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
	for _, name := range c.Acknowledged {
		if i := x.Machines[name]; i != nil && i.Phase == Announced {
			x.setPhase(i, Acknowledged)
		}
	}
	for _, name := range c.Drained {
		if i := x.Machines[name]; i != nil && i.Phase == Draining {
			x.setPhase(i, UnderMaintenance)
			i.DueAt = x.Now + x.longestDuration(i)
			x.recordEvent("%s is free: nobody sends there and nothing is open; it is to be done in %d s", name, (i.DueAt-x.Now)/second)
		}
	}
	x.advance()
	return answer, err
}

func (x *State) recordEvent(format string, args ...any) {
	x.Events = append(x.Events, Event{x.Now, fmt.Sprintf(format, args...)})
	if over := len(x.Events) - maxEvents; over > 0 {
		x.Events = slices.Delete(x.Events, 0, over)
	}
}

// enter has a machine go on to another phase.
func (x *State) setPhase(i *Machine, p Phase) {
	told := func(p Phase) int {
		return map[Phase]int{Announced: 1, Acknowledged: 1, Draining: 2, UnderMaintenance: 2}[p]
	}
	if told(i.Phase) != told(p) {
		x.PlanVersion++
		i.PlanVersion = x.PlanVersion
	}
	i.Phase, i.Since, i.WaitReason, i.RecallReason, i.Overdue = p, x.Now, "", "", false
}

// longest is for how long a machine is wanted out at most.
func (x *State) longestDuration(i *Machine) (d monotime.Micros) {
	for _, id := range i.Requests {
		if j := x.Requests[id]; j != nil {
			d = max(d, j.Duration)
		}
	}
	return d
}

// Order returns it.
func (x *State) Plan() Plan {
	o := Plan{Version: x.PlanVersion}
	for _, name := range slices.Sorted(maps.Keys(x.Machines)) {
		switch x.Machines[name].Phase {
		case Announced, Acknowledged:
			o.Announced = append(o.Announced, name)
		case Draining, UnderMaintenance:
			o.Excluded = append(o.Excluded, name)
		}
	}
	return o
}
