package sidecar

import (
	"context"
	"net"

	"dunlinsail/internal/takeover"
)

// The methods in this file implement takeover.SuccessorHost: they execute the commands of the successor's state
// machine.

// ReceiveOffer stores the offered snapshot for StartWithOffer.
func (l *lifecycle) ReceiveOffer(m takeover.Message) { l.offeredSnapshot = m.Payload }

// StartWithOffer starts all parts of the sidecar, but does not accept clients yet. The watch for endpoint lists
// continues from the predecessor's generation, because a complete list might be older than the updates that the
// predecessor has received.
func (l *lifecycle) StartWithOffer() error {
	s := l.sidecar
	if state, err := takeover.DecodeState(l.offeredSnapshot); err == nil {
		if pool := state.Snapshot.Pool(""); pool != nil && pool.Source == s.config.Discovery {
			s.firstWatcher.StartAfter(pool.Generation)
			if pool.LacksCells() {
				s.firstWatcher.FetchFullListFirst()
			}
		}
	}
	s.start()
	s.core.ReceiveCordons(s.readCordons()...)
	snapshot := l.offeredSnapshot
	l.offeredSnapshot = nil
	l.restore(snapshot, "at the start")
	l.cordonPeers.Add(l.PredecessorConn)
	return nil
}

// WaitReady returns nil once an endpoint can serve requests, or an error if ctx ends before that.
func (l *lifecycle) WaitReady(ctx context.Context) error { return l.sidecar.core.WaitReady(ctx) }

// RestoreHandover restores the snapshot that the predecessor sent with the handover.
func (l *lifecycle) RestoreHandover(snapshot []byte) { l.restore(snapshot, "at the handover") }

// restore restores the predecessor's learned state from a snapshot. If the snapshot cannot be decoded, the error is
// logged and this process continues without that state. when is logged and names the step of the hot restart.
func (l *lifecycle) restore(snapshot []byte, when string) {
	log := l.sidecar.log
	state, err := takeover.DecodeState(snapshot)
	if err != nil {
		log.Warn("snapshot rejected", "when", when, "error", err)
		return
	}
	age := max(0, takeover.Monotonic()-state.TakenAt)
	l.sidecar.connPool.RestoreEvidence(state.Reuse, age)
	skipped := l.sidecar.core.Restore(state.Snapshot, age)
	log.Info("snapshot restored", "when", when, "skipped", skipped)
}

// StartAlone starts without a predecessor and serves. The only earlier state that it restores are the cordons in the
// shared folder.
func (l *lifecycle) StartAlone() error {
	l.sidecar.start()
	l.sidecar.core.ReceiveCordons(l.sidecar.readCordons()...)
	l.StartServing()
	return nil
}

// StartError returns nil, because a process that is stopped before it serves ends without an error.
func (l *lifecycle) StartError(string) error { return nil }

// StartServing starts to accept clients and successors of this process. It opens the socket for successors first,
// because a process that starts as soon as clients are served must be able to connect to this process.
func (l *lifecycle) StartServing() {
	log := l.sidecar.log
	l.listenForSuccessors()
	l.startedServing = true
	l.startAccepting()
	for _, conn := range l.earlyConns {
		l.sidecar.frontend.Adopt(conn, l.sidecar.identify)
	}
	l.earlyConns = nil
	log.Info("serving", "name", l.sidecar.config.Name, "listen", l.listener.Addr().String())
}

// listenForSuccessors opens the socket to which successors connect. It does nothing without a shared folder.
func (l *lifecycle) listenForSuccessors() {
	path := l.socketPath()
	if path == "" {
		return
	}
	listener, err := takeover.ListenReplacing(path)
	l.successorListener = listener
	if err != nil {
		l.sidecar.log.Error("hot restart socket not available", "error", err)
		return
	}
	l.Loop.Goroutines.Go(func() { l.AcceptSuccessors(context.Background(), listener, replyTimeout) })
}

// AdoptConnection serves a client connection that the predecessor has handed over, at once or as soon as this
// process serves. A process that has stopped accepting still serves the connection, because a request may already
// have arrived on it.
func (l *lifecycle) AdoptConnection(conn net.Conn) {
	if !l.startedServing {
		l.earlyConns = append(l.earlyConns, conn)
		return
	}
	l.sidecar.frontend.Adopt(conn, l.sidecar.identify)
	if l.Predecessor.Draining() && l.acceptResult == nil {
		l.sidecar.frontend.Quiesce() // closes the connection if no request has arrived on it
	}
}

// PredecessorLeaving stops sending cordons to the predecessor, and logs a warning if its connection was lost
// during the hot restart.
func (l *lifecycle) PredecessorLeaving(conn *takeover.Conn) {
	if !l.Successor.Serving() || l.Successor.ReceivesConnections() {
		l.sidecar.log.Warn("predecessor lost", "while", l.Successor.String())
	}
	l.cordonPeers.Remove(conn)
}
