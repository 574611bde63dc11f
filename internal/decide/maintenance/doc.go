// Package maintenance decides which machines are taken out of service for maintenance, in which order, and when no
// instance sends requests to a machine any more, so that work on it may begin.
//
// It holds three deterministic state machines, each for one caller at a time, without I/O, clocks or randomness:
//
//   - State is the replicated plan. It is built from a log of Commands, which every replica applies in the same order
//     (package consensus keeps that log).
//   - Follower holds the plan that one instance has to apply, under a lease.
//   - Coordinator is the leader's record of each instance's progress in applying the plan.
//
// # Safety
//
// An instance that is cut off does not receive a new plan and must still not send to a machine under maintenance.
// Machines are therefore announced first: none is drained before every instance has acknowledged a plan that lists it
// as announced. A plan holds at an instance for a lease. When the lease has expired, the instance sends nothing new to
// any machine that its plan lists as announced or excluded, and after Settings.InFlightGrace it ends the requests that
// are still in flight there. So a machine is drained once every instance either reports that it has the plan and
// nothing in flight there, or has had no lease for the grace time, by any clock whose rate differs from the true rate
// by at most Settings.MaxClockDrift. Settings.MaxAnnounced bounds the machines that an instance that is cut off cannot
// use. An instance that starts sends nothing before it has received a plan. docs/design/machines-out.md has the
// complete argument; the leases are those of Gray and Cheriton (1989).
//
// The package must not import transports, the raft log, or balancers.
package maintenance
