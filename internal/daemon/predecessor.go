package daemon

import (
	"encoding/json"
	"net"
	"syscall"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/takeover"
)

// The methods of this file implement takeover.PredecessorHost. They carry out the commands of the predecessor's
// state machine.

// Offer returns the message that offers the listening sockets and the snapshot of the learned state to the
// successor. Cordons that are set after the snapshot are sent to the successor.
func (l *lifecycle) Offer(successor *takeover.Conn) takeover.Message {
	l.cordonPeers.Add(successor)
	offerMessage := offer{
		Takeover: l.successorListener != nil,
		State:    l.EncodeSnapshot(l.core.Snapshot(), l.upstreams.Evidence()),
	}
	var sockets []syscall.Conn
	for _, listener := range l.listeners {
		offerMessage.Listeners = append(offerMessage.Listeners, listener.config.Address)
		sockets = append(sockets, listener.socket.(syscall.Conn))
	}
	payload, err := json.Marshal(offerMessage)
	if err != nil {
		l.log.Error("offer not encoded", "error", err)
	}
	if l.successorListener != nil {
		sockets = append(sockets, l.successorListener.Socket())
	}
	return takeover.Message{Kind: decide.Offer, Payload: payload, Sockets: sockets}
}

// StopAccepting stops accepting connections, and leaves gossip and consensus so that the successor can take the
// place of this instance. It returns the encoded snapshot for the handover.
func (l *lifecycle) StopAccepting() []byte {
	for _, listener := range l.listeners {
		listener.pauseAccepting()
	}
	if l.successorListener != nil {
		l.successorListener.SetPaused(true)
		l.successorAcceptLoop.Wait()
	}
	snapshot := l.core.SnapshotForHandover()
	if snapshot != nil {
		snapshot.Fleet = l.core.HandOverCoordination()
	}
	l.stopAdminServer() // stopped before gossip and consensus, which the admin server reads
	if plan := l.stopConsensus(); plan != nil && snapshot != nil {
		relativePlan := *plan // its times are relative to now, because the successor has another clock
		relativePlan.LeaseEnd = plan.LeaseEnd - l.clock.Now()
		relativePlan.DrainDeadline = plan.DrainDeadline - l.clock.Now()
		snapshot.Maintenance = &relativePlan
	}
	l.stopGossip(false)
	return l.EncodeSnapshot(snapshot, l.upstreams.Evidence())
}

// Activating leaves the paths of unix sockets in place for the successor.
func (l *lifecycle) Activating() {
	for _, listener := range l.listeners {
		listener.setKeepPath(true)
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(true)
	}
}

// HandOverConnections hands each client connection over to the successor once the connection is idle.
func (l *lifecycle) HandOverConnections(successor *takeover.Conn) {
	l.frontend.SetHandoff(func(conn net.Conn) bool { return successor.HandOver(conn) == nil })
	l.WaitUntilDrained()
}

// ResumeServing accepts connections and joins the fleet again after the successor was lost.
func (l *lifecycle) ResumeServing() {
	l.frontend.SetHandoff(nil)
	l.core.CancelHandover()
	l.joinFleet()
	l.CancelWait()
	for _, listener := range l.listeners {
		listener.setKeepPath(false)
		listener.startAccepting(l.frontend)
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(false)
		l.acceptSuccessors()
	}
}

// Drain starts the graceful shutdown without a successor. The process continues to accept connections for
// stopAcceptDelay and serves their requests. Each response closes its connection, and endpoints that are
// warming up get no more requests.
func (l *lifecycle) Drain() {
	l.log.Info("draining")
	l.frontend.SetHandoff(nil)
	l.frontend.Quiesce()
	l.core.SnapshotForHandover() // called only because it stops requests to endpoints that are warming up
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	for _, listener := range l.listeners {
		listener.startAccepting(l.frontend) // the listener may be paused for a successor that was lost
	}
	l.Loop.After(stopAcceptDelay, func() {
		for _, listener := range l.listeners {
			listener.close()
		}
		l.frontend.Quiesce()
		l.WaitUntilDrained()
	})
}

// CloseRemaining ends what is still open after the duration of the setting takeover.drain_within.
func (l *lifecycle) CloseRemaining() {
	expired := l.frontend.CloseRemaining()
	l.log.Warn("drain timeout, connections closed", "requests_failed", expired)
}

// SendFailed logs that a message could not be sent to the successor.
func (l *lifecycle) SendFailed(err error) { l.log.Warn("message to successor not sent", "error", err) }

// SuccessorLeaving stops sending cordons to the successor.
func (l *lifecycle) SuccessorLeaving(conn *takeover.Conn) { l.cordonPeers.Remove(conn) }

// HandingOver notifies the process when a handover starts and when it ends.
func (l *lifecycle) HandingOver(active bool) { l.onHandoverChange(active) }
