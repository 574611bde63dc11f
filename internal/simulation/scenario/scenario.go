// Package scenario reads what a fleet is tried on: endpoints, instances, zones between them, clients and their traffic,
// discovery, and what goes wrong when. A file is TOML, read strictly; drawn with a seed it becomes a Plan, in which nothing
// is left to chance but what package randstream draws for each request. A plan depends on nothing that is tried on it: two
// variants of a fleet are given the same one. It knows nothing of how a plan is played, which package simulation and package
// live do.
package scenario

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/internal/stricttoml"
)

// Scenario is what a file says.
type Scenario struct {
	Name   string              `toml:"name"`
	Base   string              `toml:"base,omitempty"` // another scenario, from which everything comes that is not said here
	About  string              `toml:"about,omitempty"`
	Length stricttoml.Duration `toml:"length"` // clients begin new stories for so long

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
	Settings      []string       `toml:"settings,omitempty"` // KEY=VALUE: edits to the settings by which its claims are judged
	Expect        []string       `toml:"expect,omitempty"`   // claims that must hold of the shipped settings (package claim)
}

// Fleet is the instances.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Instances int      `toml:"instances"`
	Uneven    float64  `toml:"uneven,omitempty"`    // how unlike their traffic is: the coefficient of variation of their shares
	ZoneSkew  float64  `toml:"zone_skew,omitempty"` // 0: the traffic of zones is alike; 1: all of it is the first one's
	Subset    int      `toml:"subset,omitempty"`    // endpoints that an instance is told of; 0 is all
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

// Nodes are endpoints of one kind.
type EndpointKind struct {
	Kind                string              `toml:"kind,omitempty"`
	Count               int                 `toml:"count,omitempty"`
	Zones               []string            `toml:"zones,omitempty"` // over which they are spread; none is all
	Cores               int                 `toml:"cores,omitempty"`
	Speed               Range               `toml:"speed,omitempty"`
	Queue               int                 `toml:"queue,omitempty"`
	WarmupFrom          float64             `toml:"cold_from,omitempty"`
	WarmupDuration      stricttoml.Duration `toml:"cold_for,omitempty"`
	CollapseLoad        float64             `toml:"fall,omitempty"`
	CollapseWindow      stricttoml.Duration `toml:"fall_after,omitempty"`
	Cancel              string              `toml:"cancel,omitempty"` // what becomes of requests given up: "none", "queued" or "all" of them end
	Errors              float64             `toml:"errors,omitempty"`
	ContentionThreshold float64             `toml:"crowd_at,omitempty"`
	ContentionLoss      float64             `toml:"crowd,omitempty"`
	PauseEvery          stricttoml.Duration `toml:"pause_every,omitempty"`
	PauseFor            stricttoml.Duration `toml:"pause_for,omitempty"`
	ProbeWork           stricttoml.Duration `toml:"probe_work,omitempty"`
	Handshake           stricttoml.Duration `toml:"handshake,omitempty"`
	Conns               int                 `toml:"connections,omitempty"`
	Idle                stricttoml.Duration `toml:"idle,omitempty"`
	Cell                int                 `toml:"cell,omitempty"` // endpoints of a group that drops repeats of a key together
	Report              stricttoml.Duration `toml:"report_every,omitempty"`
	Noise               float64             `toml:"report_noise,omitempty"`
	StartsWithRun       bool                `toml:"cold,omitempty"` // they come up as the run begins; else they were always up
}

// Class is a kind of request, named as in the settings.
type Class struct {
	Name  string              `toml:"name,omitempty"`
	Share float64             `toml:"share,omitempty"`
	Work  stricttoml.Duration `toml:"work,omitempty"` // mean, on a core of speed 1
	Dist  string              `toml:"dist,omitempty"` // "lognormal", "exponential" or "fixed"
	CV    float64             `toml:"cv,omitempty"`
	Noise float64             `toml:"noise,omitempty"` // of one attempt against another of the same request, as a coefficient of variation
}

// Tenant is whose request it is, named as in the settings.
type Tenant struct {
	Name  string  `toml:"name,omitempty"`
	Share float64 `toml:"share,omitempty"` // of the traffic
}

