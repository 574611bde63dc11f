// Package takeover carries out hot restarts. It exchanges the messages of package decide/takeover between two
// processes of one host, and steps the state machines of predecessor and successor. The messages are sent over
// a unix socket of type SOCK_SEQPACKET, with open files attached (SCM_RIGHTS, unix(7)). All decisions are made
// in package decide/takeover. This package must not import the programs that are restarted.
//
// A process goes through the following steps of its Lifecycle. The program that is restarted implements Host.
//
//  1. The process dials the predecessor's socket. Without a predecessor it starts alone, and continues with step 5.
//  2. It receives Offer, with listening sockets and a snapshot. Host.StartWithOffer starts everything except accepting.
//  3. Once Host.WaitReady returns, it sends Ready. The predecessor stops accepting and sends Handover.
//  4. Host.RestoreHandover restores the final snapshot. The predecessor sends Activate.
//  5. Host.StartServing accepts clients, and successors of this process. Connections that the predecessor hands over
//     are passed to Host.AdoptConnection until the predecessor has none left.
//  6. A successor connects. Host.Offer returns the offer that is sent to it.
//  7. The successor is ready. Host.StopAccepting pauses all listeners and returns the snapshot for Handover.
//  8. The successor has restored the snapshot. Host.Activating leaves the socket paths to the successor, and
//     Host.HandOverConnections hands over connections as they become idle.
//  9. No connection is left, and the process sends Done and exits. If the drain deadline is reached first,
//     Host.CloseRemaining closes the remaining connections.
//
// If the successor is lost before step 9, Host.ResumeServing serves again, unless this process is stopping or
// the successor has handed over to a successor of its own. A shutdown without a successor calls Host.Drain. One
// goroutine runs all events of a Lifecycle. Its Loop posts messages, deadlines and the ends of connections to
// that goroutine.
package takeover
