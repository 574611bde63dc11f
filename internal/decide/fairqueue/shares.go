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
const saved = 25_000.0

// Spec is what one client may do. A bound of 0 is no bound.
type Spec struct {
	Name   string
	Weight float64 // of its share; must be positive
	Open   int     // requests in flight and waiting together
	Rate   float64 // requests a second, as an average: up to Burst may come at once
	Burst  float64 // at least 1 where there is a Rate
}

// Validate says which part of a spec makes no sense.
func (s Spec) Validate() error {
	switch {
	case !(s.Weight > 0) || math.IsInf(s.Weight, 0):
		return fmt.Errorf("weight %v: must be positive", s.Weight)
	case s.Open < 0:
		return fmt.Errorf("open requests %d: must not be negative", s.Open)
	case !(s.Rate >= 0) || math.IsInf(s.Rate, 0):
		return fmt.Errorf("rate %v: must not be negative", s.Rate)
	case s.Rate > 0 && !(s.Burst >= 1):
		return fmt.Errorf("burst %v: must be at least 1 where there is a rate", s.Burst)
	}
	return nil
}

// Request is a client's request.
type Request struct {
	ID    uint64
	Class int             // its place among the classes; costs are learned for each
	Until monotime.Micros // an answer after this instant is worth nothing

	// Patience is the part of the time that is left for waiting, over 0 to 1, that it may spend waiting here; 0 is all.
	// Where all wait until it is nearly too late, all answers come at the last moment, and many after it.
	Patience float64
}

// Verb is what is to be done with a request.
type Verb uint8

// The verbs.
const (
	Admit    Verb = iota // it goes on to the balancer
	TurnAway             // it is given up: nothing of it has been sent, so trying again is harmless
)

// Reason says why a request is turned away.
type Reason uint8

// The reasons.
const (
	None    Reason = iota
	Late           // by the time its turn would come, no answer could be in time
	TooMany        // its client has as many open as it may
	TooFast        // its client asks more often than it may
	Full           // the instance holds as many as it may
)

var reasons = [...]string{"", "the answer would come too late", "too many requests of this client are open",
	"too many requests a second of this client", "too many requests are open"}

func (r Reason) String() string { return reasons[r] }

// Decision is what is to be done with one request.
type Decision struct {
	ID         uint64
	Verb       Verb
	Reason     Reason          // TurnAway only
	RetryAfter monotime.Micros // TurnAway only: after so long there may be room; 0 is no advice
}

// Client is one client. Its bounds hold over all schedulers that it uses; its weight holds in each. Make one with
// NewClient.
type Client struct {
	spec Spec
	open int // waiting and in flight

	tokens float64 // of its rate
	filled monotime.Micros

	accounts map[*Scheduler]*account
}

// account is what one scheduler knows of a client.
type account struct {
	client *Client
	tag    float64 // virtual time at which its next request starts
	wait   []*request
	cost   float64 // of those waiting, in microseconds in flight
	open   int     // waiting and in flight
	place  int     // in Scheduler.backlog; -1 while nothing waits
}

// Open returns how many of the client's requests are waiting and in flight.
func (c *Client) Open() (waiting, inFlight int) {
	for _, a := range c.accounts {
		waiting += len(a.wait)
	}
	return waiting, c.open - waiting
}

// Total bounds the requests in flight and waiting together over several schedulers.
type Total struct {
	Most int // 0 is no bound
	open int
}

// request is a request that waits or is in flight.
type request struct {
	Request
	account *account
	cost    float64         // charged
	latest  monotime.Micros // the last instant at which it may go on
	began   monotime.Micros // in flight since
	waiting bool
	place   int // in Scheduler.expiry while it waits
}

// class is what is known of a class's time in flight.
type class struct {
	mean, dev float64 // in microseconds (RFC 6298, 2: the gains of SRTT and RTTVAR)
	known     bool
}

// Settings are what a Scheduler needs.
type Settings struct {
	Classes []monotime.Micros // what is expected of a request of each class at first
	Slots   int               // requests in flight at once; 0 is no bound
	Total   *Total            // which bounds these and others' requests; nil is no bound
}

// Scheduler decides between clients. Make one with New.
type Scheduler struct {
	s        Settings
	classes  []class
	requests map[uint64]*request
	backlog  backlog // accounts with something waiting, the least tag first
	expiry   expiry  // requests that wait, the one that must go on first ahead
	weights  float64 // of the clients in backlog
	virtual  float64 // the greatest tag of a request that was admitted
	top      float64 // the greatest tag of any client
	inFlight int
	ready    []Decision // made already
	closed   bool
}

// New returns a scheduler without clients.
func New(s Settings) *Scheduler {
	if s.Total == nil {
		s.Total = &Total{}
	}
	x := &Scheduler{s: s, requests: map[uint64]*request{}}
	for _, expect := range s.Classes {
		x.classes = append(x.classes, class{mean: float64(max(1, expect))})
	}
	return x
}

