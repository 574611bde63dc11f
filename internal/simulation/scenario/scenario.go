// Package scenario reads the description of a fleet under test: endpoints, instances, zones, clients and their
// traffic, discovery, and the events (faults and changes) of the run. A file is TOML, read strictly. Drawn with a seed
// it becomes a Plan, in which only the draws of package randstream for each request are left open. A plan depends on
// nothing that is under test, so that two variants of a fleet get the same one. Packages simulation and processes
// carry a plan out; this package must not import them.
package scenario

import (
	"dunlinsail/internal/stricttoml"
)

// Scenario is what a file says.
type Scenario struct {
	Name string `toml:"name"`
	// another scenario, from which everything comes that is not said here
	Base   string              `toml:"base,omitempty"`
	About  string              `toml:"about,omitempty"`
	Length stricttoml.Duration `toml:"length"` // clients begin new operations for so long

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
	// KEY=VALUE: edits to the settings by which its claims are judged
	Settings []string `toml:"settings,omitempty"`
	// claims that must hold of the shipped settings (package claim)
	Expect []string `toml:"expect,omitempty"`
}

// Fleet describes the instances.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Instances int      `toml:"instances"`
	// how unlike their traffic is: the coefficient of variation of their shares
	Uneven   float64 `toml:"uneven,omitempty"`
	ZoneSkew float64 `toml:"zone_skew,omitempty"` // 0: the traffic of zones is alike; 1: all of it is the first one's
	Subset   int     `toml:"subset,omitempty"`    // endpoints that an instance is told of; 0 is all
}

// Network is the way between clients, instances and endpoints.
type Network struct {
	Client     stricttoml.Duration `toml:"client"`  // one way, between a client and its instance
	Within     stricttoml.Duration `toml:"within"`  // one way, within a zone
	Between    stricttoml.Duration `toml:"between"` // one way, between zones
	Jitter     float64             `toml:"jitter"`  // a part of a delay that is added at random, as a mean
	Loss       float64             `toml:"loss"`    // part of the messages that are lost and sent again
	Retransmit stricttoml.Duration `toml:"retransmit"`
}

// Host is what an instance costs by itself.
type Host struct {
	Overhead stricttoml.Duration `toml:"overhead"` // that a request spends in an instance, on its way out and back
	Slack    stricttoml.Duration `toml:"slack"`    // by which timers and schedulers are late, as a mean
}

// Discovery is where instances have their lists from.
type Discovery struct {
	Add    *stricttoml.Span    `toml:"add"`    // until it is told that an endpoint is there
	Drain  *stricttoml.Span    `toml:"drain"`  // that one drains
	Gone   *stricttoml.Span    `toml:"gone"`   // that a process has ended
	Silent *stricttoml.Span    `toml:"silent"` // that a machine has vanished
	Spread stricttoml.Duration `toml:"spread"` // by which instances hear at different times
}

// Clocks says how wrong the clocks of instances are.
type Clocks struct {
	Skew  stricttoml.Duration `toml:"skew,omitempty"`  // either way, at most
	Drift float64             `toml:"drift,omitempty"` // either way, at most, as a part of time
}

// EndpointKind describes the endpoints of one kind.
type EndpointKind struct {
	Kind           string              `toml:"kind,omitempty"`
	Count          int                 `toml:"count,omitempty"`
	Zones          []string            `toml:"zones,omitempty"` // over which they are spread; none is all
	Cores          int                 `toml:"cores,omitempty"`
	Speed          Range               `toml:"speed,omitempty"`
	Queue          int                 `toml:"queue,omitempty"`
	WarmupFrom     float64             `toml:"cold_from,omitempty"`
	WarmupDuration stricttoml.Duration `toml:"cold_for,omitempty"`
	CollapseLoad   float64             `toml:"fall,omitempty"`
	CollapseWindow stricttoml.Duration `toml:"fall_after,omitempty"`
	// what becomes of requests given up: "none", "queued" or "all" of them end
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
	// endpoints of a group that drops repeats of a key together
	Cell   int                 `toml:"cell,omitempty"`
	Report stricttoml.Duration `toml:"report_every,omitempty"`
	Noise  float64             `toml:"report_noise,omitempty"`
	// they come up as the run begins; else they were always up
	StartsWithRun bool `toml:"cold,omitempty"`
}

// Class is a kind of request, named as in the settings.
type Class struct {
	Name  string              `toml:"name,omitempty"`
	Share float64             `toml:"share,omitempty"`
	Work  stricttoml.Duration `toml:"work,omitempty"` // mean, on a core of speed 1
	Dist  string              `toml:"dist,omitempty"` // "lognormal", "exponential" or "fixed"
	CV    float64             `toml:"cv,omitempty"`
	// of one attempt against another of the same request, as a coefficient of variation
	Noise float64 `toml:"noise,omitempty"`
}

// Tenant is whose request it is, named as in the settings.
type Tenant struct {
	Name  string  `toml:"name,omitempty"`
	Share float64 `toml:"share,omitempty"` // of the traffic
}

// Clients describes the clients and their traffic.
type Clients struct {
	Load            float64          `toml:"load,omitempty"` // of what all nodes can do once warm; or
	Rate            float64          `toml:"rate,omitempty"` // operations a second
	Processes       int              `toml:"processes"`
	Retries         [2]int           `toml:"retries"`
	TimeoutShare    Range            `toml:"try_share"`
	Backoff         *stricttoml.Span `toml:"backoff"`
	HonorRetryAfter float64          `toml:"honour_retry_after"`
	EarlyAbort      float64          `toml:"impatient"`
	MarkRetries     bool             `toml:"marks_retry,omitempty"`
	FreshKeys       float64          `toml:"fresh_keys,omitempty"`
	Objects         int              `toml:"objects"` // that requests are about
}

