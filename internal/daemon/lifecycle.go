package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/takeover"
)

// answerTimeout bounds the steps of a hot restart that take no work.
const answerTimeout = 5 * time.Second

// lifecycle is the lifecycle of a generation from its start to its end: successor, if another generation serves, then
// serving, then predecessor of the next, in another process or in this one.
//
// Its fields belong to the goroutine of run; others post events to the loop.
type lifecycle struct {
	*generation
	*takeover.Lifecycle
	stop      context.Context
	inProcess bool // the predecessor is in this process: this generation takes over from it, or ends
	serving   bool

	onServing     func()         // called once it accepts
	onHandingOver func(yes bool) // called when a successor is served, and when it is not any more

	offer            offer
	offeredListeners []net.Listener // in the offer's order; nil for one that cannot be used
	earlyConns       []net.Conn     // connections handed over before this generation accepts

	successorListener *takeover.Listener
	accepting         sync.WaitGroup // the accept loop of successorListener
}

// offer is what a predecessor offers with its listening sockets.
type offer struct {
	Listeners []string `json:"Listeners"` // their addresses as the predecessor's file has them
	Takeover  bool     `json:"Takeover"`  // the last socket is the one for successors
	State     []byte   `json:"State"`     // the encoded snapshot
}

// newLifecycle returns the lifecycle of a generation. With a connection to a predecessor in this process it
// takes over from that and from no other.
func newLifecycle(stop context.Context, g *generation, predecessor *takeover.Conn) *lifecycle {
	settings := g.options.Config.Takeover
	times := decide.Times{
		Ready:  clock.Micros(settings.ReadyWithin.Duration),
		Answer: clock.Micros(answerTimeout),
		Drain:  clock.Micros(settings.DrainWithin.Duration),
	}
	l := &lifecycle{
		generation:    g,
		stop:          stop,
		inProcess:     predecessor != nil,
		onServing:     func() {},
		onHandingOver: func(bool) {},
	}
	l.Lifecycle = takeover.NewLifecycle(l, g.front, times, g.log)
	l.PredecessorConn = predecessor
	return l
}

// run takes over or starts alone, serves, and returns once all is answered or handed over.
func (l *lifecycle) run() error {
	defer l.close()
	if err := l.connect(); err != nil {
		return err
	}
	return l.RunLoop(l.stop.Done(), l.onStop)
}

// close releases everything, whatever came before.
func (l *lifecycle) close() {
	l.CloseLoop()
	if l.successorListener != nil {
		l.successorListener.Close()
		l.accepting.Wait()
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

func now() monotime.Micros { return takeover.Monotonic() }

func (l *lifecycle) onStop() {
	l.StepSuccessor(decide.Stop, "")
	if l.serving {
		l.StepPredecessor(decide.Stop)
		return
	}
	l.End(nil) // nothing was served yet
}

// connect starts as the successor of the process that serves, or alone.
func (l *lifecycle) connect() error {
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
		return errorf("takeover: %s: %w", path, err)
	}
	l.log.Info("hot restart started", "socket", path)
	l.Connect(conn)
	return nil
}

// serveAlone starts with nothing: it listens, and serves once discovery has sent an endpoint.
func (l *lifecycle) serveAlone() error {
	l.Successor.ServeAlone()
	if err := l.listen(l.stop, nil, nil, bindTimeout); err != nil {
		return err
	}
	l.generation.startBackground()
	l.StartServing()
	return nil
}

// joinFleet joins the fleet and serves operators. That either cannot be had is logged, and no reason not to
// serve: the instance goes on by itself.
func (l *lifecycle) joinFleet() {
	if err := l.startConsensus(); err != nil {
		l.log.Error("consensus not started", "error", err)
	}
	if err := l.startGossip(); err != nil {
		l.log.Error("gossip not started", "error", err)
	}
	l.core.StartCoordination()
	if err := l.serveAdmin(); err != nil {
		l.log.Error("admin server not started", "error", err)
	}
}

// ReceiveCordons does nothing: a generation sends its cordons with the snapshot only.
func (l *lifecycle) ReceiveCordons([]byte) {}
