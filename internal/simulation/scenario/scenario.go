// Package scenario reads the description of a fleet under test: endpoints, instances, zones, clients and their
// traffic, discovery, and the events (faults and changes) of the run. A scenario file is TOML and is read
// strictly. Draw makes a Plan from a scenario and a seed; afterwards only the random values of each request
// (package randstream) remain to be drawn. A plan does not depend on the balancer under test, so that all
// variants of a fleet get the same plan. Packages simulation and processes execute plans; this package must not
// import them.
package scenario

import (
	"dunlinsail/internal/stricttoml"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name string `toml:"name"`
	// Base is the name of another scenario, whose values apply to the keys that this scenario does not set.
	Base   string              `toml:"base,omitempty"`
	About  string              `toml:"about,omitempty"`
	Length stricttoml.Duration `toml:"length"` // time during which clients start new operations

	Fleet         Fleet          `toml:"fleet"`
	Network       Network        `toml:"network"`
	Host          Host           `toml:"host"`
	Discovery     Discovery      `toml:"discovery"`
	Clocks        Clocks         `toml:"clocks"`
	EndpointKinds []EndpointKind `toml:"nodes"`
	Classes       []Class        `toml:"class"`
	Tenants       []Tenant       `toml:"tenant"`
	Clients       Clients        `toml:"clients"`
	Shape         []RatePoint    `toml:"shape,omitempty"`
	Events        []Event        `toml:"event,omitempty"`
	Replay        *Replay        `toml:"replay,omitempty"`
	// Settings are changes (KEY=VALUE) to the settings with which the claims are evaluated.
	Settings []string `toml:"settings,omitempty"`
	// Expect are claims (package claim) that a run with the shipped settings must satisfy.
	Expect []string `toml:"expect,omitempty"`
}

// Fleet describes the instances of the daemon.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Instances int      `toml:"instances"`
	// TrafficShareCV is the coefficient of variation of the instances' shares of the traffic.
	TrafficShareCV float64 `toml:"uneven,omitempty"`
	ZoneSkew       float64 `toml:"zone_skew,omitempty"` // 0: all zones have equal traffic; 1: the first zone has all traffic
	SubsetSize     int     `toml:"subset,omitempty"`    // number of endpoints on an instance's endpoint list; 0: all
}

// Network describes the network between clients, instances and endpoints.
type Network struct {
	ClientDelay    stricttoml.Duration `toml:"client"`  // one-way delay between a client and its instance
	SameZoneDelay  stricttoml.Duration `toml:"within"`  // one-way delay within a zone
	CrossZoneDelay stricttoml.Duration `toml:"between"` // one-way delay between zones
	Jitter         float64             `toml:"jitter"`  // mean random addition to a delay, as a fraction of the delay
	Loss           float64             `toml:"loss"`    // fraction of messages that are lost and retransmitted
	Retransmit     stricttoml.Duration `toml:"retransmit"`
}

// Host describes the delays within an instance.
type Host struct {
	Overhead        stricttoml.Duration `toml:"overhead"` // delay of a request in its instance, in addition to its attempts
	SchedulingDelay stricttoml.Duration `toml:"slack"`    // mean delay of timers and schedulers
}

// Discovery describes how long discovery takes to detect a change, and to notify instances.
type Discovery struct {
	ReadyDelay       *stricttoml.Span    `toml:"add"`    // delay until discovery detects that an endpoint is ready
	DrainDelay       *stricttoml.Span    `toml:"drain"`  // delay until discovery detects that an endpoint is draining
	ProcessEndDelay  *stricttoml.Span    `toml:"gone"`   // delay until discovery detects that a process has ended
	MachineLostDelay *stricttoml.Span    `toml:"silent"` // delay until discovery detects that a machine has disappeared
	UpdateSpread     stricttoml.Duration `toml:"spread"` // largest difference between instances in the delay of an update
}

