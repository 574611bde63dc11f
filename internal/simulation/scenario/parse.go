package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/internal/stricttoml"
)

// newSpan returns a pointer to a new span. Spans are pointers since they are optional in a file.
func newSpan(from, to time.Duration) *stricttoml.Span { return &stricttoml.Span{From: from, To: to} }

// duration converts a duration to the type of durations in a file.
func duration(length time.Duration) stricttoml.Duration { return stricttoml.Duration{Duration: length} }

// defaults returns the values of keys that a file does not set: a small site without faults.
func defaults() Scenario {
	return Scenario{
		Length: duration(30 * time.Second),
		Fleet:  Fleet{Instances: 3},
		Network: Network{
			ClientDelay:    duration(70 * time.Microsecond),
			SameZoneDelay:  duration(250 * time.Microsecond),
			CrossZoneDelay: duration(time.Millisecond),
			Jitter:         0.2,
			Retransmit:     duration(200 * time.Millisecond),
		},
		Host: Host{Overhead: duration(100 * time.Microsecond), SchedulingDelay: duration(50 * time.Microsecond)},
		Discovery: Discovery{
			ReadyDelay:       newSpan(500*time.Millisecond, 2*time.Second),
			DrainDelay:       newSpan(100*time.Millisecond, 500*time.Millisecond),
			ProcessEndDelay:  newSpan(2*time.Second, 5*time.Second),
			MachineLostDelay: newSpan(5*time.Second, 10*time.Second),
			UpdateSpread:     duration(100 * time.Millisecond),
		},
		Clients: Clients{
			Processes:       4,
			Retries:         [2]int{1, 2},
			TimeoutShare:    Range{0.5, 0.8},
			Backoff:         newSpan(10*time.Millisecond, 80*time.Millisecond),
			HonorRetryAfter: 0.9,
			Objects:         10_000,
		},
	}
}

// NeedsProcesses reports whether the scenario has events that only runs with real processes support, not the
// simulation.
func (s *Scenario) NeedsProcesses() bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.What == EventMaintenance })
}

// Finder returns the text of the base scenario with the given name.
type Finder func(name string) ([]byte, error)

// Parse reads and checks the text of a scenario file. Its error is stricttoml.Errors for an invalid file, or an
// error about the base scenario.
func Parse(text []byte, find Finder) (*Scenario, error) {
	s := defaults()
	if err := s.applyText(text, find, 0); err != nil {
		return nil, err
	}
	return &s, nil
}

// maxBases is the largest number of scenarios in a chain of base scenarios.
const maxBases = 4

// applyText sets the values that a text contains, after those of its base scenario, and checks the result.
// depth is the number of scenarios that are based on this text, directly or through other scenarios.
func (s *Scenario) applyText(text []byte, find Finder, depth int) error {
	var fileValues Scenario
	lines, err := stricttoml.Decode(text, &fileValues)
	if err != nil {
		return err
	}
	validation := &stricttoml.Validation{Lines: lines}
	if fileValues.Base != "" {
		if err := s.applyBase(fileValues.Base, find, depth, validation); err != nil {
			return err
		}
	}
	s.clearLists(lines)
	// Either load or rate in this text replaces both in the base scenario.
	if fileValues.Clients.Load > 0 {
		s.Clients.Rate = 0
	} else if fileValues.Clients.Rate > 0 {
		s.Clients.Load = 0
	}
	if _, err := stricttoml.Decode(text, s); err != nil {
		return err
	}
	s.setDefaults()
	s.check(validation)
	s.Base = ""
	return validation.Err()
}

// applyBase sets the values of the base scenario with the given name.
func (s *Scenario) applyBase(name string, find Finder, depth int, validation *stricttoml.Validation) error {
	validation.Require(depth < maxBases, "base", "more than %d scenarios are based on one another", maxBases)
	if err := validation.Err(); err != nil {
		return err
	}
	baseText, err := find(name)
	if err != nil {
		validation.Require(false, "base", "%v", err)
		return validation.Err()
	}
	if err := s.applyText(baseText, find, depth+1); err != nil {
		return fmt.Errorf("scenario %q: %w", name, err)
	}
	// The description and the claims of a base scenario do not apply to the scenarios based on it.
	s.About = ""
	s.Expect = nil
	return nil
}

// clearLists empties the lists that a text contains, so that they replace the lists of the base scenario. lines
// has the line number of each key in the text.
func (s *Scenario) clearLists(lines map[string]int) {
	for _, clearable := range []struct {
		key   string
		empty func()
	}{
		{"nodes", func() { s.EndpointKinds = nil }},
		{"class", func() { s.Classes = nil }},
		{"tenant", func() { s.Tenants = nil }},
		{"shape", func() { s.Shape = nil }},
		{"event", func() { s.Events = nil }},
		{"fleet.zones", func() { s.Fleet.Zones = nil }},
	} {
		if lines[clearable.key] > 0 || lines[clearable.key+".0"] > 0 {
			clearable.empty()
		}
	}
}

// setDefaults sets the default values of keys that the tables of endpoint kinds and classes do not set.
func (s *Scenario) setDefaults() {
	for i := range s.EndpointKinds {
		s.EndpointKinds[i].setDefaults()
	}
	for i := range s.Classes {
		if class := &s.Classes[i]; class.WorkDistribution == "" {
			class.WorkDistribution = "lognormal"
		}
	}
}

// Text returns the scenario as a TOML file with all values.
func (s *Scenario) Text() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	if err := encoder.Encode(s); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	return buffer.Bytes(), nil
}

// Clone returns a copy of the scenario. The copy has its own lists of zones, endpoint kinds, classes, tenants,
// shape points, events, claims and settings, and its own spans.
func (s *Scenario) Clone() *Scenario {
	clone := *s
	clone.Fleet.Zones = slices.Clone(s.Fleet.Zones)
	clone.EndpointKinds = slices.Clone(s.EndpointKinds)
	clone.Classes = slices.Clone(s.Classes)
	clone.Tenants = slices.Clone(s.Tenants)
	for _, span := range []**stricttoml.Span{
		&clone.Clients.Backoff, &clone.Discovery.ReadyDelay, &clone.Discovery.DrainDelay,
		&clone.Discovery.ProcessEndDelay, &clone.Discovery.MachineLostDelay} {
		spanCopy := **span
		*span = &spanCopy
	}
	clone.Shape = slices.Clone(s.Shape)
	clone.Events = slices.Clone(s.Events)
	clone.Expect = slices.Clone(s.Expect)
	clone.Settings = slices.Clone(s.Settings)
	for i := range clone.Events {
		event := &clone.Events[i]
		event.Part = slices.Clone(event.Part)
		event.Size = slices.Clone(event.Size)
		event.Instances = slices.Clone(event.Instances)
		for _, span := range []**stricttoml.Span{&event.At, &event.For, &event.Delay} {
			if *span != nil {
				spanCopy := **span
				*span = &spanCopy
			}
		}
	}
	return &clone
}

// setDefaults sets the default values of keys that the table of an endpoint kind does not set.
func (kind *EndpointKind) setDefaults() {
	if kind.Cores == 0 {
		kind.Cores = 2
	}
	if len(kind.Speed) == 0 {
		kind.Speed = Range{1}
	}
	if kind.WarmupFrom == 0 {
		kind.WarmupFrom = 0.2
	}
	if kind.Cancel == "" {
		kind.Cancel = "queued"
	}
	if kind.CellSize == 0 {
		kind.CellSize = 4
	}
	if kind.Idle.Duration == 0 {
		kind.Idle = duration(15 * time.Second)
	}
}
