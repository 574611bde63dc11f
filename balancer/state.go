package balancer

import (
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	s   Settings
	out Actions
	rng source

	requests map[uint64]*request // every request with an attempt out or no final answer
	slots    []*request          // by timer slot
	free     []*request          // records to use again
	open     int                 // requests without final answer

	byID   map[uint32]*endpoint
	list   []*endpoint // known endpoints in the order first heard of
	pool   []*endpoint // those with a load answer, the latest last
	held   []*request  // requests that wait for probes
	asked  int         // probes that they wait for
	round  uint32      // of held requests
	listed bool        // discovery has answered since the start
	seed   uint64      // of the lots of requests: those of other balancers are others
	bounds *Bounds     // nil: what is asked for is judged request by request
	blind  bool        // no probe tells the load of endpoints
	handed bool        // what cold endpoints may still get is another balancer's (HandOver)

	subscribed bool
	askAt      monotime.Micros // next call of discovery, unless subscribed by then
	askWait    monotime.Micros

	classes  []classStats
	tenants  []meter         // requests taken, by tenant
	fleet    ewma            // pace of the whole fleet
	demand   meter           // requests taken
	sentWork meter           // work sent
	work     ewma            // mean work of a request
	strong   float64         // what the ready endpoints can do, in warm ones
	warm     float64         // of them warm
	ready    float64         // how many they are
	colds    []*endpoint     // of them cold
	strongAt monotime.Micros // when to count that again
	refused  ewma            // share of requests refused at arrival
	credit   float64         // retry budget, in attempts, where it may be saved up
	lately   count           // requests within RetryWithin, a part of it less at most
	again    count           // further attempts within it, a part of it more at most
	served   float64         // work served since the start, for each warm endpoint's worth of what there was
	servedAt monotime.Micros // the latest of it; long ago at the start

	watched, renewed float64         // time over which reports were watched, and how often they changed
	due              float64         // probes that the pace has let come due
	roundAt          monotime.Micros // until when that is counted
	checks           int             // endpoints asked twice for that
	checked          uint32          // the latest of them

	lag         ewma // share of load reports that must be late
	usual       ewma // load of others at a warm endpoint, over all answers
	usualCold   ewma // at a cold one
	reportsLate bool
	service     ewma    // reported time of service without waiting
	trust       float64 // power of a hint that work grows with
	trend       float64 // latencies over those predicted, for all endpoints together

	two    [2]int                     // room for what parts returns
	logged map[string]monotime.Micros // last line by topic
}

func (b *Balancer) newIlls() []ill { return make([]ill, len(b.classes)+len(b.tenants)) }

// classStats is what a balancer knows of a class.
type classStats struct {
	work   ewma            // mean work of a request
	asked  meter           // requests taken
	good   ewma            // share answered in time
	passed monotime.Micros // last request sent although it seemed too late
}

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	token    uint32 // of its timers
	arrived  monotime.Micros
	work     float64
	hint     float64 // logarithm of its hint over the mean of its class
	attempts []attempt
	out      int     // attempts without outcome
	held     bool    // waits for probes
	ended    bool    // the final answer is out
	stream   bool    // an answer has begun: the attempt is the client's
	good     float64 // 1 once answered within its aim
}

// attempt is one send of a request.
type attempt struct {
	ep       *endpoint
	zone     uint8 // of ep when sent: an endpoint may move
	cell     uint16
	at       monotime.Micros
	expected float64 // latency predicted when sent
	factor   float64 // work times the crowding seen when sent
	out      bool    // no outcome yet
	streams  bool    // bytes of its request or answer flow
	mayRun   bool    // it may have had its effect, or may yet
}

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	seen     bool // named by the list being read
	banned   bool // out by hand (Ban)
	paused   bool // out for a while (Pause)
	isCold   bool
	coldFrom monotime.Micros // start of its warm-up
	room     float64         // work that it may still get while cold
	roomAt   monotime.Micros
	share    float64 // work that it may still get of what the fleet is known to do (coldMost)
	shareAt  float64 // what was served when that was counted

	inflight  int             // own attempts without outcome
	streams   int             // of these, such on which bytes flow: they owe no answer
	sentAt    monotime.Micros // latest own send
	quietFrom monotime.Micros // its latest answer since it holds any
	probing   bool
	sum       float32 // of its latest report
	asked     uint32  // the round of held requests that waits for its answer
	probedAt  monotime.Micros
	hasLoad   bool
	answerAt  monotime.Micros // latest probe answer with a load figure
	others    float64         // load of others when it answered
	ownAt     float64         // own at work there then
	rtt       ewma

	pace   ewma // time taken per work and crowding
	paceAt monotime.Micros
	whole  ill   // failures of any request
	ills   []ill // of each class, then of each tenant: an endpoint may fail one and serve the others
	br     breaker
	told   []float64 // by class: with what chance it is better left out, by what others have seen (Suspect); nil is 0
}

// ill is a run of failures.
type ill struct {
	streak int             // failures in a row
	outTo  monotime.Micros // ejected until then
	outFor monotime.Micros
	trial  bool // a send since the last ejection has no outcome yet
}

// breaker holds an endpoint's window of outcomes and its two latency averages.
type breaker struct {
	ring          [buckets]bucket
	head          int64 // number of the newest bucket
	requests      int   // over the window
	accepts       int
	base, current float64
	passed        monotime.Micros // last forced pass
}

type bucket struct{ requests, accepts, failures int }

