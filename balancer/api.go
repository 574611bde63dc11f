package balancer

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Repeat says what a second run of a request of a class would do.
type Idempotency uint8

// The three kinds of class.
const (
	Idempotent      Idempotency = iota // a repeat is harmless
	IdempotentByKey                    // a group of endpoints drops repeats for a while
	NonIdempotent                      // a repeat would have a second effect
)

// Group is the set of endpoints that drops repeats of a keyed request.
type DedupScope uint8

// The groups of a keyed class.
const (
	DedupAll  DedupScope = iota // every endpoint
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// Field names one figure of a load report.
type LoadMetric uint8

// The figures that a load report may carry. FieldOther is one that this
// version does not know; it is skipped.
const (
	MetricUnknown     LoadMetric = iota
	MetricInflight               // requests that the endpoint holds
	MetricQueueLength            // requests that wait there
	MetricUtilization            // share of its cores in use
	MetricLatency                // recent service time in milliseconds
	MetricServedRate             // requests served a second
	MetricErrorRate              // errors a second
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope      // keyed only
	DedupWindow      monotime.Micros // keyed only: how long the group remembers
	LatencyObjective monotime.Micros // an answer within this time earns the full worth
	ClientTimeout    monotime.Micros // the client's patience over all its tries
	PriorityWeight   float64         // of one request
	LateWeight       float64         // share of the worth earned after the aim
	Streaming        bool            // answers are streamed: Headers announces them
}

// Tenant describes one tenant and its share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
	Share float64
}

// Limits holds what the deployment permits. Tell and DialTimeout are checked
// but no decision reads them.
type Limits struct {
	Cancel, Probes, Hedging, RetryAfter, Gossip bool

	MaxAttempts     int             // attempts a request
	MaxOpenRequests int             // open requests a balancer
	MaxRetryAfter   monotime.Micros // the longest wait that clients honour
	DialTimeout     monotime.Micros
}

// Contract holds the figures of the rules. DrainGrace and AnswerSlack are
// checked but no decision reads them: nothing new is sent to a draining
// endpoint, and answers leave by the deadline.
type Contract struct {
	DrainGrace          monotime.Micros
	WarmupStartCapacity float64         // an endpoint starts at no less than this share
	WarmupTime          monotime.Micros // and is warm no later than this
	CollapseMultiple    float64         // of its present capacity, sent for OverloadFor,
	CollapseAfter       monotime.Micros // makes a cold endpoint fall over
	PollInterval        monotime.Micros // a balancer without subscription must ask this often
	AnswerSlack         monotime.Micros
}

// Prices holds what is taken off the result, each for its rate per request.
// No decision reads Waste and LateFail.
type Prices struct {
	CrossZone, Probe, Waste, LateFail float64
}

// Goal holds the weights of what the users judge. No decision reads WorstTenant.
type Goal struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
}

// Settings is all that a balancer is told at its start. No decision reads
// Position, Zones and Kinds.
type Settings struct {
	Balancers    int // in this tier, this one included
	Position     int // of this one among them
	Zone         int // of this one
	ZoneCount    int
	MachineKinds int  // of machines
	Subscribe    bool // discovery answers only when asked

	Classes     []Class
	Tenants     []Tenant
	LoadMetrics []LoadMetric // of a load report, in order

	Limits          Limits
	Contract        Contract
	Prices          Prices
	Goal            Goal
	Tick            monotime.Micros // the least time between two rounds of events
	OverQuotaWeight float64
	WeightByWork    bool    // worth counts per unit of work, not per request
	RetryRatio      float64 // further attempts, as a part of the requests; 0 is RetryShare

	// RetryWithin has that part hold over any stretch of this length (microseconds), where RetryLeast further attempts a
	// second are let go in any case: a quiet balancer's part would be less than one. 0 lets what was not used be saved up.
	RetryWindow  monotime.Micros
	MinRetryRate float64

	// Strict has a keyed request that may have run fail and never be refused, also where all endpoints drop repeats of
	// its key: the client may come back when they have forgotten it.
	StrictIdempotencyKeys bool
}

