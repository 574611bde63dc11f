package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/internal/stricttoml"
)

// span returns a pointer to a span: a file need not give one.
func span(from, to time.Duration) *stricttoml.Span { return &stricttoml.Span{From: from, To: to} }

func length(d time.Duration) stricttoml.Duration { return stricttoml.Duration{Duration: d} }

// defaults are the values of keys that a file leaves out: a small site without faults.
func defaults() Scenario {
	return Scenario{
		Length: length(30 * time.Second),
		Fleet:  Fleet{Instances: 3},
		Network: Network{
			Client:     length(70 * time.Microsecond),
			Within:     length(250 * time.Microsecond),
			Between:    length(time.Millisecond),
			Jitter:     0.2,
			Retransmit: length(200 * time.Millisecond),
		},
		Host: Host{Overhead: length(100 * time.Microsecond), Slack: length(50 * time.Microsecond)},
		Discovery: Discovery{
			Add:    span(500*time.Millisecond, 2*time.Second),
			Drain:  span(100*time.Millisecond, 500*time.Millisecond),
			Gone:   span(2*time.Second, 5*time.Second),
			Silent: span(5*time.Second, 10*time.Second),
			Spread: length(100 * time.Millisecond),
		},
		Clients: Clients{
			Processes:       4,
			Retries:         [2]int{1, 2},
			TimeoutShare:    Range{0.5, 0.8},
			Backoff:         span(10*time.Millisecond, 80*time.Millisecond),
			HonorRetryAfter: 0.9,
			Objects:         10_000,
		},
	}
}

// NeedsProcesses reports whether the scenario has events that only runs by processes play.
func (s *Scenario) NeedsProcesses() bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.What == EventMaintenance })
}

// Finder returns the text of a scenario that another is based on, by its name.
type Finder func(name string) ([]byte, error)

// Parse reads and checks a file's text. Its error is stricttoml.Errors, or that of find for a base scenario.
func Parse(text []byte, find Finder) (*Scenario, error) {
	s := defaults()
	if err := s.overlay(text, find, 0); err != nil {
		return nil, err
	}
	return &s, nil
}

// maxBases bounds how many scenarios may be based on one another.
const maxBases = 4

// overlay reads a text over the present values, and checks the result. depth is how many scenarios are based on it.
func (s *Scenario) overlay(text []byte, find Finder, depth int) error {
	var own Scenario
	lines, err := stricttoml.Decode(text, &own)
	if err != nil {
		return err
	}
	k := &stricttoml.Validation{Lines: lines}
	if own.Base != "" {
		if err := s.overlayBase(own.Base, find, depth, k); err != nil {
			return err
		}
	}
	s.clearLists(lines)
	// Load or rate in this text replaces the base's other one.
	if own.Clients.Load > 0 {
		s.Clients.Rate = 0
	} else if own.Clients.Rate > 0 {
		s.Clients.Load = 0
	}
	if _, err := stricttoml.Decode(text, s); err != nil {
		return err
	}
	s.setDefaults()
	s.check(k)
	s.Base = ""
	return k.Err()
}

// overlayBase reads the scenario on which this one is based.
func (s *Scenario) overlayBase(name string, find Finder, depth int, k *stricttoml.Validation) error {
	k.Require(depth < maxBases, "base", "more than %d scenarios are based on one another", maxBases)
	if err := k.Err(); err != nil {
		return err
	}
	base, err := find(name)
	if err != nil {
		k.Require(false, "base", "%v", err)
		return k.Err()
	}
	if err := s.overlay(base, find, depth+1); err != nil {
		return fmt.Errorf("scenario %q: %w", name, err)
	}
	// A base's description and claims are its own.
	s.About = ""
	s.Expect = nil
	return nil
}

// clearLists empties the lists that a text has, by the lines of its keys: they replace the base's.
func (s *Scenario) clearLists(lines map[string]int) {
	for _, list := range []struct {
		key   string
		clear func()
	}{
		{"nodes", func() { s.EndpointKinds = nil }},
		{"class", func() { s.Classes = nil }},
		{"tenant", func() { s.Tenants = nil }},
		{"shape", func() { s.Shape = nil }},
		{"event", func() { s.Events = nil }},
		{"fleet.zones", func() { s.Fleet.Zones = nil }},
	} {
		if lines[list.key] > 0 || lines[list.key+".0"] > 0 {
			list.clear()
		}
	}
}

// setDefaults sets the values that the tables of kinds and classes leave out.
func (s *Scenario) setDefaults() {
	for i := range s.EndpointKinds {
		s.EndpointKinds[i].setDefaults()
	}
	for i := range s.Classes {
		if c := &s.Classes[i]; c.Dist == "" {
			c.Dist = "lognormal"
		}
	}
}

// Text returns the scenario as a file with all values.
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
	c.EndpointKinds = slices.Clone(s.EndpointKinds)
	c.Classes = slices.Clone(s.Classes)
	c.Tenants = slices.Clone(s.Tenants)
	for _, at := range []**stricttoml.Span{&c.Clients.Backoff, &c.Discovery.Add, &c.Discovery.Drain,
		&c.Discovery.Gone, &c.Discovery.Silent} {
		own := **at
		*at = &own
	}
	c.Shape = slices.Clone(s.Shape)
	c.Events = slices.Clone(s.Events)
	c.Expect = slices.Clone(s.Expect)
	c.Settings = slices.Clone(s.Settings)
	for i := range c.Events {
		e := &c.Events[i]
		e.Part = slices.Clone(e.Part)
		e.Size = slices.Clone(e.Size)
		e.Instances = slices.Clone(e.Instances)
		for _, at := range []**stricttoml.Span{&e.At, &e.For, &e.Delay} {
			if *at != nil {
				own := **at
				*at = &own
			}
		}
	}
	return &c
}

// setDefaults sets the values of keys that the table of a kind leaves out.
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
