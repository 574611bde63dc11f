package endpointsource

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
)

// StaticList returns a complete list of endpoints at addresses (host:port), which are also their names.
func StaticList(addresses []string, zone string, generation int64) engine.EndpointUpdate {
	update := engine.EndpointUpdate{Kind: balancer.ListFull, Generation: generation}
	for _, address := range addresses {
		endpoint := engine.EndpointInfo{Name: address, Addr: address, Zone: zone, Weight: 1}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}
