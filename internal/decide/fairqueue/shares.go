// Package fairqueue decides between the clients of one instance: whose request goes on now, whose waits, and whose
// is turned away. It knows clients with weights and bounds, and how many requests may be in flight at once: a
// Scheduler stands for one set of endpoints, and several may share their clients. It knows nothing of endpoints, which the balancer picks afterwards, nor of sockets. It is a deterministic state
// machine for one caller at a time: its host passes events with their instants, and takes the decisions that
// follow from them with Next until there is none.
//
// What is shared is time in flight: a client whose requests take longer gets fewer of them. The order is that of
// start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996) over several servers
// (SFQ(D): Jin, Chase, Kaur: "Interposed proportional sharing for a storage service utility", SIGMETRICS 2004):
// each client has a tag in virtual time, the least tag goes first, and each request moves its client's tag on by
// its cost over the client's weight. A cost is known only at the end: the mean of the class is charged at the
// start, and the difference settled then. Nothing is ever held back while there is room for it.
package fairqueue

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// saved is for how long, in microseconds, a client that asks for less than its share saves up what it leaves. It
// is far under the second in which shares are to hold.
const burstCredit = 25_000.0

// Spec is what one client may do. A bound of 0 is no bound.
type ClientSpec struct {
	Name    string
	Weight  float64 // of its share; must be positive
	MaxOpen int     // requests in flight and waiting together
	Rate    float64 // requests a second, as an average: up to Burst may come at once
	Burst   float64 // at least 1 where there is a Rate
}

// Validate says which part of a spec makes no sense.
func (s ClientSpec) Validate() error {
	switch {
	case !(s.Weight > 0) || math.IsInf(s.Weight, 0):
		return fmt.Errorf("weight %v: must be positive", s.Weight)
	case s.MaxOpen < 0:
		return fmt.Errorf("open requests %d: must not be negative", s.MaxOpen)
	case !(s.Rate >= 0) || math.IsInf(s.Rate, 0):
		return fmt.Errorf("rate %v: must not be negative", s.Rate)
	case s.Rate > 0 && !(s.Burst >= 1):
		return fmt.Errorf("burst %v: must be at least 1 where there is a rate", s.Burst)
	}
	return nil
}

// Request is a client's request.
type Request struct {
	ID       uint64
	Class    int             // its place among the classes; costs are learned for each
	Deadline monotime.Micros // an answer after this instant is worth nothing

	// Patience is the part of the time that is left for waiting, over 0 to 1, that it may spend waiting here; 0 is all.
	// Where all wait until it is nearly too late, all answers come at the last moment, and many after it.
	MaxWaitFraction float64
}

// Verb is what is to be done with a request.
type Action uint8

// The verbs.
const (
	Admit  Action = iota // it goes on to the balancer
	Reject               // it is given up: nothing of it has been sent, so trying again is harmless
)

// Reason says why a request is turned away.
type Reason uint8

// The reasons.
const (
	None              Reason = iota
	WouldMissDeadline        // by the time its turn would come, no answer could be in time
	ClientAtLimit            // its client has as many open as it may
	ClientOverRate           // its client asks more often than it may
	TotalAtLimit             // the instance holds as many as it may
)

var reasonTexts = [...]string{"", "the answer would come too late", "too many requests of this client are open",
	"too many requests a second of this client", "too many requests are open"}

func (r Reason) String() string { return reasonTexts[r] }

// Decision is what is to be done with one request.
type Decision struct {
	ID         uint64
	Action     Action
	Reason     Reason          // TurnAway only
	RetryAfter monotime.Micros // TurnAway only: after so long there may be room; 0 is no advice
}

// Client is one client. Its bounds hold over all schedulers that it uses; its weight holds in each. Make one with
// NewClient.
type Client struct {
	spec ClientSpec
	open int // waiting and in flight

	tokens   float64 // of its rate
	tokensAt monotime.Micros

	flows map[*Scheduler]*clientFlow
}

// account is what one scheduler knows of a client.
type clientFlow struct {
	client     *Client
	tag        float64 // virtual time at which its next request starts
	queue      []*queuedRequest
	queuedCost float64 // of those waiting, in microseconds in flight
	open       int     // waiting and in flight
	heapIndex  int     // in Scheduler.backlog; -1 while nothing waits
}

