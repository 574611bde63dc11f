// Package quota divides budgets among the instances of a fleet. A budget is a number of units, such as requests, that
// all instances together may spend within any second.
//
// The allocator runs at the instance that holds the fleet's lease (package lease). Each instance has a lessee. Every
// Settings.RequestInterval the lessee sends the allocator a LeaseRequest with its demand, and the allocator replies
// with a Grant: the units of each budget that the lessee may spend within any second until the lease expires. In
// addition each lessee may spend a minimum of each budget, which is reserved and needs no lease. Package coordination
// runs the allocator and the lessee, and exchanges the messages.
//
// Safety comes first: the units that all instances spend within any second stay within the budget. This is true even if
// messages are lost, delayed, duplicated or reordered, and if instances are killed, stopped, partitioned or overstate
// their demand. Using the whole budget where there is demand for it comes second.
//
// # Why spending stays within the budget
//
//  1. Before it spends a unit, a lessee counts the units that it spent within the last second. So within any second it
//     spends no more than the largest number of units that it was allowed at an instant of that second. At each instant
//     it is allowed its minimum and the units of the lease in force.
//  2. A lease is in force from the arrival of its Grant until the lease's duration after its LeaseRequest was sent, by
//     the lessee's clock. For the allocator the units of a lease are committed from the grant until that duration plus
//     one second has passed by any clock. They are released earlier, one second after the lessee has reported that a
//     later lease is in force, since a lessee never returns to an earlier lease. So the units committed at an instant
//     are never fewer than the leased units that lessees can have spent within the second that ends at it.
//  3. The allocator limits each grant so that the committed units of all lessees stay within the budget less the
//     minimums of all instances.
//  4. There is one allocator at a time. A new allocator starts with a recovery period, which lasts until all leases of
//     its predecessor have expired. During recovery it grants only units that lessees report to hold. It accepts only
//     requests that were sent in its own term (LeaseRequest.Term), so units that a request reports as held cannot
//     have been leased to others in the meantime.
//
// docs/design/peers.md has the full argument.
//
// Allocator and Lessee are deterministic state machines without I/O or a clock, and not safe for concurrent use. The
// package must not depend on what a budget is used for, on sockets, or on which instances are alive.
package quota
