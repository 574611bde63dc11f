package takeover

import (
	"context"
	"log/slog"
	"net"

	"dunlinsail/internal/decide/reuse"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/engine"
)

// Lifecycle carries out the hot restarts of one process: first as successor, if another process serves, and then as
// predecessor of the next one. It exchanges the messages, steps both state machines of package decide/takeover, and
// carries out their steps with its Host. Its fields and methods belong to the goroutine that runs the events of Loop,
// except where a comment allows others.
type Lifecycle struct {
	Loop        *Loop
	Successor   decide.Successor
	Predecessor decide.Predecessor

	// PredecessorConn and SuccessorConn are the connections to the other processes; nil while there is none.
	PredecessorConn *Conn
	SuccessorConn   *Conn

	host     Host
	frontend Frontend
	log      *slog.Logger

	// snapshot is that of the handover, received from the predecessor or to be sent to the successor.
	snapshot                 []byte
	drainedBeforePredecessor bool               // no connection is served, but the predecessor may still hand some over
	handingOver              bool               // the latest value that Host.HandingOver was called with
	cancelWait               context.CancelFunc // of the latest wait; nil before the first

	ended  bool
	result error // valid if ended
}

// NewLifecycle returns the lifecycle of a host's process. Both state machines are in their first state; OwnsSockets of
// the successor may be set before the lifecycle is used.
func NewLifecycle(host Host, frontend Frontend, times decide.Times, log *slog.Logger) *Lifecycle {
	l := &Lifecycle{host: host, frontend: frontend, log: log}
	l.Successor.Times = times
	l.Predecessor.Times = times
	l.Loop = NewLoop(l.onDeadline)
	return l
}

// Arm sets the loop's timer to the earlier deadline of both state machines.
func (l *Lifecycle) Arm() { l.Loop.Arm(l.Successor.Deadline(), l.Predecessor.Deadline()) }

// End records the result with which RunLoop returns. Only the first call has an effect.
func (l *Lifecycle) End(result error) {
	if l.ended {
		return
	}
	l.ended = true
	l.result = result
}

// Ended reports whether End was called.
func (l *Lifecycle) Ended() bool { return l.ended }

// Result returns the result of the process, nil before its end.
func (l *Lifecycle) Result() error { return l.result }

// CloseLoop closes the loop, which runs no further event, and cancels the latest wait.
func (l *Lifecycle) CloseLoop() {
	l.Loop.Close()
	l.CancelWait()
}

// CloseConns closes the connections to the other processes.
func (l *Lifecycle) CloseConns() {
	for _, conn := range []*Conn{l.PredecessorConn, l.SuccessorConn} {
		if conn != nil {
			conn.Close()
		}
	}
}

// onDeadline steps both state machines, which ignore a deadline that is not theirs. A message that has arrived is
// handled first: if this process did not run for a while, the other one has not missed the deadline.
func (l *Lifecycle) onDeadline() {
	if !hasPendingMessage(l.PredecessorConn) || !l.Successor.MessageAtHand(now()) {
		l.stepSuccessorAtDeadline()
	}
	if !hasPendingMessage(l.SuccessorConn) || !l.Predecessor.MessageAtHand(now()) {
		l.StepPredecessor(decide.DeadlineReached)
	}
}

// hasPendingMessage is that of a connection, if there is one.
func hasPendingMessage(conn *Conn) bool { return conn != nil && conn.hasPendingMessage() }

// stepSuccessorAtDeadline steps the successor's state machine, and logs the state in which the deadline was missed.
func (l *Lifecycle) stepSuccessorAtDeadline() {
	stateBefore := l.Successor.String()
	l.StepSuccessor(decide.DeadlineReached, "")
	if stateAfter := l.Successor.String(); stateAfter != stateBefore {
		l.log.Warn("hot restart not completed in time", "while", stateBefore, "now", stateAfter)
	}
}

// WaitUntilDrained starts to wait until no connection is served, and then steps the predecessor's state machine, unless
// this process's own predecessor may still hand connections over.
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

// wait posts an event once a condition holds. The condition runs on a goroutine of its own, which ends with it or after
// CancelWait. The wait outlives the event that starts it, so its context has no parent.
func (l *Lifecycle) postWhenDone(condition func(context.Context) error, event func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.Loop.Goroutines.Go(func() {
		if condition(ctx) == nil {
			l.Loop.Post(event)
		}
	})
}

// EncodeSnapshot returns the encoded form of a snapshot, with the evidence on the reuse of connections to endpoints. It
// is nil if the encoding fails; the successor then starts without what was learned.
func (l *Lifecycle) EncodeSnapshot(s *engine.Snapshot, evidence *reuse.Snapshot) []byte {
	state := State{TakenAt: now(), Snapshot: s, Reuse: evidence}
	encoded, err := state.Encode()
	if err != nil {
		l.log.Error("snapshot not encoded", "error", err)
		return nil
	}
	return encoded
}

// adoptConnections passes the connections of a message to the host, and closes the message's files.
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

// disconnect closes the connection to another process, if there is one. leaving is called before.
func disconnect(conn **Conn, beforeClose func(*Conn)) {
	if *conn == nil {
		return
	}
	beforeClose(*conn)
	(*conn).Close()
	*conn = nil
}
