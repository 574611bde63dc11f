package sidecar

import (
	"net"
	"time"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/takeover"
)

// successorStartGrace is how long a predecessor stays alive after it has activated the successor, even with no
// connection left: if the successor ends in this time, the predecessor resumes serving. It is below the 0.7 s that the
// platform leaves the predecessor.
const successorStartGrace = 500 * time.Millisecond

// The methods of this file implement takeover.PredecessorHost: they carry out the commands of the predecessor's state
// machine.

// Offer returns the message with the snapshot of the learned state, and sends later cordons to the successor, too.
func (l *lifecycle) Offer(successor *takeover.Conn) takeover.Message {
	snapshot := l.EncodeSnapshot(l.sidecar.core.Snapshot(), l.sidecar.connPool.Evidence())
	l.cordonPeers.add(successor)
	return takeover.Message{Kind: decide.Offer, Payload: snapshot}
}

// StopAccepting pauses the accept loop and returns the encoded snapshot for the handover.
func (l *lifecycle) StopAccepting() []byte {
	l.stopAcceptLoop()
	return l.EncodeSnapshot(l.sidecar.core.SnapshotForHandover(), l.sidecar.connPool.Evidence())
}

// Activating does nothing: the listening socket is the platform's.
func (l *lifecycle) Activating() {}

// HandOverConnections hands idle client connections to the successor as they come, and closes idle connections to
// endpoints, because the limit on descriptors is the successor's from now on.
func (l *lifecycle) HandOverConnections(successor *takeover.Conn) {
	l.sidecar.connPool.SetKeepIdle(false)
	l.sidecar.frontend.SetHandoff(func(conn net.Conn) bool { return successor.HandOver(conn) == nil })
	l.Loop.After(successorStartGrace, func() {
		if l.SuccessorConn == successor { // otherwise the successor was lost, and this process serves again or drains
			l.WaitUntilDrained()
		}
	})
}

// ResumeServing accepts clients again after the successor was lost.
func (l *lifecycle) ResumeServing() {
	l.sidecar.frontend.SetHandoff(nil)
	l.sidecar.core.CancelHandover()
	l.sidecar.connPool.SetKeepIdle(true)
	l.CancelWait()
	l.startAccepting()
}

// Drain starts the graceful shutdown without a successor. The process accepts for stopAcceptDelay, because clients
// still connect, and serves these requests, too; each response closes its connection.
func (l *lifecycle) Drain() {
	l.sidecar.log.Info("draining")
	l.sidecar.accepting.Store(false)
	l.sidecar.frontend.SetHandoff(nil)
	if !l.stopRequested { // the successor was stopped, so that the platform's time limit runs for this process, too
		l.limitResponseTime()
	}
	l.sidecar.frontend.Quiesce()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	if l.acceptResult == nil { // it was paused for a successor that was lost
		l.startAccepting()
		l.sidecar.accepting.Store(false)
	}
	l.Loop.After(stopAcceptDelay, l.stopListening)
}

// stopListening accepts the connections in the socket's queue and closes the socket.
func (l *lifecycle) stopListening() {
	l.stopAcceptLoop()
	l.sidecar.frontend.AcceptQueued(l.listener, l.sidecar.identify)
	l.listener.Close()
	l.sidecar.frontend.Quiesce() // closes connections accepted since Drain that have sent nothing
	l.WaitUntilDrained()
}

// CloseRemaining closes the connections that are still open after drainTimeout.
func (l *lifecycle) CloseRemaining() {
	l.sidecar.log.Warn("drain timeout, connections closed", "after", drainTimeout)
	l.sidecar.frontend.CloseAll()
}

// SendFailed does nothing: the end of the connection follows and is logged.
func (l *lifecycle) SendFailed(error) {}

// SuccessorLeaving stops sending cordons to the successor.
func (l *lifecycle) SuccessorLeaving(conn *takeover.Conn) { l.cordonPeers.remove(conn) }

// HandingOver does nothing: a sidecar applies no configuration that a handover would have to delay.
func (l *lifecycle) HandingOver(bool) {}
