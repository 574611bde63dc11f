package fairqueue

import (
	"math"

	"dunlinsail/internal/decide/indexedheap"
	"dunlinsail/internal/monotime"
)

// Scheduler schedules the requests to one set of endpoints. Create it with New. It must not be used by several
// goroutines at once.
type Scheduler struct {
	settings      Settings
	estimates     []serviceEstimate                // service time by class
	requests      map[uint64]*queuedRequest        // open requests by ID
	backlog       indexedheap.Heap[*clientFlow]    // flows with waiting requests, the least tag first
	expiry        indexedheap.Heap[*queuedRequest] // waiting requests in the order of latestStart
	backlogWeight float64                          // sum of the weights of the clients in backlog
	virtualTime   float64                          // greatest tag at which a request was admitted
	maxTag        float64                          // greatest tag of any flow so far
	inFlight      int                              // number of requests in flight
	pending       []Decision                       // rejections that Next has not returned yet
	closed        bool                             // no more requests will be enqueued
}

// queuedRequest is an open request: it waits or is in flight.
type queuedRequest struct {
	Request
	flow        *clientFlow
	cost        float64         // estimated time in flight, charged to the flow, in microseconds
	latestStart monotime.Micros // instant at which the request is rejected if it still waits
	startedAt   monotime.Micros // instant at which the request was admitted
	waiting     bool
	heapIndex   int // index in Scheduler.expiry; -1 once the request no longer waits
}

// Before orders waiting requests by their latest start (indexedheap.Element).
func (r *queuedRequest) Before(other *queuedRequest) bool { return r.latestStart < other.latestStart }

// SetHeapIndex stores the request's index in Scheduler.expiry.
func (r *queuedRequest) SetHeapIndex(index int) { r.heapIndex = index }

// New returns a scheduler without clients and requests.
func New(s Settings) *Scheduler {
	if s.Shared == nil {
		s.Shared = &SharedLimit{}
	}
	scheduler := &Scheduler{settings: s, requests: map[uint64]*queuedRequest{}}
	for _, initialTime := range s.InitialTimes {
		scheduler.estimates = append(scheduler.estimates, serviceEstimate{mean: float64(max(1, initialTime))})
	}
	return scheduler
}

// Close declares that no more requests will be enqueued. Clients remove their flows in the scheduler once it
// has no open requests.
func (s *Scheduler) Close() { s.closed = true }

// SetMaxInFlight sets the greatest number of requests in flight; 0 means no limit. With a negative number no request is
// admitted.
func (s *Scheduler) SetMaxInFlight(n int) { s.settings.MaxInFlight = n }

// Counts returns how many requests are waiting and how many are in flight.
func (s *Scheduler) Counts() (waiting, inFlight int) { return s.expiry.Len(), s.inFlight }

// Enqueue adds a request of a client. The ID of the request must not be that of an open request. The request is
// rejected if its client or the shared limit allows no more requests (overLimit), or if it is estimated to wait
// past its latest start. Next returns this decision, or later the decision to admit the request. The client
// spends one token of its rate for each request that is not rejected here.
func (s *Scheduler) Enqueue(now monotime.Micros, client *Client, r Request) {
	flow := s.flowOf(client)
	if reason, retryAfter := s.overLimit(now, flow); reason != None {
		s.reject(r.ID, reason, retryAfter)
		return
	}
	cost := s.estimates[r.Class].mean
	latestStart := s.latestStart(now, &r)
	if s.mustWait() {
		spareTime := latestStart - now
		if delay := s.queueDelay(flow, cost); delay > spareTime {
			s.reject(r.ID, WouldMissDeadline, delay-max(0, spareTime))
			return
		}
	}
	client.tokens--
	s.push(&queuedRequest{Request: r, flow: flow, cost: cost, latestStart: latestStart, waiting: true})
}

// overLimit decides whether a client may have one more request. It checks, in this order, the client's rate
// (ClientSpec.Rate and Burst), its open requests (ClientSpec.MaxOpen) and the open requests of all schedulers
// (SharedLimit.Max). If a limit is exceeded, it returns the reason and the time after which to retry: once the
// rate has earned a token, or once the client's queue is estimated to be empty.
func (s *Scheduler) overLimit(now monotime.Micros, flow *clientFlow) (reason Reason, retryAfter monotime.Micros) {
	client := flow.client
	if client.spec.Rate > 0 {
		client.refill(now)
		if client.tokens < 1 {
			waitTime := monotime.Micros(math.Ceil((1 - client.tokens) / client.spec.Rate * float64(second)))
			return ClientOverRate, waitTime
		}
	}
	if client.spec.MaxOpen > 0 && client.openRequests >= client.spec.MaxOpen {
		return ClientAtLimit, s.queueDelay(flow, 0)
	}
	if shared := s.settings.Shared; shared.Max > 0 && shared.openRequests >= shared.Max {
		return SharedLimitReached, s.queueDelay(flow, 0)
	}
	return None, 0
}

