// Package engine is the decision core of one load balancer instance. It owns the balancers of all endpoint pools, the
// queue of requests that wait for admission and the table of requests in flight, and combines their decisions.
//
// An Engine is a deterministic state machine for one caller at a time. Its host passes events with their instants,
// advances it to the instants at which a timer is due, and carries out what it requests through the Host interface. The
// engine does no I/O, reads no clock and starts no goroutine: package core runs one engine in a process, and package
// simulation runs thousands in simulated time. It must not import packages of protocols, sockets or files.
//
// Over all pools of an engine hold the limit of open requests (MaxOpen), tenants' limits, cordons and the maintenance
// plan. All else, the limits of requests in flight included, is decided per pool (Pool).
package engine
