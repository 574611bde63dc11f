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
	x := &Scheduler{settings: s, requests: map[uint64]*queuedRequest{}}
	for _, expected := range s.InitialTimes {
		x.estimates = append(x.estimates, serviceEstimate{mean: float64(max(1, expected))})
	}
	return x
}

// Close declares that no more requests will be enqueued. Clients drop the scheduler once it has no open request.
func (x *Scheduler) Close() { x.closed = true }

// SetMaxInFlight sets how many requests may be in flight at once; 0 is no limit.
func (x *Scheduler) SetMaxInFlight(n int) { x.settings.MaxInFlight = n }

// Counts returns how many requests are waiting and in flight.
func (x *Scheduler) Counts() (waiting, inFlight int) { return x.expiry.Len(), x.inFlight }

// Enqueue takes in a request of a client, whose ID must not be that of an open request. It is rejected if its client or
// the shared limit allows no more (overLimit), or if it is estimated to wait past its latest start. Next returns that
// decision, or the one to admit it. The client spends a token of its rate for each request that is not rejected here.
func (x *Scheduler) Enqueue(now monotime.Micros, client *Client, r Request) {
	flow := x.flowOf(client)
	if reason, retryAfter := x.overLimit(now, flow); reason != None {
		x.reject(r.ID, reason, retryAfter)
		return
	}
	cost := x.estimates[r.Class].mean
	latestStart := x.latestStart(now, &r)
	if x.mustWait() {
		spare := latestStart - now
		if delay := x.queueDelay(flow, cost); delay > spare {
			x.reject(r.ID, WouldMissDeadline, delay-max(0, spare))
			return
		}
	}
	client.tokens--
	x.push(&queuedRequest{Request: r, flow: flow, cost: cost, latestStart: latestStart, waiting: true})
}

// overLimit decides whether a client may have one more request: by its rate (ClientSpec.Rate and Burst), its open
// requests (ClientSpec.MaxOpen) and the open requests of all schedulers (SharedLimit.Max), in this order. If it may
// not, overLimit returns the reason, and when to retry: once the rate has earned a token, or once the client's queue
// is estimated to be empty.
func (x *Scheduler) overLimit(now monotime.Micros, flow *clientFlow) (reason Reason, retryAfter monotime.Micros) {
	client := flow.client
	if client.spec.Rate > 0 {
		client.refill(now)
		if client.tokens < 1 {
			wait := monotime.Micros(math.Ceil((1 - client.tokens) / client.spec.Rate * float64(second)))
			return ClientOverRate, wait
		}
	}
	if client.spec.MaxOpen > 0 && client.open >= client.spec.MaxOpen {
		return ClientAtLimit, x.queueDelay(flow, 0)
	}
	if shared := x.settings.Shared; shared.Max > 0 && shared.open >= shared.Max {
		return SharedLimitReached, x.queueDelay(flow, 0)
	}
	return None, 0
}

// latestStart determines the instant until which a request may wait: the last at which its answer can still be in
// time, by its deadline and its class's expected time, or the part Request.MaxWaitFraction of the time until then.
func (x *Scheduler) latestStart(now monotime.Micros, r *Request) monotime.Micros {
	latestStart := r.Deadline - x.expectedTime(r.Class)
	if r.MaxWaitFraction > 0 {
		latestStart = now + monotime.Micros(r.MaxWaitFraction*float64(latestStart-now))
	}
	return latestStart
}

// mustWait reports whether a new request could not be admitted at once.
func (x *Scheduler) mustWait() bool {
	return x.settings.MaxInFlight > 0 && (x.inFlight >= x.settings.MaxInFlight || x.backlog.Len() > 0)
}

// reject notes the decision to reject a request that was not taken in.
func (x *Scheduler) reject(id uint64, reason Reason, retryAfter monotime.Micros) {
	x.pending = append(x.pending, Decision{ID: id, Action: Reject, Reason: reason, RetryAfter: max(0, retryAfter)})
}

// Done notes that a request in flight has ended, or that a waiting one was cancelled. Unknown requests are ignored.
func (x *Scheduler) Done(now monotime.Micros, id uint64) {
	request := x.requests[id]
	if request == nil {
		return
	}
	delete(x.requests, id)
	flow := request.flow
	x.addOpen(flow, -1)
	if request.waiting {
		x.dequeue(request)
		return
	}
	x.inFlight--
	took := float64(now - request.startedAt)
	x.charge(flow, took-request.cost)
	if x.inFlight == 0 && x.backlog.Len() == 0 {
		x.virtualTime = x.maxTag // by the algorithm: the next busy period starts with equal tags
	}
}

// addOpen notes that n more requests of a flow are open, or fewer if n is negative.
func (x *Scheduler) addOpen(flow *clientFlow, n int) {
	flow.open += n
	flow.client.open += n
	x.settings.Shared.open += n
}

// Next returns one decision that is due; ok is false if there is none. As long as there is capacity it admits the
// earliest request of the client with the least tag (clientFlow.Before), and otherwise rejects requests past their
// latest start.
func (x *Scheduler) Next(now monotime.Micros) (d Decision, ok bool) {
	if len(x.pending) > 0 {
		d = x.pending[0]
		x.pending = append(x.pending[:0], x.pending[1:]...)
		return d, true
	}
	if x.backlog.Len() == 0 {
		return Decision{}, false
	}
	if x.settings.MaxInFlight > 0 && x.inFlight >= x.settings.MaxInFlight {
		return x.expire(now)
	}
	flow := x.backlog.First()
	request := flow.queue[0]
	x.virtualTime = max(x.virtualTime, flow.tag)
	x.dequeue(request)
	request.waiting = false
	request.startedAt = now
	x.inFlight++
	x.charge(flow, request.cost)
	return Decision{ID: request.ID, Action: Admit}, true
}

// expire rejects a waiting request at its latest start. A request that is late while there is capacity is admitted:
// whether to send it is the balancer's decision.
func (x *Scheduler) expire(now monotime.Micros) (d Decision, ok bool) {
	request := x.expiry.First()
	if now < request.latestStart {
		return Decision{}, false
	}
	x.Done(now, request.ID)
	delay := x.queueDelay(request.flow, request.cost)
	return Decision{ID: request.ID, Action: Reject, Reason: WouldMissDeadline, RetryAfter: delay}, true
}

// NextExpiry returns the instant at which Next must be called, unless another event comes before: the earliest latest
// start of a waiting request; 0 if none waits.
func (x *Scheduler) NextExpiry() monotime.Micros {
	if x.expiry.Len() == 0 {
		return 0
	}
	return x.expiry.First().latestStart
}
