// Package observations aggregates the instances' observations of endpoint failures and overload. In a large fleet, a
// single instance has too few requests for reliable decisions: each of hundreds of instances rarely sends a request to
// one failing endpoint, and a few requests a second do not show how much load has to be shed. All instances together
// observe enough within a second.
//
// Local collects one instance's observations. The Aggregator runs at the allocator. It combines the reports of all
// instances into an Aggregate, which is sent back to each of them. Package coordination exchanges reports and
// aggregates. An Aggregate is evidence, not a decision: each instance applies it by its own rules, and uses its own
// observations while it has no Aggregate.
//
// The types are deterministic, without I/O or a clock, and not safe for concurrent use. The package must not depend on
// balancers, on sockets, or on which instances are alive.
package observations
