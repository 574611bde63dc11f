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
func (t *canaryTally) setObjectives(ownClasses, referenceClasses []balancer.Class) {
	objectives := append([]balancer.Class(nil), ownClasses...)
	for i := range objectives {
		for j := range referenceClasses {
			if referenceClasses[j].Name == objectives[i].Name {
				objectives[i] = referenceClasses[j]
			}
		}
	}
	t.mu.Lock()
	t.objectives = objectives
	t.mu.Unlock()
}

// add counts a finished request. A request whose client left before its deadline is not counted.
func (t *canaryTally) addExchange(exchange *http1.ExchangeRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if int(exchange.Class) >= len(t.objectives) {
		return
	}
	class := &t.objectives[exchange.Class]
	responseTime := exchange.EndedAt - exchange.ArrivedAt
	if exchange.ClientGone && responseTime < exchange.ClientTimeout {
		return
	}
	t.sample.Requests++
	t.sample.OfferedWeight += class.PriorityWeight
	switch {
	case exchange.ClientGone:
		t.sample.Failed++
	case exchange.Response.Verdict == engine.Served && responseTime <= class.LatencyObjective:
		t.sample.ServedWeight += class.PriorityWeight
	case exchange.Response.Verdict == engine.Served:
		t.sample.ServedWeight += class.PriorityWeight * class.LateWeight
	case exchange.Response.Verdict == engine.Failed || exchange.Response.Verdict == engine.TimedOut:
		t.sample.Failed++
	}
}

// take returns the outcomes since the last call, without a duration.
func (t *canaryTally) takeAndReset() canary.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := t.sample
	t.sample = canary.Sample{}
	return sample
}
