package balancer

import (
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// second is the unit of the constants of this package.
const second monotime.Micros = 1_000_000

// Balancer decides for one sidecar. Make one with New. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource
	seed     uint64 // of the requests' own random sources

	// Requests.
	requests     map[uint64]*request // those with an attempt in flight or no final answer
	timerSlots   []*request          // all records, by the slot in their timer tokens
	freeRequests []*request          // records to use again
	openRequests int                 // requests without final answer
	classes      []classStats
	tenantRates  []rateMeter // requests, by tenant
	requestRate  rateMeter
	meanWork     ewma // of a request
	hintTrust    float64
	overload     *OverloadPolicy // nil: each request is admitted or rejected by predictions alone

	// Endpoint list and discovery.
	endpointsByID map[uint32]*endpoint
	endpoints     []*endpoint // in the order in which they were first listed
	listReceived  bool        // discovery has answered since the start
	subscribed    bool
	nextPollAt    monotime.Micros
	pollBackoff   monotime.Micros

	// Capacity and warm-up.
	readyCapacity     float64 // of the eligible endpoints, in warm ones
	readyCount        float64 // eligible endpoints
	warmCount         float64 // of these, those that do not warm up
	warmingEndpoints  []*endpoint
	capacityExpiresAt monotime.Micros // the four above are counted anew from then on
	sentWorkRate      rateMeter
	servedWork        float64 // work answered since the start, per unit of warm capacity at the time
	lastServedAt      monotime.Micros
	handedOver        bool // another balancer sends to the warming endpoints (SetHandedOver)

	// Probes and load reports.
	probePool          []*endpoint     // endpoints with a load report, the latest last
	queued             []*request      // requests that wait for probes
	awaitedProbes      int             // probes that they wait for
	queueRound         uint32          // number of the present queue
	dueProbes          float64         // probes that have come due by the probe rate
	dueProbesAt        monotime.Micros // the instant up to which they are counted
	withoutLoadReports bool            // no probe tells the load of endpoints
	typicalLoad        ewma            // load of other balancers at a warm endpoint
	typicalWarmingLoad ewma            // the same at a warming one
	serviceTime        ewma            // reported time without waiting
	lateReportRatio    ewma
	reportsLate        bool
	reportWatchTime    float64 // time over which reports were compared with the one before
	reportChanges      float64 // how often they differed
	recheckCount       int     // endpoints that were probed twice to compare
	recheckedID        uint32  // the latest of them

	// Latency predictions.
	fleetServiceTimeRatio ewma
	latencyTrend          float64 // latencies over the predicted ones, for all endpoints together

	// Retry budget.
	retryCredit    float64        // retries, where the budget has no window
	recentRequests slidingCounter // requests in the retry window, up to a slot less
	recentRetries  slidingCounter // retries in the retry window, up to a slot more

	rejectedRatio ewma // of requests, at arrival
	partsBuffer   [3]int
	lastLogged    map[string]monotime.Micros // by message
}

// classStats is what a balancer has observed of a class.
type classStats struct {
	meanWork        ewma
	requestRate     rateMeter
	onTimeRatio     ewma            // answers within the latency objective
	lastForcedAdmit monotime.Micros // latest request sent against the prediction
}

// allTraffic is the part of the traffic that every request belongs to. The others are each class and each tenant.
const allTraffic = 0

// trafficParts returns the parts of the traffic that r belongs to, as indices of endpoint.outliers. The slice is
// valid until the next call.
func (b *Balancer) trafficParts(r *request) []int {
	parts := append(b.partsBuffer[:0], allTraffic, 1+int(r.Class))
	if tenant := int(r.Tenant); tenant < len(b.tenantRates) {
		parts = append(parts, 1+len(b.classes)+tenant)
	}
	return parts
}

func (b *Balancer) newOutliers() []outlierStats {
	return make([]outlierStats, 1+len(b.classes)+len(b.tenantRates))
}

func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }

