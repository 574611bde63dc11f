// Package engine is the decision core of one load balancer instance. It owns the balancers of all endpoint
// pools, the queue of requests that wait for admission and the table of requests in flight, and combines their
// decisions.
//
// An Engine is a deterministic state machine that must be called by one goroutine at a time. Its host passes
// each event with the instant of the event, advances the engine whenever a timer is due, and carries out the
// actions that the engine requests through the Host interface. The engine does no I/O, reads no clock and
// starts no goroutine: package core runs one engine in a process, and package simulation runs thousands in
// simulated time. The package must not import packages for protocols, sockets or files.
//
// The limit of open requests (MaxOpen), the tenants' limits, the cordons and the maintenance plan apply to all
// pools of an engine together. Everything else, including the limit of requests in flight, is decided per pool
// (Pool).
package engine