func (b *Balancer) newRequest(now monotime.Micros, in Request) *request {
	var r *request
	if n := len(b.free); n > 0 {
		r, b.free = b.free[n-1], b.free[:n-1]
	} else {
		r = &request{token: uint32(len(b.slots) + firstSlot)}
		b.slots = append(b.slots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.token += 1 << slotBits
	r.Request, r.arrived, r.attempts, r.out, r.ended, r.stream = in, now-max(0, in.Waited), r.attempts[:0], 0, false, false
	r.good = 0
	b.requests[in.ID] = r
	b.open++
	return r
}

// bound returns the first attempt that may have run, or nil.
func (r *request) bound() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ep == e })
}

func (k *breaker) slide(now monotime.Micros) *bucket {
	n := now / (window / buckets)
	if n-k.head >= buckets {
		k.ring, k.requests, k.accepts, k.head = [buckets]bucket{}, 0, 0, n
	}
	for k.head < n {
		k.head++
		old := &k.ring[k.head%buckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = bucket{}
	}
	return &k.ring[n%buckets]
}

// count adds to the newest bucket. Whatever is asked counts as a request.
func (k *breaker) count(now monotime.Micros, accepts, failures int) {
	at := k.slide(now)
	at.requests++
	at.accepts += accepts
	at.failures += failures
	k.requests++
	k.accepts += accepts
}

func (k *breaker) latency(x float64) {
	if k.base <= 0 {
		k.base, k.current = x, x
		return
	}
	divisor := float64(riseDivisor)
	if x < k.base {
		divisor = fallDivisor
	}
	k.base = (x + (divisor-1)*k.base) / divisor
	k.current = (x + (currDivisor-1)*k.current) / currDivisor
}

// refresh is the mean time between two reports of an endpoint, as far as it is known.
func (b *Balancer) refresh() float64 { return b.watched / max(1, b.renewed) }

// in says whether e may get anything new.
func (e *endpoint) in() bool { return e.State == Ready && !e.banned && !e.paused }

// working is how many of our own attempts e may be working on: not those on which bytes flow, which it has
// answered or not begun with.
func (e *endpoint) working() float64 { return float64(e.inflight - e.streams) }

// warmth is the least share of its capacity that e has by now.
func (e *endpoint) warmth(now monotime.Micros, b *Balancer) float64 {
	if !e.cold(now, b) {
		return 1
	}
	from := b.s.Contract.ColdFrom
	return from + (1-from)*float64(now-e.coldFrom)/float64(b.s.Contract.RampTime)
}

func (e *endpoint) cold(now monotime.Micros, b *Balancer) bool {
	if e.isCold && now-e.coldFrom >= b.s.Contract.RampTime {
		e.isCold = false
	}
	return e.isCold
}

func (b *Balancer) worth(class int) float64 {
	return b.s.Classes[class].Worth * (1 + (b.classes[class].work.v-1)*share(b.s.WorthByWork))
}

// cores is how many requests an endpoint is assumed to work at side by side.
const cores = 2.0

// reading returns the load that a report tells (counted: all that the endpoint holds; else only those that wait,
// and those at work assumed), if it tells any, and its service time in microseconds or -1. Figures that make no sense, NaN too, are passed over.
func reading(fields []Field, load []float32) (held, service float64, counted, ok bool) {
	service = -1
	queue := -1.0
	for i, f := range fields[:min(len(fields), len(load))] {
		v := float64(load[i])
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch f {
		case FieldInflight:
			held, counted = v, true
		case FieldQueue:
			queue = v
		case FieldLatency:
			service = 1000 * v
		}
	}
	if !counted && queue >= 0 {
		held = queue + cores*share(queue >= 1)
	}
	return held, service, counted, counted || queue >= 0
}

// ewma is a moving average that starts as a plain mean: taken whole, one odd first sample would steer for long.
type ewma struct {
	v float64
	n float64 // samples, as far as they tell
}

// settled counts as many samples: only the weight given moves such an average.
const settled = 1e9

func (a *ewma) add(x, weight float64) {
	a.n++
	a.v += (x - a.v) * max(weight, share(a.n == 1))
}

func (a *ewma) or(fallback float64) float64 {
	if a.n > 0 {
		return a.v
	}
	return fallback
}

// share counts a yes as a whole.
func share(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// meter is a rate a second, averaged over about two seconds.
type meter struct {
	sum float64
	at  monotime.Micros
}

const meterSpan = 2 * second

func (m *meter) add(now monotime.Micros, x float64) { m.sum, m.at = m.decayed(now)+x, now }

func (m *meter) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(meterSpan))
}

func (m *meter) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(meterSpan)
}

// count is how many there were in the latest parts of time.
type count struct {
	ring []int
	sum  int
	head int64 // number of the newest part
}

// slide lets go of what is older, and returns how many are left.
func (k *count) slide(part int64) int {
	if part-k.head >= int64(len(k.ring)) {
		clear(k.ring)
		k.sum, k.head = 0, part
	}
	for k.head < part {
		k.head++
		old := &k.ring[k.head%int64(len(k.ring))]
		k.sum -= *old
		*old = 0
	}
	return k.sum
}

func (k *count) add(part int64) {
	k.slide(part)
	k.ring[part%int64(len(k.ring))]++
	k.sum++
}

// source is a SplitMix64 generator.
type source uint64

// float returns a number in [0,1).
func (s *source) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// index returns a number in 0..n-1, 0 for n = 0.
func (s *source) index(n int) int { return int(s.float() * float64(n)) }

// below returns a duration in [0,d).
func (s *source) below(d monotime.Micros) monotime.Micros {
	return monotime.Micros(s.float() * float64(d))
}