// Replay has the operations of an access record (package accesslog) begin in place of those that are drawn. Their work
// is drawn all the same, and their clients retry as this scenario says: a variant is not fed the retries that another
// caused.
type Replay struct {
	From  []string            `toml:"from"`            // folders, or single segments
	Start stricttoml.Duration `toml:"start,omitempty"` // what came before is left out
	// instances whose clocks were wrong are put together by the system's
	Align bool `toml:"align,omitempty"`
	// of what is there; filled in, so that kept runs are of the same record
	Digest string `toml:"digest,omitempty"`
}

// RatePoint is how many times the traffic is at an instant; in between it changes evenly.
type RatePoint struct {
	At     stricttoml.Duration `toml:"at"`
	Factor float64             `toml:"times"`
}

// Event is something that goes wrong, or changes.
type Event struct {
	What string           `toml:"what,omitempty"`
	At   *stricttoml.Span `toml:"at,omitempty"`
	For  *stricttoml.Span `toml:"for,omitempty"` // none is to the end

	// Which endpoints: of a zone, of a kind; of those a part, or so many.
	Zone  string `toml:"zone,omitempty"`
	Kind  string `toml:"kind,omitempty"`
	Part  Range  `toml:"part,omitempty"`
	Count int    `toml:"count,omitempty"`

	Size   Range               `toml:"size,omitempty"`   // how bad; what it means depends on what happens
	Class  string              `toml:"class,omitempty"`  // errors, surge: of this class only
	Tenant string              `toml:"tenant,omitempty"` // surge: of this tenant only
	One    bool                `toml:"one,omitempty"`    // surge: of one client process at each instance only
	Every  stricttoml.Duration `toml:"every,omitempty"`  // neighbour, part: on and off; rolling: one after another
	Delay  *stricttoml.Span    `toml:"delay,omitempty"`  // late-reports, late-words, stale, lag
	To     string              `toml:"to,omitempty"`     // cut: the other zone; none is all

	// Which instances, of what happens to instances or on their ways: a part of those of the zone, all without it.
	Instances Range `toml:"instances,omitempty"`
	Named     []int `toml:"named,omitempty"`  // or these, by number
	Others    []int `toml:"others,omitempty"` // part: from these only
	// sever: "to" the endpoints, "from" them; part: the instances; both without it
	Way string `toml:"way,omitempty"`
}

// Range is one number, or two between which one is drawn.
type Range []float64

// ends returns both ends; or what holds without any.
func (r Range) ends(or float64) [2]float64 {
	switch len(r) {
	case 0:
		return [2]float64{or, or}
	case 1:
		return [2]float64{r[0], r[0]}
	}
	return [2]float64{r[0], r[1]}
}

// ends returns both ends of a span in microseconds; 0 without one.
func ends(s *stricttoml.Span) [2]float64 {
	if s == nil {
		return [2]float64{}
	}
	return [2]float64{float64(s.From.Microseconds()), float64(s.To.Microseconds())}
}

// eventKinds are the events, and for each which of its keys it needs beside what and at.
var eventKinds = map[string]struct {
	nodes bool // it happens to endpoints
	size  string
}{
	"slow":         {true, "times as slow"},
	"errors":       {true, "part of the requests that fail at once"},
	"mute":         {true, "part of the requests that are never answered"},
	"full":         {true, "part of the requests that are turned away unseen"},
	"babble":       {true, ""}, // its reports say nothing, or what cannot be
	"neighbour":    {true, "part of the machine that another program takes"},
	"lies":         {true, "times as slow, while its reports say that it holds nothing"},
	"late-reports": {true, ""},
	"pause":        {true, ""},
	"drain":        {true, ""}, // drained, ended once empty, and started anew at its end
	"kill":         {true, ""}, // the process dies; started anew at its end
	"vanish":       {true, ""}, // the machine says nothing more; back, started anew, at its end
	"rolling":      {true, ""}, // drained and started anew, one after another
	"cut":          {false, ""},
	"surge":        {false, "times the traffic"},
	"stale":        {false, ""},
	"silent":       {false, ""}, // discovery says nothing
	"sever":        {true, ""},  // nothing comes through between instances and endpoints
	"lag":          {true, ""},  // each message between instances and endpoints takes longer
	"restart":      {false, ""}, // instances are killed and begin anew, with what they had open lost
	"freeze":       {false, ""}, // instances are stopped, and go on at its end with what they held
	"deaf":         {false, ""}, // instances hear nothing of discovery, and all of it at its end
	// of what instances say every other word is late by up to delay, and one in ten comes twice
	"late-words": {false, ""},
	"upgrade":    {false, ""}, // another process takes over from an instance's while it serves
	// an operator has them taken out for work, delay each, in real runs of instances that settle the order
	"work": {true, ""},
	"liar": {false,
		"times what it wants that an instance says, in the model the last; " +
			"in real runs it is one more that serves nobody",
	},
	"limits": {false, "times the tenants' limits in the files of instances, read again while they serve"},
	"part":   {false, ""}, // no message passes between instances and the others; every: on and off
	"power":  {false, ""}, // all endpoints and instances begin anew at once
}
