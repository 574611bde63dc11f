package balancer

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Idempotency says what a second run of a request of a class would do.
type Idempotency uint8

// The three kinds of class.
const (
	Idempotent      Idempotency = iota // a second run has no effect
	IdempotentByKey                    // endpoints drop second runs with the same idempotency key for a while
	NonIdempotent                      // a second run has a second effect
)

// DedupScope is the set of endpoints that drop second runs of a request with the same idempotency key.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupAll  DedupScope = iota // every endpoint
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// LoadMetric names one figure of a load report.
type LoadMetric uint8

// The figures that a load report may have. MetricUnknown is one that this version does not know; it is
// skipped.
const (
	MetricUnknown     LoadMetric = iota
	MetricInflight               // requests at the endpoint
	MetricQueueLength            // requests that wait there
	MetricUtilization            // part of its cores in use
	MetricLatency                // recent service time in milliseconds
	MetricServedRate             // requests served per second
	MetricErrorRate              // errors per second
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope      // IdempotentByKey only
	DedupWindow      monotime.Micros // IdempotentByKey only: how long the endpoints remember a key
	LatencyObjective monotime.Micros // an answer within this time counts with the full weight
	ClientTimeout    monotime.Micros // the time that a client waits over all its attempts
	PriorityWeight   float64         // of one request
	LateWeight       float64         // part of the weight, 0 to 1, of a later answer; no decision reads it
	Streaming        bool            // answers are streamed: HandleHeaders is called for them
}

// Tenant describes one tenant.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all balancers
	Share float64 // of the service, 0 to 1; no decision reads it
}

// Limits holds what the deployment permits.
type Limits struct {
	Cancel     bool // attempts may be cancelled
	Probes     bool // endpoints may be probed
	Hedging    bool // a second attempt may start while one is in flight
	RetryAfter bool // rejections may say when to retry
	Gossip     bool // balancers may send messages to one another; no decision reads it

	MaxAttempts     int             // of a request
	MaxOpenRequests int             // of a balancer
	MaxRetryAfter   monotime.Micros // the longest Retry-After that clients honour
	DialTimeout     monotime.Micros // no decision reads it
}

// Contract holds what endpoints and discovery are known to do.
type Contract struct {
	DrainGrace          monotime.Micros // no decision reads it: a draining endpoint gets nothing new
	WarmupStartCapacity float64         // least part of its capacity that an endpoint starts with, over 0 to 1
	WarmupTime          monotime.Micros // after which an endpoint has all of it
	CollapseMultiple    float64         // of its present capacity: a warming endpoint that gets so much
	CollapseAfter       monotime.Micros // for so long collapses
	PollInterval        monotime.Micros // a balancer without a subscription must poll discovery within this time
	AnswerSlack         monotime.Micros // no decision reads it: answers leave by the deadline
}

// Prices holds what is taken off the result, each for its rate per request.
type Prices struct {
	CrossZone float64 // an attempt in another zone
	Probe     float64
	Waste     float64 // no decision reads it
	LateFail  float64 // no decision reads it
}

// Goal holds the weights of the parts of the result: the ratio of requests that are answered in time.
type Goal struct {
	Overall     float64
	WorstWindow float64 // of time
	WorstClass  float64
	WorstTenant float64 // no decision reads it
}

// Settings is all that a balancer is given at its start.
type Settings struct {
	Balancers    int  // in this tier, this one included
	Position     int  // of this one among them; no decision reads it
	Zone         int  // of this one
	ZoneCount    int  // no decision reads it
	MachineKinds int  // no decision reads it
	Subscribe    bool // discovery answers only when polled

	Classes     []Class
	Tenants     []Tenant
	LoadMetrics []LoadMetric // of a load report, in order

	Limits          Limits
	Contract        Contract
	Prices          Prices
	Goal            Goal
	Tick            monotime.Micros // least time between two rounds of events; no decision reads it
	OverQuotaWeight float64         // part of its weight that a request over its tenant's quota has
	WeightByWork    bool            // weights count per unit of work, not per request
	RetryRatio      float64         // retries, as a part of the requests; 0 is DefaultRetryRatio

	// RetryWindow limits retries to that part in any stretch of this length; MinRetryRate retries per second
	// are always allowed: a quiet balancer's part would be less than one. Without a window, unused retries
	// are saved up.
	RetryWindow  monotime.Micros
	MinRetryRate float64

	// StrictIdempotencyKeys has a request with an idempotency key that may have run fail, and never be
	// rejected, even if all endpoints drop second runs: the client may retry when they have forgotten the
	// key.
	StrictIdempotencyKeys bool
}

