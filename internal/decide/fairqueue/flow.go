package fairqueue

import (
	"maps"
	"slices"

	"dunlinsail/internal/monotime"
)

// clientFlow is a client's state in one scheduler.
type clientFlow struct {
	client       *Client
	tag          float64          // virtual start time of its next request, in microseconds in flight for a weight of 1
	queue        []*queuedRequest // its waiting requests, the earliest first
	queuedCost   float64          // sum of the costs of queue, in microseconds in flight
	openRequests int              // requests waiting and in flight
	heapIndex    int              // in Scheduler.backlog; -1 while no request waits
}

// Before decides whose request is admitted next (indexedheap.Element): the flow with the least tag, and among equal
// tags the one with the fewest requests in flight.
func (f *clientFlow) Before(other *clientFlow) bool {
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	return f.openRequests-len(f.queue) < other.openRequests-len(other.queue)
}

// SetHeapIndex notes the flow's index in Scheduler.backlog.
func (f *clientFlow) SetHeapIndex(index int) { f.heapIndex = index }

// flowOf returns a client's flow. A client that is new to the scheduler gets one, and drops those of closed schedulers.
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

// burstCredit is the time, in microseconds at the whole capacity, for which an idle client saves up the share that it
// does not use: far less than the second within which shares have to hold.
const burstCredit = 25_000.0

// push adds a request to those that wait. The tag of a client without waiting requests is at most burstCredit behind
// the virtual time: a short burst of a client with little traffic goes ahead of what other clients have waiting, and
// a client that was idle for longer has no further advantage.
func (s *Scheduler) push(request *queuedRequest) {
	flow := request.flow
	s.requests[request.ID] = request
	s.addOpen(flow, 1)
	if len(flow.queue) == 0 {
		s.backlogWeight += flow.client.spec.Weight
		flow.tag = max(flow.tag, s.virtualTime-burstCredit*float64(s.settings.MaxInFlight)/s.backlogWeight)
		s.backlog.Push(flow)
	}
	flow.queue = append(flow.queue, request)
	flow.queuedCost += request.cost
	s.expiry.Push(request)
}

// dequeue removes a request from those that wait.
func (s *Scheduler) dequeue(request *queuedRequest) {
	flow := request.flow
	if flow.queue[0] == request { // the usual case: any other was cancelled, or is past its latest start
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
			s.backlogWeight = 0 // so that rounding errors of sums do not add up
		}
	}
	s.expiry.Remove(request.heapIndex)
}

// charge advances a flow's tag by a cost, in microseconds in flight, over its client's weight. A negative cost moves
// the tag back.
func (s *Scheduler) charge(flow *clientFlow, cost float64) {
	flow.tag += cost / flow.client.spec.Weight
	s.maxTag = max(s.maxTag, flow.tag)
	if flow.heapIndex >= 0 {
		s.backlog.Fix(flow.heapIndex)
	}
}

// queueDelay estimates the time until a flow's waiting requests, and a request of an extra cost, have been admitted:
// their cost over the flow's part of the capacity, as if all clients that wait now went on sending. It is 0 without a
// limit on the requests in flight.
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
