package daemon

import (
	"sync"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/canary"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
)

// canaryTally sums up the outcomes of a generation's requests, so that one configuration can be compared with
// another. Both must be measured by the same objectives and weights, or one that only demands less would look
// better.
type canaryTally struct {
	mu         sync.Mutex
	objectives []balancer.Class // by the places of the generation's classes
	sample     canary.Sample
}

// setObjectives sets the classes by which outcomes are measured from now on: those of the same name, else the
// generation's own.
func (t *canaryTally) setObjectives(own, judges []balancer.Class) {
	all := append([]balancer.Class(nil), own...)
	for i := range all {
		for j := range judges {
			if judges[j].Name == all[i].Name {
				all[i] = judges[j]
			}
		}
	}
	t.mu.Lock()
	t.objectives = all
	t.mu.Unlock()
}

// add takes in a finished request. One whose client left before its deadline is not counted.
func (t *canaryTally) add(x *http1.ExchangeRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if int(x.Class) >= len(t.objectives) {
		return
	}
	c := &t.objectives[x.Class]
	took := x.EndedAt - x.ArrivedAt
	if x.ClientGone && took < x.ClientTimeout {
		return
	}
	t.sample.Requests++
	t.sample.OfferedWeight += c.PriorityWeight
	switch {
	case x.ClientGone:
		t.sample.Failed++
	case x.Response.Verdict == engine.Served && took <= c.LatencyObjective:
		t.sample.ServedWeight += c.PriorityWeight
	case x.Response.Verdict == engine.Served:
		t.sample.ServedWeight += c.PriorityWeight * c.LateWeight
	case x.Response.Verdict == engine.Failed || x.Response.Verdict == engine.TimedOut:
		t.sample.Failed++
	}
}

// take returns what came since the last time.
func (t *canaryTally) take() canary.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sample
	t.sample = canary.Sample{}
	return s
}