// latestStart returns the instant until which a request may wait. This is the last instant at which its
// response can still meet the deadline, given the expected time of its class; with Request.MaxWaitFraction,
// only that fraction of the time until then.
func (s *Scheduler) latestStart(now monotime.Micros, r *Request) monotime.Micros {
	latestStart := r.Deadline - s.expectedTime(r.Class)
	if r.MaxWaitFraction > 0 {
		latestStart = now + monotime.Micros(r.MaxWaitFraction*float64(latestStart-now))
	}
	return latestStart
}

// mustWait reports whether a new request cannot be admitted at once.
func (s *Scheduler) mustWait() bool {
	return s.isFull() || s.settings.MaxInFlight != 0 && s.backlog.Len() > 0
}

// isFull reports whether as many requests are in flight as may be.
func (s *Scheduler) isFull() bool {
	return s.settings.MaxInFlight != 0 && s.inFlight >= s.settings.MaxInFlight
}

// reject stores the decision to reject a request, for Next to return.
func (s *Scheduler) reject(id uint64, reason Reason, retryAfter monotime.Micros) {
	s.pending = append(s.pending, Decision{ID: id, Action: Reject, Reason: reason, RetryAfter: max(0, retryAfter)})
}

// Done records that a request in flight has ended, or that a waiting request was canceled. Unknown requests are
// ignored.
func (s *Scheduler) Done(now monotime.Micros, id uint64) {
	request := s.requests[id]
	if request == nil {
		return
	}
	delete(s.requests, id)
	flow := request.flow
	s.addOpen(flow, -1)
	if request.waiting {
		s.dequeue(request)
		return
	}
	s.inFlight--
	timeInFlight := float64(now - request.startedAt)
	s.charge(flow, timeInFlight-request.cost)
	if s.inFlight == 0 && s.backlog.Len() == 0 {
		s.virtualTime = s.maxTag // part of the algorithm: the next busy period starts with equal tags
	}
}

// addOpen adds n to the numbers of open requests of a flow, its client and the shared limit. n may be negative.
func (s *Scheduler) addOpen(flow *clientFlow, n int) {
	flow.openRequests += n
	flow.client.openRequests += n
	s.settings.Shared.openRequests += n
}

// Next returns one pending decision; ok is false if there is none. While there is capacity, it admits the
// earliest request of the flow that is first by clientFlow.Before. Otherwise it rejects requests at their
// latest start.
func (s *Scheduler) Next(now monotime.Micros) (d Decision, ok bool) {
	if len(s.pending) > 0 {
		d = s.pending[0]
		s.pending = append(s.pending[:0], s.pending[1:]...)
		return d, true
	}
	if s.backlog.Len() == 0 {
		return Decision{}, false
	}
	if s.isFull() {
		return s.expire(now)
	}
	flow := s.backlog.First()
	request := flow.queue[0]
	s.virtualTime = max(s.virtualTime, flow.tag)
	s.dequeue(request)
	request.waiting = false
	request.startedAt = now
	s.inFlight++
	s.charge(flow, request.cost)
	return Decision{ID: request.ID, Action: Admit}, true
}

// expire rejects a waiting request at its latest start. A request that is late while there is capacity is
// admitted instead: the balancer decides whether to send it.
func (s *Scheduler) expire(now monotime.Micros) (d Decision, ok bool) {
	request := s.expiry.First()
	if now < request.latestStart {
		return Decision{}, false
	}
	s.Done(now, request.ID)
	delay := s.queueDelay(request.flow, request.cost)
	return Decision{ID: request.ID, Action: Reject, Reason: WouldMissDeadline, RetryAfter: delay}, true
}

// NextExpiry returns the instant at which Next must be called unless another event occurs earlier: the earliest
// latestStart of the waiting requests, or 0 if no request waits.
func (s *Scheduler) NextExpiry() monotime.Micros {
	if s.expiry.Len() == 0 {
		return 0
	}
	return s.expiry.First().latestStart
}
