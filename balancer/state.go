package balancer

import (
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource

	requests     map[uint64]*request // every request with an attempt out or no final answer
	timerSlots   []*request          // by timer slot
	freeRequests []*request          // records to use again
	openRequests int                 // requests without final answer

	endpointsByID      map[uint32]*endpoint
	endpoints          []*endpoint     // known endpoints in the order first heard of
	probePool          []*endpoint     // those with a load answer, the latest last
	queued             []*request      // requests that wait for probes
	awaitedProbes      int             // probes that they wait for
	queueRound         uint32          // of held requests
	listReceived       bool            // discovery has answered since the start
	seed               uint64          // of the lots of requests: those of other balancers are others
	overload           *OverloadPolicy // nil: what is asked for is judged request by request
	withoutLoadReports bool            // no probe tells the load of endpoints
	handedOver         bool            // what cold endpoints may still get is another balancer's (HandOver)

	subscribed  bool
	nextPollAt  monotime.Micros // next call of discovery, unless subscribed by then
	pollBackoff monotime.Micros

	classes               []classStats
	tenantRates           []rateMeter     // requests taken, by tenant
	fleetServiceTimeRatio ewma            // pace of the whole fleet
	requestRate           rateMeter       // requests taken
	sentWorkRate          rateMeter       // work sent
	meanWork              ewma            // mean work of a request
	readyCapacity         float64         // what the ready endpoints can do, in warm ones
	warmCount             float64         // of them warm
	readyCount            float64         // how many they are
	warmingEndpoints      []*endpoint     // of them cold
	capacityExpiresAt     monotime.Micros // when to count that again
	rejectedRatio         ewma            // share of requests refused at arrival
	retryCredit           float64         // retry budget, in attempts, where it may be saved up
	recentRequests        slidingCounter  // requests within RetryWithin, a part of it less at most
	recentRetries         slidingCounter  // further attempts within it, a part of it more at most
	servedWork            float64         // work served since the start, for each warm endpoint's worth of what there was
	lastServedAt          monotime.Micros // the latest of it; long ago at the start

	reportWatchTime, reportChanges float64         // time over which reports were watched, and how often they changed
	dueProbes                      float64         // probes that the pace has let come due
	dueProbesAt                    monotime.Micros // until when that is counted
	recheckCount                   int             // endpoints asked twice for that
	recheckedID                    uint32          // the latest of them

	lateReportRatio    ewma // share of load reports that must be late
	typicalLoad        ewma // load of others at a warm endpoint, over all answers
	typicalWarmingLoad ewma // at a cold one
	reportsLate        bool
	serviceTime        ewma    // reported time of service without waiting
	hintTrust          float64 // power of a hint that work grows with
	latencyTrend       float64 // latencies over those predicted, for all endpoints together

	partsBuffer [2]int                     // room for what parts returns
	lastLogged  map[string]monotime.Micros // last line by topic
}

func (b *Balancer) newPartOutliers() []outlierStats {
	return make([]outlierStats, len(b.classes)+len(b.tenantRates))
}

// classStats is what a balancer knows of a class.
type classStats struct {
	meanWork        ewma            // mean work of a request
	requestRate     rateMeter       // requests taken
	onTimeRatio     ewma            // share answered in time
	lastForcedAdmit monotime.Micros // last request sent although it seemed too late
}

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	timerToken   uint32 // of its timers
	arrivedAt    monotime.Micros
	work         float64
	logHintRatio float64 // logarithm of its hint over the mean of its class
	attempts     []attempt
	inflight     int     // attempts without outcome
	queued       bool    // waits for probes
	finished     bool    // the final answer is out
	streaming    bool    // an answer has begun: the attempt is the client's
	onTime       float64 // 1 once answered within its aim
}

