package scenario

import (
	"math"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simendpoint"
)

// PlannedEvent is an event of a plan: what was left to chance is drawn.
type PlannedEvent struct {
	What      string          `json:"What"`
	At        monotime.Micros `json:"At"`
	Until     monotime.Micros `json:"Until"` // math.MaxInt64 for what does not end
	Endpoints []int           `json:"Nodes"`
	Sizes     []float64       `json:"Sizes"`  // of each of Nodes; of one number where it happens to no node
	Class     int             `json:"Class"`  // -1 is all
	Tenant    int             `json:"Tenant"` // -1 is all
	OneClient bool            `json:"One"`    // of the first client process only
	Zone      int             `json:"Zone"`   // -1 is all
	To        int             `json:"To"`     // the same
	Every     monotime.Micros `json:"Every"`
	Delay     monotime.Micros `json:"Delay"`
	Instances []int           `json:"Instances"` // of what happens to instances, or on their ways
	Others    []int           `json:"Others"`    // part: the other side; nil is all others
	Way       string          `json:"Way"`
}

// Frozen says whether what happens at an instant stops an instance, and until when at least.
func (h *PlannedEvent) Frozen(now monotime.Micros) (until monotime.Micros, yes bool) {
	if h.What != "freeze" || now < h.At || now >= h.Until {
		return 0, false
	}
	if h.Every <= 0 {
		return h.Until, true
	}
	turn := (now - h.At) / h.Every
	return min(h.Until, h.At+(turn+1)*h.Every), turn%2 == 0
}

// BlocksPath reports whether the event lets nothing through between an instance and an endpoint, towards the endpoint
// or back.
func (h *PlannedEvent) BlocksPath(now monotime.Micros, instance, node int, back bool) bool {
	return h.What == "sever" && now >= h.At && now < h.Until && (h.Way == "" || (h.Way == "from") == back) &&
		contains(h.Instances, instance) && contains(h.Endpoints, node)
}

// Partitioned says whether no message passes from one instance to another at an instant.
func (p *Plan) Partitioned(now monotime.Micros, from, to int) bool {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What != "part" || now < h.At || now >= h.Until || h.Every > 0 && (now-h.At)/h.Every%2 != 0 {
			continue
		}
		a := contains(h.Instances, from)
		b := contains(h.Instances, to)
		if h.Others != nil && !contains(h.Others, from) && !contains(h.Others, to) {
			continue
		}
		if a != b && (h.Way == "" || (h.Way == "to") == b) {
			return true
		}
	}
	return false
}

// DemandOverstatement is the factor by which the lying instance overstates its demand at an instant; 1 without one.
func (p *Plan) DemandOverstatement(now monotime.Micros) float64 {
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == "liar" && now >= h.At && now < h.Until {
			return h.Sizes[0]
		}
	}
	return 1
}

// MessageDelay is by how much longer a message of an instance takes at an instant, and whether it comes twice; lots are
// three numbers in 0..1 of the word's own.
func (p *Plan) MessageDelay(now monotime.Micros, from int, draws [3]float64) (more monotime.Micros, twice bool) {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What == "late-words" && now >= h.At && now < h.Until && contains(h.Instances, from) {
			if draws[0] < 0.5 {
				more += monotime.Micros(draws[1] * float64(h.Delay))
			}
			twice = twice || draws[2] < 0.1
		}
	}
	return more, twice
}

// ExtraDelay is by how much longer each message between an instance and an endpoint takes at an instant.
func (p *Plan) ExtraDelay(now monotime.Micros, instance, node int) (more monotime.Micros) {
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == "lag" && now >= h.At && now < h.Until &&
			contains(h.Instances, instance) && contains(h.Endpoints, node) {
			more += h.Delay
		}
	}
	return more
}

// AddCondition adds what goes wrong at the k-th of its endpoints at an instant. classOf tells the number that each of
// the scenario's classes has at endpoints.
func (h *PlannedEvent) AddCondition(c *simendpoint.Condition, now monotime.Micros, k int, classOf []int) {
	size := h.Sizes[k]
	switch h.What {
	case "slow", "lies":
		c.Slowdown = max(1, c.Slowdown) * size
		c.FalseReports = c.FalseReports || h.What == "lies"
	case "errors":
		c.ErrorRate = min(1, c.ErrorRate+size)
		if h.Class >= 0 {
			c.OneClass = true
			c.Class = classOf[h.Class]
		}
	case "mute":
		c.UnansweredRate = min(1, c.UnansweredRate+size)
	case "full":
		c.RejectRate = min(1, c.RejectRate+size)
	case "babble":
		c.InvalidReports = true
	case "neighbour":
		if h.Every <= 0 || (now-h.At)/h.Every%2 == 0 {
			c.StolenShare = max(c.StolenShare, size)
		}
	case "late-reports":
		c.ReportDelay = max(c.ReportDelay, h.Delay)
	}
}

// EventPeriod is when the first of what happens begins and the last ends that does end; both 0 where nothing happens.
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
