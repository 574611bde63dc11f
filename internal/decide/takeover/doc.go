// Package takeover decides the steps of a hot restart, in which a new process takes over from a running one without
// interrupting service. Predecessor is the state machine of the running process, and Successor is that of the new
// process. Both are deterministic and not safe for concurrent use. Their hosts pass events with their instants and
// execute the returned steps in order. The package must not import packages that use sockets, processes or clocks.
//
// A hot restart without faults:
//
//  1. The successor connects and sends Hello.
//  2. The predecessor sends Offer: the listening sockets, and a snapshot of its learned state.
//  3. The successor starts everything except accepting connections, and sends Ready once it is able to serve.
//  4. The predecessor stops accepting and sends Handover: the final snapshot, and the warm-up budget, which is the
//     number of requests that endpoints that are warming up may still get.
//  5. The successor restores the final snapshot and sends Prepared.
//  6. The predecessor sends Activate: from now on only the successor accepts connections.
//  7. The predecessor hands over client connections as they become idle, and completes the requests in flight.
//  8. The predecessor sends Done once it has no connections left, and exits.
//
// The transitions of the predecessor, in the form "state: event -> next state":
//
//	serving: Hello -> offered; Stop -> draining
//	offered: Ready, Stop -> paused; ConnectionLost, Rejected, DeadlineReached -> serving
//	paused: Prepared -> handingOver; ConnectionLost, Rejected, DeadlineReached -> serving, or draining after a Stop
//	handingOver: Drained, DeadlineReached -> exited; Stopping -> draining;
//	    ConnectionLost, Rejected -> serving, or draining after a Stop or while the next successor serves
//	draining: Drained, DeadlineReached -> exited
//
// The transitions of the successor:
//
//	requesting: Offer -> starting; ConnectionLost -> alone
//	starting: Started -> ready, or prepared after Handover, or alone after ConnectionLost
//	ready: Handover -> prepared; ConnectionLost -> alone
//	prepared: Activate -> accepting; ConnectionLost -> alone
//	accepting: Done, ConnectionLost -> alone
//	each state before accepting: Stop -> failed; Rejected, DeadlineReached -> failed, or proceed without the
//	    predecessor if the successor owns its sockets
//
// A process that has taken over may hand over to the next successor before its own predecessor has sent Done. It then
// sends HandedOver to its predecessor. If their connection ends afterwards, the predecessor must not serve again,
// because the next successor serves.
//
// Between Handover and Activate no process accepts, and new client connections wait in the accept queues of the sockets
// while two messages are exchanged on one machine. Until Activate the predecessor can resume serving without any loss,
// and does so if the successor ends, hangs or rejects the hot restart. The successor accepts only after Activate, or
// after the end of a predecessor that no longer holds the sockets. Therefore two processes never accept at the same
// time, and never both spend the warm-up budget.
package takeover
