package discovery

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
)

// List is discovery's form of the endpoint list, or of a change to it.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete: an endpoint that it does not name is gone
	Instances  []Instance `json:"instances"`
}

// Instance is an entry of a List.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      uint16  `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float32 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // Unix milliseconds
}

const microsInMillisecond = 1000

// lifecycleStates maps discovery's lifecycles to states. One that is not known counts as draining, so that nothing new
// is sent there.
var lifecycleStates = map[string]balancer.EndpointState{
	"up":       balancer.Ready,
	"draining": balancer.Draining,
	"removed":  balancer.Gone,
}

// EndpointUpdate returns the list in the engine's form.
func (l *List) EndpointUpdate() engine.EndpointUpdate {
	kind := balancer.ListDelta
	if l.Reset {
		kind = balancer.ListFull
	}
	return engine.EndpointUpdate{Kind: kind, Generation: l.Generation, Endpoints: l.endpoints()}
}

func (l *List) endpoints() []engine.EndpointInfo {
	endpoints := make([]engine.EndpointInfo, 0, len(l.Instances))
	for _, instance := range l.Instances {
		endpoints = append(endpoints, instance.endpointInfo())
	}
	return endpoints
}

func (i *Instance) endpointInfo() engine.EndpointInfo {
	state, known := lifecycleStates[i.Lifecycle]
	if !known {
		state = balancer.Draining
	}
	return engine.EndpointInfo{
		Name:      i.ID,
		Addr:      i.Address,
		Zone:      i.Zone,
		Kind:      i.Kind,
		Cell:      i.Cell,
		State:     state,
		Weight:    i.Weight,
		StartedAt: i.StartedMs * microsInMillisecond,
	}
}
