package takeover

import (
	"context"
	"time"

	decide "dunlinsail/internal/decide/takeover"
)

// AcceptSuccessors accepts connections from processes that request a hot restart, until the listener is paused
// or closed. Each process must send Hello within helloTimeout, and does not block other processes until then.
// AcceptSuccessors may run on any goroutine. When ctx ends, connections on which no Hello has arrived are
// closed.
func (l *Lifecycle) AcceptSuccessors(ctx context.Context, listener *Listener, helloTimeout time.Duration) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.ReadHello(ctx, conn, helloTimeout)
	}
}

// ReadHello reads the first message of a connection on a separate goroutine. The goroutine ends when the
// message is received, at the timeout, or when ctx ends. Any goroutine may call ReadHello.
func (l *Lifecycle) ReadHello(ctx context.Context, conn *Conn, timeout time.Duration) {
	l.Loop.Goroutines.Go(func() {
		stopCloseOnEnd := context.AfterFunc(ctx, func() { conn.Close() })
		m, err := conn.ReadWithin(timeout)
		stopCloseOnEnd()
		m.CloseFiles()
		if err != nil || !l.Loop.Post(func() { l.onHello(conn, m) }) {
			conn.Close()
		}
	})
}

// onHello starts a hot restart as the predecessor of a process that has connected. It rejects that process if
// another hot restart is in progress or if the first message is invalid.
func (l *Lifecycle) onHello(conn *Conn, m Message) {
	reason := HelloRejectReason(m)
	if reason == "" && l.SuccessorConn != nil {
		reason = "another takeover is under way"
	}
	if reason != "" {
		l.log.Warn("successor rejected", "reason", reason)
		conn.Reject(reason)
		return
	}
	l.SuccessorConn = conn
	l.Loop.Read(conn, l.onSuccessorMessage)
	l.StepPredecessor(decide.Hello)
}

// onSuccessorMessage handles a message from the successor. It ignores messages from an earlier connection.
func (l *Lifecycle) onSuccessorMessage(conn *Conn, m Message) {
	m.CloseFiles()
	if conn != l.SuccessorConn {
		return
	}
	switch m.Kind {
	case Cordons:
		l.host.ReceiveCordons(conn, m.Payload)
		return
	case decide.Rejected, decide.ConnectionLost:
		l.log.Warn("hot restart ended by the other process",
			"while", l.Predecessor.String(), "reason", string(m.Payload))
	}
	l.StepPredecessor(m.Kind)
}

// StepPredecessor passes an event to the predecessor's state machine, and carries out the resulting steps.
func (l *Lifecycle) StepPredecessor(event decide.Event) {
	for _, step := range l.Predecessor.Step(now(), event) {
		l.log.Debug("takeover", "event", event.String(), "action", step.Action.String(),
			"message", step.Message.String())
		l.carryOutPredecessor(step)
	}
	if active := l.Predecessor.RejectsSuccessors(); active != l.handingOver {
		l.handingOver = active
		l.host.HandingOver(active)
	}
}

// carryOutPredecessor carries out one step of the predecessor's state machine.
func (l *Lifecycle) carryOutPredecessor(step decide.Step) {
	switch step.Action {
	case decide.Send:
		l.sendToSuccessor(step)
	case decide.Disconnect:
		disconnect(&l.SuccessorConn, l.host.SuccessorLeaving)
	case decide.StopAccepting:
		l.snapshot = l.host.StopAccepting()
	case decide.ResumeServing:
		l.log.Info("successor lost, serving again")
		l.StepSuccessor(decide.Resumed, "")
		l.drainedBeforePredecessor = false
		l.host.ResumeServing()
	case decide.HandOverConnections:
		l.host.HandOverConnections(l.SuccessorConn)
	case decide.Drain:
		l.host.Drain()
	case decide.DrainForSuccessor:
		l.log.Info("draining, another process serves")
		l.frontend.SetHandoff(nil)
		l.frontend.Quiesce()
		l.WaitUntilDrained()
	case decide.CloseRemaining:
		l.host.CloseRemaining()
	case decide.Exit:
		l.End(nil)
	}
}

// sendToSuccessor sends the message of a step to the successor. If the write fails, the hot restart ends as if
// the connection was lost.
func (l *Lifecycle) sendToSuccessor(step decide.Step) {
	if l.SuccessorConn == nil {
		return
	}
	m := Message{Kind: step.Message, Payload: []byte(step.Reason)}
	switch step.Message {
	case decide.Offer:
		l.log.Info("successor connected")
		m = l.host.Offer(l.SuccessorConn)
	case decide.Handover:
		m.Payload = l.snapshot
		l.snapshot = nil
	case decide.Activate:
		l.StepSuccessor(decide.HandedOver, "") // recorded before the successor starts to accept
		l.host.Activating()
		l.log.Info("handed over", "waiting for", "open requests and connections")
	}
	if err := l.SuccessorConn.Write(m); err != nil {
		l.host.SendFailed(err)
		l.Loop.PostConnectionLost(l.SuccessorConn, err, l.onSuccessorMessage)
	}
}
