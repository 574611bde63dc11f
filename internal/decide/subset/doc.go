// Package subset decides which endpoints an instance of a large fleet connects to, and which part of an endpoint's
// budgets for the whole fleet (idle connections, probes) is this instance's. The inputs are the endpoint list, the
// instance's position in the fleet, its own load and which endpoints are unhealthy. It must not import requests,
// sockets or other instances; which member serves a request is the balancer's choice.
//
// The algorithm is deterministic subsetting: the deterministic aperture of Finagle (docs, "Aperture Load Balancers")
// on rings that are shuffled for each group of instances ("Reinventing Backend Subsetting at Google", ACM Queue,
// 2022). Endpoints lie on a ring by weight, in an order given by a hash of group and endpoint; the instances of a
// group cut the ring into arcs of equal weight, and each connects to the endpoints that its arc touches (ring.go). So
// each group loads every endpoint exactly by its weight; a change of one endpoint moves the ends of arcs by a part of
// that endpoint's weight; and as endpoints have other neighbours in each group, the load of members that fail is
// spread over all endpoints. The number of instances need not be known for this.
//
// An arc is doubled while too many of its members are unhealthy or its instance has too much load for them, and halved
// again afterwards (width.go).
//
// A Set is a deterministic state machine for one goroutine at a time.
package subset