// Clients are who asks.
type Clients struct {
	Load            float64          `toml:"load,omitempty"` // of what all nodes can do once warm; or
	Rate            float64          `toml:"rate,omitempty"` // stories a second
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

// Replay has the stories of an access record (package accesslog) begin in place of those that are drawn. Their work is drawn
// all the same, and their clients try again as this scenario says: a variant is not fed the retries that another caused.
type Replay struct {
	From   []string            `toml:"from"`             // folders, or single segments
	Start  stricttoml.Duration `toml:"start,omitempty"`  // what came before is left out
	Align  bool                `toml:"align,omitempty"`  // instances whose clocks were wrong are put together by the system's
	Digest string              `toml:"digest,omitempty"` // of what is there; filled in, so that kept runs are of the same record
}

// Shape is how many times the traffic is at an instant; in between it changes evenly.
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
	Instances Range  `toml:"instances,omitempty"`
	Named     []int  `toml:"named,omitempty"`  // or these, by number
	Others    []int  `toml:"others,omitempty"` // part: from these only
	Way       string `toml:"way,omitempty"`    // sever: "to" the endpoints, "from" them; part: the instances; both without it
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

// span returns a span, or nil where it is zero: a file need not give one.
func span(from, to time.Duration) *stricttoml.Span { return &stricttoml.Span{From: from, To: to} }

// ends returns both ends of a span in microseconds; 0 without one.
func ends(s *stricttoml.Span) [2]float64 {
	if s == nil {
		return [2]float64{}
	}
	return [2]float64{float64(s.From.Microseconds()), float64(s.To.Microseconds())}
}

func length(d time.Duration) stricttoml.Duration { return stricttoml.Duration{Duration: d} }

// defaults are what a file that says nothing means: a small calm site.
func defaults() Scenario {
	return Scenario{
		Length:  length(30 * time.Second),
		Fleet:   Fleet{Instances: 3},
		Network: Network{Client: length(70 * time.Microsecond), Within: length(250 * time.Microsecond), Between: length(time.Millisecond), Jitter: 0.2, Retransmit: length(200 * time.Millisecond)},
		Host:    Host{Overhead: length(100 * time.Microsecond), Slack: length(50 * time.Microsecond)},
		Discovery: Discovery{Add: span(500*time.Millisecond, 2*time.Second), Drain: span(100*time.Millisecond, 500*time.Millisecond),
			Gone: span(2*time.Second, 5*time.Second), Silent: span(5*time.Second, 10*time.Second), Spread: length(100 * time.Millisecond)},
		Clients: Clients{Processes: 4, Retries: [2]int{1, 2}, TimeoutShare: Range{0.5, 0.8}, Backoff: span(10*time.Millisecond, 80*time.Millisecond),
			HonorRetryAfter: 0.9, Objects: 10_000},
	}
}

// what are the events, and for each which of its keys it needs beside what and at.
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
	"late-words":   {false, ""}, // of what instances say every other word is late by up to delay, and one in ten comes twice
	"upgrade":      {false, ""}, // another process takes over from an instance's while it serves
	"work":         {true, ""},  // an operator has them taken out for work, delay each, in real runs of instances that settle the order
	"liar":         {false, "times what it wants that an instance says, in the model the last; in real runs it is one more that serves nobody"},
	"limits":       {false, "times the tenants' limits in the files of instances, read again while they serve"},
	"part":         {false, ""}, // no word passes between instances and the others; every: on and off
	"power":        {false, ""}, // all endpoints and instances begin anew at once
}

// ByProcesses says whether what the scenario claims is of something that the model does not play.
func (s *Scenario) ByProcesses() bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.What == "work" })
}

// Finder returns the text of a scenario that another is based on, by its name.
type Finder func(name string) ([]byte, error)

// Parse checks a file's text. Its error is strict.Errors, or what find returns of the scenario that it is based on.
func Parse(text []byte, find Finder) (*Scenario, error) {
	s := defaults()
	if err := s.overlay(text, find, 0); err != nil {
		return nil, err
	}
	return &s, nil
}

// basesMost bounds how many scenarios may be based on one another.
const maxBases = 4