// NewClient returns a new client, for schedulers of one caller.
func NewClient(spec Spec) (*Client, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("client %q: %w", spec.Name, err)
	}
	return &Client{spec: spec, tokens: spec.Burst, accounts: map[*Scheduler]*account{}}, nil
}

// Change gives a client another spec. What it has open stays open.
func (c *Client) Change(spec Spec) error {
	if err := spec.Validate(); err != nil {
		return fmt.Errorf("client %q: %w", spec.Name, err)
	}
	for x, a := range c.accounts {
		if a.place >= 0 {
			x.weights += spec.Weight - c.spec.Weight
		}
	}
	c.spec = spec
	c.tokens = min(c.tokens, spec.Burst)
	return nil
}

// account returns what is known of a client.
func (x *Scheduler) account(c *Client) *account {
	a := c.accounts[x]
	if a == nil {
		maps.DeleteFunc(c.accounts, func(o *Scheduler, _ *account) bool { return o.closed && len(o.requests) == 0 })
		a = &account{client: c, place: -1}
		c.accounts[x] = a
	}
	return a
}

// Close says that nothing more will be offered: clients forget the scheduler once nothing is open in it.
func (x *Scheduler) Close() { x.closed = true }

// Slots changes how many requests may be in flight at once; 0 is no bound.
func (x *Scheduler) Slots(n int) { x.s.Slots = n }

// Counts returns how many requests are waiting and in flight.
func (x *Scheduler) Counts() (waiting, inFlight int) { return len(x.expiry), x.inFlight }

// Offer takes in a request of a client, whose ID must not be open. What becomes of it, Next tells.
func (x *Scheduler) Offer(now monotime.Micros, client *Client, r Request) {
	c := x.account(client)
	turnAway := func(why Reason, after monotime.Micros) {
		x.ready = append(x.ready, Decision{ID: r.ID, Verb: TurnAway, Reason: why, RetryAfter: max(0, after)})
	}
	cost := x.classes[r.Class].mean
	if spec := &client.spec; spec.Rate > 0 {
		client.tokens = min(spec.Burst, client.tokens+spec.Rate*float64(now-client.filled)/float64(second))
		client.filled = now
		if client.tokens < 1 {
			turnAway(TooFast, monotime.Micros(math.Ceil((1-client.tokens)/spec.Rate*float64(second))))
			return
		}
	}
	if client.spec.Open > 0 && client.open >= client.spec.Open {
		turnAway(TooMany, x.delay(c, 0))
		return
	}
	if total := x.s.Total; total.Most > 0 && total.open >= total.Most {
		turnAway(Full, x.delay(c, 0))
		return
	}
	latest := r.Until - x.expect(r.Class)
	if r.Patience > 0 {
		latest = now + monotime.Micros(r.Patience*float64(latest-now))
	}
	if x.s.Slots > 0 && (x.inFlight >= x.s.Slots || len(x.backlog) > 0) {
		if spare := latest - now; x.delay(c, cost) > spare {
			turnAway(Late, x.delay(c, cost)-max(0, spare))
			return
		}
	}
	client.tokens--
	q := &request{Request: r, account: c, cost: cost, latest: latest, waiting: true}
	x.requests[r.ID] = q
	x.count(c, 1)
	if len(c.wait) == 0 {
		// Who asked for nothing saves nothing up but for a moment: a few requests at once of one who asks for little
		// go ahead of what others have had waiting.
		x.weights += client.spec.Weight
		c.tag = max(c.tag, x.virtual-saved*float64(x.s.Slots)/x.weights)
		heap.Push(&x.backlog, c)
	}
	c.wait = append(c.wait, q)
	c.cost += cost
	heap.Push(&x.expiry, q)
}

// Done tells that a request in flight is over and holds no place any more, or that one that waits is not wanted
// any more. Requests that are not known are passed over.
func (x *Scheduler) Done(now monotime.Micros, id uint64) {
	q := x.requests[id]
	if q == nil {
		return
	}
	delete(x.requests, id)
	c := q.account
	x.count(c, -1)
	if q.waiting {
		x.unqueue(q)
		return
	}
	x.inFlight--
	took := float64(now - q.began)
	x.charge(c, took-q.cost)
	if x.inFlight == 0 && len(x.backlog) == 0 {
		x.virtual = x.top // the next busy period begins with all alike
	}
}

// count notes that n more requests of a client are open.
func (x *Scheduler) count(c *account, n int) {
	c.open += n
	c.client.open += n
	x.s.Total.open += n
}

// Learn tells how long an admitted request of a class took that was served: what the next are expected to take.
func (x *Scheduler) Learn(number int, took monotime.Micros) {
	k := &x.classes[number]
	if !k.known {
		k.mean, k.dev, k.known = float64(took), float64(took)/2, true
		return
	}
	k.dev += (math.Abs(float64(took)-k.mean) - k.dev) / 4
	k.mean += (float64(took) - k.mean) / 8
	k.mean = max(1, k.mean)
}

// Times is how long requests of a class take.
type Times struct {
	Mean float64 `json:"Mean"`
	Dev  float64 `json:"Dev"`
}

