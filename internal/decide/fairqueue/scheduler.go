package fairqueue

import (
	"container/heap"
	"maps"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// saved is for how long, in microseconds, a client that asks for less than its share saves up what it leaves. It
// is far under the second in which shares are to hold.
const burstCredit = 25_000.0

// Settings are what a Scheduler needs.
type Settings struct {
	InitialTimes []monotime.Micros // what is expected of a request of each class at first
	MaxInFlight  int               // requests in flight at once; 0 is no bound
	Shared       *SharedLimit      // which bounds these and others' requests; nil is no bound
}

// Scheduler decides between clients. Make one with New.
type Scheduler struct {
	settings      Settings
	estimates     []serviceEstimate
	requests      map[uint64]*queuedRequest
	backlog       flowHeap   // accounts with something waiting, the least tag first
	expiry        expiryHeap // requests that wait, the one that must go on first ahead
	backlogWeight float64    // of the clients in backlog
	virtualTime   float64    // the greatest tag of a request that was admitted
	maxTag        float64    // the greatest tag of any client
	inFlight      int
	pending       []Decision // made already
	closed        bool
}

// request is a request that waits or is in flight.
type queuedRequest struct {
	Request
	flow        *clientFlow
	cost        float64         // charged
	latestStart monotime.Micros // the last instant at which it may go on
	startedAt   monotime.Micros // in flight since
	waiting     bool
	heapIndex   int // in Scheduler.expiry while it waits
}

// New returns a scheduler without clients.
func New(s Settings) *Scheduler {
	if s.Shared == nil {
		s.Shared = &SharedLimit{}
	}
	x := &Scheduler{settings: s, requests: map[uint64]*queuedRequest{}}
	for _, expect := range s.InitialTimes {
		x.estimates = append(x.estimates, serviceEstimate{mean: float64(max(1, expect))})
	}
	return x
}

// Close says that nothing more will be offered: clients forget the scheduler once nothing is open in it.
func (x *Scheduler) Close() { x.closed = true }

// Slots changes how many requests may be in flight at once; 0 is no bound.
func (x *Scheduler) SetMaxInFlight(n int) { x.settings.MaxInFlight = n }

// Counts returns how many requests are waiting and in flight.
func (x *Scheduler) Counts() (waiting, inFlight int) { return len(x.expiry), x.inFlight }

// Offer takes in a request of a client, whose ID must not be open. What becomes of it, Next tells.
func (x *Scheduler) Enqueue(now monotime.Micros, client *Client, r Request) {
	flow := x.flowOf(client)
	reject := func(reason Reason, retryAfter monotime.Micros) {
		x.pending = append(x.pending, Decision{ID: r.ID, Action: Reject, Reason: reason, RetryAfter: max(0, retryAfter)})
	}
	cost := x.estimates[r.Class].mean
	if spec := &client.spec; spec.Rate > 0 {
		client.tokens = min(spec.Burst, client.tokens+spec.Rate*float64(now-client.tokensAt)/float64(second))
		client.tokensAt = now
		if client.tokens < 1 {
			reject(ClientOverRate, monotime.Micros(math.Ceil((1-client.tokens)/spec.Rate*float64(second))))
			return
		}
	}
	if client.spec.MaxOpen > 0 && client.open >= client.spec.MaxOpen {
		reject(ClientAtLimit, x.queueDelay(flow, 0))
		return
	}
	if total := x.settings.Shared; total.Max > 0 && total.open >= total.Max {
		reject(TotalAtLimit, x.queueDelay(flow, 0))
		return
	}
	latestStart := r.Deadline - x.expectedTime(r.Class)
	if r.MaxWaitFraction > 0 {
		latestStart = now + monotime.Micros(r.MaxWaitFraction*float64(latestStart-now))
	}
	if x.settings.MaxInFlight > 0 && (x.inFlight >= x.settings.MaxInFlight || len(x.backlog) > 0) {
		if spare := latestStart - now; x.queueDelay(flow, cost) > spare {
			reject(WouldMissDeadline, x.queueDelay(flow, cost)-max(0, spare))
			return
		}
	}
	client.tokens--
	queued := &queuedRequest{Request: r, flow: flow, cost: cost, latestStart: latestStart, waiting: true}
	x.requests[r.ID] = queued
	x.addOpen(flow, 1)
	if len(flow.queue) == 0 {
		// Who asked for nothing saves nothing up but for a moment: a few requests at once of one who asks for little
		// go ahead of what others have had waiting.
		x.backlogWeight += client.spec.Weight
		flow.tag = max(flow.tag, x.virtualTime-burstCredit*float64(x.settings.MaxInFlight)/x.backlogWeight)
		heap.Push(&x.backlog, flow)
	}
	flow.queue = append(flow.queue, queued)
	flow.queuedCost += cost
	heap.Push(&x.expiry, queued)
}

// account returns what is known of a client.
func (x *Scheduler) flowOf(c *Client) *clientFlow {
	a := c.flows[x]
	if a == nil {
		maps.DeleteFunc(c.flows, func(o *Scheduler, _ *clientFlow) bool { return o.closed && len(o.requests) == 0 })
		a = &clientFlow{client: c, heapIndex: -1}
		c.flows[x] = a
	}
	return a
}

// Done tells that a request in flight is over and holds no place any more, or that one that waits is not wanted
// any more. Requests that are not known are passed over.
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
	if x.inFlight == 0 && len(x.backlog) == 0 {
		x.virtualTime = x.maxTag // the next busy period begins with all alike
	}
}

