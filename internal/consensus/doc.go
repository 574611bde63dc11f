// Package consensus replicates the maintenance plan (package maintenance) over the instances of a fleet.
//
// A few instances, the voters, keep the plan's log by the Raft consensus algorithm (Ongaro and Ousterhout 2014, in the
// implementation go.etcd.io/raft). All instances, voters or not, send the leader reports of their progress in applying
// the plan. The leader replies with the plan under a lease, which starts when the report was sent. It must still lead
// at that time, which it verifies by a ReadIndex round to a majority for each batch of reports (Ongaro 2014, section
// 6.4): a leader that is cut off, and does not know that another one leads, grants no lease.
//
// A Node is a deterministic state machine for one caller at a time, as raft.RawNode is: the caller passes the time and
// received messages in and collects outgoing ones. A Node starts no goroutine. Its only I/O is that of its LogStore.
// Only the election timeouts are random.
//
// The package must not import transports, engines or operators' calls.
package consensus