// classWeight is the mean priority weight of a request of a class.
func (b *Balancer) classWeight(class int) float64 {
	extraWork := (b.classes[class].meanWork.value - 1) * indicator(b.settings.WeightByWork)
	return b.settings.Classes[class].PriorityWeight * (1 + extraWork)
}

// reportInterval is the mean time between two reports of an endpoint, as far as it is known.
func (b *Balancer) reportInterval() float64 { return b.reportWatchTime / max(1, b.reportChanges) }

// Timer tokens below firstRequestToken are the balancer's own; others name the slot of a request in their low bits.
const (
	tokenProbe = iota
	tokenDiscovery
	tokenRecheck
	firstRequestToken = 16
	slotBits          = 20
)

// request is the record of a request and its attempts.
type request struct {
	Request
	timerToken   uint32
	arrivedAt    monotime.Micros // at the host
	work         float64
	logHintRatio float64 // logarithm of its hint over the mean of its class
	attempts     []attempt
	inflight     int     // attempts without outcome
	queued       bool    // waits for probes
	finished     bool    // the final answer is out
	streaming    bool    // an answer has begun: the client has that attempt
	onTime       float64 // 1 once answered within its latency objective
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	zone            uint8 // of the endpoint when sent: it may move
	cell            uint16
	sentAt          monotime.Micros
	expectedLatency float64
	workFactor      float64 // work times the queue delay factor when sent
	inflight        bool    // no outcome yet
	streaming       bool    // bytes of its request or answer flow
	mayHaveRun      bool    // it may have had its effect, or may have it yet
}

// newRequest returns a record in the table of requests.
func (b *Balancer) newRequest(now monotime.Micros, in Request) *request {
	var r *request
	if last := len(b.freeRequests) - 1; last >= 0 {
		r = b.freeRequests[last]
		b.freeRequests = b.freeRequests[:last]
	} else {
		r = &request{timerToken: uint32(len(b.timerSlots) + firstRequestToken)}
		b.timerSlots = append(b.timerSlots, r)
	}
	*r = request{
		Request:    in,
		timerToken: r.timerToken + 1<<slotBits, // the high bits count uses: an old timer finds nothing
		arrivedAt:  now - max(0, in.QueueTime),
		attempts:   r.attempts[:0],
	}
	b.requests[in.ID] = r
	b.openRequests++
	return r
}

// removeFromQueue takes r off the requests that wait for probes.
func (b *Balancer) removeFromQueue(r *request) {
	b.queued = slices.DeleteFunc(b.queued, func(other *request) bool { return other == r })
	r.queued = false
}

// requestOfToken returns the request that a timer was started for, nil if its record was used again since.
func (b *Balancer) requestOfToken(token uint32) *request {
	slot := int(token&(1<<slotBits-1)) - firstRequestToken
	if slot < 0 || slot >= len(b.timerSlots) || b.timerSlots[slot].timerToken != token {
		return nil
	}
	return b.timerSlots[slot]
}