// overlay reads a text over what is known already, and checks the whole.
func (s *Scenario) overlay(text []byte, find Finder, depth int) error {
	var own Scenario
	lines, err := stricttoml.Decode(text, &own)
	if err != nil {
		return err
	}
	k := &stricttoml.Validation{Lines: lines}
	if own.Base != "" {
		k.Require(depth < maxBases, "base", "more than %d scenarios are based on one another", maxBases)
		if err := k.Err(); err != nil {
			return err
		}
		base, err := find(own.Base)
		if err != nil {
			k.Require(false, "base", "%v", err)
			return k.Err()
		}
		if err := s.overlay(base, find, depth+1); err != nil {
			return fmt.Errorf("scenario %q: %w", own.Base, err)
		}
		s.About, s.Expect = "", nil // these are of the one that says them
	}
	// A list that stands here stands in place of the base's.
	for _, list := range []struct {
		key   string
		clear func()
	}{{"nodes", func() { s.EndpointKinds = nil }}, {"class", func() { s.Classes = nil }}, {"tenant", func() { s.Tenants = nil }},
		{"shape", func() { s.Shape = nil }}, {"event", func() { s.Events = nil }}, {"fleet.zones", func() { s.Fleet.Zones = nil }}} {
		if lines[list.key] > 0 || lines[list.key+".0"] > 0 {
			list.clear()
		}
	}
	// Of load and rate the one that stands here holds.
	if own.Clients.Load > 0 {
		s.Clients.Rate = 0
	} else if own.Clients.Rate > 0 {
		s.Clients.Load = 0
	}
	if _, err := stricttoml.Decode(text, s); err != nil {
		return err
	}
	for i := range s.EndpointKinds {
		s.EndpointKinds[i].setDefaults()
	}
	for i := range s.Classes {
		if c := &s.Classes[i]; c.Dist == "" {
			c.Dist = "lognormal"
		}
	}
	s.check(k)
	s.Base = ""
	return k.Err()
}

// Text returns the scenario as a file that says all of it.
func (s *Scenario) Text() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	if err := e.Encode(s); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	return b.Bytes(), nil
}

// Clone returns a copy that shares nothing with s.
func (s *Scenario) Clone() *Scenario {
	c := *s
	c.Fleet.Zones = slices.Clone(s.Fleet.Zones)
	c.EndpointKinds, c.Classes, c.Tenants = slices.Clone(s.EndpointKinds), slices.Clone(s.Classes), slices.Clone(s.Tenants)
	for _, at := range []**stricttoml.Span{&c.Clients.Backoff, &c.Discovery.Add, &c.Discovery.Drain, &c.Discovery.Gone, &c.Discovery.Silent} {
		own := **at
		*at = &own
	}
	c.Shape, c.Events, c.Expect = slices.Clone(s.Shape), slices.Clone(s.Events), slices.Clone(s.Expect)
	c.Settings = slices.Clone(s.Settings)
	for i := range c.Events {
		e := &c.Events[i]
		e.Part, e.Size, e.Instances = slices.Clone(e.Part), slices.Clone(e.Size), slices.Clone(e.Instances)
		for _, at := range []**stricttoml.Span{&e.At, &e.For, &e.Delay} {
			if *at != nil {
				own := **at
				*at = &own
			}
		}
	}
	return &c
}

// fill sets what a kind of endpoints is where its table says nothing.
func (n *EndpointKind) setDefaults() {
	if n.Cores == 0 {
		n.Cores = 2
	}
	if len(n.Speed) == 0 {
		n.Speed = Range{1}
	}
	if n.WarmupFrom == 0 {
		n.WarmupFrom = 0.2
	}
	if n.Cancel == "" {
		n.Cancel = "queued"
	}
	if n.Cell == 0 {
		n.Cell = 4
	}
	if n.Idle.Duration == 0 {
		n.Idle = length(15 * time.Second)
	}
}

