package takeover

import (
	"context"
	"net"

	"dunlinsail/internal/monotime"
)

// Host is the program whose process is restarted: the sidecar, or a generation of the daemon. A Lifecycle calls
// its methods one at a time on the goroutine that runs the events of the lifecycle, except WaitReady.
type Host interface {
	SuccessorHost
	PredecessorHost

	// ReceiveCordons applies the cordons that an operator has set at another process, and passes them on
	// (CordonPeers.Receive). sender is the connection of the Cordons message, and payload its payload.
	ReceiveCordons(sender *Conn, payload []byte)
}

// SuccessorHost contains the methods of a Host that take over from a predecessor.
type SuccessorHost interface {
	// ReceiveOffer stores the predecessor's offer. The files of m are closed after the call.
	ReceiveOffer(m Message)
	// StartWithOffer uses the stored offer to start everything except accepting. If it returns an error, the
	// process ends.
	StartWithOffer() error
	// WaitReady blocks until requests can be served and returns nil, or returns an error once ctx ends. It is
	// called on a separate goroutine.
	WaitReady(ctx context.Context) error
	// RestoreHandover restores the encoded snapshot that was received with Handover.
	RestoreHandover(snapshot []byte)
	// StartServing starts to accept clients, and successors of this process.
	StartServing()
	// StartAlone starts everything and serves without a predecessor. If it returns an error, the process ends.
	StartAlone() error
	// StartError returns the error with which the process ends if it is rejected or stopped before it serves.
	StartError(reason string) error
	// AdoptConnection takes over a client connection from the predecessor and serves it as soon as this process
	// serves.
	AdoptConnection(conn net.Conn)
	// PredecessorLeaving is called before the connection to the predecessor is closed.
	PredecessorLeaving(conn *Conn)
}

// PredecessorHost contains the methods of a Host that hand over to a successor.
type PredecessorHost interface {
	// Offer returns the offer for a successor: the listening sockets and a snapshot of the present state.
	Offer(successor *Conn) Message
	// StopAccepting stops accepting connections, and returns the encoded snapshot for Handover.
	StopAccepting() (snapshot []byte)
	// Activating is called just before Activate is sent to the successor.
	Activating()
	// HandOverConnections starts to hand client connections over to the successor as they become idle.
	HandOverConnections(successor *Conn)
	// ResumeServing accepts connections again after the successor was lost.
	ResumeServing()
	// Drain starts a graceful shutdown without a successor.
	Drain()
	// CloseRemaining closes the connections that are still open at the drain deadline.
	CloseRemaining()
	// SendFailed reports that a message could not be written to the successor.
	SendFailed(err error)
	// SuccessorLeaving is called before the connection to the successor is closed.
	SuccessorLeaving(conn *Conn)
	// HandingOver is called with active true when a hot restart or a shutdown starts, and with active false
	// when a hot restart has failed and the process serves again.
	HandingOver(active bool)
}

// Frontend contains the methods of a host's frontend that a Lifecycle uses.
type Frontend interface {
	// SetHandoff makes the frontend pass each connection to handOver as soon as it is idle. If handOver is nil,
	// connections are no longer handed over.
	SetHandoff(handOver func(net.Conn) bool)
	// Quiesce closes idle connections immediately, and each other connection after its next response.
	Quiesce()
	// WaitDrained blocks until no connection is open and returns nil, or returns an error once ctx ends.
	WaitDrained(ctx context.Context) error
}

// now returns the present instant for the state machines of package decide/takeover.
func now() monotime.Micros { return Monotonic() }
