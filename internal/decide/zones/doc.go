// Package zones decides which zone a request goes to: the first zone of its preferences as long as that has capacity,
// the next ones for the excess and no more than they can spare, and a zone that recovers in steps. The inputs are the
// attempts that were sent to each zone and their outcomes. It must not import endpoints, which the balancer picks
// within the zone, nor sockets.
//
// A zone's capacity is not taken from the number of its endpoints. It is learned as in package concurrency: how many
// requests of this instance may be in flight there before further ones only wait. The part of that which the zone's own
// requests leave is its spare capacity, of which traffic of other zones, the spill, may use a set part. Of that part, a
// class may use the more the higher its priority weight (trunk reservation, as in telephone exchanges: Akinpelu, "The
// Overload Performance of Engineered Networks with Nonhierarchical and Hierarchical Routing", BSTJ 1984): so the lowest
// class is rejected first, without a forecast.
//
// router.go has the way of a request, spill.go the rules of spill, and state.go how a zone goes down and recovers. A
// Router is a deterministic state machine for one goroutine at a time. No other package imports this one yet.
package zones
