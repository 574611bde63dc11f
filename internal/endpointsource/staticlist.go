package endpointsource

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
)

// StaticList returns an update with a complete list of endpoints. Each address (host:port) is also the name of
// its endpoint. The list does not state zones and cells: assumedZone is the zone that prices count the endpoints in.
func StaticList(addresses []string, assumedZone string, generation int64) engine.EndpointUpdate {
	update := engine.EndpointUpdate{Kind: balancer.ListFull, Generation: generation}
	for _, address := range addresses {
		endpoint := engine.EndpointInfo{
			Name: address, Addr: address, Zone: assumedZone, ZoneAssumed: true, Weight: 1,
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}
