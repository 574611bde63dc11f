package sidecar

import (
	"net"
	"time"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/takeover"
)

// successorStartGrace is how long a predecessor outlives the message that the successor is to serve, with
// nothing left to do: should the successor end in that step, the predecessor serves on. The platform leaves it
// 0.7 s.
const successorStartGrace = 500 * time.Millisecond

// The methods of this file carry out what the predecessor's state machine says (takeover.PredecessorHost).

// Offer returns what was learned so far.
func (l *lifecycle) Offer(successor *takeover.Conn) takeover.Message {
	snapshot := l.EncodeSnapshot(l.sidecar.core.Snapshot())
	l.cordonPeers.add(successor)
	return takeover.Message{Kind: decide.Offer, Payload: snapshot}
}

// StopAccepting pauses the accept loop, and returns what was learned.
func (l *lifecycle) StopAccepting() []byte {
	l.pause()
	return l.EncodeSnapshot(l.sidecar.core.SnapshotForHandover())
}

// Activating does nothing: the listening socket is the platform's.
func (l *lifecycle) Activating() {}

// HandOverConnections hands idle connections to the successor, and closes idle connections to endpoints: their
// descriptors are the successor's now.
func (l *lifecycle) HandOverConnections(successor *takeover.Conn) {
	l.sidecar.pool.SetKeepIdle(false)
	l.sidecar.front.SetHandoff(func(conn net.Conn) bool { return successor.HandOver(conn) == nil })
	l.Loop.After(successorStartGrace, func() {
		if l.SuccessorConn == successor { // else clients are served again here, or the process ends otherwise
			l.WaitUntilDrained()
		}
	})
}

// ResumeServing accepts again: the successor was lost.
func (l *lifecycle) ResumeServing() {
	l.sidecar.front.SetHandoff(nil)
	l.sidecar.core.CancelHandover()
	l.sidecar.pool.SetKeepIdle(true)
	l.CancelWait()
	l.accept()
}

// Drain ends what is open in order: clients still connect for a moment, and are served, with each answer closing its
// connection. Rejecting those that come meanwhile would fail them for nothing.
func (l *lifecycle) Drain() {
	l.sidecar.log.Info("draining")
	l.sidecar.accepting.Store(false)
	l.sidecar.front.SetHandoff(nil)
	if !l.stopRequested { // it is the successor that was told to stop
		l.answerInTime()
	}
	l.sidecar.front.Quiesce()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	if l.acceptResult == nil { // paused for a successor that is gone
		l.accept()
		l.sidecar.accepting.Store(false)
	}
	l.Loop.After(stopAcceptDelay, l.stopListening)
}

// stopListening accepts the rest of the socket's queue and closes it.
func (l *lifecycle) stopListening() {
	l.pause()
	l.sidecar.front.AcceptQueued(l.listener, l.sidecar.identify)
	l.listener.Close()
	l.sidecar.front.Quiesce() // connections accepted meanwhile that have sent nothing
	l.WaitUntilDrained()
}

// CloseRemaining closes what is still open at the end of the drain time.
func (l *lifecycle) CloseRemaining() {
	l.sidecar.log.Warn("drain timeout, connections closed", "after", drainTimeout)
	l.sidecar.front.CloseAll()
}

// SendFailed does nothing: the connection's end is logged.
func (l *lifecycle) SendFailed(error) {}

// SuccessorLeaving ends the exchange of cordons with the successor.
func (l *lifecycle) SuccessorLeaving(conn *takeover.Conn) { l.cordonPeers.remove(conn) }

// HandingOver does nothing: nobody else needs to know.
func (l *lifecycle) HandingOver(bool) {}
