package sidecar

import (
	"net"
	"time"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/takeover"
)

// successorStartGrace is the minimum time for which a predecessor stays alive after it has activated the
// successor, even without open connections: if the successor ends within this time, the predecessor resumes
// serving. It is below the 0.7 s after which the platform kills the predecessor.
const successorStartGrace = 500 * time.Millisecond

// The methods in this file implement takeover.PredecessorHost: they execute the commands of the predecessor's state
// machine.

// Offer returns the message with the snapshot of the learned state, and adds the successor to the processes to which
// new cordons are sent.
func (l *lifecycle) Offer(successor *takeover.Conn) takeover.Message {
	snapshot := l.EncodeSnapshot(l.sidecar.core.Snapshot(), l.sidecar.connPool.Evidence())
	l.cordonPeers.Add(successor)
	return takeover.Message{Kind: decide.Offer, Payload: snapshot}
}

// StopAccepting stops the accept loop and returns the encoded snapshot for the handover.
func (l *lifecycle) StopAccepting() []byte {
	l.stopAcceptLoop()
	return l.EncodeSnapshot(l.sidecar.core.SnapshotForHandover(), l.sidecar.connPool.Evidence())
}

// Activating does nothing, because the platform owns the listening socket and the successor already has it.
func (l *lifecycle) Activating() {}

// HandOverConnections hands each client connection to the successor as soon as the connection is idle, and closes
// idle connections to endpoints, because from now on the successor may use the descriptors.
func (l *lifecycle) HandOverConnections(successor *takeover.Conn) {
	l.sidecar.connPool.SetKeepIdle(false)
	l.sidecar.frontend.SetHandoff(func(conn net.Conn) bool { return successor.HandOver(conn) == nil })
	l.Loop.After(successorStartGrace, func() {
		if l.SuccessorConn == successor { // otherwise the successor has ended, and this process serves again or drains
			l.WaitUntilDrained()
		}
	})
}

// ResumeServing accepts clients again after the connection to the successor was lost.
func (l *lifecycle) ResumeServing() {
	l.sidecar.frontend.SetHandoff(nil)
	l.sidecar.core.CancelHandover()
	l.sidecar.connPool.SetKeepIdle(true)
	l.CancelWait()
	l.startAccepting()
}

// Drain starts a graceful shutdown without a successor. The process still accepts for stopAcceptDelay, because
// clients still connect after a stop request, and serves the requests of these connections. Each response closes
// its connection.
func (l *lifecycle) Drain() {
	l.sidecar.log.Info("draining")
	l.sidecar.accepting.Store(false)
	l.sidecar.frontend.SetHandoff(nil)
	if !l.stopRequested { // the successor was stopped, so the platform's time limit applies to this process, too
		l.limitResponseTime()
	}
	l.sidecar.frontend.Quiesce()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	if l.acceptResult == nil { // the accept loop was stopped for a successor that has ended since
		l.startAccepting()
		l.sidecar.accepting.Store(false)
	}
	l.Loop.After(stopAcceptDelay, l.stopListening)
}

// stopListening accepts the connections that are still in the socket's accept queue, and closes the socket.
func (l *lifecycle) stopListening() {
	l.stopAcceptLoop()
	l.sidecar.frontend.AcceptQueued(l.listener, l.sidecar.identify)
	l.listener.Close()
	l.sidecar.frontend.Quiesce() // closes connections that were accepted since Drain and have sent no request
	l.WaitUntilDrained()
}

// CloseRemaining ends what is still open after drainTimeout.
func (l *lifecycle) CloseRemaining() {
	expired := l.sidecar.frontend.CloseRemaining()
	l.sidecar.log.Warn("drain timeout, connections closed", "after", drainTimeout, "requests_failed", expired)
}

// SendFailed does nothing, because a failed send is always followed by the end of the connection, which is logged.
func (l *lifecycle) SendFailed(error) {}

// SuccessorLeaving stops sending cordons to the successor.
func (l *lifecycle) SuccessorLeaving(conn *takeover.Conn) { l.cordonPeers.Remove(conn) }

// HandingOver does nothing, because a sidecar applies no configuration that has to wait for the end of a handover.
func (l *lifecycle) HandingOver(bool) {}
