package balancer

import "dunlinsail/internal/monotime"

// Units of the constants of this package.
const (
	millisecond = monotime.Millisecond // microseconds
	second      = monotime.Second      // microseconds
)

// Balancer takes the decisions of one sidecar. New returns one. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource
	seed     uint64 // of the requests' own random sources (requestRand)

	// Requests.
	requests      map[uint64]*request // those with an attempt in flight or without a final answer
	timerSlots    []*request          // all records, by the slot in their timer tokens
	freeRequests  []*request          // records to use again
	openRequests  int                 // requests without a final answer
	classes       []classStats        // in the order of Settings.Classes
	tenantRates   []rateMeter         // requests per second, in the order of Settings.Tenants
	requestRate   rateMeter           // requests per second
	meanWork      ewma                // microseconds per request
	hintTrust     float64             // 0 to 1: how far work hints count
	rejectedRatio ewma                // of new requests, 0 to 1
	overload      *OverloadPolicy     // nil: each request is admitted or rejected by predictions alone

	// Endpoint list and discovery.
	endpointsByID map[uint32]*endpoint
	endpoints     []*endpoint     // in the order in which they were first listed
	listReceived  bool            // discovery has sent a list since the start
	subscribed    bool            // the latest poll was answered
	nextPollAt    monotime.Micros // instant
	pollBackoff   monotime.Micros // 0 before the first failure

	// Capacity and warm-up. The first four are as of the latest count (effectiveCapacity).
	readyCapacity     float64         // of the eligible endpoints, in warm ones
	readyCount        float64         // eligible endpoints
	warmCount         float64         // of these, those that do not warm up
	warmingEndpoints  []*endpoint     // of these, those that do
	capacityExpiresAt monotime.Micros // instant from which on they must be counted again
	sentWorkRate      rateMeter       // microseconds of work per second
	servedWork        float64         // microseconds of work answered since the start, per unit of warm capacity
	lastServedAt      monotime.Micros // instant of the latest success
	handedOver        bool            // another balancer sends to the warming endpoints (SetHandedOver)

	// Probes and load reports.
	probePool           []*endpoint     // endpoints with a load report, the latest last; at most probePoolSize
	queued              []*request      // requests that wait for probes
	awaitedProbes       int             // probes in flight that they wait for
	queueRound          uint32          // number of the present queue
	dueProbes           float64         // probes that have come due by the probe rate
	dueProbesAt         monotime.Micros // instant up to which they are counted
	withoutLoadReports  bool            // probes do not return the load of endpoints
	typicalLoad         ewma            // requests of other balancers at a warm endpoint
	typicalWarmingLoad  ewma            // requests of other balancers at a warming endpoint
	serviceTime         ewma            // microseconds without waiting, as endpoints report it
	lateReportRatio     ewma            // 0 to 1, of the reports that could be checked
	reportsLate         bool            // loads are predicted from averages
	reportWatchTime     float64         // microseconds between two compared reports, in sum
	reportChanges       float64         // compared reports that differed
	recheckCount        int             // endpoints that were probed twice to compare
	recheckedEndpointID uint32          // the latest of them

	// Latency predictions.
	fleetServiceTimeRatio ewma    // service time per work and queue delay factor, of all endpoints
	latencyTrend          float64 // latencies over the predicted ones, for all endpoints together

	// Retry budget.
	retryCredit    float64        // retries, for a budget without a window
	recentRequests slidingCounter // requests in the retry window, up to a slot less
	recentRetries  slidingCounter // retries in the retry window, up to a slot more

	trafficPartsBuffer [maxTrafficParts]int
	lastLogged         map[string]monotime.Micros // instant, by message
}

// classStats is what a balancer has observed of a class.
type classStats struct {
	meanWork        ewma            // microseconds per request
	requestRate     rateMeter       // requests per second
	onTimeRatio     ewma            // of the requests, answered within the latency objective, 0 to 1
	lastForcedAdmit monotime.Micros // instant of the latest request that was sent although over budget
	waiting         []*request      // those that wait for answers to the class (queueForResponses)
}

const (
	// allTraffic is the index of the part of the traffic that each request belongs to. The other parts are
	// the classes and the tenants.
	allTraffic = 0

	maxTrafficParts = 3 // parts that one request belongs to: all traffic, its class, its tenant
)

// trafficParts returns the parts of the traffic that r belongs to, as indices of endpoint.outliers. The slice
// is valid until the next call.
func (b *Balancer) trafficParts(r *request) []int {
	parts := append(b.trafficPartsBuffer[:0], allTraffic, 1+int(r.Class))
	if tenant := int(r.Tenant); tenant < len(b.tenantRates) {
		parts = append(parts, 1+len(b.classes)+tenant)
	}
	return parts
}

// newOutliers returns empty statistics, one for each part of the traffic.
func (b *Balancer) newOutliers() []outlierStats {
	return make([]outlierStats, 1+len(b.classes)+len(b.tenantRates))
}

// classOf returns the settings of r's class.
func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }
