package scenario

import (
	"math"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simendpoint"
)

// PlannedEvent is an event of a plan, with all random values drawn.
type PlannedEvent struct {
	What      string          `json:"What"`
	At        monotime.Micros `json:"At"`
	Until     monotime.Micros `json:"Until"` // math.MaxInt64: the event does not end
	Endpoints []int           `json:"Nodes"`
	// Sizes are the sizes of the event at each of Endpoints. An event that does not apply to endpoints has one
	// size.
	Sizes     []float64       `json:"Sizes"`
	Class     int             `json:"Class"`  // index of the class; -1: all classes
	Tenant    int             `json:"Tenant"` // index of the tenant; -1: all tenants
	OneClient bool            `json:"One"`    // whether only the instances' first client process is affected
	Zone      int             `json:"Zone"`   // index of the zone; -1: all zones
	OtherZone int             `json:"To"`     // index of the other zone; -1: all zones
	Every     monotime.Micros `json:"Every"`
	Delay     monotime.Micros `json:"Delay"`
	// Instances are the indices of the affected instances, or of the instances whose network paths are
	// affected.
	Instances []int `json:"Instances"`
	// OtherInstances are the indices of the instances on the other side of an EventInstancePartition; nil: all other
	// instances.
	OtherInstances []int  `json:"Others"`
	Direction      string `json:"Way"`
}

// Frozen reports whether the event stops its instances at an instant, and the earliest time at which they
// resume.
func (event *PlannedEvent) Frozen(now monotime.Micros) (until monotime.Micros, frozen bool) {
	if event.What != EventInstanceFreeze || now < event.At || now >= event.Until {
		return 0, false
	}
	if event.Every <= 0 {
		return event.Until, true
	}
	interval := (now - event.At) / event.Every
	return min(event.Until, event.At+(interval+1)*event.Every), interval%2 == 0
}

// BlocksPath reports whether the event blocks messages from an instance to an endpoint or, if toInstance is
// set, from the endpoint to the instance.
func (event *PlannedEvent) BlocksPath(now monotime.Micros, instance, endpoint int, toInstance bool) bool {
	return event.What == EventPathBlocked && now >= event.At && now < event.Until &&
		(event.Direction == "" || (event.Direction == DirectionFrom) == toInstance) &&
		contains(event.Instances, instance) && contains(event.Endpoints, endpoint)
}

// Partitioned reports whether messages from one instance to another are blocked at an instant.
func (p *Plan) Partitioned(now monotime.Micros, from, to int) bool {
	for i := range p.PlannedEvents {
		event := &p.PlannedEvents[i]
		paused := event.Every > 0 && (now-event.At)/event.Every%2 != 0
		if event.What != EventInstancePartition || now < event.At || now >= event.Until || paused {
			continue
		}
		fromInside := contains(event.Instances, from)
		toInside := contains(event.Instances, to)
		if event.OtherInstances != nil && !contains(event.OtherInstances, from) && !contains(event.OtherInstances, to) {
			continue
		}
		if fromInside != toInside && (event.Direction == "" || (event.Direction == DirectionTo) == toInside) {
			return true
		}
	}
	return false
}

// DemandOverstatement returns the factor by which the misreporting instance overstates its demand at an
// instant; 1 if no instance misreports.
func (p *Plan) DemandOverstatement(now monotime.Micros) float64 {
	for i := range p.PlannedEvents {
		if event := &p.PlannedEvents[i]; event.What == EventDemandOverstated && now >= event.At && now < event.Until {
			return event.Sizes[0]
		}
	}
	return 1
}

// The shares of messages that EventLateMessages affects.
const (
	delayedMessageRatio   = 0.5 // share of messages that are delayed
	duplicateMessageRatio = 0.1 // share of messages that arrive twice
)

// MessageDelay returns the additional delay of an instance's message at an instant, and whether the message
// arrives twice. draws are three random numbers from 0 to 1, drawn for this message.
func (p *Plan) MessageDelay(now monotime.Micros, from int, draws [3]float64) (delay monotime.Micros, twice bool) {
	for i := range p.PlannedEvents {
		event := &p.PlannedEvents[i]
		if event.What == EventLateMessages && now >= event.At && now < event.Until && contains(event.Instances, from) {
			if draws[0] < delayedMessageRatio {
				delay += monotime.Micros(draws[1] * float64(event.Delay))
			}
			twice = twice || draws[2] < duplicateMessageRatio
		}
	}
	return delay, twice
}

// ExtraDelay returns the additional delay of messages between an instance and an endpoint at an instant.
func (p *Plan) ExtraDelay(now monotime.Micros, instance, endpoint int) (delay monotime.Micros) {
	for i := range p.PlannedEvents {
		if event := &p.PlannedEvents[i]; event.What == EventLag && now >= event.At && now < event.Until &&
			contains(event.Instances, instance) && contains(event.Endpoints, endpoint) {
			delay += event.Delay
		}
	}
	return delay
}

// AddCondition adds the effect of the event to the condition of the endpoint at the given position of
// Endpoints. classOf maps the indices of the scenario's classes to the class indices that the endpoints use.
func (event *PlannedEvent) AddCondition(condition *simendpoint.Condition, now monotime.Micros, position int,
	classOf []int) {
	size := event.Sizes[position]
	switch event.What {
	case EventSlow, EventFalseReports:
		condition.Slowdown = max(1, condition.Slowdown) * size
		condition.FalseReports = condition.FalseReports || event.What == EventFalseReports
	case EventErrors:
		condition.ErrorRate = min(1, condition.ErrorRate+size)
		if event.Class >= 0 {
			condition.ErrorsInOneClassOnly = true
			condition.Class = classOf[event.Class]
		}
	case EventUnanswered:
		condition.UnansweredRate = min(1, condition.UnansweredRate+size)
	case EventRejecting:
		condition.RejectRate = min(1, condition.RejectRate+size)
	case EventInvalidReports:
		condition.InvalidReports = true
	case EventNeighbour:
		if event.Every <= 0 || (now-event.At)/event.Every%2 == 0 {
			condition.StolenShare = max(condition.StolenShare, size)
		}
	case EventLateReports:
		condition.ReportDelay = max(condition.ReportDelay, event.Delay)
	}
}

// EventPeriod returns the period from the start of the first event to the latest end of an event. An event that
// does not end counts until its start. Both results are 0 if there are no events.
func (p *Plan) EventPeriod() (from, until monotime.Micros) {
	for i := range p.PlannedEvents {
		event := &p.PlannedEvents[i]
		if i == 0 {
			from = event.At
		}
		end := event.Until
		if end == math.MaxInt64 {
			end = event.At
		}
		until = max(until, end)
	}
	return from, until
}
