package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/takeover"
)

// The methods of this file implement takeover.SuccessorHost. They carry out the commands of the successor's
// state machine.

// ReceiveOffer stores the offered snapshot and adopts the offered sockets. If a socket cannot be adopted, this
// is logged and the generation opens a socket of its own.
func (l *lifecycle) ReceiveOffer(m takeover.Message) {
	if err := json.Unmarshal(m.Payload, &l.receivedOffer); err != nil {
		l.log.Warn("offer rejected", "error", err)
		l.receivedOffer = offer{}
	}
	for i, file := range m.Files {
		if l.receivedOffer.Takeover && i == len(m.Files)-1 {
			listener, err := takeover.ListenerFromFile(file)
			if err != nil {
				l.log.Warn("successor socket not adopted", "error", err)
				continue
			}
			l.successorListener = listener
			continue
		}
		listener, err := net.FileListener(file)
		if err != nil {
			l.log.Warn("listener not adopted", "error", err)
		}
		l.offeredListeners = append(l.offeredListeners, listener)
	}
	l.receivedOffer.Listeners = l.receivedOffer.Listeners[:min(len(l.receivedOffer.Listeners), len(l.offeredListeners))]
}

// StartWithOffer starts everything except accepting connections, with the offered sockets and the offered
// snapshot.
func (l *lifecycle) StartWithOffer() error {
	var offeredNames []string
	for i, name := range l.receivedOffer.Listeners {
		if l.offeredListeners[i] == nil {
			name = "" // an empty name matches no configured listener
		}
		offeredNames = append(offeredNames, name)
	}
	if err := l.openListeners(l.offeredListeners, offeredNames); err != nil {
		return err
	}
	state := l.decodeState(l.receivedOffer.State, "at the start")
	if state != nil {
		l.resumeWatches(state.Snapshot)
	}
	l.generation.startBackground()
	l.restoreState(state, "at the start")
	l.cordonPeers.Add(l.PredecessorConn)
	return nil
}

// resumeWatches lets the discovery watches continue from the predecessor's generations of the endpoint lists. A
// complete list might be older than the updates that the predecessor has already received.
func (l *lifecycle) resumeWatches(snapshot *engine.Snapshot) {
	for name, p := range l.pools {
		poolSnapshot := snapshot.Pool(name)
		if poolSnapshot != nil && p.firstWatcher != nil && poolSnapshot.Source == p.config.Source() {
			p.firstWatcher.StartAfter(poolSnapshot.Generation)
			if poolSnapshot.LacksCells() {
				p.firstWatcher.FetchFullListFirst()
			}
		}
	}
}

// WaitReady returns nil once an endpoint can serve requests, or an error once ctx ends.
func (l *lifecycle) WaitReady(ctx context.Context) error { return l.core.WaitReady(ctx) }

// RestoreHandover restores the snapshot that the predecessor sent with the handover.
func (l *lifecycle) RestoreHandover(snapshot []byte) {
	l.restoreState(l.decodeState(snapshot, "at the handover"), "at the handover")
}

// decodeState decodes a snapshot. It logs a snapshot that cannot be decoded and returns nil, and the generation
// then runs without the predecessor's learned state.
func (l *lifecycle) decodeState(encoded []byte, phase string) *takeover.State {
	state, err := takeover.DecodeState(encoded)
	if err != nil {
		l.log.Warn("snapshot rejected", "when", phase, "error", err)
		return nil
	}
	return state
}

// restoreState restores the predecessor's learned state and maintenance plan. It does nothing if state is nil.
func (l *lifecycle) restoreState(state *takeover.State, phase string) {
	if state == nil {
		return
	}
	snapshotAge := max(0, takeover.Monotonic()-state.TakenAt)
	l.upstreams.RestoreEvidence(state.Reuse, snapshotAge)
	skipped := l.core.Restore(state.Snapshot, snapshotAge)
	if plan := state.Snapshot.Maintenance; plan != nil {
		takenAt := l.clock.Now() - snapshotAge
		l.inheritedPlan = &engine.MaintenancePlan{
			Excluded:      plan.Excluded,
			Announced:     plan.Announced,
			LeaseEnd:      takenAt + plan.LeaseEnd,
			DrainDeadline: takenAt + plan.DrainDeadline,
		}
		l.core.ApplyMaintenancePlan(*l.inheritedPlan)
	}
	l.log.Info("snapshot restored", "when", phase, "pools", len(state.Snapshot.Pools), "skipped", skipped)
}