func (s *Scenario) check(k *stricttoml.Validation) {
	k.Require(s.Name != "", "name", "is missing")
	k.Require(s.Length.Duration >= time.Second, "length", "%v is under a second", s.Length)
	f := &s.Fleet
	k.Require(len(f.Zones) > 0 && len(f.Zones) < 255, "fleet.zones", "there must be 1 to 254")
	for i, z := range f.Zones {
		k.Require(z != "" && !slices.Contains(f.Zones[:i], z), "fleet.zones", "%q is empty or named twice", z)
	}
	k.Require(f.Instances >= 1 && f.Instances <= 100_000, "fleet.instances", "%d: must be in 1..100000", f.Instances)
	k.Require(f.Uneven >= 0 && f.Uneven <= 3, "fleet.uneven", "%v: must be in 0..3", f.Uneven)
	k.Require(f.ZoneSkew >= 0 && f.ZoneSkew <= 1, "fleet.zone_skew", "%v: must be in 0..1", f.ZoneSkew)
	k.Require(f.Subset >= 0, "fleet.subset", "%d is negative", f.Subset)
	n := &s.Network
	k.Require(n.Jitter >= 0 && n.Jitter <= 10, "network.jitter", "%v: must be in 0..10", n.Jitter)
	k.Require(n.Loss >= 0 && n.Loss < 0.5, "network.loss", "%v: must be in 0..0.5", n.Loss)
	k.Require(s.Clocks.Drift >= 0 && s.Clocks.Drift < 0.01, "clocks.drift", "%v: must be in 0..0.01", s.Clocks.Drift)
	s.checkEndpointKinds(k)
	s.checkTraffic(k)
	last := stricttoml.Duration{Duration: -1}
	for i, p := range s.Shape {
		at := fmt.Sprintf("shape.%d.", i)
		k.Require(p.At.Duration > last.Duration, at+"at", "%v does not come after the one before", p.At)
		k.Require(p.Factor >= 0 && p.Factor <= 1000, at+"times", "%v: must be in 0..1000", p.Factor)
		last = p.At
	}
	for i := range s.Events {
		s.checkEvent(k, i)
	}
	k.Require(s.Replay == nil || len(s.Replay.From) > 0, "replay.from", "is missing: the folders of an access record")
}

func checkRange(k *stricttoml.Validation, key string, r Range, minimum, maximum float64) {
	k.Require(len(r) <= 2, key, "must be a list of one number or of two")
	k.Require(len(r) < 2 || r[0] <= r[1], key, "its second number is under its first")
	for _, v := range r {
		k.Require(v >= minimum && v <= maximum, key, "%v: must be in %v..%v", v, minimum, maximum)
	}
}

func (s *Scenario) checkEndpointKinds(k *stricttoml.Validation) {
	k.Require(len(s.EndpointKinds) > 0, "nodes", "at least one kind is needed")
	kinds := map[string]bool{}
	for i := range s.EndpointKinds {
		n := &s.EndpointKinds[i]
		at := func(key string) string { return fmt.Sprintf("nodes.%d.%s", i, key) }
		k.Require(n.Kind != "" && !kinds[n.Kind], at("kind"), "%q is empty or named twice", n.Kind)
		kinds[n.Kind] = true
		k.Require(n.Count >= 1 && n.Count <= 1_000_000, at("count"), "%d: must be in 1..1000000", n.Count)
		for _, z := range n.Zones {
			k.Require(slices.Contains(s.Fleet.Zones, z), at("zones"), "%q is none of fleet.zones", z)
		}
		k.Require(n.Cores >= 1 && n.Cores <= 1024, at("cores"), "%d: must be in 1..1024", n.Cores)
		checkRange(k, at("speed"), n.Speed, 0.001, 1000)
		k.Require(n.Queue >= 0, at("queue"), "%d is negative", n.Queue)
		k.Require(n.WarmupFrom > 0 && n.WarmupFrom <= 1, at("cold_from"), "%v: must be in 0..1, not 0", n.WarmupFrom)
		k.Require(n.CollapseLoad == 0 || n.CollapseLoad >= 1, at("fall"), "%v: must be at least 1, or 0 for never", n.CollapseLoad)
		k.Require(n.CollapseLoad == 0 || n.CollapseWindow.Duration > 0, at("fall_after"), "is missing")
		stricttoml.Enum(k, at("cancel"), n.Cancel, map[string]bool{"none": true, "queued": true, "all": true})
		k.Require(n.Errors >= 0 && n.Errors < 1, at("errors"), "%v: must be in 0..1, not 1", n.Errors)
		k.Require(n.ContentionLoss >= 0 && n.ContentionLoss < 1, at("crowd"), "%v: must be in 0..1, not 1", n.ContentionLoss)
		k.Require(n.ContentionLoss == 0 || n.ContentionThreshold > 0, at("crowd_at"), "is missing")
		k.Require(n.PauseFor.Duration == 0 || n.PauseEvery.Duration > n.PauseFor.Duration, at("pause_every"), "%v is not over pause_for, %v", n.PauseEvery, n.PauseFor)
		k.Require(n.Conns >= 0, at("connections"), "%d is negative", n.Conns)
		k.Require(n.Cell >= 1, at("cell"), "%d: must be at least 1", n.Cell)
		k.Require(n.Noise >= 0 && n.Noise <= 1, at("report_noise"), "%v: must be in 0..1", n.Noise)
	}
}

