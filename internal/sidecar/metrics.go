package sidecar

import (
	"context"
	"fmt"
	"strconv"

	"dunlinsail/internal/frontend/http1"
)

// metrics returns the metrics, all read at one moment, as one line "name=value" each.
func (s *sidecar) metrics(ctx context.Context) ([]byte, error) {
	var classes []http1.OutcomeCounts
	var open int
	var relayed, surplus, suspect uint64
	list, err := s.core.Statistics(ctx, func() {
		classes, open = s.front.RequestStats()
		relayed = s.pool.Forwarded()
		surplus = s.pool.SurplusResponses()
		suspect = s.pool.SuspectResponses()
	})
	if err != nil {
		return nil, fmt.Errorf("the figures are not to be had in time: %w", err)
	}
	b := make([]byte, 0, 1<<10)
	line := func(name string, v uint64) {
		b = append(append(b, name...), '=')
		b = append(strconv.AppendUint(b, v, 10), '\n')
	}
	for i, n := range classes {
		class := "operations." + s.config.Site.Classes[i]
		line(class+".fulfilled", n.Fulfilled)
		line(class+".throttled", n.Throttled)
		line(class+".faulted", n.Faulted)
	}
	line("relayed", relayed)
	line("open_requests", uint64(open))
	line("registry_entries", uint64(list.ListedEndpoints))
	line("out_of_rotation", uint64(list.AvoidedEndpoints))
	line("surplus_responses", surplus)
	line("suspect_responses", suspect)
	if list.OverloadControlled {
		line("overload_level_percent", uint64(100*list.OverloadLevel+0.5))
		line("overload_shed", list.ShedRequests)
		line("overload_probes_kept_in", list.SuppressedProbes)
	}
	return b, nil
}
