// Package coordination is one instance's part in its fleet. It combines the election of the allocator (package lease),
// the division of the fleet's budgets (package quota) and the exchange of observations (package observations).
//
// # Protocol
//
// A few instances, the candidates, are named in the settings of all. The one that wins the lease by the votes of a
// majority of them is the allocator. Every instance sends the allocator a quota.LeaseRequest at each request
// interval, with its observations. The allocator replies with a quota.Grant and the aggregate of all observations. An
// instance that does not know the allocator, or gets no reply for maxUnansweredIntervals intervals, sends its request to all
// candidates.
//
// No request of a client waits for a message. An instance without a reply continues with its lease until that expires,
// and then with its minimum. Messages may be lost, delayed, duplicated and reordered.
//
// Member is a deterministic state machine without I/O or a clock: package engine passes the time and received messages
// in and sends the outgoing ones, and the seed determines all random delays. The package must not know how messages are
// transported (package peers does), or which instances are alive.
package coordination
