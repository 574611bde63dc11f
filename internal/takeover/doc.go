// Package takeover carries out hot restarts. It exchanges the messages of package decide/takeover between two processes
// of one host, over a unix socket of type SOCK_SEQPACKET with open files attached (SCM_RIGHTS, unix(7)), and steps the
// state machines of both sides. It decides nothing itself, and must not import the programs that are restarted.
//
// A process goes through its Lifecycle in this order. Its program implements Host.
//
//  1. It dials the predecessor's socket. Without a predecessor it starts alone, and continues with 5.
//  2. It receives the Offer: listening sockets and a snapshot. Host.StartWithOffer starts everything except accepting.
//  3. Once Host.WaitReady returns, it sends Ready; the predecessor stops accepting and sends the Handover.
//  4. Host.RestoreHandover restores the final snapshot; the predecessor sends Activate.
//  5. Host.StartServing accepts clients, and successors of this process. Connections that the predecessor hands over
//     are passed to Host.AdoptConnection until it is done.
//  6. A successor connects: Host.Offer returns its offer.
//  7. The successor is ready: Host.StopAccepting pauses all listeners and returns the snapshot for the Handover.
//  8. The successor has restored it: Host.Activating leaves the paths to it, and Host.HandOverConnections hands
//     over connections as they become idle.
//  9. No connection is left: the process sends Done and exits. At the drain deadline Host.CloseRemaining closes the
//     connections that are left.
//
// If a successor is lost before 9, Host.ResumeServing serves again, unless this process is stopping or the successor
// has handed over to another. A shutdown without a successor calls Host.Drain.
// One goroutine runs all events of a Lifecycle; its Loop posts messages, deadlines and the ends of connections to it.
package takeover