// DefaultRetryRatio is how many retries each request earns where the settings say nothing.
const DefaultRetryRatio = 0.2

// SettingError names a setting that makes no sense.
type SettingError struct {
	Key    string // the path of the setting's Go field, or of its key where it was read
	Value  string
	Reason string
}

// Error says which setting is wrong, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first setting that makes no sense.
func (s *Settings) Validate() error {
	var err error
	check := func(ok bool, key string, value any, reason string) {
		if !ok && err == nil {
			err = &SettingError{key, fmt.Sprint(value), reason}
		}
	}
	check(s.Balancers >= 1, "Balancers", s.Balancers, "must be at least 1")
	check(s.Position >= 0, "Position", s.Position, "must not be negative")
	check(s.Zone >= 0, "Zone", s.Zone, "must not be negative")
	check(s.MachineKinds >= 0, "MachineKinds", s.MachineKinds, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, c := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(c.Idempotency <= NonIdempotent, at("Idempotency"), c.Idempotency, "not a known kind")
		check(c.DedupScope <= DedupCell, at("DedupScope"), c.DedupScope, "not a known scope")
		check(c.DedupWindow >= 0, at("DedupWindow"), c.DedupWindow, "must not be negative")
		check(c.LatencyObjective > 0, at("LatencyObjective"), c.LatencyObjective, "must be positive")
		check(c.ClientTimeout > 0, at("ClientTimeout"), c.ClientTimeout, "must be positive")
		check(c.PriorityWeight >= 0, at("PriorityWeight"), c.PriorityWeight, "must not be negative")
		check(c.LateWeight >= 0 && c.LateWeight <= 1, at("LateWeight"), c.LateWeight, "must be in 0..1")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Quota", i)
		check(t.Quota >= 0, key, t.Quota, "must not be negative")
	}
	for _, w := range [...]float64{s.Goal.Overall, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeight >= 0, "OverQuotaWeight", s.OverQuotaWeight, "must not be negative")
	check(s.RetryRatio >= 0 && s.RetryRatio <= 10, "RetryRatio", s.RetryRatio, "must be in 0..10")
	check(s.RetryWindow >= 0, "RetryWindow", s.RetryWindow, "must not be negative")
	check(s.MinRetryRate >= 0 && s.MinRetryRate <= 1e6, "MinRetryRate", s.MinRetryRate, "must be in 0..1000000")
	l := &s.Limits
	c := &s.Contract
	p := &s.Prices
	check(l.MaxAttempts >= 1, "Limits.MaxAttempts", l.MaxAttempts, "must be at least 1")
	check(l.MaxOpenRequests >= 1, "Limits.MaxOpenRequests", l.MaxOpenRequests, "must be at least 1")
	check(l.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", l.MaxRetryAfter, "must not be negative")
	check(l.DialTimeout >= 0, "Limits.DialTimeout", l.DialTimeout, "must not be negative")
	check(c.DrainGrace >= 0, "Contract.DrainGrace", c.DrainGrace, "must not be negative")
	start := c.WarmupStartCapacity
	check(start > 0 && start <= 1, "Contract.WarmupStartCapacity", start, "must be in 0..1, not 0")
	check(c.WarmupTime >= 0, "Contract.WarmupTime", c.WarmupTime, "must not be negative")
	check(c.CollapseMultiple > 0, "Contract.CollapseMultiple", c.CollapseMultiple, "must be positive")
	check(c.CollapseAfter >= 0, "Contract.CollapseAfter", c.CollapseAfter, "must not be negative")
	check(c.PollInterval >= 0, "Contract.PollInterval", c.PollInterval, "must not be negative")
	check(c.AnswerSlack >= 0, "Contract.AnswerSlack", c.AnswerSlack, "must not be negative")
	check(p.CrossZone >= 0, "Prices.CrossZone", p.CrossZone, "must not be negative")
	check(p.Probe >= 0, "Prices.Probe", p.Probe, "must not be negative")
	check(p.Waste >= 0, "Prices.Waste", p.Waste, "must not be negative")
	check(p.LateFail >= 0, "Prices.LateFail", p.LateFail, "must not be negative")
	return err
}
