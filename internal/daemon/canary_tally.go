package daemon

import (
	"sync"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/canary"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
)

// canaryTally sums the outcomes of a generation's requests, so that two configurations can be compared. Both
// are measured with the same objectives and weights; otherwise a configuration with less strict objectives
// would look better. The methods may be called from any goroutine.
type canaryTally struct {
	mu         sync.Mutex
	objectives []balancer.Class // by the generation's class index
	sample     canary.Sample    // the outcomes since the last call of takeAndReset
}

// setObjectives sets the objectives and weights that measure outcomes from now on. They are taken from the
// class of the same name in referenceClasses, and from ownClasses, the classes of the generation, if there is
// no such class.
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

// addExchange counts a finished request. It ignores a request that the client abandoned before the client's
// timeout.
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

// takeAndReset returns the outcomes since the last call. The duration of the returned sample is not set.
func (t *canaryTally) takeAndReset() canary.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := t.sample
	t.sample = canary.Sample{}
	return sample
}
