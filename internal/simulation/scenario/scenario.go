// Package scenario reads the description of a fleet under test: endpoints, instances, zones, clients and their
// traffic, discovery, and the events (faults and changes) of the run. A file is TOML, read strictly. Drawn with a seed
// it becomes a Plan, in which only the draws of package randstream for each request are left open. A plan depends on
// nothing that is under test, so that two variants of a fleet get the same one. Packages simulation and processes
// carry a plan out; this package must not import them.
package scenario

import (
	"dunlinsail/internal/stricttoml"
)

// Scenario is the content of a file.
type Scenario struct {
	Name string `toml:"name"`
	// Base is another scenario, which has the values of keys that this one leaves out.
	Base   string              `toml:"base,omitempty"`
	About  string              `toml:"about,omitempty"`
	Length stricttoml.Duration `toml:"length"` // for which clients start new operations

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
	// Settings are edits, KEY=VALUE, to the settings under which its claims are evaluated.
	Settings []string `toml:"settings,omitempty"`
	// Expect are claims that must hold for the shipped settings (package claim).
	Expect []string `toml:"expect,omitempty"`
}

// Fleet describes the instances.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Instances int      `toml:"instances"`
	// Uneven is the coefficient of variation of the instances' shares of the traffic.
	Uneven   float64 `toml:"uneven,omitempty"`
	ZoneSkew float64 `toml:"zone_skew,omitempty"` // 0: zones have equal traffic; 1: the first has all
	Subset   int     `toml:"subset,omitempty"`    // endpoints on an instance's list; 0 is all
}

// Network describes the network between clients, instances and endpoints.
type Network struct {
	Client     stricttoml.Duration `toml:"client"`  // one way, between a client and its instance
	Within     stricttoml.Duration `toml:"within"`  // one way, within a zone
	Between    stricttoml.Duration `toml:"between"` // one way, between zones
	Jitter     float64             `toml:"jitter"`  // mean of the random part of a delay, relative to the delay
	Loss       float64             `toml:"loss"`    // part of the messages that are lost and retransmitted
	Retransmit stricttoml.Duration `toml:"retransmit"`
}

// Host describes the delays within an instance.
type Host struct {
	Overhead stricttoml.Duration `toml:"overhead"` // of a request in its instance, beside its attempts
	Slack    stricttoml.Duration `toml:"slack"`    // mean delay of timers and schedulers
}

// Discovery describes how long discovery takes to learn of a change, and to pass it on.
type Discovery struct {
	Add    *stricttoml.Span    `toml:"add"`    // until it learns that an endpoint is ready
	Drain  *stricttoml.Span    `toml:"drain"`  // that an endpoint is draining
	Gone   *stricttoml.Span    `toml:"gone"`   // that a process has ended
	Silent *stricttoml.Span    `toml:"silent"` // that a machine has vanished
	Spread stricttoml.Duration `toml:"spread"` // by which updates reach instances at different times
}

// Clocks bounds the errors of the instances' clocks.
type Clocks struct {
	Skew  stricttoml.Duration `toml:"skew,omitempty"`  // either way, at most
	Drift float64             `toml:"drift,omitempty"` // either way, at most, relative to time
}

// EndpointKind describes the endpoints of one kind.
type EndpointKind struct {
	Kind           string              `toml:"kind,omitempty"`
	Count          int                 `toml:"count,omitempty"`
	Zones          []string            `toml:"zones,omitempty"` // over which the endpoints are spread; none is all
	Cores          int                 `toml:"cores,omitempty"`
	Speed          Range               `toml:"speed,omitempty"`
	Queue          int                 `toml:"queue,omitempty"`
	WarmupFrom     float64             `toml:"cold_from,omitempty"`
	WarmupDuration stricttoml.Duration `toml:"cold_for,omitempty"`
	CollapseLoad   float64             `toml:"fall,omitempty"`
	CollapseWindow stricttoml.Duration `toml:"fall_after,omitempty"`
	// Cancel says which cancelled requests end: "none", "queued" or "all".
	Cancel              string              `toml:"cancel,omitempty"`
	Errors              float64             `toml:"errors,omitempty"`
	ContentionThreshold float64             `toml:"crowd_at,omitempty"`
	ContentionLoss      float64             `toml:"crowd,omitempty"`
	PauseEvery          stricttoml.Duration `toml:"pause_every,omitempty"`
	PauseFor            stricttoml.Duration `toml:"pause_for,omitempty"`
	ProbeWork           stricttoml.Duration `toml:"probe_work,omitempty"`
	Handshake           stricttoml.Duration `toml:"handshake,omitempty"`
	Conns               int                 `toml:"connections,omitempty"`
	Idle                stricttoml.Duration `toml:"idle,omitempty"`
	// Cell is the number of endpoints that share their deduplication state.
	Cell   int                 `toml:"cell,omitempty"`
	Report stricttoml.Duration `toml:"report_every,omitempty"`
	Noise  float64             `toml:"report_noise,omitempty"`
	// StartsWithRun has the endpoints start, and warm up, as the run begins; otherwise they are warm.
	StartsWithRun bool `toml:"cold,omitempty"`
}

