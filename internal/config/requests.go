package config

import (
	"dunlinsail/internal/stricttoml"
)

// Class is a class of requests.
type Class struct {
	// Name identifies the class, and must be unique. Without routes it is the first part of a request's path.
	Name string `toml:"name"`

	// Idempotency is what a second run of a request does: "safe" has no effect, "keyed" is dropped by its idempotency
	// key, "unsafe" has an effect. It is required.
	Idempotency string `toml:"repeat"`

	// IdempotencyGroup is which endpoints drop repeats of a key: "all", or those of a "zone" or a "cell". It is
	// required for keyed classes, and not allowed for others.
	IdempotencyGroup string `toml:"group"`

	// KeyWindow is how long the group drops repeats of a key: positive. It is required for keyed classes, and not
	// allowed for others.
	KeyWindow stricttoml.Duration `toml:"window"`

	// LatencyObjective is the time within which a response counts with its full weight: positive. It is required.
	LatencyObjective stricttoml.Duration `toml:"aim"`

	// ClientTimeout is how long the client waits: at least LatencyObjective. It is required.
	ClientTimeout stricttoml.Duration `toml:"give_up"`

	// PriorityWeight is the weight of a request in time: default 1, not negative.
	PriorityWeight *float64 `toml:"worth"`

	// LateWeight is the part of the weight of a response after LatencyObjective: default 0, 0 to 1. It is not used by
	// the balancer.
	LateWeight float64 `toml:"late_worth"`
}

// Tenant is a tenant of the service.
type Tenant struct {
	// Name identifies the tenant, and must be unique.
	Name string `toml:"name"`

	// Allowance is the tenant's quota in requests a second over all instances: default 0. Requests beyond it have the
	// part Fleet.OverQuotaWeight of their weight.
	Allowance float64 `toml:"allowance"`

	// Share is the tenant's part of the service: default 0, 0 to 1. It is not used by the balancer.
	Share float64 `toml:"share"`

	// RateLimit is the limit of admitted requests a second over all instances: 1 to 1000000; 0, the default, is none.
	RateLimit float64 `toml:"limit"`
}

// Attempts bounds the attempts of a request.
type Attempts struct {
	// MaxAttempts is the limit of attempts of a request: default 3, at least 1; 1 turns retries off.
	MaxAttempts int `toml:"most"`

	// Cancel allows the balancer to cancel attempts that are no longer needed; default true.
	Cancel bool `toml:"cancel"`

	// HedgedRequests has no effect: the balancer starts no second attempt beside one in flight. Default true.
	HedgedRequests bool `toml:"second_copies"`

	// RetryBudget is the number of retries that each request adds to the budget: default 0.2, over 0 to 10. It is that
	// of pools without one of their own.
	RetryBudget float64 `toml:"retry_budget"`

	// DialTimeout is how long a connection to an endpoint may take to open: default 250ms, positive.
	DialTimeout stricttoml.Duration `toml:"dial_timeout"`
}

// Rejections configures Retry-After of rejected requests.
type Rejections struct {
	// RetryAfter adds Retry-After to rejections; default true.
	RetryAfter bool `toml:"retry_after"`

	// MaxRetryAfter is the longest Retry-After that clients honour: default 1s.
	MaxRetryAfter stricttoml.Duration `toml:"retry_after_most"`
}

// Probes configures health checks and load reports.
type Probes struct {
	// On turns health checks on; default false.
	On bool `toml:"on"`

	// Report is where load reports come from: "none", the default, "probe" for the responses to health checks, or
	// "answers" for all responses.
	Report string `toml:"report"`

	// Fields are the fields of a load report, names in loadReportFields. They are required with reports, and not
	// allowed without.
	Fields []string `toml:"fields"`
}

// Rules are the parameters of the rules in PROTOCOL.
type Rules struct {
	// DrainGrace is how long a draining endpoint may still receive new requests: default 250ms. It is not
	// used by the balancer.
	DrainGrace stricttoml.Duration `toml:"drain_grace"`

	// WarmupStart is the part of its capacity with which an endpoint starts: default 0.2, over 0 to 1.
	WarmupStart float64 `toml:"cold_from"`

	// WarmupDuration is how long after its start an endpoint has its full capacity: default 20s.
	WarmupDuration stricttoml.Duration `toml:"warm_after"`

	// CollapseMultiple and CollapseAfter are the load, as a multiple of its capacity, under which a warming endpoint collapses,
	// and for how long it must last: default 2.5, positive, and 2s.
	CollapseMultiple float64             `toml:"fall_multiple"`
	CollapseAfter    stricttoml.Duration `toml:"fall_after"`

	// MaxPollInterval is the longest time between two polls of discovery in mode "ask": default 10s, positive.
	MaxPollInterval stricttoml.Duration `toml:"ask_within"`
}

// Prices are subtracted from the result, each for its rate per request: default 0, not negative.
type Prices struct {
	CrossZone   float64 `toml:"cross_zone"` // an attempt in another zone
	Probe       float64 `toml:"probe"`      // a health check
	Waste       float64 `toml:"waste"`      // endpoints' work without an accepted response; not used by the balancer
	LateFailure float64 `toml:"late_fail"`  // a failure after the latency objective; not used by the balancer
}

// Goal holds the weights of the parts of the result, each a ratio of requests that are answered in time. None may be
// negative.
type Goal struct {
	Overall     float64 `toml:"whole"`        // of all requests: default 1
	WorstWindow float64 `toml:"worst_window"` // of the worst time window: default 0
	WorstClass  float64 `toml:"worst_class"`  // of the worst class: default 0
	WorstTenant float64 `toml:"worst_tenant"` // of the worst tenant: default 0; not used by the balancer
}