// Open returns how many of the client's requests are waiting and in flight.
func (c *Client) Counts() (waiting, inFlight int) {
	for _, a := range c.flows {
		waiting += len(a.queue)
	}
	return waiting, c.open - waiting
}

// Total bounds the requests in flight and waiting together over several schedulers.
type SharedLimit struct {
	Max  int // 0 is no bound
	open int
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

// class is what is known of a class's time in flight.
type serviceEstimate struct {
	mean, deviation float64 // in microseconds (RFC 6298, 2: the gains of SRTT and RTTVAR)
	known           bool
}

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

// NewClient returns a new client, for schedulers of one caller.
func NewClient(spec ClientSpec) (*Client, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("client %q: %w", spec.Name, err)
	}
	return &Client{spec: spec, tokens: spec.Burst, flows: map[*Scheduler]*clientFlow{}}, nil
}

// Change gives a client another spec. What it has open stays open.
func (c *Client) Update(spec ClientSpec) error {
	if err := spec.Validate(); err != nil {
		return fmt.Errorf("client %q: %w", spec.Name, err)
	}
	for x, a := range c.flows {
		if a.heapIndex >= 0 {
			x.backlogWeight += spec.Weight - c.spec.Weight
		}
	}
	c.spec = spec
	c.tokens = min(c.tokens, spec.Burst)
	return nil
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

// Learn tells how long an admitted request of a class took that was served: what the next are expected to take.
func (x *Scheduler) ObserveServiceTime(class int, took monotime.Micros) {
	estimate := &x.estimates[class]
	if !estimate.known {
		estimate.mean, estimate.deviation, estimate.known = float64(took), float64(took)/2, true
		return
	}
	estimate.deviation += (math.Abs(float64(took)-estimate.mean) - estimate.deviation) / 4
	estimate.mean += (float64(took) - estimate.mean) / 8
	estimate.mean = max(1, estimate.mean)
}

// Times is how long requests of a class take.
type ServiceTime struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// Learned returns how long requests of each class take, zero where that is not known.
func (x *Scheduler) ServiceTimes() []ServiceTime {
	all := make([]ServiceTime, len(x.estimates))
	for i, k := range x.estimates {
		if k.known {
			all[i] = ServiceTime{k.mean, k.deviation}
		}
	}
	return all
}

// Restore takes over what another had learned of a class. What makes no sense is passed over.
func (x *Scheduler) RestoreServiceTime(class int, t ServiceTime) {
	if t.Mean >= 1 && t.Deviation >= 0 && !math.IsInf(t.Mean, 0) && !math.IsInf(t.Deviation, 0) {
		x.estimates[class] = serviceEstimate{t.Mean, t.Deviation, true}
	}
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

// expect is the time in flight that a request of a class is given when it is judged whether it can be in time.
func (x *Scheduler) expectedTime(class int) monotime.Micros {
	estimate := &x.estimates[class]
	return monotime.Micros(estimate.mean + estimate.deviation)
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

// backlog is a heap of clients by tag (container/heap); among equals who has less in flight goes first.
type flowHeap []*clientFlow

func (b flowHeap) Len() int { return len(b) }
func (b flowHeap) Less(i, j int) bool {
	if b[i].tag != b[j].tag {
		return b[i].tag < b[j].tag
	}
	return b[i].open-len(b[i].queue) < b[j].open-len(b[j].queue)
}
func (b flowHeap) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].heapIndex, b[j].heapIndex = i, j
}
func (b *flowHeap) Push(c any) {
	c.(*clientFlow).heapIndex = len(*b)
	*b = append(*b, c.(*clientFlow))
}
func (b *flowHeap) Pop() any {
	last := len(*b) - 1
	c := (*b)[last]
	(*b)[last], c.heapIndex = nil, -1
	*b = (*b)[:last]
	return c
}

// expiry is a heap of requests by the last instant at which they may go on (container/heap).
type expiryHeap []*queuedRequest

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].latestStart < e[j].latestStart }
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}
func (e *expiryHeap) Push(q any) {
	q.(*queuedRequest).heapIndex = len(*e)
	*e = append(*e, q.(*queuedRequest))
}
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	q := (*e)[last]
	(*e)[last], q.heapIndex = nil, -1
	*e = (*e)[:last]
	return q
}
