package takeover

import (
	"context"
	"log/slog"
	"net"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/engine"
)

// Lifecycle carries out the hot restarts of one process: first as successor, if another process serves, and
// then as predecessor of the next. It exchanges the messages, steps both state machines of package
// decide/takeover and has its Host do what they say. Its fields and methods belong to the goroutine that runs
// the events of Loop, if nothing else is said.
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

	snapshot     []byte // that came from the predecessor, or is to go to the successor, with the handover
	drainedEarly bool   // no connection is served, but the predecessor may still hand some over
	handingOver  bool   // what the host was last notified of
	cancelWait   context.CancelFunc

	ended  bool
	result error
}

// NewLifecycle returns the lifecycle of a host's process. Both machines start with the zero state; OwnsSockets of the
// successor may be set before the lifecycle is used.
func NewLifecycle(host Host, frontend Frontend, times decide.Times, log *slog.Logger) *Lifecycle {
	l := &Lifecycle{host: host, frontend: frontend, log: log}
	l.Successor.Times = times
	l.Predecessor.Times = times
	l.Loop = NewLoop(l.onDeadline)
	return l
}

// Arm sets the loop's timer to the next deadline of both machines.
func (l *Lifecycle) Arm() { l.Loop.Arm(l.Successor.Deadline(), l.Predecessor.Deadline()) }

// End ends the process with a result. The first one counts.
func (l *Lifecycle) End(result error) {
	if l.ended {
		return
	}
	l.ended = true
	l.result = result
}

// Ended reports whether the process is over.
func (l *Lifecycle) Ended() bool { return l.ended }

// Result returns what the process ended with.
func (l *Lifecycle) Result() error { return l.result }

// CloseLoop closes the loop: no event is taken any more. It cancels what is waited for.
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

func (l *Lifecycle) onDeadline() {
	l.StepSuccessor(decide.DeadlineReached, "")
	l.StepPredecessor(decide.DeadlineReached)
}

// WaitUntilDrained steps the predecessor's machine once no connection is served and none will be handed to this
// process.
func (l *Lifecycle) WaitUntilDrained() {
	l.wait(l.frontend.WaitDrained, func() {
		l.drainedEarly = l.Successor.ReceivesConnections()
		if !l.drainedEarly {
			l.StepPredecessor(decide.Drained)
		}
	})
}

// CancelWait cancels the last wait that has begun.
func (l *Lifecycle) CancelWait() {
	if l.cancelWait != nil {
		l.cancelWait()
	}
}

// wait posts an event once a condition holds.
func (l *Lifecycle) wait(condition func(context.Context) error, event func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.Loop.Goroutines.Go(func() {
		if condition(ctx) == nil {
			l.Loop.Post(event)
		}
	})
}

// EncodeSnapshot returns the form of a snapshot, nil where it has none: the successor then starts with less.
func (l *Lifecycle) EncodeSnapshot(s *engine.Snapshot) []byte {
	state := State{TakenAt: now(), Snapshot: s}
	encoded, err := state.Encode()
	if err != nil {
		l.log.Error("snapshot not encoded", "error", err)
		return nil
	}
	return encoded
}

// adoptConnections passes the connections of a message to the host.
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
