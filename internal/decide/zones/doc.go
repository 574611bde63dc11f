// Package zones decides to which zone a request is sent. Each request has a list of zones in order of preference. It is
// sent to the first zone of the list, its home zone, as long as that zone has capacity. Requests in excess of that
// capacity spill to the next zones of the list, as far as these have spare capacity. A zone that recovers receives its
// requests in increasing steps. The inputs of the decisions are the attempts that were sent to each zone and their
// outcomes. The package must not import sockets, or endpoints, which the balancer picks within the zone.
//
// The capacity of a zone is not derived from the number of its endpoints. It is estimated as in package concurrency:
// the number of requests of this instance that may be in flight in the zone before further requests only wait. The
// spare capacity is the part of it that the zone's own requests do not use. Spill, which is the traffic of other zones,
// may use a configured fraction of the spare capacity. The higher the priority weight of a class, the larger the part
// of that fraction that the class may use (trunk reservation, as in telephone exchanges: Akinpelu, "The Overload
// Performance of Engineered Networks with Nonhierarchical and Hierarchical Routing", BSTJ 1984). The lowest class is
// therefore rejected first, without a forecast.
//
// router.go chooses the zone of a request, spill.go limits spill, and state.go decides when a zone goes down and how it
// recovers. A Router is a deterministic state machine and is not safe for concurrent use. No other package imports this
// one yet.
package zones
