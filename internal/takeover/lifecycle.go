package takeover

import (
	"context"
	"log/slog"
	"net"

	"dunlinsail/internal/decide/reuse"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/engine"
)

// Lifecycle carries out the hot restarts of one process: first as the successor, if another process is serving,
// and later as the predecessor of the next process. It exchanges messages with the other process, passes events
// to both state machines of package decide/takeover, and carries out the resulting steps with its Host. Only
// the goroutine that runs the events of Loop may use the fields and methods, unless their comments state
// otherwise.
type Lifecycle struct {
	Loop        *Loop
	Successor   decide.Successor
	Predecessor decide.Predecessor

	// PredecessorConn and SuccessorConn are the connections to the other processes; nil if there is no
	// connection.
	PredecessorConn *Conn
	SuccessorConn   *Conn

	host     Host
	frontend Frontend
	log      *slog.Logger

	// snapshot is the encoded snapshot of a handover, received from the predecessor or to be sent to the
	// successor.
	snapshot []byte
	// drainedBeforePredecessor is set when this process has drained its connections while its own predecessor
	// may still hand connections over.
	drainedBeforePredecessor bool
	handingOver              bool               // argument of the latest call of Host.HandingOver
	cancelWait               context.CancelFunc // cancels the latest wait; nil before the first wait

	ended  bool
	result error // result of the process; valid if ended is true
}

// NewLifecycle returns the lifecycle of the process that host represents. Both state machines are in their
// initial state. Successor.OwnsSockets may be set before the lifecycle is used.
func NewLifecycle(host Host, frontend Frontend, times decide.Times, log *slog.Logger) *Lifecycle {
	l := &Lifecycle{host: host, frontend: frontend, log: log}
	l.Successor.Times = times
	l.Predecessor.Times = times
	l.Loop = NewLoop(l.onDeadline)
	return l
}

// Arm sets the loop's timer to the earlier of the deadlines of both state machines.
func (l *Lifecycle) Arm() { l.Loop.Arm(l.Successor.Deadline(), l.Predecessor.Deadline()) }

// End records the result that RunLoop returns. Only the first call has an effect.
func (l *Lifecycle) End(result error) {
	if l.ended {
		return
	}
	l.ended = true
	l.result = result
}

// Ended reports whether End was called.
func (l *Lifecycle) Ended() bool { return l.ended }

// Result returns the error with which the process ends. It is nil before the end.
func (l *Lifecycle) Result() error { return l.result }

// CloseLoop closes the loop, which then runs no more events, and cancels the latest wait.
func (l *Lifecycle) CloseLoop() {
	l.Loop.Close()
	l.CancelWait()
}

// CloseConns closes the connections to the predecessor and to the successor.
func (l *Lifecycle) CloseConns() {
	for _, conn := range []*Conn{l.PredecessorConn, l.SuccessorConn} {
		if conn != nil {
			conn.Close()
		}
	}
}

// onDeadline passes DeadlineReached to both state machines; a state machine whose own deadline has not passed
// ignores it. If a message from the other process has already arrived, the state machine may postpone its
// deadline so that the message is handled first: after a stall of this process, the other process has not
// missed the deadline.
func (l *Lifecycle) onDeadline() {
	if !hasPendingMessage(l.PredecessorConn) || !l.Successor.PostponeForPendingMessage(now()) {
		l.stepSuccessorAtDeadline()
	}
	if !hasPendingMessage(l.SuccessorConn) || !l.Predecessor.PostponeForPendingMessage(now()) {
		l.StepPredecessor(decide.DeadlineReached)
	}
}

// hasPendingMessage reports whether conn is not nil and has a pending message (Conn.hasPendingMessage).
func hasPendingMessage(conn *Conn) bool { return conn != nil && conn.hasPendingMessage() }

// stepSuccessorAtDeadline passes DeadlineReached to the successor's state machine. If that changes the state,
// it logs the state in which the deadline was missed.
func (l *Lifecycle) stepSuccessorAtDeadline() {
	stateBefore := l.Successor.String()
	l.StepSuccessor(decide.DeadlineReached, "")
	if stateAfter := l.Successor.String(); stateAfter != stateBefore {
		l.log.Warn("hot restart not completed in time", "while", stateBefore, "now", stateAfter)
	}
}

// WaitUntilDrained starts a wait on a separate goroutine until no connection is served. The predecessor's state
// machine then gets the event Drained, unless this process's own predecessor may still hand connections over.
func (l *Lifecycle) WaitUntilDrained() {
	l.postWhenDone(l.frontend.WaitDrained, func() {
		l.drainedBeforePredecessor = l.Successor.ReceivesConnections()
		if !l.drainedBeforePredecessor {
			l.StepPredecessor(decide.Drained)
		}
	})
}

// CancelWait cancels the latest wait, if there is one.
func (l *Lifecycle) CancelWait() {
	if l.cancelWait != nil {
		l.cancelWait()
	}
}

// postWhenDone calls condition on a separate goroutine, and posts event if it returns nil. CancelWait ends the
// context of condition. That context has no parent, because the wait outlives the event that starts it.
func (l *Lifecycle) postWhenDone(condition func(context.Context) error, event func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.Loop.Goroutines.Go(func() {
		if condition(ctx) == nil {
			l.Loop.Post(event)
		}
	})
}

// EncodeSnapshot returns the encoded form of a snapshot, together with the evidence on reusing connections to
// endpoints. It returns nil if the encoding fails; the successor then starts without learned state.
func (l *Lifecycle) EncodeSnapshot(snapshot *engine.Snapshot, evidence *reuse.Snapshot) []byte {
	state := State{TakenAt: now(), Snapshot: snapshot, Reuse: evidence}
	encoded, err := state.Encode()
	if err != nil {
		l.log.Error("snapshot not encoded", "error", err)
		return nil
	}
	return encoded
}

// adoptConnections passes the client connections that were received with a message to the host, and closes the
// files of the message.
func (l *Lifecycle) adoptConnections(m Message) {
	for _, file := range m.Files {
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			l.log.Warn("connection not adopted", "error", err)
			continue
		}
		l.host.AdoptConnection(conn)
	}
}

// disconnect closes the connection *conn, if there is one, and sets it to nil. It calls beforeClose first.
func disconnect(conn **Conn, beforeClose func(*Conn)) {
	if *conn == nil {
		return
	}
	beforeClose(*conn)
	(*conn).Close()
	*conn = nil
}