// findAttempt returns an attempt of a request by the numbers that the host has, nil for none.
func (b *Balancer) findAttempt(id uint64, number int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// firstMayHaveRun returns the first attempt that may have run, nil for none.
func (r *request) firstMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

func (r *request) hasAttempted(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// markStreaming notes that bytes flow on an attempt: its endpoint is not silent, however long that takes.
func (a *attempt) markStreaming() {
	if a.inflight && !a.streaming {
		a.streaming = true
		a.endpoint.streaming++
	}
}

// end notes that an attempt has its outcome.
func (a *attempt) end(now monotime.Micros) {
	a.inflight = false
	a.endpoint.inflight--
	if a.streaming {
		a.endpoint.streaming--
	}
	a.endpoint.silentSince = now
}

// assumedCores is how many requests an endpoint is assumed to work at side by side.
const assumedCores = 2.0

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed   bool // named by the list being read
	cordoned bool // SetCordon
	paused   bool // SetPaused

	isWarmingUp        bool // as of the latest call of warmingUp
	warmupStart        monotime.Micros
	warmupTokens       float64 // work that it may get, by this balancer's demand
	warmupRefilledAt   monotime.Micros
	servedTokens       float64 // work that it may get, by what this balancer was served
	servedWorkAtRefill float64

	inflight    int             // own attempts without outcome
	streaming   int             // of these, those on which bytes flow
	lastSentAt  monotime.Micros // latest own attempt
	silentSince monotime.Micros // its latest answer, or the first attempt in flight after none was

	probing         bool
	probedAt        monotime.Micros
	awaitedInRound  uint32 // the queue round that waits for its probe; 0 is none
	rtt             ewma   // of probes
	hasReport       bool
	reportedAt      monotime.Micros // latest load report
	reportSum       float32         // of its figures, to see whether they change
	othersLoad      float64         // load by other balancers in it
	ownLoadAtReport float64

	serviceTimeRatio      ewma // service time per work and queue delay factor, once warm
	serviceTimeObservedAt monotime.Micros
	outliers              []outlierStats // by part of the traffic (trafficParts)
	breaker               breaker
	suspicions            []float64 // by class: chance of being left out (SetSuspicion); nil is 0
}

// outlierStats counts an endpoint's consecutive failures of a part of the traffic.
type outlierStats struct {
	consecutiveFailures int
	ejectedUntil        monotime.Micros
	ejectionTime        monotime.Micros // of the latest ejection
	trialPending        bool            // an attempt since the latest ejection has no outcome yet
}

// recordSend notes an attempt. After an ejection it is a trial: no other follows before its outcome.
func (o *outlierStats) recordSend(now monotime.Micros) {
	if o.ejectionTime > 0 {
		o.ejectedUntil = max(o.ejectedUntil, now+o.ejectionTime)
		o.trialPending = true
	}
}

// resetEndpoint drops what was learned of an endpoint's earlier process. Attempts and probes in flight stay.
func (b *Balancer) resetEndpoint(e *endpoint) {
	*e = endpoint{
		Endpoint:       e.Endpoint,
		cordoned:       e.cordoned,
		paused:         e.paused,
		inflight:       e.inflight,
		streaming:      e.streaming,
		probing:        e.probing,
		probedAt:       e.probedAt,
		awaitedInRound: e.awaitedInRound,
		outliers:       b.newOutliers(),
	}
}

// addToPool puts e at the end of the pool of endpoints with load reports, in place of the oldest if it is full.
func (b *Balancer) addToPool(e *endpoint) {
	b.removeFromPool(e)
	if len(b.probePool) == probePoolSize {
		b.probePool = slices.Delete(b.probePool, 0, 1)
	}
	b.probePool = append(b.probePool, e)
}

func (b *Balancer) removeFromPool(e *endpoint) {
	b.probePool = slices.DeleteFunc(b.probePool, func(other *endpoint) bool { return other == e })
}

// isEligible says whether e may get anything new.
func (e *endpoint) isEligible() bool { return e.State == Ready && !e.cordoned && !e.paused }

// isEjected says whether e is ejected for all traffic.
func (e *endpoint) isEjected(now monotime.Micros) bool {
	return now < e.outliers[allTraffic].ejectedUntil
}

// isAvoided says whether this balancer itself keeps all requests from e.
func (e *endpoint) isAvoided(now monotime.Micros) bool {
	return e.cordoned || e.paused || e.isEjected(now)
}

// ShouldAvoid says whether an endpoint gets nothing by this balancer's own choice: cordoned, paused or ejected.
func (b *Balancer) ShouldAvoid(now monotime.Micros, id uint32) bool {
	e := b.endpointsByID[id]
	return e != nil && e.isAvoided(now)
}

// IsEjected says whether an endpoint is ejected for its failures, for all traffic.
func (b *Balancer) IsEjected(now monotime.Micros, id uint32) bool {
	e := b.endpointsByID[id]
	return e != nil && e.isEjected(now)
}

// activeAttempts is how many of our attempts e may be working at: not those on which bytes flow, which it has
// answered or not begun with.
func (e *endpoint) activeAttempts() float64 { return float64(e.inflight - e.streaming) }

// warmingUp says whether e still warms up.
func (e *endpoint) warmingUp(now monotime.Micros, b *Balancer) bool {
	if e.isWarmingUp && now-e.warmupStart >= b.settings.Contract.WarmupTime {
		e.isWarmingUp = false
	}
	return e.isWarmingUp
}

// capacityFraction is the least part of its capacity that e has by now.
func (e *endpoint) capacityFraction(now monotime.Micros, b *Balancer) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	start := b.settings.Contract.WarmupStartCapacity
	return start + (1-start)*float64(now-e.warmupStart)/float64(b.settings.Contract.WarmupTime)
}

