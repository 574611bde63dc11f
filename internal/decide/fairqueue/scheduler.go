package fairqueue

import (
	"maps"
	"math"
	"slices"

	"dunlinsail/internal/decide/indexedheap"
	"dunlinsail/internal/monotime"
)

// burstCredit is for how long, in microseconds, an idle client saves up the share that it does not use: far
// less than the second within which shares are to hold.
const burstCredit = 25_000.0

// Settings configure a Scheduler.
type Settings struct {
	InitialTimes []monotime.Micros // by class: expected time in flight of a request until there are samples
	MaxInFlight  int               // requests in flight at once; 0 is no limit
	Shared       *SharedLimit      // over this and other schedulers; nil is none
}

// Scheduler schedules the requests to one set of endpoints. Make one with New; it is for one goroutine at a time.
type Scheduler struct {
	settings      Settings
	estimates     []serviceEstimate // by class
	requests      map[uint64]*queuedRequest
	backlog       indexedheap.Heap[*clientFlow]    // flows with waiting requests, the least tag first
	expiry        indexedheap.Heap[*queuedRequest] // waiting requests, the earliest latest start first
	backlogWeight float64                          // of the clients in backlog
	virtualTime   float64                          // greatest tag of an admitted request
	maxTag        float64                          // greatest tag of any flow
	inFlight      int
	pending       []Decision // made already, for Next
	closed        bool
}

