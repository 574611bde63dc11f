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
func (h *PlannedEvent) Frozen(now monotime.Micros) (until monotime.Micros, frozen bool) {
	if h.What != EventInstanceFreeze || now < h.At || now >= h.Until {
		return 0, false
	}
	if h.Every <= 0 {
		return h.Until, true
	}
	turn := (now - h.At) / h.Every
	return min(h.Until, h.At+(turn+1)*h.Every), turn%2 == 0
}

// BlocksPath reports whether the event blocks messages from an instance to an endpoint, or with back those of the
// endpoint to the instance.
func (h *PlannedEvent) BlocksPath(now monotime.Micros, instance, node int, back bool) bool {
	return h.What == EventPathBlocked && now >= h.At && now < h.Until && (h.Way == "" || (h.Way == WayFrom) == back) &&
		contains(h.Instances, instance) && contains(h.Endpoints, node)
}

// Partitioned reports whether no message passes from one instance to another at an instant.
func (p *Plan) Partitioned(now monotime.Micros, from, to int) bool {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		inPause := h.Every > 0 && (now-h.At)/h.Every%2 != 0
		if h.What != EventInstancePartition || now < h.At || now >= h.Until || inPause {
			continue
		}
		a := contains(h.Instances, from)
		b := contains(h.Instances, to)
		if h.Others != nil && !contains(h.Others, from) && !contains(h.Others, to) {
			continue
		}
		if a != b && (h.Way == "" || (h.Way == WayTo) == b) {
			return true
		}
	}
	return false
}

// DemandOverstatement is the factor by which the misreporting instance overstates its demand at an instant; 1 without
// one.
func (p *Plan) DemandOverstatement(now monotime.Micros) float64 {
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == EventDemandOverstated && now >= h.At && now < h.Until {
			return h.Sizes[0]
		}
	}
	return 1
}

// Parts of the messages that EventLateMessages affects.
const (
	lateMessageRatio     = 0.5 // of the messages are delayed
	repeatedMessageRatio = 0.1 // of the messages arrive twice
)

// MessageDelay is the additional delay of an instance's message at an instant, and whether it arrives twice. draws are
// three random numbers in 0..1 of the message's own.
func (p *Plan) MessageDelay(now monotime.Micros, from int, draws [3]float64) (more monotime.Micros, twice bool) {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What == EventLateMessages && now >= h.At && now < h.Until && contains(h.Instances, from) {
			if draws[0] < lateMessageRatio {
				more += monotime.Micros(draws[1] * float64(h.Delay))
			}
			twice = twice || draws[2] < repeatedMessageRatio
		}
	}
	return more, twice
}

// ExtraDelay is the additional delay of messages between an instance and an endpoint at an instant.
func (p *Plan) ExtraDelay(now monotime.Micros, instance, node int) (more monotime.Micros) {
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == EventLag && now >= h.At && now < h.Until &&
			contains(h.Instances, instance) && contains(h.Endpoints, node) {
			more += h.Delay
		}
	}
	return more
}

// AddCondition adds the event's fault at the k-th of its endpoints at an instant. classOf maps the scenario's classes
// to those of the endpoints' jobs.
func (h *PlannedEvent) AddCondition(c *simendpoint.Condition, now monotime.Micros, k int, classOf []int) {
	size := h.Sizes[k]
	switch h.What {
	case EventSlow, EventFalseReports:
		c.Slowdown = max(1, c.Slowdown) * size
		c.FalseReports = c.FalseReports || h.What == EventFalseReports
	case EventErrors:
		c.ErrorRate = min(1, c.ErrorRate+size)
		if h.Class >= 0 {
			c.OneClass = true
			c.Class = classOf[h.Class]
		}
	case EventUnanswered:
		c.UnansweredRate = min(1, c.UnansweredRate+size)
	case EventRejecting:
		c.RejectRate = min(1, c.RejectRate+size)
	case EventInvalidReports:
		c.InvalidReports = true
	case EventNeighbour:
		if h.Every <= 0 || (now-h.At)/h.Every%2 == 0 {
			c.StolenShare = max(c.StolenShare, size)
		}
	case EventLateReports:
		c.ReportDelay = max(c.ReportDelay, h.Delay)
	}
}

// EventPeriod is from the start of the first event to the end of the last one that ends; both are 0 without events.
func (p *Plan) EventPeriod() (from, until monotime.Micros) {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if i == 0 {
			from = h.At
		}
		end := h.Until
		if end == math.MaxInt64 {
			end = h.At
		}
		until = max(until, end)
	}
	return from, until
}