// suspicion is the chance by which other balancers have e left out for a class.
func (e *endpoint) suspicion(class int) float64 {
	if e.suspicions == nil {
		return 0
	}
	return e.suspicions[class]
}

// breaker holds the outcomes of an endpoint's attempts in a sliding window, and two averages of its latency.
type breaker struct {
	ring           [breakerBuckets]bucket
	newest         int64 // number of the newest bucket
	requests       int   // over the window
	accepts        int
	baseLatency    float64 // the usual one: falls fast and rises slowly
	currentLatency float64
	lastForcedPass monotime.Micros
}

type bucket struct {
	requests int
	accepts  int
	failures int
}

// advance drops buckets that have left the window, and returns the newest.
func (k *breaker) advance(now monotime.Micros) *bucket {
	number := now / (breakerWindow / breakerBuckets)
	if number-k.newest >= breakerBuckets {
		k.ring = [breakerBuckets]bucket{}
		k.requests = 0
		k.accepts = 0
		k.newest = number
	}
	for k.newest < number {
		k.newest++
		old := &k.ring[k.newest%breakerBuckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = bucket{}
	}
	return &k.ring[number%breakerBuckets]
}

// record adds a request to the newest bucket, and its accept or failure, if any.
func (k *breaker) record(now monotime.Micros, accepts, failures int) {
	newest := k.advance(now)
	newest.requests++
	newest.accepts += accepts
	newest.failures += failures
	k.requests++
	k.accepts += accepts
}

func (k *breaker) recordLatency(latency float64) {
	if k.baseLatency <= 0 {
		k.baseLatency = latency
		k.currentLatency = latency
		return
	}
	divisor := float64(riseDivisor)
	if latency < k.baseLatency {
		divisor = fallDivisor
	}
	k.baseLatency = (latency + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (latency + (currentDivisor-1)*k.currentLatency) / currentDivisor
}

// loadReport is what an endpoint's load report says.
type loadReport struct {
	hasLoad        bool
	load           float64 // requests there
	countsInflight bool    // load is all of them; else those that wait, and those at work as assumed
	serviceTime    float64 // microseconds; -1 is unknown
}

// reportsLoad says whether reports with these figures tell how many requests an endpoint has.
func reportsLoad(metrics []LoadMetric) bool {
	return slices.Contains(metrics, MetricInflight) || slices.Contains(metrics, MetricQueueLength)
}

// parseLoadReport reads the figures of a report in the order of metrics. Negative and infinite figures and NaN are
// skipped.
func parseLoadReport(metrics []LoadMetric, figures []float32) loadReport {
	report := loadReport{serviceTime: -1}
	queue := -1.0
	for i, metric := range metrics[:min(len(metrics), len(figures))] {
		figure := float64(figures[i])
		if !(figure >= 0) || math.IsInf(figure, 0) {
			continue
		}
		switch metric {
		case MetricInflight:
			report.load = figure
			report.countsInflight = true
		case MetricQueueLength:
			queue = figure
		case MetricLatency:
			report.serviceTime = 1000 * figure
		}
	}
	if !report.countsInflight && queue >= 0 {
		report.load = queue + assumedCores*indicator(queue >= 1)
	}
	report.hasLoad = report.countsInflight || queue >= 0
	return report
}

// ewma is an exponentially weighted moving average that starts as a plain mean: an odd first sample would count for
// long otherwise.
type ewma struct {
	value   float64
	samples float64
}

// manySamples has an average start with its value: each sample counts by its weight only.
const manySamples = 1e9

func (a *ewma) add(x, weight float64) {
	a.samples++
	a.value += (x - a.value) * max(weight, indicator(a.samples == 1))
}

// valueOr returns the average, or a default before the first sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// rateMeter is a rate per second, averaged over about rateMeterSpan.
type rateMeter struct {
	sum       float64
	updatedAt monotime.Micros
}

const rateMeterSpan = 2 * second

func (m *rateMeter) add(now monotime.Micros, x float64) {
	m.sum = m.decayed(now) + x
	m.updatedAt = now
}

func (m *rateMeter) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateMeterSpan))
}