// Learned returns how long requests of each class take, zero where that is not known.
func (x *Scheduler) Learned() []Times {
	all := make([]Times, len(x.classes))
	for i, k := range x.classes {
		if k.known {
			all[i] = Times{k.mean, k.dev}
		}
	}
	return all
}

// Restore takes over what another had learned of a class. What makes no sense is passed over.
func (x *Scheduler) Restore(number int, t Times) {
	if t.Mean >= 1 && t.Dev >= 0 && !math.IsInf(t.Mean, 0) && !math.IsInf(t.Dev, 0) {
		x.classes[number] = class{t.Mean, t.Dev, true}
	}
}

// Next returns one decision that is due, until there is none.
func (x *Scheduler) Next(now monotime.Micros) (Decision, bool) {
	if n := len(x.ready); n > 0 {
		d := x.ready[0]
		x.ready = append(x.ready[:0], x.ready[1:]...)
		return d, true
	}
	if len(x.backlog) == 0 {
		return Decision{}, false
	}
	if x.s.Slots > 0 && x.inFlight >= x.s.Slots {
		// Whoever cannot be in time any more, however soon its turn came, waits no longer. Where there is room
		// nobody waits, and whether it is worth sending is not decided here.
		q := x.expiry[0]
		if now < q.latest {
			return Decision{}, false
		}
		c := q.account
		x.Done(now, q.ID)
		return Decision{ID: q.ID, Verb: TurnAway, Reason: Late, RetryAfter: x.delay(c, q.cost)}, true
	}
	c := x.backlog[0]
	q := c.wait[0]
	x.virtual = max(x.virtual, c.tag)
	x.unqueue(q)
	q.waiting, q.began = false, now
	x.inFlight++
	x.charge(c, q.cost)
	return Decision{ID: q.ID, Verb: Admit}, true
}

// Wake returns the instant at which a request that waits must be turned away unless something happens before; 0
// while there is none.
func (x *Scheduler) Wake() monotime.Micros {
	if len(x.expiry) == 0 {
		return 0
	}
	return x.expiry[0].latest
}

// expect is the time in flight that a request of a class is given when it is judged whether it can be in time.
func (x *Scheduler) expect(number int) monotime.Micros {
	k := &x.classes[number]
	return monotime.Micros(k.mean + k.dev)
}

// charge moves a client's tag on by a cost, or back.
func (x *Scheduler) charge(c *account, cost float64) {
	c.tag += cost / c.client.spec.Weight
	x.top = max(x.top, c.tag)
	if c.place >= 0 {
		heap.Fix(&x.backlog, c.place)
	}
}

// delay is how long it takes until everything of c that waits, and a cost more, has had its turn, while all who
// wait now go on asking.
func (x *Scheduler) delay(c *account, more float64) monotime.Micros {
	if x.s.Slots <= 0 {
		return 0
	}
	weights := x.weights
	if c.place < 0 {
		weights += c.client.spec.Weight
	}
	rate := float64(x.s.Slots) * c.client.spec.Weight / weights // time in flight that c gets, for each unit of time
	return monotime.Micros((c.cost + more) / rate)
}

// unqueue takes a request out of those that wait.
func (x *Scheduler) unqueue(q *request) {
	c := q.account
	if c.wait[0] == q { // nearly always
		c.wait[0] = nil
		c.wait = c.wait[1:]
	} else if i := slices.Index(c.wait, q); i > 0 {
		c.wait = slices.Delete(c.wait, i, i+1)
	}
	c.cost -= q.cost
	if len(c.wait) == 0 {
		c.cost = 0
		heap.Remove(&x.backlog, c.place)
		x.weights -= c.client.spec.Weight
		if len(x.backlog) == 0 {
			x.weights = 0 // sums of fractions drift
		}
	}
	heap.Remove(&x.expiry, q.place)
}

// backlog is a heap of clients by tag (container/heap); among equals who has less in flight goes first.
type backlog []*account

func (b backlog) Len() int { return len(b) }
func (b backlog) Less(i, j int) bool {
	if b[i].tag != b[j].tag {
		return b[i].tag < b[j].tag
	}
	return b[i].open-len(b[i].wait) < b[j].open-len(b[j].wait)
}
func (b backlog) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].place, b[j].place = i, j
}
func (b *backlog) Push(c any) {
	c.(*account).place = len(*b)
	*b = append(*b, c.(*account))
}
func (b *backlog) Pop() any {
	last := len(*b) - 1
	c := (*b)[last]
	(*b)[last], c.place = nil, -1
	*b = (*b)[:last]
	return c
}

// expiry is a heap of requests by the last instant at which they may go on (container/heap).
type expiry []*request

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].latest < e[j].latest }
func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}
func (e *expiry) Push(q any) {
	q.(*request).place = len(*e)
	*e = append(*e, q.(*request))
}
func (e *expiry) Pop() any {
	last := len(*e) - 1
	q := (*e)[last]
	(*e)[last], q.place = nil, -1
	*e = (*e)[:last]
	return q
}
