// Package takeover carries out hot restarts: it carries the messages of package decide/takeover between two
// processes of one host, over a unix socket that keeps messages apart, with open files beside them (SCM_RIGHTS,
// unix(7)), and steps the state machines of both sides. It decides nothing itself, and must not import the
// programs that are restarted.
//
// A process goes through its Lifecycle in this order; its program implements Host.
//
//  1. It dials the predecessor's socket. Without a predecessor it starts alone, and goes on with 5.
//  2. It receives the Offer: listening sockets and a snapshot. Host.StartWithOffer starts all but accepting.
//  3. Once Host.WaitReady returns, it sends Ready; the predecessor stops accepting and sends the Handover.
//  4. Host.RestoreHandover restores the final snapshot; the predecessor sends Activate.
//  5. Host.StartServing accepts clients, and successors of this process. Connections that the predecessor hands over
//     come by Host.AdoptConnection until it is done.
//  6. A successor connects: Host.Offer returns what it is offered.
//  7. The successor is ready: Host.StopAccepting pauses all listeners and returns the snapshot for the Handover.
//  8. The successor has restored it: Host.Activating leaves the paths to it, and Host.HandOverConnections hands idle
//     connections over as they come.
//  9. No connection is left: the process sends Done and exits. At the drain time Host.CloseRemaining closes the others.
//
// A successor that is lost before 8 is undone by Host.ResumeServing; an order to stop without a successor leads to
// Host.Drain. One goroutine runs all events of a Lifecycle; its Loop brings messages, deadlines and ends to it.
package takeover
