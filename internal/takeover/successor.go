package takeover

import (
	decide "dunlinsail/internal/decide/takeover"
)

// Connect starts a hot restart as the successor of the process at the other end of a connection.
func (l *Lifecycle) Connect(predecessor *Conn) {
	l.PredecessorConn = predecessor
	l.Loop.Read(predecessor, l.onPredecessorMessage)
	l.carryOutSuccessor(l.Successor.Connected(now()))
}

// onPredecessorMessage handles a message of the predecessor. Messages of an earlier connection are ignored.
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
		l.host.ReceiveCordons(m.Payload)
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

// StepSuccessor passes an event to the successor's state machine and carries out its steps. reason is that of Rejected.
func (l *Lifecycle) StepSuccessor(e decide.Event, reason string) {
	l.carryOutSuccessor(l.Successor.Step(now(), e, reason))
}

// carryOutSuccessor carries out steps of the successor's state machine, until the process has ended.
func (l *Lifecycle) carryOutSuccessor(steps []decide.Step) {
	for _, step := range steps {
		if l.ended {
			return
		}
		switch step.Action {
		case decide.Send:
			l.sendToPredecessor(step)
		case decide.Disconnect:
			disconnect(&l.PredecessorConn, l.host.PredecessorLeaving) // it may be lost already
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

// sendToPredecessor sends a step's message. A failure is detected as the end of the connection.
func (l *Lifecycle) sendToPredecessor(step decide.Step) {
	m := Message{Kind: step.Message, Payload: []byte(step.Reason)}
	if step.Message == decide.Hello {
		m = HelloMessage()
	}
	_ = l.PredecessorConn.Write(m)
}

// startWithOffer starts the host, and steps the successor's state machine once requests can be served.
func (l *Lifecycle) startWithOffer() {
	if err := l.host.StartWithOffer(); err != nil {
		_ = l.PredecessorConn.Write(Message{Kind: decide.Rejected, Payload: []byte(err.Error())})
		l.End(err)
		return
	}
	l.postWhenDone(l.host.WaitReady, func() { l.StepSuccessor(decide.Started, "") })
}
