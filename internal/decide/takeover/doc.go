// Package takeover decides how one process takes over from another without a gap (hot restart): a Predecessor, which
// serves, and a Successor, which takes over from it. Both are deterministic state machines for one caller at a time.
// Their hosts pass events with their instants and carry out the returned steps, in order. The package must not import
// sockets, processes or clocks.
//
// A hot restart without faults:
//
//  1. The successor connects and sends Hello.
//  2. The predecessor sends Offer: the listening sockets, and a snapshot of what it has learned so far.
//  3. The successor starts everything except accepting, and sends Ready once it is able to serve.
//  4. The predecessor stops accepting and sends Handover: the snapshot of this instant, and the warm-up budget:
//     the requests that endpoints that are warming up may still get.
//  5. The successor restores the snapshot and sends Prepared.
//  6. The predecessor sends Activate: from now on the successor accepts, alone.
//  7. The predecessor hands over clients' connections as they become idle, and completes the requests in flight.
//  8. The predecessor sends Done once it has no connections left, and exits.
//
// The transitions of the predecessor, a state and an event to each state:
//
//	serving: Hello -> offered; Stop -> draining
//	offered: Ready, Stop -> paused; ConnectionLost, Rejected, DeadlineReached -> serving
//	paused: Prepared -> handingOver; ConnectionLost, Rejected, DeadlineReached -> serving, or draining after a Stop
//	handingOver: Drained, DeadlineReached -> exited; Stopping -> draining;
//	    ConnectionLost, Rejected -> serving, or draining after a Stop or if the successor has handed over
//	draining: Drained, DeadlineReached -> exited
//
// The transitions of the successor:
//
//	requesting: Offer -> starting; ConnectionLost -> alone
//	starting: Started -> ready, or prepared after Handover, or alone after ConnectionLost
//	ready: Handover -> prepared; ConnectionLost -> alone
//	prepared: Activate -> accepting; ConnectionLost -> alone
//	accepting: Done, ConnectionLost -> alone
//	all before accepting: Stop -> failed; Rejected, DeadlineReached -> failed, or on without the predecessor if
//	    it owns its sockets
//
// A successor may become a predecessor itself before its own predecessor is done. It then sends HandedOver to that one,
// which must not serve again if their connection ends: another process serves.
//
// Between Handover and Activate no process accepts, and clients that connect wait in the sockets' queue for the time of
// two messages on one machine. Until Activate the predecessor can resume with nothing lost, and does so when the
// successor ends, hangs or rejects. The successor accepts only after Activate, or after the end of a predecessor that
// no longer holds the sockets: so no two processes accept at once, and the warm-up budget is never spent by both.
package takeover
