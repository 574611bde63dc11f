package daemon

import (
	"encoding/json"
	"net"
	"syscall"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/takeover"
)

// The methods of this file carry out what the predecessor's state machine says (takeover.PredecessorHost).

// Offer returns what a successor is offered: the sockets, and what was learned so far.
func (l *lifecycle) Offer(*takeover.Conn) takeover.Message {
	offered := offer{Takeover: l.successorListener != nil, State: l.EncodeSnapshot(l.core.Snapshot())}
	var sockets []syscall.Conn
	for _, listener := range l.listeners {
		offered.Listeners = append(offered.Listeners, listener.config.Address)
		sockets = append(sockets, listener.socket.(syscall.Conn))
	}
	payload, err := json.Marshal(offered)
	if err != nil {
		l.log.Error("offer", "error", err)
	}
	if l.successorListener != nil {
		sockets = append(sockets, l.successorListener.Socket())
	}
	return takeover.Message{Kind: decide.Offer, Payload: payload, Sockets: sockets}
}

// StopAccepting accepts nothing more, leaves the fleet's places to the successor and returns the snapshot.
func (l *lifecycle) StopAccepting() []byte {
	for _, listener := range l.listeners {
		listener.pause()
	}
	if l.successorListener != nil {
		l.successorListener.SetPaused(true)
		l.accepting.Wait()
	}
	snapshot := l.core.SnapshotForHandover()
	if snapshot != nil {
		snapshot.Fleet = l.core.HandOverCoordination()
	}
	l.stopServingAdmin() // before what it reads is stopped
	if plan := l.stopConsensus(); plan != nil && snapshot != nil {
		remaining := *plan
		remaining.LeaseEnd = plan.LeaseEnd - l.clock.Now()
		remaining.DrainDeadline = plan.DrainDeadline - l.clock.Now()
		snapshot.Maintenance = &remaining
	}
	l.stopGossip(false)
	return l.EncodeSnapshot(snapshot)
}

// Activating leaves the paths of unix sockets to the successor.
func (l *lifecycle) Activating() {
	for _, listener := range l.listeners {
		listener.keepPath(true)
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(true)
	}
}

// HandOverConnections hands idle connections to the successor.
func (l *lifecycle) HandOverConnections(successor *takeover.Conn) {
	l.front.SetHandoff(func(conn net.Conn) bool { return successor.HandOver(conn) == nil })
	l.WaitUntilDrained()
}

// ResumeServing accepts again: the successor was lost.
func (l *lifecycle) ResumeServing() {
	l.front.SetHandoff(nil)
	l.core.CancelHandover()
	l.joinFleet()
	l.CancelWait()
	for _, listener := range l.listeners {
		listener.keepPath(false)
		listener.accept(l.front)
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(false)
		l.acceptSuccessors()
	}
}

// Drain ends what is open in order: clients that still connect are served for a moment, each answer closes its
// connection, and endpoints that are warming up get nothing more.
func (l *lifecycle) Drain() {
	l.log.Info("draining")
	l.front.SetHandoff(nil)
	l.front.Quiesce()
	l.core.SnapshotForHandover()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	for _, listener := range l.listeners {
		listener.accept(l.front) // it may have been paused for a successor that is gone
	}
	l.Loop.After(stopAcceptDelay, func() {
		for _, listener := range l.listeners {
			listener.close()
		}
		l.front.Quiesce()
		l.WaitUntilDrained()
	})
}

// CloseRemaining closes what is still open at the end of takeover.drain_within.
func (l *lifecycle) CloseRemaining() {
	l.log.Warn("drain timeout, connections closed")
	l.front.CloseAll()
}

// SendFailed logs that a message could not be written to the successor.
func (l *lifecycle) SendFailed(err error) { l.log.Warn("takeover", "error", err) }

// SuccessorLeaving does nothing: the machine's own events are enough.
func (l *lifecycle) SuccessorLeaving(*takeover.Conn) {}

// HandingOver notes for the process whether a successor is served.
func (l *lifecycle) HandingOver(yes bool) { l.onHandingOver(yes) }
