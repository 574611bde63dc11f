// Package takeover decides how one process takes over from another without a gap (hot restart): a Predecessor, which
// serves, and a Successor, which is to serve. Both are deterministic state machines for one caller at a time; their
// hosts pass events with their instants and carry out the steps that come back, in order. The package must not import
// sockets, processes or clocks.
//
// A hot restart without faults:
//
//  1. The successor connects and sends Hello.
//  2. The predecessor sends Offer: the listening sockets, and a snapshot of what it has learned so far.
//  3. The successor starts all but accepting, and sends Ready once it could serve.
//  4. The predecessor stops accepting and sends Handover: the snapshot of this instant, with the budget that endpoints
//     which are warming up may still get.
//  5. The successor restores the snapshot and sends Prepared.
//  6. The predecessor sends Activate: from now on the successor accepts, alone.
//  7. The predecessor hands over clients' connections as they become idle, and answers what is open.
//  8. The predecessor sends Done once nothing is left, and exits.
//
// The states of the predecessor, with what leads to the next one:
//
//	serving      --Hello-->     offered      --Ready-->        paused
//	paused       --Prepared-->  handingOver  --Drained-->      exited
//	serving      --Stop-->      draining     --Drained-->      exited
//	offered, paused, handingOver  --ConnectionLost, Rejected-->  serving (draining, if it was told to stop)
//
// The states of the successor:
//
//	requesting   --Offer-->     starting     --Started-->      ready
//	ready        --Handover-->  prepared     --Activate-->     accepting
//	accepting    --Done, ConnectionLost-->   alone
//	requesting, starting, ready, prepared  --ConnectionLost-->  alone
//	requesting, starting, ready, prepared  --Stop, Rejected, DeadlineReached-->  failed
//
// A successor may become a predecessor itself before its own predecessor is done. It then sends HandedOver to
// that one, which must not serve again should the connection end: its successor is not the last process any
// more.
//
// Between Handover and Activate nobody accepts, and clients that connect wait in the sockets' queue; that is
// two messages on one machine. Up to Activate the predecessor can resume as if nothing had been, and does so
// when the successor ends, hangs or rejects. Only Activate makes the successor accept, or the end of a
// predecessor that no longer holds the sockets: so no two processes accept at once, and the budget of endpoints
// that are warming up is never spent by both.
package takeover
