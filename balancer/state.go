package balancer

import "dunlinsail/internal/monotime"

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
