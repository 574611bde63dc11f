package scenario

import (
	"math"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simendpoint"
)

// PlannedEvent is an event of a plan, with all draws made.
type PlannedEvent struct {
	What      string          `json:"What"`
	At        monotime.Micros `json:"At"`
	Until     monotime.Micros `json:"Until"` // math.MaxInt64: it does not end
	Endpoints []int           `json:"Nodes"`
	Sizes     []float64       `json:"Sizes"`  // of each of Endpoints; one number where it applies to none
	Class     int             `json:"Class"`  // -1 is all
	Tenant    int             `json:"Tenant"` // -1 is all
	OneClient bool            `json:"One"`    // of the first client process only
	Zone      int             `json:"Zone"`   // -1 is all
	To        int             `json:"To"`     // the same
	Every     monotime.Micros `json:"Every"`
	Delay     monotime.Micros `json:"Delay"`
	Instances []int           `json:"Instances"` // that it applies to, or whose network paths
	Others    []int           `json:"Others"`    // EventInstancePartition: the other side; nil is all others
	Way       string          `json:"Way"`
}

// Frozen reports whether the event stops its instances at an instant, and until when at least.
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

// BlocksPath reports whether the event blocks messages from an instance to an endpoint, or with back those of the
// endpoint to the instance.
func (event *PlannedEvent) BlocksPath(now monotime.Micros, instance, endpoint int, toInstance bool) bool {
	return event.What == EventPathBlocked && now >= event.At && now < event.Until &&
		(event.Way == "" || (event.Way == WayFrom) == toInstance) &&
		contains(event.Instances, instance) && contains(event.Endpoints, endpoint)
}

// Partitioned reports whether no message passes from one instance to another at an instant.
func (p *Plan) Partitioned(now monotime.Micros, from, to int) bool {
	for i := range p.PlannedEvents {
		event := &p.PlannedEvents[i]
		paused := event.Every > 0 && (now-event.At)/event.Every%2 != 0
		if event.What != EventInstancePartition || now < event.At || now >= event.Until || paused {
			continue
		}
		fromInside := contains(event.Instances, from)
		toInside := contains(event.Instances, to)
		if event.Others != nil && !contains(event.Others, from) && !contains(event.Others, to) {
			continue
		}
		if fromInside != toInside && (event.Way == "" || (event.Way == WayTo) == toInside) {
			return true
		}
	}
	return false
}

// DemandOverstatement is the factor by which the misreporting instance overstates its demand at an instant; 1 without
// one.
func (p *Plan) DemandOverstatement(now monotime.Micros) float64 {
	for i := range p.PlannedEvents {
		if event := &p.PlannedEvents[i]; event.What == EventDemandOverstated && now >= event.At && now < event.Until {
			return event.Sizes[0]
		}
	}
	return 1
}

// Parts of the messages that EventLateMessages affects.
const (
	delayedMessageRatio   = 0.5 // of the messages are delayed
	duplicateMessageRatio = 0.1 // of the messages arrive twice
)

// MessageDelay is the additional delay of an instance's message at an instant, and whether it arrives twice. draws are
// three random numbers in 0..1 of the message's own.
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

// ExtraDelay is the additional delay of messages between an instance and an endpoint at an instant.
func (p *Plan) ExtraDelay(now monotime.Micros, instance, endpoint int) (delay monotime.Micros) {
	for i := range p.PlannedEvents {
		if event := &p.PlannedEvents[i]; event.What == EventLag && now >= event.At && now < event.Until &&
			contains(event.Instances, instance) && contains(event.Endpoints, endpoint) {
			delay += event.Delay
		}
	}
	return delay
}

// AddCondition adds the event's fault at the k-th of its endpoints at an instant. classOf maps the scenario's classes
// to those of the endpoints' jobs.
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
			condition.OneClass = true
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

// EventPeriod is from the start of the first event to the end of the last one that ends; both are 0 without events.
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
