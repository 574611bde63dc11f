// Package quota divides budgets among the instances of a fleet. A budget is a number of units, such as requests, that
// all instances together may spend within any second.
//
// The allocator runs at the instance that holds the fleet's lease (package lease). Each instance has a lessee. Every
// Settings.RequestInterval the lessee sends the allocator a LeaseRequest with its demand, and the allocator replies
// with a Grant: the units of each budget that the lessee may spend within any second until the lease expires. In
// addition each lessee has a minimum of each budget, which is reserved and needs no lease. Package coordination runs
// both and exchanges the messages.
//
// Safety comes first: within each second the sum that is spent stays within the budget, whatever is lost, delayed,
// duplicated or reordered, and whichever instance is killed, stopped, partitioned or overstates its demand. Using
// the whole budget where there is demand for it comes second.
//
// # Why the sum holds
//
//  1. Before each unit a lessee counts what it spent within the second before. So in any second it spends no more than
//     the most that it was allowed at an instant within it: its minimum, and the units of the lease in force.
//  2. A lease is in force from when its Grant is received until its duration after its LeaseRequest was sent, by the
//     lessee's clock. The allocator takes its units as committed from when it grants them until that duration and a
//     second more have passed by any clock, or until a second after the lessee has shown that a later lease is in force
//     in its place; a lessee never goes back to an earlier lease. So what is committed at an instant is at least what
//     lessees can have spent in the second that ends there.
//  3. The allocator grants no more than keeps the committed units of all lessees within the budget less all minimums.
//  4. There is one allocator at a time. A new one recovers first: it grants nothing but what lessees show that they
//     hold, until all leases of the allocator before it have expired. It takes only requests that were sent since it
//     is the allocator (LeaseRequest.Term), so that what they show was not leased to others in
//     the meantime.
//
// docs/design/peers.md has the argument at length.
//
// Allocator and Lessee are deterministic state machines without I/O or a clock, and not safe for concurrent use. The
// package must not know what a budget is for, sockets, or which instances are alive.
package quota
