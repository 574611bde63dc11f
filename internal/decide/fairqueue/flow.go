package fairqueue

import (
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// clientFlow is the state of a client in one scheduler.
type clientFlow struct {
	client       *Client
	tag          float64          // virtual start time of the next request, in microseconds in flight for weight 1
	queue        []*queuedRequest // waiting requests of the client, the earliest first
	queuedCost   float64          // sum of the costs of the queued requests, in microseconds in flight
	openRequests int              // number of requests waiting and in flight
	heapIndex    int              // index in Scheduler.backlog; -1 while no request of the client waits
}

// Before orders flows by the admission of their next request (indexedheap.Element): the flow with the least tag
// comes first, and among equal tags the flow with the fewest requests in flight.
func (f *clientFlow) Before(other *clientFlow) bool {
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	return f.openRequests-len(f.queue) < other.openRequests-len(other.queue)
}

// SetHeapIndex stores the flow's index in Scheduler.backlog.
func (f *clientFlow) SetHeapIndex(index int) { f.heapIndex = index }

// flowOf returns the flow of a client in this scheduler. For a client that is new to the scheduler it creates a
// flow, and removes the client's flows in closed schedulers without open requests.
func (s *Scheduler) flowOf(c *Client) *clientFlow {
	flow := c.flows[s]
	if flow == nil {
		maps.DeleteFunc(c.flows, func(otherScheduler *Scheduler, _ *clientFlow) bool {
			return otherScheduler.closed && len(otherScheduler.requests) == 0
		})
		flow = &clientFlow{client: c, heapIndex: -1}
		c.flows[s] = flow
	}
	return flow
}

// burstCredit is the time, in microseconds at full capacity, for which an idle client accumulates its unused
// share. It is far shorter than the second within which shares must be correct.
const burstCredit = 25_000.0

// push adds a request to the waiting requests. The tag of a client without waiting requests is raised to at
// most burstCredit behind the virtual time. A short burst of a client with little traffic is therefore served
// before the waiting requests of other clients, and a client that was idle for longer has no further advantage.
func (s *Scheduler) push(request *queuedRequest) {
	flow := request.flow
	s.requests[request.ID] = request
	s.addOpen(flow, 1)
	if len(flow.queue) == 0 {
		s.backlogWeight += flow.client.spec.Weight
		flow.tag = max(flow.tag, s.virtualTime-burstCredit*float64(max(0, s.settings.MaxInFlight))/s.backlogWeight)
		s.backlog.Push(flow)
	}
	flow.queue = append(flow.queue, request)
	flow.queuedCost += request.cost
	s.expiry.Push(request)
}

// dequeue removes a request from the waiting requests.
func (s *Scheduler) dequeue(request *queuedRequest) {
	flow := request.flow
	if flow.queue[0] == request { // the usual case; any other request was canceled or is past its latest start
		flow.queue[0] = nil
		flow.queue = flow.queue[1:]
	} else if i := slices.Index(flow.queue, request); i > 0 {
		flow.queue = slices.Delete(flow.queue, i, i+1)
	}
	flow.queuedCost -= request.cost
	if len(flow.queue) == 0 {
		flow.queuedCost = 0
		s.backlog.Remove(flow.heapIndex)
		s.backlogWeight -= flow.client.spec.Weight
		if s.backlog.Len() == 0 {
			s.backlogWeight = 0 // so that rounding errors do not accumulate
		}
	}
	s.expiry.Remove(request.heapIndex)
}

// charge advances the tag of a flow by a cost, in microseconds in flight, divided by its client's weight. A
// negative cost moves the tag back.
func (s *Scheduler) charge(flow *clientFlow, cost float64) {
	flow.tag += cost / flow.client.spec.Weight
	s.maxTag = max(s.maxTag, flow.tag)
	if flow.heapIndex >= 0 {
		s.backlog.Fix(flow.heapIndex)
	}
}

// queueDelay estimates the time until the waiting requests of a flow, and a request of extraCost, have been
// admitted: their cost divided by the flow's share of the capacity, assuming that all clients with waiting
// requests continue to send. It is 0 if requests in flight are not limited.
func (s *Scheduler) queueDelay(flow *clientFlow, extraCost float64) monotime.Micros {
	if s.settings.MaxInFlight <= 0 {
		return 0
	}
	totalWeight := s.backlogWeight
	if flow.heapIndex < 0 {
		totalWeight += flow.client.spec.Weight
	}
	timeInFlightRate := float64(s.settings.MaxInFlight) * flow.client.spec.Weight / totalWeight
	return monotime.Micros((flow.queuedCost + extraCost) / timeInFlightRate)
}
