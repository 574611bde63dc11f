package daemon

import (
	"sync"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/canary"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
)

// canaryTally sums up the outcomes of a generation's requests, so that one configuration can be compared with another.
// Both are measured by the same objectives and weights; otherwise a configuration with lower objectives would look
// better. Its methods may be called from any goroutine.
type canaryTally struct {
	mu         sync.Mutex
	objectives []balancer.Class // by class index of the generation
	sample     canary.Sample
}

// setObjectives sets the objectives and weights by which outcomes are measured from now on. A class of the generation
// (own) is measured by the class of the same name in reference, or by its own values if there is none.
func (t *canaryTally) setObjectives(own, reference []balancer.Class) {
	objectives := append([]balancer.Class(nil), own...)
	for i := range objectives {
		for j := range reference {
			if reference[j].Name == objectives[i].Name {
				objectives[i] = reference[j]
			}
		}
	}
	t.mu.Lock()
	t.objectives = objectives
	t.mu.Unlock()
}

// add counts a finished request. A request whose client left before its deadline is not counted.
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

// take returns the outcomes since the last call, without a duration.
func (t *canaryTally) take() canary.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sample
	t.sample = canary.Sample{}
	return s
}
