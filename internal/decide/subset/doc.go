// Package subset decides which endpoints an instance of a large fleet connects to. It also divides the budgets of each
// endpoint (idle connections, probes) among the instances. The inputs are the endpoint list, the instance's position in
// the fleet, its own load and which endpoints are unhealthy. The package must not depend on requests, sockets or other
// instances. The balancer chooses which member of the subset serves a request.
//
// The algorithm is deterministic subsetting: the deterministic aperture of Finagle (docs, "Aperture Load Balancers")
// on rings that are shuffled for each group of instances ("Reinventing Backend Subsetting at Google", ACM Queue,
// 2022). Each endpoint takes up a section of the ring in proportion to its weight. A hash of group and endpoint
// determines the order of the endpoints. The instances of a group cut the ring into arcs of equal weight, and each
// connects to the endpoints that its arc touches (ring.go). So each group loads every endpoint exactly in proportion to
// its weight. Adding or removing an endpoint moves the ends of arcs by no more than that endpoint's weight. Since an
// endpoint has different neighbours in each group, the load of members that fail is spread over all endpoints. The
// algorithm does not need the number of instances.
//
// The length of an arc is doubled while too many of its members are unhealthy or the instance has too much load for
// them, and halved again afterwards (width.go).
//
// A Set is a deterministic state machine without I/O or a clock, and not safe for concurrent use.
package subset
