package takeover

import (
	"context"
	"net"

	"dunlinsail/internal/monotime"
)

// Host is the program whose process is restarted: the sidecar, or a generation of the daemon. A Lifecycle calls it on
// the goroutine that runs the lifecycle's events, one call at a time.
type Host interface {
	SuccessorHost
	PredecessorHost

	// ReceiveCordons applies the cordons that an operator has set at the other process.
	ReceiveCordons(payload []byte)
}

// SuccessorHost is the part of a Host that takes over from a predecessor.
type SuccessorHost interface {
	// ReceiveOffer stores the predecessor's offer. The message's files are closed after the call.
	ReceiveOffer(m Message)
	// StartWithOffer starts everything except accepting, with the stored offer. An error ends the process.
	StartWithOffer() error
	// WaitReady blocks, and returns nil once requests can be served, or an error once ctx ends. It is called on a
	// goroutine of its own.
	WaitReady(ctx context.Context) error
	// RestoreHandover restores the snapshot of the handover.
	RestoreHandover(snapshot []byte)
	// StartServing accepts clients, and successors of this process.
	StartServing()
	// StartAlone starts and serves without a predecessor. An error ends the process.
	StartAlone() error
	// StartError returns the error with which a process ends that was rejected or stopped before it served.
	StartError(reason string) error
	// AdoptConnection serves a client's connection that the predecessor has handed over, as soon as this process
	// serves.
	AdoptConnection(conn net.Conn)
	// PredecessorLeaving is called before the connection to the predecessor is closed.
	PredecessorLeaving(conn *Conn)
}

// PredecessorHost is the part of a Host that hands over to a successor.
type PredecessorHost interface {
	// Offer returns the offer to a successor: the listening sockets, and the snapshot so far.
	Offer(successor *Conn) Message
	// StopAccepting stops accepting, and returns the encoded snapshot for the handover.
	StopAccepting() (snapshot []byte)
	// Activating is called just before Activate is sent to the successor.
	Activating()
	// HandOverConnections hands clients' connections to the successor as they become idle.
	HandOverConnections(successor *Conn)
	// ResumeServing accepts again, after the successor was lost.
	ResumeServing()
	// Drain shuts down gracefully, without a successor.
	Drain()
	// CloseRemaining closes the connections that are left at the drain deadline.
	CloseRemaining()
	// SendFailed reports that a message could not be written to the successor.
	SendFailed(err error)
	// SuccessorLeaving is called before the connection to the successor is closed.
	SuccessorLeaving(conn *Conn)
	// HandingOver is called when a hot restart or a shutdown begins (active is true), and when a hot restart has failed
	// and the process serves again (active is false).
	HandingOver(active bool)
}

// Frontend is the part of a host's frontend that a Lifecycle uses.
type Frontend interface {
	// SetHandoff passes idle connections to a function from now on; nil ends that.
	SetHandoff(handOver func(net.Conn) bool)
	// Quiesce closes idle connections, and the others after their responses.
	Quiesce()
	// WaitDrained blocks, and returns nil once no connection is open, or an error once ctx ends.
	WaitDrained(ctx context.Context) error
}

// now returns the instant that is passed to the state machines.
func now() monotime.Micros { return Monotonic() }