// StartAlone starts the generation after its predecessor ended before the offer. If that one has handed over to another
// process, this generation takes over from that process. It returns an error if the generation was to take over from
// another generation in this process.
func (l *lifecycle) StartAlone() error {
	if l.inProcess {
		return errors.New("what served in this process has ended")
	}
	return l.startOrTakeOver()
}

// StartError returns the error of a generation that ends before it serves, or nil if the process was stopped.
func (l *lifecycle) StartError(reason string) error {
	if l.stopContext.Err() != nil {
		return nil
	}
	return fmt.Errorf("takeover: %s", reason)
}

// StartServing joins the fleet, accepts connections of clients, and accepts connections of successors if the
// configuration has a socket for them.
func (l *lifecycle) StartServing() {
	l.serving = true
	l.joinFleet()
	l.listenForSuccessors() // called first: a process that starts once clients are served must find this one
	for _, listener := range l.listeners {
		listener.setKeepPath(false)
		listener.startAccepting(l.frontend)
	}
	l.closeUnusedListeners()
	for _, conn := range l.earlyConns {
		l.serveHandedOver(conn)
	}
	l.earlyConns = nil
	l.log.Info("serving", "name", l.options.Config.Name, "listeners", l.addresses(), "pid", os.Getpid())
	l.onServing()
}

// closeUnusedListeners closes the offered sockets that no listener of this generation's configuration uses.
func (l *lifecycle) closeUnusedListeners() {
	for i, listener := range l.offeredListeners {
		if listener == nil {
			continue
		}
		if unixListener, ok := listener.(*net.UnixListener); ok {
			unixListener.SetUnlinkOnClose(true)
		}
		listener.Close()
		l.offeredListeners[i] = nil
	}
}

// listenForSuccessors accepts successors at the configured path. It uses the predecessor's socket if that has
// the same path.
func (l *lifecycle) listenForSuccessors() {
	path := l.options.Config.Takeover.Socket
	if l.successorListener != nil && l.successorListener.Path() != path {
		l.successorListener.KeepPath(false)
		l.successorListener.Close()
		l.successorListener = nil
	}
	if path != "" && l.successorListener == nil {
		listener, err := takeover.Listen(path)
		if err != nil {
			l.log.Error("hot restart socket not available", "socket", path, "error", err)
		} else {
			l.successorListener = listener
		}
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(false)
		l.acceptSuccessors()
	}
}

// acceptSuccessors starts the accept loop for successors. The goroutine of the loop ends when the listener is
// paused or closed.
func (l *lifecycle) acceptSuccessors() {
	listener := l.successorListener
	listener.SetPaused(false)
	l.successorAcceptLoop.Go(func() { l.AcceptSuccessors(l.ctx, listener, replyTimeout) })
}

// AdoptConnection serves a connection that the predecessor handed over: at once, or as soon as this generation
// serves.
func (l *lifecycle) AdoptConnection(conn net.Conn) {
	if !l.serving {
		l.earlyConns = append(l.earlyConns, conn)
		return
	}
	l.serveHandedOver(conn)
}

// serveHandedOver serves a connection that was accepted at the address of one of this generation's listeners.
// It closes a connection that was accepted at any other address.
func (l *lifecycle) serveHandedOver(conn net.Conn) {
	localAddr := conn.LocalAddr()
	for _, listener := range l.listeners {
		addr := listener.socket.Addr()
		if addr.Network() == localAddr.Network() && addr.String() == localAddr.String() {
			l.frontend.Adopt(conn, listener.identify)
			return
		}
	}
	l.log.Warn("connection of a removed listener closed", "listener", localAddr.String())
	conn.Close()
}

// PredecessorLeaving stops sending cordons to the predecessor.
func (l *lifecycle) PredecessorLeaving(conn *takeover.Conn) { l.cordonPeers.Remove(conn) }
