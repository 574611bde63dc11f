package scenario

import (
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/simulation/simendpoint"
)

const second monotime.Micros = 1_000_000

// Plan is a scenario with the endpoints, instances and events that are drawn with a seed.
type Plan struct {
	*Scenario
	Seed          uint64
	Endpoints     []Endpoint
	Instances     []Instance
	PlannedEvents []PlannedEvent // sorted by start
	Rate          float64        // operations a second when the factor of the shape is 1
	Capacity      float64        // work in microseconds that all warm endpoints can do in a microsecond
	Source        Source         // source of operations; nil: the plan draws the operations
}

// Endpoint is an endpoint of a plan, with its drawn values.
type Endpoint struct {
	Name          string
	Kind, Zone    int
	Cell          int
	StartsWithRun bool
	Config        simendpoint.Config
	Idle          monotime.Micros
	PauseEvery    monotime.Micros
	PauseFor      monotime.Micros
}

// Instance is an instance of the daemon in a plan, with its drawn values.
type Instance struct {
	Zone      int
	Share     float64         // the instance's share of all traffic
	Skew      monotime.Micros // offset of the instance's clock from simulated time
	Drift     float64
	Endpoints []int // indices of the endpoints on its endpoint list, sorted; nil: all endpoints
}

// HasEvent reports whether the plan has an event of one of the given kinds.
func (p *Plan) HasEvent(kinds ...string) bool {
	return slices.ContainsFunc(p.PlannedEvents, func(e PlannedEvent) bool { return slices.Contains(kinds, e.What) })
}

// MeanWork returns the mean work of an operation, in microseconds.
func (s *Scenario) MeanWork() float64 {
	var weightedWork, shares float64
	for _, class := range s.Classes {
		weightedWork += class.Share * float64(class.Work.Micros())
		shares += class.Share
	}
	return weightedWork / shares
}

// ClientBehavior returns the behavior of the simulated clients.
func (p *Plan) ClientBehavior() simclient.Behavior {
	clients := &p.Clients
	backoff := spanBounds(clients.Backoff)
	return simclient.Behavior{
		Retries:         clients.Retries,
		TimeoutShare:    clients.TimeoutShare.bounds(1),
		Backoff:         [2]monotime.Micros{monotime.Micros(backoff[0]), monotime.Micros(backoff[1])},
		HonorRetryAfter: clients.HonorRetryAfter,
		EarlyAbort:      clients.EarlyAbort,
		MarkRetries:     clients.MarkRetries,
		FreshKeys:       clients.FreshKeys,
	}
}

// contains reports whether a sorted list contains a number.
func contains(sortedNumbers []int, number int) bool {
	_, found := slices.BinarySearch(sortedNumbers, number)
	return found
}
