package sidecar

import (
	"context"
	"net"

	"dunlinsail/internal/takeover"
)

// The methods of this file implement takeover.SuccessorHost: they carry out the commands of the successor's state
// machine.

// ReceiveOffer keeps the offered snapshot for StartWithOffer.
func (l *lifecycle) ReceiveOffer(m takeover.Message) { l.offeredSnapshot = m.Payload }

// StartWithOffer starts everything except accepting. The endpoint watch continues from the predecessor's generation,
// because a complete list might be older than the updates that the predecessor has received.
func (l *lifecycle) StartWithOffer() error {
	s := l.sidecar
	if state, err := takeover.DecodeState(l.offeredSnapshot); err == nil {
		if pool := state.Snapshot.Pool(""); pool != nil && pool.Source == s.config.Discovery {
			s.firstWatcher.StartAfter(pool.Generation)
		}
	}
	s.start()
	s.core.ReceiveCordons(s.readCordons()...)
	snapshot := l.offeredSnapshot
	l.offeredSnapshot = nil
	l.restore(snapshot, "at the start")
	l.cordonPeers.add(l.PredecessorConn)
	return nil
}

// WaitReady returns nil once an endpoint can serve, or an error once ctx ends.
func (l *lifecycle) WaitReady(ctx context.Context) error { return l.sidecar.core.WaitReady(ctx) }

// RestoreHandover restores the snapshot that came with the handover.
func (l *lifecycle) RestoreHandover(snapshot []byte) { l.restore(snapshot, "at the handover") }

// restore restores the state that the predecessor learned. A snapshot that cannot be decoded is logged, and this
// process starts without it.
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

// StartAlone starts without a predecessor and serves. Of earlier state it has the cordons in the shared folder only.
func (l *lifecycle) StartAlone() error {
	l.sidecar.start()
	l.sidecar.core.ReceiveCordons(l.sidecar.readCordons()...)
	l.StartServing()
	return nil
}

// StartError returns nil: a process that is stopped before it serves ends without an error.
func (l *lifecycle) StartError(string) error { return nil }

// StartServing accepts clients, and successors of this process. The socket for successors is there first: a process
// that starts once clients are served must find this one.
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

// listenForSuccessors opens the socket at which successors connect. Without a shared folder there is none.
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

// AdoptConnection serves a connection that the predecessor handed over, now or once this process serves. A process that
// has served and does not accept any more serves it, too: a request may have arrived on it.
func (l *lifecycle) AdoptConnection(conn net.Conn) {
	if !l.startedServing {
		l.earlyConns = append(l.earlyConns, conn)
		return
	}
	l.sidecar.frontend.Adopt(conn, l.sidecar.identify)
	if l.Predecessor.Draining() && l.acceptResult == nil {
		l.sidecar.frontend.Quiesce() // closes the connection if nothing has arrived on it
	}
}

// PredecessorLeaving stops sending cordons to the predecessor.
func (l *lifecycle) PredecessorLeaving(conn *takeover.Conn) {
	if !l.Successor.Serving() || l.Successor.ReceivesConnections() {
		l.sidecar.log.Warn("predecessor lost", "while", l.Successor.String())
	}
	l.cordonPeers.remove(conn)
}
