package experiment

import (
	"fmt"

	"dunlinsail/internal/simulation/scenario"
)

// Resize returns a scenario with edits (KEY=VALUE), and with so many instances and endpoints; 0 leaves them.
func Resize(s *scenario.Scenario, edits []string, instances, nodes int) (*scenario.Scenario, error) {
	if nodes > 0 {
		all := 0
		left := nodes
		for _, n := range s.EndpointKinds {
			all += n.Count
		}
		for i, n := range s.EndpointKinds {
			count := max(1, n.Count*nodes/all)
			if i == len(s.EndpointKinds)-1 {
				count = max(1, left)
			}
			left -= count
			edits = append(edits, fmt.Sprintf("nodes.%s.count=%d", n.Kind, count))
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
