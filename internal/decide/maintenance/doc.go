// Package maintenance decides which machines are taken out of service for maintenance, in which order, and when
// work on a machine may start because no instance sends requests to it any more.
//
// The package has three deterministic state machines without I/O, clocks or randomness. None is safe for
// concurrent use:
//
//   - State is the replicated plan. It is built from a log of Commands, which every replica applies in the same order
//     (package consensus replicates that log).
//   - Follower holds the plan that one instance has to apply, and the lease under which the instance applies it.
//   - Coordinator is the leader's record of each instance's progress in applying the plan.
//
// # Safety
//
// An instance that is cut off receives no new plan, and must still send nothing to a machine under maintenance.
// Machines are therefore announced first: a machine is drained only after every instance has acknowledged a
// plan that lists the machine as announced. The leader grants a plan to an instance for the duration of a
// lease. After the lease has expired, the instance sends no new request to the machines that its plan lists as
// announced or excluded, and after Settings.InFlightGrace it ends the requests that are still in flight at
// these machines. A machine therefore counts as drained once each instance either reports that it applies the
// plan and has no request in flight at the machine, or has been without a lease for the grace time. Leases and
// grace times are extended so that they have passed on every clock whose rate differs from the true rate by at
// most Settings.MaxClockDrift. Settings.MaxAnnounced bounds the number of machines that an instance cannot use
// while it is cut off. An instance that starts sends no request before it has received a plan.
// docs/design/machines-out.md has the complete argument; the leases are those of Gray and Cheriton (1989).
//
// The package must not import transports, the raft log, or balancers.
package maintenance
