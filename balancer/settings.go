package balancer

import "dunlinsail/internal/monotime"

// Idempotency is what a second run of a request of a class does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second run has no effect
	IdempotentByKey                    // endpoints drop second runs with the same idempotency key for some time
	NonIdempotent                      // a second run has a second effect
)

// DedupScope is the set of endpoints that drop second runs with the same idempotency key.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupAll  DedupScope = iota // all endpoints
	DedupZone                   // the endpoints of the zone of the first run
	DedupCell                   // the endpoints of the cell of the first run (Endpoint.Cell)
)

// LoadMetric is the meaning of one figure of a load report (compare ORCA load reports, gRFC A51).
type LoadMetric uint8

// The metrics of a load report. MetricUnknown is one that this version does not know; it is skipped.
const (
	MetricUnknown     LoadMetric = iota
	MetricInflight               // requests at the endpoint, running and waiting
	MetricQueueLength            // requests that wait there
	MetricUtilization            // part of its cores in use, 0 to 1
	MetricLatency                // recent service time in milliseconds, without waiting
	MetricServedRate             // requests served per second
	MetricErrorRate              // errors per second
)

// Class is the settings of a class of requests. Fields without a default must be set.
type Class struct {
	Name        string      // Not used by the balancer.
	Idempotency Idempotency // default Idempotent
	DedupScope  DedupScope  // for IdempotentByKey; default DedupAll

	// DedupWindow is how long endpoints remember an idempotency key, for IdempotentByKey. Not negative;
	// default 0, which allows no second run.
	DedupWindow monotime.Micros

	LatencyObjective monotime.Micros // an answer within this time counts with the full weight; positive
	ClientTimeout    monotime.Micros // that a client waits over all attempts (Envoy: route timeout); positive

	// PriorityWeight is the weight of one request, relative to other classes. Not negative. Requests of less
	// weight are rejected first. Also with 0 a request may spend minQueueWaitFraction of the rest of its
	// latency objective on queueing, so it is not always rejected; Goal.WorstClass raises the weight of the
	// worst class.
	PriorityWeight float64

	LateWeight float64 // of a late answer, as a part of the weight; 0 to 1. Not used by the balancer.
	Streaming  bool    // answers are streamed; default false. Not used by the balancer.
}

// Tenant is the settings of a tenant.
type Tenant struct {
	Name  string  // Not used by the balancer.
	Quota float64 // requests per second over all balancers; not negative
	Share float64 // of the service, 0 to 1. Not used by the balancer.
}

// Limits is what the deployment permits. The defaults of the permissions are false.
type Limits struct {
	Cancel bool // attempts may be cancelled
	Probes bool // endpoints may be probed

	// Hedging permits several attempts of a request in flight (gRFC A6: hedging). It only permits: the balancer
	// never starts a hedged request, since HandleOutcome waits until no attempt is in flight.
	Hedging bool

	RetryAfter bool // rejections may have a Retry-After

	MaxAttempts     int             // per request, the first included (gRFC A6: maxAttempts); at least 1
	MaxOpenRequests int             // per balancer (Envoy: max_requests of circuit breakers); at least 1
	MaxRetryAfter   monotime.Micros // the longest Retry-After that clients honour; not negative, 0 is none

	// Not used by the balancer.
	DialTimeout monotime.Micros // for a connection to an endpoint (Envoy: connect_timeout); not negative
}

// Contract is how endpoints and discovery are known to behave.
type Contract struct {
	// WarmupStartCapacity is the part of its capacity that an endpoint has at its start, at least (Envoy:
	// slow start, min_weight_percent). Over 0, to 1.
	WarmupStartCapacity float64

	// WarmupTime is the time after which an endpoint has its full capacity (Envoy: slow start,
	// slow_start_window). Not negative; 0 is no warm-up.
	WarmupTime monotime.Micros

	// A warming endpoint collapses if it gets CollapseMultiple of its present capacity for CollapseAfter.
	CollapseMultiple float64         // positive
	CollapseAfter    monotime.Micros // not negative

	// PollInterval is the time within which a balancer that polls discovery must poll again
	// (Settings.Subscribe). Not negative.
	PollInterval monotime.Micros

	// Not used by the balancer.
	DrainGrace monotime.Micros // time that a draining endpoint goes on serving; not negative
}

// Prices are taken off the goal's result, each for a rate per request. None may be negative; 0 is free.
type Prices struct {
	CrossZone float64 // per attempt in another zone: a higher price keeps more requests in the zone
	Probe     float64 // per probe: a higher price means fewer probes

	// Not used by the balancer.
	Waste    float64 // per attempt whose answer is of no use
	LateFail float64 // per request that fails late
}

// Goal is the weights of the parts of the result, which is the ratio of requests that are answered in time.
// None may be negative.
type Goal struct {
	Overall     float64 // of the ratio over all requests
	WorstWindow float64 // of the ratio in the worst window of time
	WorstClass  float64 // of the ratio of the worst class
	WorstTenant float64 // of the ratio of the worst tenant. Not used by the balancer.
}

// Settings is the settings of a balancer, which do not change.
type Settings struct {
	Balancers int // instances of this tier, this one included; at least 1
	Zone      int // number of this instance's zone, as in Endpoint.Zone; not negative

	// Subscribe is set if discovery sends lists only to a balancer that polls it. By default lists are
	// pushed.
	Subscribe bool

	Classes     []Class      // at least one
	Tenants     []Tenant     // may be empty
	LoadMetrics []LoadMetric // figures of a load report, in their order; may be empty

	Limits   Limits
	Contract Contract
	Prices   Prices
	Goal     Goal

	// OverQuotaWeight is the weight of a request over its tenant's quota, as a part of its weight
	// (tenantWeight). Not negative. Usually 0 to 1: over 1 it would put requests over the quota before those
	// within.
	OverQuotaWeight float64

	WeightByWork bool // a request's weight counts per microsecond of work; by default per request

	// RetryRatio is the retry budget: retries per request (Envoy: retry budget, budget_percent). 0 to 10; 0
	// is DefaultRetryRatio. MaxAttempts 1 turns retries off.
	RetryRatio float64

	// RetryWindow is the time in any stretch of which the retry budget holds. Not negative; 0 is no window:
	// unused retries are saved up.
	RetryWindow monotime.Micros

	// MinRetryRate is the number of retries per second that a budget with a window always allows, since the
	// ratio of a quiet balancer's requests is less than one (Envoy: retry budget, min_retry_concurrency). 0
	// to 1,000,000.
	MinRetryRate float64

	// StrictIdempotencyKeys makes a request with an idempotency key fail once it may have run, and never be
	// rejected, even if all endpoints drop second runs: the client may retry when they have forgotten the
	// key.
	StrictIdempotencyKeys bool

	// Not used by the balancer.
	Position int // of this instance among Balancers, from 0
}

// DefaultRetryRatio is the retry budget where the settings give none, in retries per request.
const DefaultRetryRatio = 0.2