func (s *Scenario) checkTraffic(k *stricttoml.Validation) {
	k.Require(len(s.Classes) > 0, "class", "at least one is needed")
	var sum float64
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		k.Require(c.Name != "" && !names[c.Name], at("name"), "%q is empty or named twice", c.Name)
		names[c.Name] = true
		k.Require(c.Share >= 0 && !math.IsInf(c.Share, 0), at("share"), "%v: must not be negative", c.Share)
		sum += c.Share
		k.Require(c.Work.Duration > 0, at("work"), "is missing")
		stricttoml.Enum(k, at("dist"), c.Dist, map[string]bool{"lognormal": true, "exponential": true, "fixed": true})
		k.Require(c.CV >= 0 && c.CV <= 10, at("cv"), "%v: must be in 0..10", c.CV)
		k.Require(c.CV == 0 || c.Dist == "lognormal", at("cv"), "is for \"lognormal\" only")
		k.Require(c.Noise >= 0 && c.Noise <= 10, at("noise"), "%v: must be in 0..10", c.Noise)
	}
	k.Require(sum > 0, "class", "the shares add up to nothing")
	tenants := map[string]bool{}
	for i, t := range s.Tenants {
		at := func(key string) string { return fmt.Sprintf("tenant.%d.%s", i, key) }
		k.Require(t.Name != "" && !tenants[t.Name], at("name"), "%q is empty or named twice", t.Name)
		tenants[t.Name] = true
		k.Require(t.Share >= 0 && !math.IsInf(t.Share, 0), at("share"), "%v: must not be negative", t.Share)
	}
	c := &s.Clients
	k.Require((c.Load > 0) != (c.Rate > 0) || s.Replay != nil, "clients.load", "one of load and rate must be given, and positive")
	k.Require(c.Load >= 0 && c.Load <= 100, "clients.load", "%v: must be in 0..100", c.Load)
	k.Require(c.Rate >= 0 && c.Rate <= 1e7, "clients.rate", "%v: must be in 0..10000000", c.Rate)
	k.Require(c.Processes >= 1, "clients.processes", "%d: must be at least 1", c.Processes)
	k.Require(c.Retries[0] >= 0 && c.Retries[1] >= c.Retries[0] && c.Retries[1] <= 20, "clients.retries", "%v: must be two numbers in order, 0..20", c.Retries)
	checkRange(k, "clients.try_share", c.TimeoutShare, 0.01, 1)
	k.Require(len(c.TimeoutShare) > 0, "clients.try_share", "is missing")
	for key, v := range map[string]float64{"honour_retry_after": c.HonorRetryAfter, "impatient": c.EarlyAbort, "fresh_keys": c.FreshKeys} {
		k.Require(v >= 0 && v <= 1, "clients."+key, "%v: must be in 0..1", v)
	}
	k.Require(c.Objects >= 1, "clients.objects", "%d: must be at least 1", c.Objects)
}

