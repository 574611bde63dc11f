package config

import (
	"dunlinsail/internal/stricttoml"
)

// Class is a class of requests.
type Class struct {
	Name             string              `toml:"name"`
	Idempotency      string              `toml:"repeat"` // "safe", "keyed" or "unsafe"
	IdempotencyGroup string              `toml:"group"`  // keyed only: "all", "zone" or "cell"
	KeyWindow        stricttoml.Duration `toml:"window"` // keyed only
	LatencyObjective stricttoml.Duration `toml:"aim"`
	ClientTimeout    stricttoml.Duration `toml:"give_up"`
	PriorityWeight   *float64            `toml:"worth"`
	LateWeight       float64             `toml:"late_worth"`
}

// Tenant is a tenant of the service.
type Tenant struct {
	Name      string  `toml:"name"`
	Allowance float64 `toml:"allowance"` // requests a second over all instances
	Share     float64 `toml:"share"`
	RateLimit float64 `toml:"limit"` // admitted requests a second over all instances; 0: no limit
}

// Attempts bounds the attempts of a request.
type Attempts struct {
	MaxAttempts    int                 `toml:"most"`
	Cancel         bool                `toml:"cancel"`
	HedgedRequests bool                `toml:"second_copies"`
	RetryBudget    float64             `toml:"retry_budget"` // of a pool without one of its own
	DialTimeout    stricttoml.Duration `toml:"dial_timeout"`
}

// Rejections configures Retry-After of rejected requests.
type Rejections struct {
	RetryAfter    bool                `toml:"retry_after"`
	MaxRetryAfter stricttoml.Duration `toml:"retry_after_most"`
}

// Probes configures health checks and load reports.
type Probes struct {
	On     bool     `toml:"on"`
	Report string   `toml:"report"` // "none", "probe" or "answers"
	Fields []string `toml:"fields"`
}

// Rules are the parameters of the rules in PROTOCOL.
type Rules struct {
	DrainGrace     stricttoml.Duration `toml:"drain_grace"`
	WarmupStart    float64             `toml:"cold_from"`
	WarmupDuration stricttoml.Duration `toml:"warm_after"`
	FallMultiple   float64             `toml:"fall_multiple"`
	FallAfter      stricttoml.Duration `toml:"fall_after"`
	PollWithin     stricttoml.Duration `toml:"ask_within"`
}

// Prices are the costs that are subtracted from the service.
type Prices struct {
	CrossZone float64 `toml:"cross_zone"`
	Probe     float64 `toml:"probe"`
	Waste     float64 `toml:"waste"`
	LateFail  float64 `toml:"late_fail"`
}

// Goal holds the weights of the service's objectives.
type Goal struct {
	Overall     float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant"`
}
