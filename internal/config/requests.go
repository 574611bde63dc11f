package config

import (
	"dunlinsail/internal/stricttoml"
)

// Class configures a request class.
type Class struct {
	// Name identifies the class and must be unique. In a file without routes, the class of a request is the first
	// segment of its path.
	Name string `toml:"name"`

	// Idempotency states what happens if a request is executed twice: "safe" requests have no side effect, the
	// second execution of a "keyed" request is suppressed by its idempotency key, and the second execution of an
	// "unsafe" request has an effect again. It is required.
	Idempotency string `toml:"repeat"`

	// IdempotencyGroup states which endpoints recognize a repeated idempotency key: "all" endpoints, or those in
	// the same "zone" or "cell". It is required for keyed classes and not allowed for others.
	IdempotencyGroup string `toml:"group"`

	// KeyWindow is the time during which the endpoints of IdempotencyGroup recognize a repeated key. It must be
	// positive. It is required for keyed classes and not allowed for others.
	KeyWindow stricttoml.Duration `toml:"window"`

	// LatencyObjective is the time within which a response counts with its full weight. It is required and must be
	// positive.
	LatencyObjective stricttoml.Duration `toml:"aim"`

	// ClientTimeout is the time after which the client stops waiting for a response: at least LatencyObjective. It
	// is required.
	ClientTimeout stricttoml.Duration `toml:"give_up"`

	// PriorityWeight is the weight of a request that gets its response within LatencyObjective. It must not be
	// negative; nil, for a missing key, is 1.
	PriorityWeight *float64 `toml:"worth"`

	// LateWeight is the fraction of PriorityWeight, from 0 to 1, that a response after LatencyObjective counts. The
	// default is 0. The balancer does not use it.
	LateWeight float64 `toml:"late_worth"`
}

// Tenant configures a tenant of the service.
type Tenant struct {
	// Name identifies the tenant and must be unique.
	Name string `toml:"name"`

	// Allowance is the tenant's quota in requests a second to all instances together. The weight of requests over
	// the quota is multiplied by Fleet.OverQuotaWeight. The default is 0.
	Allowance float64 `toml:"allowance"`

	// Share is the tenant's fraction of the service, from 0 to 1. The default is 0. The balancer does not use it.
	Share float64 `toml:"share"`

	// RateLimit is the largest number of requests a second that all instances together admit, from 1 to 1000000. 0,
	// the default, is no limit.
	RateLimit float64 `toml:"limit"`
}

// Attempts limits the attempts to serve a request.
type Attempts struct {
	// MaxAttempts is the largest number of attempts for a request: at least 1, which disables retries. The default
	// is 3.
	MaxAttempts int `toml:"most"`

	// Cancel allows the balancer to cancel attempts that are no longer needed. The default is true.
	Cancel bool `toml:"cancel"`

	// HedgedRequests has no effect: the balancer starts no second attempt while one is in flight. The default is
	// true.
	HedgedRequests bool `toml:"second_copies"`

	// RetryBudget is the number of retries that each request adds to the retry budget: over 0, up to 10. It applies
	// to pools that do not set their own budget. The default is 0.2.
	RetryBudget float64 `toml:"retry_budget"`

	// DialTimeout is the time within which a connection to an endpoint must be established. It must be positive;
	// the default is 250ms.
	DialTimeout stricttoml.Duration `toml:"dial_timeout"`
}

// Rejections configures the Retry-After header of rejections.
type Rejections struct {
	// RetryAfter adds a Retry-After header to rejections. The default is true.
	RetryAfter bool `toml:"retry_after"`

	// MaxRetryAfter is the longest Retry-After that clients honor. The default is 1s.
	MaxRetryAfter stricttoml.Duration `toml:"retry_after_most"`
}

// Probes configures health checks and load reports.
type Probes struct {
	// On enables health checks. The default is false.
	On bool `toml:"on"`

	// Report selects the responses of endpoints that carry a load report: "none", the default, "probe" for
	// responses to health checks only, or "answers" for all responses.
	Report string `toml:"report"`

	// Fields are the fields of a load report, which are names in loadReportFields. They are required if Report is
	// not "none", and not allowed otherwise.
	Fields []string `toml:"fields"`
}

// Rules are the parameters of the rules in PROTOCOL for endpoints and discovery.
type Rules struct {
	// DrainGrace is the time for which a draining endpoint may still receive new requests. The default is 250ms.
	// The balancer does not use it.
	DrainGrace stricttoml.Duration `toml:"drain_grace"`

	// WarmupStart is the fraction of its full capacity that an endpoint has when it starts: over 0, up to 1. The
	// default is 0.2.
	WarmupStart float64 `toml:"cold_from"`

	// WarmupDuration is the time after its start at which an endpoint has its full capacity. The default is 20s.
	WarmupDuration stricttoml.Duration `toml:"warm_after"`

	// CollapseMultiple and CollapseAfter define when a warming endpoint collapses: if its load is at least
	// CollapseMultiple of its present capacity for a time of CollapseAfter. CollapseMultiple must be positive. The
	// defaults are 2.5 and 2s.
	CollapseMultiple float64             `toml:"fall_multiple"`
	CollapseAfter    stricttoml.Duration `toml:"fall_after"`

	// MaxPollInterval is the longest time between two polls if Discovery.Mode is "ask". It must be positive; the
	// default is 10s.
	MaxPollInterval stricttoml.Duration `toml:"ask_within"`
}

// Prices are the prices of events, each multiplied by the number of such events per request and subtracted from the
// result of Goal. The default is 0; a price must not be negative.
type Prices struct {
	CrossZone   float64 `toml:"cross_zone"` // price of an attempt in another zone
	Probe       float64 `toml:"probe"`      // price of a health check
	Waste       float64 `toml:"waste"`      // price of work without an accepted response; not used by the balancer
	LateFailure float64 `toml:"late_fail"`  // price of a failure after the latency objective; not used by the balancer
}

// Goal holds the weights of the ratios that make up the result of the balancer. Each ratio is the fraction of
// requests that are answered in time. A weight must not be negative.
type Goal struct {
	Overall     float64 `toml:"whole"`        // weight of the ratio of all requests; default 1
	WorstWindow float64 `toml:"worst_window"` // weight of the worst time window's ratio; default 0
	WorstClass  float64 `toml:"worst_class"`  // weight of the worst class's ratio; default 0
	WorstTenant float64 `toml:"worst_tenant"` // weight of the worst tenant's ratio; default 0; not used by the balancer
}