func (s *Scenario) checkEvent(k *stricttoml.Validation, i int) {
	e := &s.Events[i]
	at := func(key string) string { return fmt.Sprintf("event.%d.%s", i, key) }
	kind, known := eventKinds[e.What]
	if !known {
		words := map[string]bool{}
		for w := range eventKinds {
			words[w] = true
		}
		stricttoml.Enum(k, at("what"), e.What, words)
		return
	}
	k.Require(e.At != nil, at("at"), "is missing")
	k.Require((e.Delay != nil) == (e.What == "late-reports" || e.What == "late-words" || e.What == "stale" || e.What == "lag" || e.What == "work"), at("delay"), "is for late-reports, late-words, stale, lag and work, and needed there")
	k.Require(e.At == nil || e.At.From < s.Length.Duration, at("at"), "it is after the end, %v", s.Length)
	k.Require(e.Zone == "" || slices.Contains(s.Fleet.Zones, e.Zone), at("zone"), "%q is none of fleet.zones", e.Zone)
	k.Require(e.To == "" || slices.Contains(s.Fleet.Zones, e.To), at("to"), "%q is none of fleet.zones", e.To)
	k.Require(e.Kind == "" || slices.ContainsFunc(s.EndpointKinds, func(n EndpointKind) bool { return n.Kind == e.Kind }), at("kind"), "%q is none of the kinds of nodes", e.Kind)
	k.Require(e.Class == "" || slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == e.Class }), at("class"), "%q is none of the classes", e.Class)
	k.Require(e.Tenant == "" || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == e.Tenant }), at("tenant"), "%q is none of the tenants", e.Tenant)
	ofInstances := e.What == "restart" || e.What == "freeze" || e.What == "deaf" || e.What == "sever" || e.What == "lag" || e.What == "surge" || e.What == "part" || e.What == "late-words" || e.What == "upgrade" || e.What == "limits"
	k.Require(ofInstances || len(e.Instances) == 0, at("instances"), "%q does not happen to instances", e.What)
	checkRange(k, at("instances"), e.Instances, 0, 1)
	k.Require(ofInstances || len(e.Named) == 0, at("named"), "%q does not happen to instances", e.What)
	k.Require(len(e.Named) == 0 || len(e.Instances) == 0, at("named"), "either named or instances")
	k.Require(len(e.Others) == 0 || e.What == "part", at("others"), "is for part only")
	for _, n := range append(slices.Clone(e.Named), e.Others...) {
		k.Require(n >= 0, at("named"), "%d is negative", n)
	}
	stricttoml.Enum(k, at("way"), e.Way, map[string]bool{"": true, "to": true, "from": true})
	k.Require(e.Way == "" || e.What == "sever" || e.What == "part", at("way"), "is for sever and part only")
	k.Require(kind.nodes || e.Kind == "", at("kind"), "%q does not happen to endpoints", e.What)
	checkRange(k, at("part"), e.Part, 0, 1)
	k.Require(len(e.Part) == 0 || e.Count == 0, at("count"), "either a part or a count")
	k.Require(e.Count >= 0, at("count"), "%d is negative", e.Count)
	k.Require((len(e.Size) > 0) == (kind.size != ""), at("size"), "%q takes %s", e.What, sizeText(kind.size))
	switch e.What {
	case "slow", "lies":
		checkRange(k, at("size"), e.Size, 1, 1000)
	case "errors", "mute", "full":
		checkRange(k, at("size"), e.Size, 0, 1)
	case "neighbour":
		checkRange(k, at("size"), e.Size, 0, 0.99)
	case "surge", "limits":
		checkRange(k, at("size"), e.Size, 0, 1000)
	case "liar":
		checkRange(k, at("size"), e.Size, 1, 1e9)
	case "cut":
		k.Require(e.Zone != "", at("zone"), "is missing: which zone is cut off")
		k.Require(e.To != e.Zone, at("to"), "a zone cannot be cut off from itself")
	}
	k.Require(e.Class == "" || e.What == "errors" || e.What == "surge", at("class"), "is for errors and surge only")
	k.Require(e.Tenant == "" || e.What == "surge", at("tenant"), "is for surge only")
	k.Require(!e.One || e.What == "surge", at("one"), "is for surge only")
	k.Require(e.Every.Duration == 0 || e.What == "neighbour" || e.What == "rolling" || e.What == "pause" || e.What == "freeze" || e.What == "part", at("every"), "is for neighbour, pause, rolling, freeze and part only")
	k.Require(e.What != "rolling" || e.Every.Duration > 0, at("every"), "is missing: the time from one to the next")
	k.Require(e.What != "pause" || e.For != nil, at("for"), "is missing: how long it stops")
	k.Require(e.What != "stale" && e.What != "silent" && e.What != "freeze" && e.What != "deaf" || e.For != nil, at("for"), "is missing")
}

func sizeText(size string) string {
	if size == "" {
		return "no size"
	}
	return "a size: " + size
}
