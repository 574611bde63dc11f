// Package observations adds up what the instances of a fleet observe of endpoints and of overload. In a large fleet a
// single instance has too few requests to decide by: each of hundreds of instances has a failure at a failing endpoint
// only now and then, and a few requests a second do not show how much load has to be shed. All instances together
// observe enough within a second.
//
// Local holds one instance's observations. The Aggregator, at the allocator, adds up all instances' reports to an
// Aggregate, which is sent back to all of them. Package coordination exchanges both. An Aggregate is evidence, not a
// decision: each instance applies it by its own rules, and uses its own observations while it has no Aggregate.
//
// The types are deterministic, without I/O or a clock, and not safe for concurrent use. The package must not know about
// balancers, sockets, or which instances are alive.
package observations
