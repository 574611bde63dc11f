package soak

import (
	"encoding/json"
	"fmt"

	"dunlinsail/internal/discovery"
)

// sidecarConfig returns the configuration of dunlinsail as the platform writes it, including the endpoints
// known when the process starts.
func sidecarConfig(addr, discoveryAddr string, instances []discovery.Instance) (string, error) {
	knownEndpoints, err := json.Marshal(discovery.List{Generation: 1, Reset: true, Instances: instances})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf(`{"name":"soak","listen":%q,"discovery":%q,"known":%s,"seed":"1f",
"limits":{"sockets":512,"memory_mb":96},
"settings":{"peers-total":1,"areas":["a"],"skus":["m1"],"discovery":"automatic",
"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":900000,"credit":1.0},
{"name":"book","repeat":"token","target":500000,"give-up":900000,"credit":5.0,"window":400000,"group":"all"},
{"name":"pay","repeat":"side_effect","target":500000,"give-up":900000,"credit":5.0}],
"tenants":[{"name":"acme","allowance-per-s":10000.0,"share":1.0}],
"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,
"overload-for":2000000,"ask-within":10000000},
"limits":{"cancel":true,"most-tries":3,"most-held":1000,"dial-timeout":1000000,"keepalive":15000000}}}`,
		addr, discoveryAddr, knownEndpoints), nil
}

// defaultRequestsInFlight is the daemon's limit of requests in flight when the number of its connections is
// not bounded.
const defaultRequestsInFlight = 64

// daemonConfig returns the configuration of dunlinsaild. If the number of connections is bounded, the limit
// of requests in flight is lower than that bound, so that each request in flight has a connection.
func daemonConfig(addr, discoveryAddr, dir string, bounds connectionBounds) string {
	inFlight := defaultRequestsInFlight
	if bounds.maxOpen > 0 {
		inFlight = bounds.maxOpen - spareConnections
	}
	// The limit of idle connections is configured per endpoint; the only daemon instance may use it in full.
	idlePerEndpoint := float64(bounds.maxIdle) / endpointCount
	return fmt.Sprintf(`name = "soak"
[process]
descriptors = 512
[discovery]
address = %q
[takeover]
socket = "%s/takeover.sock"
ready_within = "5s"
drain_within = "1300ms"
[connections]
endpoints = %d
[requests]
in_flight = %d
[[listener]]
name = "desk"
address = %q
client = "desk"
[[client]]
name = "desk"
[fleet]
zone = "a"
zones = ["a", "b"]
machines = ["m1"]
node_idle = %.2f
[[class]]
name = "look"
repeat = "safe"
aim = "500ms"
give_up = "900ms"
[[class]]
name = "book"
repeat = "keyed"
group = "all"
window = "400ms"
aim = "500ms"
give_up = "900ms"
worth = 5.0
[[class]]
name = "pay"
repeat = "unsafe"
aim = "500ms"
give_up = "900ms"
worth = 5.0
[[tenant]]
name = "acme"
allowance = 10000.0
share = 1.0
[attempts]
dial_timeout = "1s"
`, discoveryAddr, dir, bounds.maxOpen, inFlight, addr, idlePerEndpoint)
}
