package experiment

import (
	"fmt"

	"dunlinsail/internal/simulation/scenario"
)

// Resize returns the scenario with edits (KEY=VALUE) applied, and with the given numbers of instances and
// endpoints; 0 keeps a number. Endpoints are distributed over the endpoint kinds in the same proportions as before,
// at least one each.
func Resize(s *scenario.Scenario, edits []string, instances, endpoints int) (*scenario.Scenario, error) {
	if endpoints > 0 {
		total := 0
		remaining := endpoints
		for _, kind := range s.EndpointKinds {
			total += kind.Count
		}
		for i, kind := range s.EndpointKinds {
			count := max(1, kind.Count*endpoints/total)
			if i == len(s.EndpointKinds)-1 {
				count = max(1, remaining)
			}
			remaining -= count
			edits = append(edits, fmt.Sprintf("nodes.%s.count=%d", kind.Kind, count))
		}
	}
	if instances > 0 {
		edits = append(edits, fmt.Sprintf("fleet.instances=%d", instances))
	}
	if len(edits) == 0 {
		return s, nil
	}
	text, err := s.Text()
	if err != nil {
		return nil, err
	}
	if text, err = applyEdits(text, edits); err != nil {
		return nil, err
	}
	return scenario.Parse(text, nil)
}