// Class is a kind of request, named as in the settings.
type Class struct {
	Name  string              `toml:"name,omitempty"`
	Share float64             `toml:"share,omitempty"`
	Work  stricttoml.Duration `toml:"work,omitempty"` // mean, on a core of speed 1
	Dist  string              `toml:"dist,omitempty"` // "lognormal", "exponential" or "fixed"
	CV    float64             `toml:"cv,omitempty"`
	// Noise is the coefficient of variation of the work of one request's attempts.
	Noise float64 `toml:"noise,omitempty"`
}

// Tenant is a tenant and its share of the traffic, named as in the settings.
type Tenant struct {
	Name  string  `toml:"name,omitempty"`
	Share float64 `toml:"share,omitempty"` // of the traffic
}

// Clients describes the clients and their traffic.
type Clients struct {
	Load            float64          `toml:"load,omitempty"` // as a part of the capacity of all warm endpoints; or
	Rate            float64          `toml:"rate,omitempty"` // operations a second
	Processes       int              `toml:"processes"`
	Retries         [2]int           `toml:"retries"`
	TimeoutShare    Range            `toml:"try_share"`
	Backoff         *stricttoml.Span `toml:"backoff"`
	HonorRetryAfter float64          `toml:"honour_retry_after"`
	EarlyAbort      float64          `toml:"impatient"`
	MarkRetries     bool             `toml:"marks_retry,omitempty"`
	FreshKeys       float64          `toml:"fresh_keys,omitempty"`
	Objects         int              `toml:"objects"` // number of objects that requests are about
}

// Replay starts the operations of an access record (package accesslog) in place of drawn ones. Their work is drawn, and
// their clients retry as this scenario says: the retries in the record are effects of the recorded variant.
type Replay struct {
	From  []string            `toml:"from"`            // folders, or single segments
	Start stricttoml.Duration `toml:"start,omitempty"` // earlier records are left out
	// Align corrects the records' times by the system clocks, where the instances' clocks were wrong.
	Align bool `toml:"align,omitempty"`
	// Digest is that of the records. It is filled in, so that stored runs belong to the same records.
	Digest string `toml:"digest,omitempty"`
}

// RatePoint is the factor of the traffic at an instant. It is interpolated linearly between two points.
type RatePoint struct {
	At     stricttoml.Duration `toml:"at"`
	Factor float64             `toml:"times"`
}

// Event is a fault or change.
type Event struct {
	What string           `toml:"what,omitempty"`
	At   *stricttoml.Span `toml:"at,omitempty"`
	For  *stricttoml.Span `toml:"for,omitempty"` // without it the event lasts to the end

	// Which endpoints: those of a zone and a kind, and of these a part or a number.
	Zone  string `toml:"zone,omitempty"`
	Kind  string `toml:"kind,omitempty"`
	Part  Range  `toml:"part,omitempty"`
	Count int    `toml:"count,omitempty"`

	Size   Range               `toml:"size,omitempty"`   // severity; its meaning depends on What
	Class  string              `toml:"class,omitempty"`  // errors, surge: of this class only
	Tenant string              `toml:"tenant,omitempty"` // surge: of this tenant only
	One    bool                `toml:"one,omitempty"`    // surge: of one client process at each instance only
	Every  stricttoml.Duration `toml:"every,omitempty"`  // neighbour, part: on and off; rolling: one after another
	Delay  *stricttoml.Span    `toml:"delay,omitempty"`  // of EventLateReports and others (kindsWithDelay)
	To     string              `toml:"to,omitempty"`     // cut: the other zone; none is all

	// Which instances: a part of those of the zone; all without it.
	Instances Range `toml:"instances,omitempty"`
	Named     []int `toml:"named,omitempty"`  // or these, by number
	Others    []int `toml:"others,omitempty"` // part: from these only
	// sever: "to" the endpoints, "from" them; part: the instances; both without it
	Way string `toml:"way,omitempty"`
}

// Range is one number, or the two bounds between which one is drawn.
type Range []float64

// ends returns both bounds; or is both of them where the file has none.
func (r Range) bounds(defaultValue float64) [2]float64 {
	switch len(r) {
	case 0:
		return [2]float64{defaultValue, defaultValue}
	case 1:
		return [2]float64{r[0], r[0]}
	}
	return [2]float64{r[0], r[1]}
}

// ends returns both bounds of a span in microseconds; both are 0 without one.
func spanBounds(span *stricttoml.Span) [2]float64 {
	if span == nil {
		return [2]float64{}
	}
	return [2]float64{float64(span.From.Microseconds()), float64(span.To.Microseconds())}
}