func (m *rateMeter) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterSpan)
}

// slidingCounter counts events over the latest slots of time, as many as its ring has.
type slidingCounter struct {
	ring   []int
	sum    int
	newest int64 // number of the newest slot
}

// advance drops slots that have left the window, and returns the sum.
func (k *slidingCounter) advance(slot int64) int {
	if slot-k.newest >= int64(len(k.ring)) {
		clear(k.ring)
		k.sum = 0
		k.newest = slot
	}
	for k.newest < slot {
		k.newest++
		old := &k.ring[k.newest%int64(len(k.ring))]
		k.sum -= *old
		*old = 0
	}
	return k.sum
}

func (k *slidingCounter) add(slot int64) {
	k.advance(slot)
	k.ring[slot%int64(len(k.ring))]++
	k.sum++
}

// randomSource is a SplitMix64 generator (Steele, Lea, Flood: Fast splittable pseudorandom number generators).
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

// durationBelow returns a duration in [0,d).
func (s *randomSource) durationBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(s.float() * float64(d))
}

// Messages of log lines. docs/operators says what to do about each.
const (
	messageWatchFailed  = "discovery failed, the last endpoint list is used"
	messageLateReports  = "load reports late"
	messageRejected     = "requests rejected"
	messageEjected      = "endpoint ejected"
	microsInMillisecond = 1000
)

// log writes a line for on-call staff, at most one a second of each message. args are alternating keys and values.
func (b *Balancer) log(now monotime.Micros, message string, args ...any) {
	if last, ok := b.lastLogged[message]; ok && now-last < second {
		return
	}
	b.lastLogged[message] = now
	b.actions.Log(message, args...)
}

func (b *Balancer) logDiscoveryFailure(now monotime.Micros) { b.log(now, messageWatchFailed) }

func (b *Balancer) logLateReports(now monotime.Micros) {
	b.log(now, messageLateReports, "late", b.reportsLate, "late_percent", int(100*b.lateReportRatio.value))
}

// logRejection says why a request is rejected: the best endpoint would answer too late. It is made only when due,
// since rejections come in thousands.
func (b *Balancer) logRejection(now monotime.Micros, best *endpoint, expected, budget float64) {
	if now-b.lastLogged[messageRejected] >= second {
		b.log(now, messageRejected, "rejected_percent", int(100*b.rejectedRatio.value), "best_endpoint", best.ID,
			"expected_ms", int(expected/microsInMillisecond), "budget_ms", int(budget/microsInMillisecond))
	}
}

// logEjection says for how long an endpoint is ejected, and for which class or tenant unless for all traffic.
func (b *Balancer) logEjection(now monotime.Micros, e *endpoint, part int) {
	o := &e.outliers[part]
	args := []any{"endpoint", e.ID, "consecutive_failures", o.consecutiveFailures,
		"for_ms", (o.ejectedUntil - now) / microsInMillisecond}
	switch {
	case part == allTraffic:
	case part <= len(b.classes):
		args = append(args, "class", part-1)
	default:
		args = append(args, "tenant", part-1-len(b.classes))
	}
	b.log(now, messageEjected, args...)
}