// attempt is one send of a request.
type attempt struct {
	endpoint        *endpoint
	zone            uint8 // of ep when sent: an endpoint may move
	cell            uint16
	sentAt          monotime.Micros
	expectedLatency float64 // latency predicted when sent
	workFactor      float64 // work times the crowding seen when sent
	inflight        bool    // no outcome yet
	streaming       bool    // bytes of its request or answer flow
	mayHaveRun      bool    // it may have had its effect, or may yet
}

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed             bool // named by the list being read
	cordoned           bool // out by hand (Ban)
	paused             bool // out for a while (Pause)
	isWarmingUp        bool
	warmupStart        monotime.Micros // start of its warm-up
	warmupTokens       float64         // work that it may still get while cold
	warmupRefilledAt   monotime.Micros
	servedTokens       float64 // work that it may still get of what the fleet is known to do (coldMost)
	servedWorkAtRefill float64 // what was served when that was counted

	inflight        int             // own attempts without outcome
	streaming       int             // of these, such on which bytes flow: they owe no answer
	lastSentAt      monotime.Micros // latest own send
	silentSince     monotime.Micros // its latest answer since it holds any
	probing         bool
	reportSum       float32 // of its latest report
	awaitedInRound  uint32  // the round of held requests that waits for its answer
	probedAt        monotime.Micros
	hasReport       bool
	reportedAt      monotime.Micros // latest probe answer with a load figure
	othersLoad      float64         // load of others when it answered
	ownLoadAtReport float64         // own at work there then
	rtt             ewma

	serviceTimeRatio      ewma // time taken per work and crowding
	serviceTimeObservedAt monotime.Micros
	outlier               outlierStats   // failures of any request
	partOutliers          []outlierStats // of each class, then of each tenant: an endpoint may fail one and serve the others
	breaker               breaker
	suspicions            []float64 // by class: with what chance it is better left out, by what others have seen (Suspect); nil is 0
}

// ill is a run of failures.
type outlierStats struct {
	consecutiveFailures int             // failures in a row
	ejectedUntil        monotime.Micros // ejected until then
	ejectionTime        monotime.Micros
	trialPending        bool // a send since the last ejection has no outcome yet
}

// breaker holds an endpoint's window of outcomes and its two latency averages.
type breaker struct {
	ring                        [breakerBuckets]bucket
	newest                      int64 // number of the newest bucket
	requests                    int   // over the window
	accepts                     int
	baseLatency, currentLatency float64
	lastForcedPass              monotime.Micros // last forced pass
}

type bucket struct{ requests, accepts, failures int }