// count notes that n more requests of a client are open.
func (x *Scheduler) addOpen(flow *clientFlow, n int) {
	flow.open += n
	flow.client.open += n
	x.settings.Shared.open += n
}

// Next returns one decision that is due, until there is none.
func (x *Scheduler) Next(now monotime.Micros) (Decision, bool) {
	if n := len(x.pending); n > 0 {
		d := x.pending[0]
		x.pending = append(x.pending[:0], x.pending[1:]...)
		return d, true
	}
	if len(x.backlog) == 0 {
		return Decision{}, false
	}
	if x.settings.MaxInFlight > 0 && x.inFlight >= x.settings.MaxInFlight {
		// Whoever cannot be in time any more, however soon its turn came, waits no longer. Where there is room
		// nobody waits, and whether it is worth sending is not decided here.
		request := x.expiry[0]
		if now < request.latestStart {
			return Decision{}, false
		}
		flow := request.flow
		x.Done(now, request.ID)
		return Decision{ID: request.ID, Action: Reject, Reason: WouldMissDeadline, RetryAfter: x.queueDelay(flow, request.cost)}, true
	}
	flow := x.backlog[0]
	request := flow.queue[0]
	x.virtualTime = max(x.virtualTime, flow.tag)
	x.dequeue(request)
	request.waiting, request.startedAt = false, now
	x.inFlight++
	x.charge(flow, request.cost)
	return Decision{ID: request.ID, Action: Admit}, true
}

// Wake returns the instant at which a request that waits must be turned away unless something happens before; 0
// while there is none.
func (x *Scheduler) NextExpiry() monotime.Micros {
	if len(x.expiry) == 0 {
		return 0
	}
	return x.expiry[0].latestStart
}

// charge moves a client's tag on by a cost, or back.
func (x *Scheduler) charge(flow *clientFlow, cost float64) {
	flow.tag += cost / flow.client.spec.Weight
	x.maxTag = max(x.maxTag, flow.tag)
	if flow.heapIndex >= 0 {
		heap.Fix(&x.backlog, flow.heapIndex)
	}
}

// delay is how long it takes until everything of c that waits, and a cost more, has had its turn, while all who
// wait now go on asking.
func (x *Scheduler) queueDelay(flow *clientFlow, extraCost float64) monotime.Micros {
	if x.settings.MaxInFlight <= 0 {
		return 0
	}
	totalWeight := x.backlogWeight
	if flow.heapIndex < 0 {
		totalWeight += flow.client.spec.Weight
	}
	rate := float64(x.settings.MaxInFlight) * flow.client.spec.Weight / totalWeight // time in flight that c gets, for each unit of time
	return monotime.Micros((flow.queuedCost + extraCost) / rate)
}

// unqueue takes a request out of those that wait.
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
		heap.Remove(&x.backlog, flow.heapIndex)
		x.backlogWeight -= flow.client.spec.Weight
		if len(x.backlog) == 0 {
			x.backlogWeight = 0 // sums of fractions drift
		}
	}
	heap.Remove(&x.expiry, request.heapIndex)
}
