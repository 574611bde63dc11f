package discovery

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
)

// List is the endpoint list, or a change to it, in the format of the discovery protocol. The tags are the
// protocol's field names.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete: an endpoint that is not in it has been removed
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint in a List.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      *uint16 `json:"cell,omitempty"` // nil if the entry does not state it
	Lifecycle string  `json:"lifecycle"`
	Weight    float32 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // start of the endpoint, Unix time in milliseconds
}

const microsPerMillisecond = 1000

// Values of Instance.Lifecycle, with the endpoint state that each one maps to.
const (
	LifecycleUp       = "up"       // balancer.Ready
	LifecycleDraining = "draining" // balancer.Draining
	LifecycleRemoved  = "removed"  // balancer.Gone
)

// lifecycleStates maps lifecycles to endpoint states. An endpoint with an unknown lifecycle is treated as
// draining, so that it gets no new requests.
var lifecycleStates = map[string]balancer.EndpointState{
	LifecycleUp:       balancer.Ready,
	LifecycleDraining: balancer.Draining,
	LifecycleRemoved:  balancer.Gone,
}

// EndpointUpdate converts the list to an update for the engine.
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
	info := engine.EndpointInfo{
		Name:      i.ID,
		Addr:      i.Address,
		Zone:      i.Zone,
		Kind:      i.Kind,
		State:     state,
		Weight:    i.Weight,
		StartedAt: i.StartedMs * microsPerMillisecond,
	}
	if i.Cell != nil {
		info.Cell = *i.Cell
		info.CellKnown = true
	}
	return info
}