func (b *Balancer) newRequest(now monotime.Micros, in Request) *request {
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{timerToken: uint32(len(b.timerSlots) + firstRequestToken)}
		b.timerSlots = append(b.timerSlots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.timerToken += 1 << slotBits
	r.Request, r.arrivedAt, r.attempts, r.inflight, r.finished, r.streaming = in, now-max(0, in.QueueTime), r.attempts[:0], 0, false, false
	r.onTime = 0
	b.requests[in.ID] = r
	b.openRequests++
	return r
}

// bound returns the first attempt that may have run, or nil.
func (r *request) firstMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

func (r *request) hasAttempted(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

func (k *breaker) advance(now monotime.Micros) *bucket {
	n := now / (breakerWindow / breakerBuckets)
	if n-k.newest >= breakerBuckets {
		k.ring, k.requests, k.accepts, k.newest = [breakerBuckets]bucket{}, 0, 0, n
	}
	for k.newest < n {
		k.newest++
		old := &k.ring[k.newest%breakerBuckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = bucket{}
	}
	return &k.ring[n%breakerBuckets]
}

// count adds to the newest bucket. Whatever is asked counts as a request.
func (k *breaker) record(now monotime.Micros, accepts, failures int) {
	at := k.advance(now)
	at.requests++
	at.accepts += accepts
	at.failures += failures
	k.requests++
	k.accepts += accepts
}

func (k *breaker) recordLatency(x float64) {
	if k.baseLatency <= 0 {
		k.baseLatency, k.currentLatency = x, x
		return
	}
	divisor := float64(riseDivisor)
	if x < k.baseLatency {
		divisor = fallDivisor
	}
	k.baseLatency = (x + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (x + (currentDivisor-1)*k.currentLatency) / currentDivisor
}

// refresh is the mean time between two reports of an endpoint, as far as it is known.
func (b *Balancer) reportInterval() float64 { return b.reportWatchTime / max(1, b.reportChanges) }

// in says whether e may get anything new.
func (e *endpoint) isEligible() bool { return e.State == Ready && !e.cordoned && !e.paused }

// working is how many of our own attempts e may be working on: not those on which bytes flow, which it has
// answered or not begun with.
func (e *endpoint) activeAttempts() float64 { return float64(e.inflight - e.streaming) }

// warmth is the least share of its capacity that e has by now.
func (e *endpoint) capacityFraction(now monotime.Micros, b *Balancer) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	from := b.settings.Contract.WarmupStartCapacity
	return from + (1-from)*float64(now-e.warmupStart)/float64(b.settings.Contract.WarmupTime)
}

func (e *endpoint) warmingUp(now monotime.Micros, b *Balancer) bool {
	if e.isWarmingUp && now-e.warmupStart >= b.settings.Contract.WarmupTime {
		e.isWarmingUp = false
	}
	return e.isWarmingUp
}

func (b *Balancer) classWeight(class int) float64 {
	return b.settings.Classes[class].PriorityWeight * (1 + (b.classes[class].meanWork.value-1)*indicator(b.settings.WeightByWork))
}

// cores is how many requests an endpoint is assumed to work at side by side.
const assumedCores = 2.0

// reading returns the load that a report tells (counted: all that the endpoint holds; else only those that wait,
// and those at work assumed), if it tells any, and its service time in microseconds or -1. Figures that make no sense, NaN too, are passed over.
func parseLoadReport(fields []LoadMetric, load []float32) (held, service float64, counted, ok bool) {
	service = -1
	queue := -1.0
	for i, f := range fields[:min(len(fields), len(load))] {
		v := float64(load[i])
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch f {
		case MetricInflight:
			held, counted = v, true
		case MetricQueueLength:
			queue = v
		case MetricLatency:
			service = 1000 * v
		}
	}
	if !counted && queue >= 0 {
		held = queue + assumedCores*indicator(queue >= 1)
	}
	return held, service, counted, counted || queue >= 0
}

// ewma is a moving average that starts as a plain mean: taken whole, one odd first sample would steer for long.
type ewma struct {
	value   float64
	samples float64 // samples, as far as they tell
}

// settled counts as many samples: only the weight given moves such an average.
const manySamples = 1e9

func (a *ewma) add(x, weight float64) {
	a.samples++
	a.value += (x - a.value) * max(weight, indicator(a.samples == 1))
}

func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// share counts a yes as a whole.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// meter is a rate a second, averaged over about two seconds.
type rateMeter struct {
	sum       float64
	updatedAt monotime.Micros
}

const rateMeterSpan = 2 * second

func (m *rateMeter) add(now monotime.Micros, x float64) { m.sum, m.updatedAt = m.decayed(now)+x, now }

func (m *rateMeter) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateMeterSpan))
}

func (m *rateMeter) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterSpan)
}

// count is how many there were in the latest parts of time.
type slidingCounter struct {
	ring   []int
	sum    int
	newest int64 // number of the newest part
}

// slide lets go of what is older, and returns how many are left.
func (k *slidingCounter) advance(part int64) int {
	if part-k.newest >= int64(len(k.ring)) {
		clear(k.ring)
		k.sum, k.newest = 0, part
	}
	for k.newest < part {
		k.newest++
		old := &k.ring[k.newest%int64(len(k.ring))]
		k.sum -= *old
		*old = 0
	}
	return k.sum
}

func (k *slidingCounter) add(part int64) {
	k.advance(part)
	k.ring[part%int64(len(k.ring))]++
	k.sum++
}

// source is a SplitMix64 generator.
type randomSource uint64

// float returns a number in [0,1).
func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// index returns a number in 0..n-1, 0 for n = 0.
func (s *randomSource) index(n int) int { return int(s.float() * float64(n)) }

// below returns a duration in [0,d).
func (s *randomSource) durationBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(s.float() * float64(d))
}
