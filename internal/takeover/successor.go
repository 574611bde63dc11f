package takeover

import (
	decide "dunlinsail/internal/decide/takeover"
)

// Connect starts a hot restart with this process as the successor. predecessor is the connection to the
// predecessor.
func (l *Lifecycle) Connect(predecessor *Conn) {
	l.PredecessorConn = predecessor
	l.Loop.Read(predecessor, l.onPredecessorMessage)
	l.carryOutSuccessor(l.Successor.Connected(now()))
}

// onPredecessorMessage handles a message from the predecessor. It ignores messages from an earlier connection.
func (l *Lifecycle) onPredecessorMessage(conn *Conn, m Message) {
	if conn != l.PredecessorConn {
		m.CloseFiles()
		return
	}
	switch m.Kind {
	case ConnectionHandedOver:
		l.adoptConnections(m)
		return
	case Cordons:
		m.CloseFiles()
		l.host.ReceiveCordons(conn, m.Payload)
		return
	case decide.Offer:
		l.host.ReceiveOffer(m)
	case decide.Handover:
		l.snapshot = m.Payload
	}
	m.CloseFiles()
	l.StepSuccessor(m.Kind, string(m.Payload))
	if l.drainedBeforePredecessor && !l.Successor.ReceivesConnections() {
		l.drainedBeforePredecessor = false
		l.WaitUntilDrained()
	}
}

// StepSuccessor passes an event to the successor's state machine, and carries out the resulting steps. reason
// is the reason of the event Rejected, and empty for other events.
func (l *Lifecycle) StepSuccessor(event decide.Event, reason string) {
	l.carryOutSuccessor(l.Successor.Step(now(), event, reason))
}

// carryOutSuccessor carries out steps of the successor's state machine. It stops early if a step ends the
// process.
func (l *Lifecycle) carryOutSuccessor(steps []decide.Step) {
	for _, step := range steps {
		if l.ended {
			return
		}
		switch step.Action {
		case decide.Send:
			l.sendToPredecessor(step)
		case decide.Disconnect:
			disconnect(&l.PredecessorConn, l.host.PredecessorLeaving) // the connection may be closed already
		case decide.StartWithOffer:
			l.startWithOffer()
		case decide.RestoreState:
			snapshot := l.snapshot
			l.snapshot = nil
			l.host.RestoreHandover(snapshot)
		case decide.StartServing:
			l.host.StartServing()
		case decide.StartAlone:
			if err := l.host.StartAlone(); err != nil {
				l.End(err)
			}
		case decide.Fail:
			l.End(l.host.StartError(step.Reason))
		}
	}
}

// sendToPredecessor sends the message of a step to the predecessor. A failed write is ignored, because the end
// of the connection is reported to onPredecessorMessage.
func (l *Lifecycle) sendToPredecessor(step decide.Step) {
	m := Message{Kind: step.Message, Payload: []byte(step.Reason)}
	if step.Message == decide.Hello {
		m = HelloMessage()
	}
	_ = l.PredecessorConn.Write(m)
}

// startWithOffer starts the host with the predecessor's offer. Once the host is ready, it passes the event
// Started to the successor's state machine. If the start fails, it sends Rejected to the predecessor and ends
// the process.
func (l *Lifecycle) startWithOffer() {
	if err := l.host.StartWithOffer(); err != nil {
		_ = l.PredecessorConn.Write(Message{Kind: decide.Rejected, Payload: []byte(err.Error())})
		l.End(err)
		return
	}
	l.postWhenDone(l.host.WaitReady, func() { l.StepSuccessor(decide.Started, "") })
}
