// Package coordination implements one instance's participation in its fleet. It combines the election of the allocator
// (package lease), the division of the fleet's budgets (package quota) and the exchange of observations (package
// observations).
//
// # Protocol
//
// The settings of all instances name a few of them as candidates. The candidate that wins the lease by the votes of a
// majority of the candidates is the allocator. Once per request interval, every instance sends the allocator a
// quota.LeaseRequest with its observations. The allocator replies with a quota.Grant and the aggregate of all
// observations. An instance that does not know the allocator, or has received no reply for maxUnansweredIntervals
// request intervals, sends its request to all candidates.
//
// No client's request waits for a message. An instance that receives no reply continues with its quota lease until the
// lease expires, and then with its minimum. Messages may be lost, delayed, duplicated and reordered.
//
// Member is a deterministic state machine without I/O or a clock: package engine passes in the time and received
// messages and sends the outgoing messages, and the seed determines all random delays. The package must not depend on
// how messages are transported (package peers does that), or on which instances are alive.
package coordination
