package sidecar

import (
	"context"
	"fmt"
	"strconv"

	"dunlinsail/internal/frontend/http1"
)

// metrics returns the metrics as text, one line "name=value" per metric. All values are read at the same moment.
func (s *sidecar) metrics(ctx context.Context) ([]byte, error) {
	var outcomesByClass []http1.OutcomeCounts
	var openRequests int
	var forwarded, surplusResponses, suspectResponses uint64
	statistics, err := s.core.Statistics(ctx, func() {
		outcomesByClass, openRequests = s.frontend.RequestStats()
		forwarded = s.connPool.Forwarded()
		surplusResponses = s.connPool.SurplusResponses()
		suspectResponses = s.connPool.SuspectResponses()
	})
	if err != nil {
		return nil, fmt.Errorf("the figures are not to be had in time: %w", err)
	}
	text := make([]byte, 0, 1<<10)
	appendMetric := func(name string, value uint64) {
		text = append(append(text, name...), '=')
		text = append(strconv.AppendUint(text, value, 10), '\n')
	}
	for i, outcomes := range outcomesByClass {
		class := "operations." + s.config.Site.Classes[i]
		appendMetric(class+".fulfilled", outcomes.Fulfilled)
		appendMetric(class+".throttled", outcomes.Throttled)
		appendMetric(class+".faulted", outcomes.Faulted)
	}
	pauses, pausedTime := s.processors.Pauses()
	appendMetric("client_pauses", pauses)
	appendMetric("client_paused_ms", uint64(pausedTime.Milliseconds()))
	appendMetric("late_responses", s.frontend.LateResponses())
	appendMetric("relayed", forwarded)
	appendMetric("open_requests", uint64(openRequests))
	appendMetric("registry_entries", uint64(statistics.ListedEndpoints))
	appendMetric("out_of_rotation", uint64(statistics.AvoidedEndpoints))
	appendMetric("surplus_responses", surplusResponses)
	appendMetric("suspect_responses", suspectResponses)
	if statistics.OverloadControlled {
		appendMetric("overload_level_percent", uint64(100*statistics.OverloadLevel+0.5))
		appendMetric("overload_shed", statistics.ShedRequests)
		appendMetric("overload_probes_kept_in", statistics.SuppressedProbes)
	}
	return text, nil
}
