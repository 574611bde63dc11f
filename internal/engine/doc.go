// Package engine decides for one instance: it owns the balancers of all pools, the decisions between clients and the
// requests in flight, and puts their decisions together. It is a deterministic state machine for one caller at a time:
// its host passes events with their instants, advances it to the instants at which something is due, and carries out
// what it asks for (Host). It does no I/O, reads no clock and starts no goroutine: package engine runs one in a process,
// package simulation runs thousands in simulated time. It may not know protocols, sockets or files. pool.go holds what is of
// one set of endpoints, of which there may be several; what bounds clients holds over all of them.
package engine
