package quietfleet

import (
	"context"
	"testing"
	"time"

	"dunlinsail/internal/fake/endpoint"
)

// A short form of the measurement: with budgets, ten times the instances probe the endpoints no more and are served as
// well; without, they probe far more.
func TestProbesStayFlat(t *testing.T) {
	const rate, span, budget, nodes = 60, 2 * time.Second, 3.0, 4
	probes := func(instances, subset int) float64 {
		o := Options{Instances: instances, Rate: rate, Duration: span, Subset: subset}
		if subset > 0 {
			o.EndpointProbes = budget
			o.EndpointIdleConnections = 20
		}
		var servers []*endpoint.Server
		for range nodes {
			s, err := endpoint.Start(endpoint.Options{
				ServiceTime: map[string]time.Duration{"": time.Millisecond},
				Cores:       4,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			servers = append(servers, s)
			o.Endpoints = append(o.Endpoints, s.Addr)
		}
		r, err := Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		if r.Served+r.Rejected+r.Failed != r.Requested || r.Served < r.Requested*98/100 || r.OutOfDescriptors > 0 {
			t.Errorf("%d instances, subsets of %d: %+v", instances, subset, r)
		}
		n := 0
		for _, s := range servers {
			n += s.ProbeCount()
		}
		return float64(n) / nodes / span.Seconds()
	}
	few := probes(8, 2)
	many := probes(80, 2)
	off := probes(80, 0)
	if few > 1.4*budget || many > 1.4*budget { // a part of what a bucket holds comes first
		t.Errorf("%.2f and %.2f probes a second at an endpoint with 8 and 80 instances, the budget is %v",
			few, many, budget)
	}
	if off < 4*many {
		t.Errorf("%.2f probes a second without a budget, %.2f with one", off, many)
	}
}