// RetryShare is how many further attempts each request earns where the settings say nothing.
const DefaultRetryRatio = 0.2

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Value, Reason string }

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
	check(s.MachineKinds >= 0, "Kinds", s.MachineKinds, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, c := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(c.Idempotency <= NonIdempotent, at("Repeat"), c.Idempotency, "not a known kind")
		check(c.DedupScope <= DedupCell, at("Group"), c.DedupScope, "not a known group")
		check(c.DedupWindow >= 0, at("Window"), c.DedupWindow, "must not be negative")
		check(c.LatencyObjective > 0, at("Aim"), c.LatencyObjective, "must be positive")
		check(c.ClientTimeout > 0, at("GiveUp"), c.ClientTimeout, "must be positive")
		check(c.PriorityWeight >= 0, at("Worth"), c.PriorityWeight, "must not be negative")
		check(c.LateWeight >= 0 && c.LateWeight <= 1, at("LateWorth"), c.LateWeight, "must be in 0..1")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Allowance", i)
		check(t.Quota >= 0, key, t.Quota, "must not be negative")
	}
	for _, w := range [...]float64{s.Goal.Overall, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeight >= 0, "OverShareWorth", s.OverQuotaWeight, "must not be negative")
	check(s.RetryRatio >= 0 && s.RetryRatio <= 10, "RetryShare", s.RetryRatio, "must be in 0..10")
	check(s.RetryWindow >= 0, "RetryWithin", s.RetryWindow, "must not be negative")
	check(s.MinRetryRate >= 0 && s.MinRetryRate <= 1e6, "RetryLeast", s.MinRetryRate, "must be in 0..1000000")
	l, c, p := &s.Limits, &s.Contract, &s.Prices
	check(l.MaxAttempts >= 1, "Limits.MaxAttempts", l.MaxAttempts, "must be at least 1")
	check(l.MaxOpenRequests >= 1, "Limits.MaxOpen", l.MaxOpenRequests, "must be at least 1")
	check(l.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", l.MaxRetryAfter, "must not be negative")
	check(l.DialTimeout >= 0, "Limits.DialTimeout", l.DialTimeout, "must not be negative")
	check(c.DrainGrace >= 0, "Contract.DrainGrace", c.DrainGrace, "must not be negative")
	check(c.WarmupStartCapacity > 0 && c.WarmupStartCapacity <= 1, "Contract.ColdFrom", c.WarmupStartCapacity, "must be in 0..1, not 0")
	check(c.WarmupTime >= 0, "Contract.RampTime", c.WarmupTime, "must not be negative")
	check(c.CollapseMultiple > 0, "Contract.FallMultiple", c.CollapseMultiple, "must be positive")
	check(c.CollapseAfter >= 0, "Contract.OverloadFor", c.CollapseAfter, "must not be negative")
	check(c.PollInterval >= 0, "Contract.AskWithin", c.PollInterval, "must not be negative")
	check(c.AnswerSlack >= 0, "Contract.AnswerSlack", c.AnswerSlack, "must not be negative")
	check(p.CrossZone >= 0, "Prices.CrossZone", p.CrossZone, "must not be negative")
	check(p.Probe >= 0, "Prices.Probe", p.Probe, "must not be negative")
	check(p.Waste >= 0, "Prices.Waste", p.Waste, "must not be negative")
	check(p.LateFail >= 0, "Prices.LateFail", p.LateFail, "must not be negative")
	return err
}

// State is what discovery says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	ID        uint32
	Zone      uint8
	Kind      uint8
	Cell      uint16
	State     EndpointState
	Share     float32
	StartTime monotime.Micros // of its latest start; 0 for long ago
}

// ListKind says how the entries of a membership event are to be read.
type ListKind uint8

// The kinds of membership event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as last held; perhaps old
	ListFailed                 // a call of discovery failed; no entries
)

// Request is a client's request. One final answer is owed for it: an outcome
// that settles it, a refusal or a failure.
type Request struct {
	ID             uint64
	IdempotencyKey uint64
	Deadline       monotime.Micros // the instant at which the client gives this try up
	QueueTime      monotime.Micros // how long it has waited at the host for its turn: its aim counts from its arrival there
	WorkHint       monotime.Micros // expected work; used if HasHint
	HasWorkHint    bool
	Retry          bool // the client marked it as a repetition
	MaxAttempts    int  // attempts at most, within Limits.MaxAttempts; 0 is as many as that
	Write          bool
	Upload         bool // its body comes while an endpoint takes it: until that is over, the endpoint owes nothing
	Tenant         uint16
	Class          uint8
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways an attempt may end. Full, ConnectFailed and Moot prove that it
// never ran; all others but OK leave that open.
const (
	OK            Status = iota
	Error                // an error returned by the endpoint
	Rejected             // turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // withdrawn by the balancer
	NotSent              // never sent
)

// Outcome tells how an attempt ended. Load is valid during the call only.
type Outcome struct {
	ID            uint64
	Attempt       int // the attempts of a request count from 0 as sent
	Endpoint      uint32
	Status        Status
	Latency       monotime.Micros
	Answered      bool // the request has its final answer
	NotReplayable bool // a part of it has gone out that cannot be shown again: no further attempt can be made
	Load          []float32
}

// Bounds is what an overload of the endpoints, that all instances bring about together, leaves to this balancer (Bound).
// Lists are read during calls, and may change between them.
type OverloadPolicy struct {
	AdmitRatio           []float64 // by class, the part of the requests that goes on
	OverQuotaAdmitRatio  []float64 // the same of what tenants ask beyond their share
	WithinQuotaRatio     []float64 // by tenant, the part of its requests within its share
	RetryAdmitRatio      float64   // of what goes on by that, the part of those that say that they repeat an earlier one
	QueueWaitFraction    []float64 // by class, the part of what its aim leaves that a request may wait
	TopQueueWaitFraction float64   // the same of what ranks first, whatever its class,
	TopRatio             float64   // which is this part of the requests

	ForcedAdmitInterval monotime.Micros // after so long one request of a class may go on although it seems too late
	RetryAllowed        bool            // one more attempt beyond a request's first may be made
	MaxProbeRate        float64         // a second, at most
}

// Actions is what a balancer asks of its host. Calls come from within event
// methods, in the order in which they are to take effect.
type Actions interface {
	// Send starts an attempt; timeout 0 means until the client's deadline.
	Send(id uint64, endpoint uint32, timeout monotime.Micros)
	// Refuse is a final answer that promises that a retry is harmless.
	Reject(id uint64, retryAfter monotime.Micros)
	// Fail is a final answer that promises nothing.
	Fail(id uint64)
	// Cancel stops waiting for an attempt; its outcome still comes.
	Cancel(id uint64, attempt int)
	// Timer asks for a Timer event with this token after delay.
	SetTimer(delay monotime.Micros, token uint32)
	// Probe asks an endpoint for its load.
	Probe(endpoint uint32)
	// Watch subscribes to discovery's changes, or ends that.
	Watch(on bool)
	// Log records a line for on-call staff.
	Log(line string)
}
