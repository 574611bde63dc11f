// Package consensus replicates the maintenance plan (package maintenance) over the instances of a fleet.
//
// A few instances, the voters, keep the plan's log by the Raft consensus algorithm (Ongaro and Ousterhout 2014, in
// the implementation go.etcd.io/raft). All instances, voters or not, report to the leader how far they have applied
// the plan and receive it in return, under a lease that runs from when the report was sent. The leader must still
// lead at that time, which it makes sure of by a ReadIndex round to a majority for each batch of reports (Ongaro
// 2014, section 6.4): a leader that is cut off, and does not know that another leads, grants no lease.
//
// A Node is a deterministic state machine for one caller at a time, as raft.RawNode is: time is passed in, messages
// are handed over and collected, and it starts no goroutine. Its only I/O is that of the LogStore it is given. Only
// the intervals of elections are random.
//
// The package must not import transports, engines or operators' calls.
package consensus
