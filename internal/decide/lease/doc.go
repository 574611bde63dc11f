// Package lease elects the holder of a fleet's one lease by the votes of a majority, without a disk and without
// synchronized clocks. Package coordination makes the holder the fleet's quota allocator.
//
// Safety comes first: at no instant do two processes hold the lease, whatever is lost, delayed, duplicated or
// reordered, and whichever voter is killed, stopped or partitioned. Liveness comes second: once a majority of the
// voters can communicate, one of them wins the lease and renews it.
//
// # Protocol
//
// Every voter is also a candidate. A candidate sends a VoteRequest with a new round number to all voters, itself
// included. A voter replies with VoteGranted, or with VoteDenied and the name of the candidate that has its vote. A
// majority of grants within half of the lease's duration wins the lease, or renews it. A candidate that fails sends
// VoteReleased, so that other candidates need not wait until its votes expire.
//
// # Why two never hold it
//
//   - A voter's vote belongs to one candidate at a time, for Settings.Duration extended by the possible difference of
//     two clocks' rates (monotime.ExtendForDrift), counted from when the vote is granted.
//   - A holder counts its lease from before it sent the requests, for Settings.Duration. So while a lease is valid by
//     its holder's clock, all votes that won it are valid by their voters' clocks.
//   - Two majorities share a voter, and that voter has one vote.
//   - A voter that starts does not know its earlier vote: it grants none until any earlier vote has expired.
//   - A vote counts only for the round of its request, so a late vote is ignored.
//
// Source: Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012. With one decision to make and
// nothing to remember beyond it, the paper's ballots are not needed.
//
// The package is a deterministic state machine without I/O or a clock: callers pass the time in and carry the messages
// out, and the seed determines all random delays. Its types are not safe for concurrent use. It must not know about
// sockets, members other than the voters, or what the lease is for.
package lease
