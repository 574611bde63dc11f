package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/takeover"
)

// replyTimeout bounds the steps of a hot restart in which a process only answers.
const replyTimeout = 5 * time.Second

// lifecycle is the lifecycle of a generation from its start to its end: successor, if another generation serves, then
// serving, then predecessor of the next, in another process or in this one.
//
// Its fields belong to the goroutine of run; other goroutines post events to Loop.
type lifecycle struct {
	*generation
	*takeover.Lifecycle
	stopContext context.Context // of the process; kept because the methods of takeover.Host have no context
	inProcess   bool            // the predecessor is in this process: this generation takes over from it, or ends
	serving     bool

	onServing        func()            // called once it accepts
	onHandoverChange func(active bool) // called at the start and at the end of a handover to a successor

	receivedOffer    offer
	offeredListeners []net.Listener // in the offer's order; nil for one that cannot be used
	earlyConns       []net.Conn     // connections handed over before this generation accepts

	successorListener   *takeover.Listener
	successorAcceptLoop sync.WaitGroup // the accept loop of successorListener
}

// offer is what a predecessor offers with its listening sockets.
type offer struct {
	Listeners []string `json:"Listeners"` // addresses as in the predecessor's file, in the order of the sockets
	Takeover  bool     `json:"Takeover"`  // the last socket is the one at which successors connect
	State     []byte   `json:"State"`     // the encoded snapshot
}

// newLifecycle returns the lifecycle of a generation. A non-nil predecessor is in this process, and the generation
// takes over from no other.
func newLifecycle(stopContext context.Context, g *generation, predecessor *takeover.Conn) *lifecycle {
	settings := g.options.Config.Takeover
	times := decide.Times{
		Ready:  clock.Micros(settings.ReadyWithin.Duration),
		Answer: clock.Micros(replyTimeout),
		Drain:  clock.Micros(settings.DrainWithin.Duration),
	}
	l := &lifecycle{
		generation:       g,
		stopContext:      stopContext,
		inProcess:        predecessor != nil,
		onServing:        func() {},
		onHandoverChange: func(bool) {},
	}
	l.Lifecycle = takeover.NewLifecycle(l, g.front, times, g.log)
	l.PredecessorConn = predecessor
	return l
}

// run takes over or starts alone, serves, and returns once every request is answered or handed over.
func (l *lifecycle) run() error {
	defer l.close()
	if err := l.startOrTakeOver(); err != nil {
		return err
	}
	return l.RunLoop(l.stopContext.Done(), l.onStop)
}

// close releases every socket and connection, and waits for the goroutines of this lifecycle. It may be called after
// a start that failed at any step.
func (l *lifecycle) close() {
	l.CloseLoop()
	if l.successorListener != nil {
		l.successorListener.Close()
		l.successorAcceptLoop.Wait()
	}
	l.CloseConns()
	for _, listener := range l.offeredListeners {
		if listener != nil {
			listener.Close()
		}
	}
	for _, conn := range l.earlyConns {
		conn.Close()
	}
	l.generation.stopBackground()
	l.Loop.Goroutines.Wait()
}

// now returns the host's monotonic time, which all its processes read alike.
func now() monotime.Micros { return takeover.Monotonic() }

// onStop handles the order to stop. A generation that does not serve yet ends at once.
func (l *lifecycle) onStop() {
	l.StepSuccessor(decide.Stop, "")
	if l.serving {
		l.StepPredecessor(decide.Stop)
		return
	}
	l.End(nil)
}

// connect starts as the successor of the process that serves, or alone.
func (l *lifecycle) startOrTakeOver() error {
	if l.inProcess {
		l.log.Info("hot restart started in this process")
		l.Connect(l.PredecessorConn)
		return nil
	}
	path := l.options.Config.Takeover.Socket
	if path == "" {
		return l.serveAlone()
	}
	conn, err := takeover.Dial(path)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED):
		return l.serveAlone()
	default:
		return fmt.Errorf("takeover: %s: %w", path, err)
	}
	l.log.Info("hot restart started", "socket", path)
	l.Connect(conn)
	return nil
}

// serveAlone starts without a predecessor: it listens, and serves at once. Until an endpoint list has come, requests
// are rejected.
func (l *lifecycle) serveAlone() error {
	l.Successor.ServeAlone()
	if err := l.openListeners(l.stopContext, nil, nil, bindTimeout); err != nil {
		return err
	}
	l.generation.startBackground()
	l.StartServing()
	return nil
}

// joinFleet joins the fleet and starts the admin server. Failures are logged, and the instance serves on its own.
func (l *lifecycle) joinFleet() {
	if err := l.startConsensus(); err != nil {
		l.log.Error("consensus not started", "error", err)
	}
	if err := l.startGossip(); err != nil {
		l.log.Error("gossip not started", "error", err)
	}
	l.core.StartCoordination()
	if err := l.startAdminServer(); err != nil {
		l.log.Error("admin server not started", "error", err)
	}
}

// ReceiveCordons does nothing: a generation sends its cordons with the snapshot only.
func (l *lifecycle) ReceiveCordons([]byte) {}
