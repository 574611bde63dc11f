// Package consensus replicates the maintenance plan (package maintenance) over the instances of a fleet.
//
// Some of the instances, the voters, replicate a log of the plan's commands by the Raft consensus algorithm (Ongaro
// and Ousterhout 2014, in the implementation go.etcd.io/raft). Every instance, voter or not, reports its progress
// in applying the plan to the leader. The leader replies with the plan under a lease, which starts at the time at
// which the report was sent. Before it replies, the leader verifies by a ReadIndex round to a majority of the
// voters (Ongaro 2014, section 6.4) that it has still led when the report was received; one round serves a batch of
// reports. A leader that is partitioned from the majority, and does not know yet that another voter leads,
// therefore grants no lease.
//
// A Node is a deterministic state machine without goroutines, as raft.RawNode is: one caller at a time passes the
// present time and received messages in, and takes the outgoing messages out. The only I/O of a Node is that of its
// LogStore. Only the election timeouts are random.
//
// The package must not import transports, engines or the handlers of operators' calls.
package consensus