// Clocks bounds the errors of the instances' clocks.
type Clocks struct {
	Skew  stricttoml.Duration `toml:"skew,omitempty"`  // largest offset from true time, in either direction
	Drift float64             `toml:"drift,omitempty"` // largest rate error, in either direction, as a fraction
}

// EndpointKind describes the endpoints of one kind.
type EndpointKind struct {
	Kind           string              `toml:"kind,omitempty"`
	Count          int                 `toml:"count,omitempty"`
	Zones          []string            `toml:"zones,omitempty"` // zones of the endpoints, in turn; empty: all zones
	Cores          int                 `toml:"cores,omitempty"`
	Speed          Range               `toml:"speed,omitempty"`
	Queue          int                 `toml:"queue,omitempty"`
	WarmupFrom     float64             `toml:"cold_from,omitempty"`
	WarmupDuration stricttoml.Duration `toml:"cold_for,omitempty"`
	CollapseLoad   float64             `toml:"fall,omitempty"`
	CollapseWindow stricttoml.Duration `toml:"fall_after,omitempty"`
	// Cancel specifies which canceled requests an endpoint stops: "none", "queued" or "all".
	Cancel              string              `toml:"cancel,omitempty"`
	Errors              float64             `toml:"errors,omitempty"`
	ContentionThreshold float64             `toml:"crowd_at,omitempty"`
	ContentionLoss      float64             `toml:"crowd,omitempty"`
	PauseEvery          stricttoml.Duration `toml:"pause_every,omitempty"`
	PauseFor            stricttoml.Duration `toml:"pause_for,omitempty"`
	ProbeWork           stricttoml.Duration `toml:"probe_work,omitempty"`
	Handshake           stricttoml.Duration `toml:"handshake,omitempty"`
	MaxConnections      int                 `toml:"connections,omitempty"`
	Idle                stricttoml.Duration `toml:"idle,omitempty"`
	// CellSize is the number of endpoints that share their deduplication state.
	CellSize       int                 `toml:"cell,omitempty"`
	ReportInterval stricttoml.Duration `toml:"report_every,omitempty"`
	ReportNoise    float64             `toml:"report_noise,omitempty"`
	// StartsWithRun specifies that the endpoints start at the start of the run and warm up; otherwise they are
	// already warm.
	StartsWithRun bool `toml:"cold,omitempty"`
}

// Class is a class of requests, with the same name as in the settings.
type Class struct {
	Name             string              `toml:"name,omitempty"`
	Share            float64             `toml:"share,omitempty"`
	Work             stricttoml.Duration `toml:"work,omitempty"` // mean work of an operation, as time on a core of speed 1
	WorkDistribution string              `toml:"dist,omitempty"` // "lognormal", "exponential" or "fixed"
	WorkCV           float64             `toml:"cv,omitempty"`
	// AttemptWorkCV is the coefficient of variation of the work of a request's attempts.
	AttemptWorkCV float64 `toml:"noise,omitempty"`
}

// Tenant is a tenant and its share of the traffic. Its name is the same as in the settings.
type Tenant struct {
	Name  string  `toml:"name,omitempty"`
	Share float64 `toml:"share,omitempty"` // share of the traffic, relative to the sum over all tenants
}

// Clients describes the clients and their traffic.
type Clients struct {
	// Load is the traffic as a fraction of the capacity of all warm endpoints. Rate is the traffic in
	// operations a second. Exactly one of them is set, unless operations are replayed.
	Load            float64          `toml:"load,omitempty"`
	Rate            float64          `toml:"rate,omitempty"`
	Processes       int              `toml:"processes"`
	Retries         [2]int           `toml:"retries"`
	TimeoutShare    Range            `toml:"try_share"`
	Backoff         *stricttoml.Span `toml:"backoff"`
	HonorRetryAfter float64          `toml:"honour_retry_after"`
	EarlyAbort      float64          `toml:"impatient"`
	MarkRetries     bool             `toml:"marks_retry,omitempty"`
	FreshKeys       float64          `toml:"fresh_keys,omitempty"`
	Objects         int              `toml:"objects"` // number of different objects that requests refer to
}

