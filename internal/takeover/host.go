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

	// ReceiveCordons takes in what an operator said of endpoints at the process on the other side.
	ReceiveCordons(payload []byte)
}

// SuccessorHost is what the process that is to serve does.
type SuccessorHost interface {
	// ReceiveOffer notes what the predecessor offers; the message's files are closed after the call.
	ReceiveOffer(m Message)
	// StartWithOffer starts all but accepting with what was offered. An error ends the process.
	StartWithOffer() error
	// WaitReady returns nil once requests could be served, or an error once ctx ends.
	WaitReady(ctx context.Context) error
	// RestoreHandover restores the snapshot that came with the handover.
	RestoreHandover(snapshot []byte)
	// StartServing accepts clients, and successors of this process.
	StartServing()
	// StartAlone starts without a predecessor, and serves. An error ends the process.
	StartAlone() error
	// StartError returns what the process ends with that was rejected, or stopped, before it served.
	StartError(reason string) error
	// AdoptConnection serves a client's connection that the predecessor handed over, now or once this process serves.
	AdoptConnection(conn net.Conn)
	// PredecessorLeaving is called before the connection to the predecessor is closed.
	PredecessorLeaving(conn *Conn)
}

// PredecessorHost is what the process that serves does when another takes over.
type PredecessorHost interface {
	// Offer returns what a successor is offered: sockets, and what was learned so far.
	Offer(successor *Conn) Message
	// StopAccepting accepts nothing more, and returns the encoded snapshot for the handover.
	StopAccepting() (snapshot []byte)
	// Activating is called just before the successor is told to serve.
	Activating()
	// HandOverConnections hands clients' connections to the successor as they become idle.
	HandOverConnections(successor *Conn)
	// ResumeServing accepts again: the successor was lost.
	ResumeServing()
	// Drain ends all connections in order, without a successor.
	Drain()
	// CloseRemaining closes what is still open at the end of the drain time.
	CloseRemaining()
	// SendFailed notes that a message could not be written to the successor.
	SendFailed(err error)
	// SuccessorLeaving is called before the connection to the successor is closed.
	SuccessorLeaving(conn *Conn)
	// HandingOver is called when a successor is served, and when it is not any more.
	HandingOver(yes bool)
}

// Frontend is the part of a host's frontend that a Lifecycle drains.
type Frontend interface {
	// SetHandoff hands idle connections to a function from now on; nil ends that.
	SetHandoff(handOver func(net.Conn) bool)
	// Quiesce closes idle connections, and the others after their answers.
	Quiesce()
	// WaitDrained returns nil once no connection is open, or an error once ctx ends.
	WaitDrained(ctx context.Context) error
}

func now() monotime.Micros { return Monotonic() }