// queuedRequest is a request that waits or is in flight.
type queuedRequest struct {
	Request
	flow        *clientFlow
	cost        float64         // charged to its flow, in microseconds
	latestStart monotime.Micros // last instant at which it may be admitted
	startedAt   monotime.Micros // in flight since
	waiting     bool
	heapIndex   int // in Scheduler.expiry while it waits
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

// Close announces that no more requests will be enqueued. Clients drop the scheduler once it has no open requests.
func (x *Scheduler) Close() { x.closed = true }

// SetMaxInFlight sets how many requests may be in flight at once; 0 is no limit.
func (x *Scheduler) SetMaxInFlight(n int) { x.settings.MaxInFlight = n }

// Counts returns how many requests are waiting and in flight.
func (x *Scheduler) Counts() (waiting, inFlight int) { return x.expiry.Len(), x.inFlight }

// Enqueue takes in a request of a client, whose ID must not be that of an open request. Next returns its decision.
func (x *Scheduler) Enqueue(now monotime.Micros, client *Client, r Request) {
	flow := x.flowOf(client)
	if client.spec.Rate > 0 {
		client.refill(now)
		if client.tokens < 1 {
			wait := monotime.Micros(math.Ceil((1 - client.tokens) / client.spec.Rate * float64(second)))
			x.reject(r.ID, ClientOverRate, wait)
			return
		}
	}
	if client.spec.MaxOpen > 0 && client.open >= client.spec.MaxOpen {
		x.reject(r.ID, ClientAtLimit, x.queueDelay(flow, 0))
		return
	}
	if shared := x.settings.Shared; shared.Max > 0 && shared.open >= shared.Max {
		x.reject(r.ID, SharedLimitReached, x.queueDelay(flow, 0))
		return
	}
	cost := x.estimates[r.Class].mean
	latestStart := r.Deadline - x.expectedTime(r.Class)
	if r.MaxWaitFraction > 0 {
		latestStart = now + monotime.Micros(r.MaxWaitFraction*float64(latestStart-now))
	}
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

// mustWait reports whether a new request could not be admitted at once.
func (x *Scheduler) mustWait() bool {
	return x.settings.MaxInFlight > 0 && (x.inFlight >= x.settings.MaxInFlight || x.backlog.Len() > 0)
}

// reject decides that a request which was not taken in is rejected.
func (x *Scheduler) reject(id uint64, reason Reason, retryAfter monotime.Micros) {
	x.pending = append(x.pending, Decision{ID: id, Action: Reject, Reason: reason, RetryAfter: max(0, retryAfter)})
}

// push adds a request to those that wait.
func (x *Scheduler) push(request *queuedRequest) {
	flow := request.flow
	x.requests[request.ID] = request
	x.addOpen(flow, 1)
	if len(flow.queue) == 0 {
		// An idle client saves up its share for a moment only: a small burst of a client with little traffic
		// goes ahead of what others have waiting.
		x.backlogWeight += flow.client.spec.Weight
		flow.tag = max(flow.tag, x.virtualTime-burstCredit*float64(x.settings.MaxInFlight)/x.backlogWeight)
		x.backlog.Push(flow)
	}
	flow.queue = append(flow.queue, request)
	flow.queuedCost += request.cost
	x.expiry.Push(request)
}

// flowOf returns a client's flow, and makes it if need be.
func (x *Scheduler) flowOf(c *Client) *clientFlow {
	flow := c.flows[x]
	if flow == nil {
		maps.DeleteFunc(c.flows, func(other *Scheduler, _ *clientFlow) bool {
			return other.closed && len(other.requests) == 0
		})
		flow = &clientFlow{client: c, heapIndex: -1}
		c.flows[x] = flow
	}
	return flow
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
		x.virtualTime = x.maxTag // the next busy period starts with equal tags
	}
}

// addOpen notes that n more requests of a flow are open.
func (x *Scheduler) addOpen(flow *clientFlow, n int) {
	flow.open += n
	flow.client.open += n
	x.settings.Shared.open += n
}

// Next returns one decision that is due; ok is false if there is none.
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

// expire rejects a waiting request that could not be in time any more even if it were admitted now. While there
// is capacity nothing waits, and whether a late request is still worth sending is not decided here.
func (x *Scheduler) expire(now monotime.Micros) (d Decision, ok bool) {
	request := x.expiry.First()
	if now < request.latestStart {
		return Decision{}, false
	}
	x.Done(now, request.ID)
	delay := x.queueDelay(request.flow, request.cost)
	return Decision{ID: request.ID, Action: Reject, Reason: WouldMissDeadline, RetryAfter: delay}, true
}

// NextExpiry returns the instant at which a waiting request must be rejected unless something happens before; 0 if none
// waits. Next must be called then.
func (x *Scheduler) NextExpiry() monotime.Micros {
	if x.expiry.Len() == 0 {
		return 0
	}
	return x.expiry.First().latestStart
}

// charge advances a flow's tag by a cost; a negative cost moves it back.
func (x *Scheduler) charge(flow *clientFlow, cost float64) {
	flow.tag += cost / flow.client.spec.Weight
	x.maxTag = max(x.maxTag, flow.tag)
	if flow.heapIndex >= 0 {
		x.backlog.Fix(flow.heapIndex)
	}
}

// queueDelay is how long it takes until a flow's waiting requests and an extra cost have been admitted, while
// all clients that wait now go on sending.
func (x *Scheduler) queueDelay(flow *clientFlow, extraCost float64) monotime.Micros {
	if x.settings.MaxInFlight <= 0 {
		return 0
	}
	totalWeight := x.backlogWeight
	if flow.heapIndex < 0 {
		totalWeight += flow.client.spec.Weight
	}
	// Time in flight that the flow gets in each unit of time.
	rate := float64(x.settings.MaxInFlight) * flow.client.spec.Weight / totalWeight
	return monotime.Micros((flow.queuedCost + extraCost) / rate)
}

// dequeue removes a request from those that wait.
func (x *Scheduler) dequeue(request *queuedRequest) {
	flow := request.flow
	if flow.queue[0] == request { // nearly always
		flow.queue[0] = nil
		flow.queue = flow.queue[1:]
	} else if i := slices.Index(flow.queue, request); i > 0 {
		flow.queue = slices.Delete(flow.queue, i, i+1)
	}
	flow.queuedCost -= request.cost
	if len(flow.queue) == 0 {
		flow.queuedCost = 0
		x.backlog.Remove(flow.heapIndex)
		x.backlogWeight -= flow.client.spec.Weight
		if x.backlog.Len() == 0 {
			x.backlogWeight = 0 // against the drift of floating-point sums
		}
	}
	x.expiry.Remove(request.heapIndex)
}