// Replay starts the operations of an access record (package accesslog) instead of drawn operations. The work of
// the operations is drawn, and their clients retry according to this scenario, since the retries in the record
// are effects of the variant that was recorded.
type Replay struct {
	From  []string            `toml:"from"`            // folders or single segment files of the access record
	Start stricttoml.Duration `toml:"start,omitempty"` // records before this time are skipped
	// Align corrects the times of the records with the system clocks, for records of instances with wrong
	// clocks.
	Align bool `toml:"align,omitempty"`
	// Digest is the digest of the records. It is set when the records are read, so that stored runs can be
	// matched to the same records.
	Digest string `toml:"digest,omitempty"`
}

// RatePoint is the factor of the traffic at an instant. Between two points the factor is interpolated linearly.
type RatePoint struct {
	At     stricttoml.Duration `toml:"at"`
	Factor float64             `toml:"times"`
}

// Event is a fault of, or a change to, the fleet, its network or its traffic during a run.
type Event struct {
	What string           `toml:"what,omitempty"`
	At   *stricttoml.Span `toml:"at,omitempty"`
	For  *stricttoml.Span `toml:"for,omitempty"` // duration; without it the event lasts until the end of the run

	// Zone and Kind select the endpoints of the event. Part or Count limits the event to a fraction or a number
	// of the selected endpoints.
	Zone  string `toml:"zone,omitempty"`
	Kind  string `toml:"kind,omitempty"`
	Part  Range  `toml:"part,omitempty"`
	Count int    `toml:"count,omitempty"`

	Size      Range  `toml:"size,omitempty"`   // severity of the event; its meaning depends on What (eventKinds)
	Class     string `toml:"class,omitempty"`  // EventErrors, EventSurge: only requests of this class
	Tenant    string `toml:"tenant,omitempty"` // EventSurge: only requests of this tenant
	OneClient bool   `toml:"one,omitempty"`    // EventSurge: only one client process of each instance
	// Every is the time between the restarts of an EventRollingRestart. An EventNeighbour, EventInstanceFreeze
	// or EventInstancePartition is active and inactive in turn, each for this time.
	Every     stricttoml.Duration `toml:"every,omitempty"`
	Delay     *stricttoml.Span    `toml:"delay,omitempty"` // delay of the kinds of events in kindsWithDelay
	OtherZone string              `toml:"to,omitempty"`    // EventZonePartition: the other zone; empty: all other zones

	// Instances is the fraction of the instances of the zone that the event applies to; without it, all of
	// them.
	Instances       Range `toml:"instances,omitempty"`
	InstanceIndexes []int `toml:"named,omitempty"`  // indices of the affected instances, instead of Instances
	OtherInstances  []int `toml:"others,omitempty"` // EventInstancePartition: indices of the instances on the other side
	// Direction is the blocked direction, DirectionTo or DirectionFrom, relative to the endpoints of an
	// EventPathBlocked or the instances of an EventInstancePartition. Empty: both directions.
	Direction string `toml:"way,omitempty"`
}

// Range is a fixed number, or the two bounds between which a number is drawn.
type Range []float64

// bounds returns the lower and the upper bound; both are defaultValue if the range is empty.
func (r Range) bounds(defaultValue float64) [2]float64 {
	switch len(r) {
	case 0:
		return [2]float64{defaultValue, defaultValue}
	case 1:
		return [2]float64{r[0], r[0]}
	}
	return [2]float64{r[0], r[1]}
}

// spanBounds returns the lower and the upper bound of a span in microseconds; both are 0 if the span is nil.
func spanBounds(span *stricttoml.Span) [2]float64 {
	if span == nil {
		return [2]float64{}
	}
	return [2]float64{float64(span.From.Microseconds()), float64(span.To.Microseconds())}
}
