// Package lease elects the holder of a fleet's single lease by majority vote. It needs no persistent storage and no
// synchronized clocks. Package coordination makes the holder the fleet's quota allocator.
//
// Safety comes first: two processes never hold the lease at the same time, even if messages are lost, delayed,
// duplicated or reordered, and if voters are killed, stopped or partitioned. Liveness comes second: once a majority of
// the voters can communicate, one of them wins the lease and renews it.
//
// # Protocol
//
// Every voter is also a candidate. A candidate sends a VoteRequest with a new round number to all voters, itself
// included. A voter replies with VoteGranted, or with VoteDenied and the name of the candidate that has its vote. A
// candidate that receives a majority of grants within half of the lease's duration wins the lease, or renews it. A
// candidate that does not sends VoteReleased, so that other candidates need not wait until its votes expire.
//
// # Why two processes never hold the lease
//
//   - A voter's vote belongs to one candidate at a time. It is valid for Settings.Duration, extended by the largest
//     difference between the rates of two clocks (monotime.ExtendForDrift), from when the voter grants it.
//   - A holder counts Settings.Duration from before it sent the vote requests. So while the lease is valid by its
//     holder's clock, all votes that won it are valid by their voters' clocks.
//   - Any two majorities have a voter in common, and that voter has one vote.
//   - A voter that starts does not know how it voted before. It grants no vote until any earlier vote has expired.
//   - A vote counts only for the round of its request. A vote that arrives after its round is ignored.
//
// The protocol is PaxosLease (Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012) without
// the paper's ballots, which are not needed because voters decide only who holds the lease and store nothing else.
//
// The package is a deterministic state machine without I/O or a clock: callers pass in the time and received messages
// and send the outgoing messages, and the seed determines all random delays. Its types are not safe for concurrent use.
// The package must not depend on sockets, on members other than the voters, or on what the lease is used for.
package lease
