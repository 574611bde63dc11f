package fairqueue

import (
	"math"

	"dunlinsail/internal/decide/indexedheap"
	"dunlinsail/internal/monotime"
)

// Scheduler schedules the requests to one set of endpoints. Make one with New; it is for one goroutine at a time.
type Scheduler struct {
	settings      Settings
	estimates     []serviceEstimate // by class
	requests      map[uint64]*queuedRequest
	backlog       indexedheap.Heap[*clientFlow]    // flows with waiting requests, the least tag first
	expiry        indexedheap.Heap[*queuedRequest] // waiting requests, the earliest latest start first
	backlogWeight float64                          // of the clients in backlog
	virtualTime   float64                          // greatest tag at which a request was admitted
	maxTag        float64                          // greatest tag that any flow has had
	inFlight      int
	pending       []Decision // rejections that Next has yet to return
	closed        bool
}

// queuedRequest is a request that waits or is in flight.
type queuedRequest struct {
	Request
	flow        *clientFlow
	cost        float64         // charged to its flow, in microseconds
	latestStart monotime.Micros // it is rejected if it still waits at this instant
	startedAt   monotime.Micros // when it was admitted
	waiting     bool
	heapIndex   int // in Scheduler.expiry; -1 once it does not wait
}

// Before orders waiting requests by their latest start (indexedheap.Element).
func (r *queuedRequest) Before(other *queuedRequest) bool { return r.latestStart < other.latestStart }

// SetHeapIndex notes the request's index in Scheduler.expiry.
func (r *queuedRequest) SetHeapIndex(index int) { r.heapIndex = index }

// New returns a scheduler without clients.
func New(s Settings) *Scheduler {
	if s.Shared == nil {
		s.Shared = &SharedLimit{}
	}
	scheduler := &Scheduler{settings: s, requests: map[uint64]*queuedRequest{}}
	for _, expected := range s.InitialTimes {
		scheduler.estimates = append(scheduler.estimates, serviceEstimate{mean: float64(max(1, expected))})
	}
	return scheduler
}

// Close declares that no more requests will be enqueued. Clients drop the scheduler once it has no open request.
func (s *Scheduler) Close() { s.closed = true }

// SetMaxInFlight sets how many requests may be in flight at once; 0 is no limit.
func (s *Scheduler) SetMaxInFlight(n int) { s.settings.MaxInFlight = n }

// Counts returns how many requests are waiting and in flight.
func (s *Scheduler) Counts() (waiting, inFlight int) { return s.expiry.Len(), s.inFlight }

// Enqueue takes in a request of a client, whose ID must not be that of an open request. It is rejected if its client or
// the shared limit allows no more (overLimit), or if it is estimated to wait past its latest start. Next returns that
// decision, or the one to admit it. The client spends a token of its rate for each request that is not rejected here.
func (s *Scheduler) Enqueue(now monotime.Micros, client *Client, r Request) {
	flow := s.flowOf(client)
	if reason, retryAfter := s.overLimit(now, flow); reason != None {
		s.reject(r.ID, reason, retryAfter)
		return
	}
	cost := s.estimates[r.Class].mean
	latestStart := s.latestStart(now, &r)
	if s.mustWait() {
		spare := latestStart - now
		if delay := s.queueDelay(flow, cost); delay > spare {
			s.reject(r.ID, WouldMissDeadline, delay-max(0, spare))
			return
		}
	}
	client.tokens--
	s.push(&queuedRequest{Request: r, flow: flow, cost: cost, latestStart: latestStart, waiting: true})
}

// overLimit decides whether a client may have one more request: by its rate (ClientSpec.Rate and Burst), its open
// requests (ClientSpec.MaxOpen) and the open requests of all schedulers (SharedLimit.Max), in this order. If it may
// not, overLimit returns the reason, and when to retry: once the rate has earned a token, or once the client's queue
// is estimated to be empty.
func (s *Scheduler) overLimit(now monotime.Micros, flow *clientFlow) (reason Reason, retryAfter monotime.Micros) {
	client := flow.client
	if client.spec.Rate > 0 {
		client.refill(now)
		if client.tokens < 1 {
			wait := monotime.Micros(math.Ceil((1 - client.tokens) / client.spec.Rate * float64(second)))
			return ClientOverRate, wait
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

// latestStart determines the instant until which a request may wait: the last at which its answer can still be in
// time, by its deadline and its class's expected time, or the part Request.MaxWaitFraction of the time until then.
func (s *Scheduler) latestStart(now monotime.Micros, r *Request) monotime.Micros {
	latestStart := r.Deadline - s.expectedTime(r.Class)
	if r.MaxWaitFraction > 0 {
		latestStart = now + monotime.Micros(r.MaxWaitFraction*float64(latestStart-now))
	}
	return latestStart
}

// mustWait reports whether a new request could not be admitted at once.
func (s *Scheduler) mustWait() bool {
	return s.settings.MaxInFlight > 0 && (s.inFlight >= s.settings.MaxInFlight || s.backlog.Len() > 0)
}

// reject notes the decision to reject a request that was not taken in.
func (s *Scheduler) reject(id uint64, reason Reason, retryAfter monotime.Micros) {
	s.pending = append(s.pending, Decision{ID: id, Action: Reject, Reason: reason, RetryAfter: max(0, retryAfter)})
}

// Done notes that a request in flight has ended, or that a waiting one was cancelled. Unknown requests are ignored.
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
		s.virtualTime = s.maxTag // by the algorithm: the next busy period starts with equal tags
	}
}

// addOpen notes that n more requests of a flow are open, or fewer if n is negative.
func (s *Scheduler) addOpen(flow *clientFlow, n int) {
	flow.openRequests += n
	flow.client.openRequests += n
	s.settings.Shared.openRequests += n
}

// Next returns one decision that is due; ok is false if there is none. As long as there is capacity it admits the
// earliest request of the client with the least tag (clientFlow.Before), and otherwise rejects requests past their
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
	if s.settings.MaxInFlight > 0 && s.inFlight >= s.settings.MaxInFlight {
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

// expire rejects a waiting request at its latest start. A request that is late while there is capacity is admitted:
// whether to send it is the balancer's decision.
func (s *Scheduler) expire(now monotime.Micros) (d Decision, ok bool) {
	request := s.expiry.First()
	if now < request.latestStart {
		return Decision{}, false
	}
	s.Done(now, request.ID)
	delay := s.queueDelay(request.flow, request.cost)
	return Decision{ID: request.ID, Action: Reject, Reason: WouldMissDeadline, RetryAfter: delay}, true
}

// NextExpiry returns the instant at which Next must be called, unless another event comes before: the earliest latest
// start of a waiting request; 0 if none waits.
func (s *Scheduler) NextExpiry() monotime.Micros {
	if s.expiry.Len() == 0 {
		return 0
	}
	return s.expiry.First().latestStart
}
