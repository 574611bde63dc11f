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

// replyTimeout bounds each step of a hot restart in which a process only has to reply.
const replyTimeout = 5 * time.Second

// lifecycle takes a generation from its start to its end: it is the successor of another generation if one
// serves, then serves, and then is the predecessor of the next generation, which is in another process or in
// this one.
//
// The fields belong to the goroutine of run. Other goroutines post events to Loop.
type lifecycle struct {
	*generation
	*takeover.Lifecycle
	stopContext context.Context // ends the process; a field because the methods of takeover.Host have no context
	// inProcess reports whether the predecessor is in this process. If it is lost, this generation ends.
	inProcess bool
	serving   bool // reports whether this generation has started to serve

	onServing        func()            // called once this generation accepts connections
	onHandoverChange func(active bool) // called when a handover to a successor starts (active) and when it ends

	receivedOffer    offer          // the predecessor's offer
	offeredListeners []net.Listener // sockets in the order of the offer; nil for a socket that cannot be used
	earlyConns       []net.Conn     // connections that were handed over before this generation serves

	predecessors         int  // number of processes to which this one has connected as their successor
	addressInUseReported bool // see reportAddressInUse

	successorListener   *takeover.Listener // accepts connections of successors; nil if there is none
	successorAcceptLoop sync.WaitGroup     // the accept loop of successorListener
}

// offer is the message that a predecessor sends along with its listening sockets.
type offer struct {
	Listeners []string `json:"Listeners"` // addresses in the predecessor's file, in the order of the sockets
	Takeover  bool     `json:"Takeover"`  // reports whether the last socket is the one to which successors connect
	State     []byte   `json:"State"`     // the encoded snapshot
}

// newLifecycle returns the lifecycle of a generation. If predecessor is not nil, it is a connection to a
// generation in this process, and the new generation takes over from that one only.
func newLifecycle(stopContext context.Context, g *generation, predecessor *takeover.Conn) *lifecycle {
	takeoverSettings := g.options.Config.Takeover
	timeouts := decide.Times{
		Ready: clock.Micros(takeoverSettings.ReadyTimeout.Duration),
		Reply: clock.Micros(replyTimeout),
		Drain: clock.Micros(takeoverSettings.DrainTimeout.Duration),
	}
	l := &lifecycle{
		generation:       g,
		stopContext:      stopContext,
		inProcess:        predecessor != nil,
		onServing:        func() {},
		onHandoverChange: func(bool) {},
	}
	l.Lifecycle = takeover.NewLifecycle(l, g.frontend, timeouts, g.log)
	l.PredecessorConn = predecessor
	return l
}

// run starts the generation, as a successor or alone, and serves. It returns once every request has its final
// response or its connection has been handed over.
func (l *lifecycle) run() error {
	defer l.close()
	if err := l.startOrTakeOver(); err != nil {
		return err
	}
	return l.RunLoop(l.stopContext.Done(), l.onStop)
}

// close releases every socket and connection, and waits for the goroutines of this lifecycle. It may be called
// after a start that failed at any step.
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

// now returns the host's monotonic time, which is the same for all its processes.
func now() monotime.Micros { return takeover.Monotonic() }

// onStop handles the request to stop the process. A generation that does not serve yet ends at once.
func (l *lifecycle) onStop() {
	l.StepSuccessor(decide.Stop, "")
	if l.serving {
		l.StepPredecessor(decide.Stop)
		return
	}
	l.End(nil)
}

// startOrTakeOver starts the generation as the successor of the process or generation that serves, or alone if
// none does. It waits up to bindTimeout for an address in use: either its process ends, or it listens for successors.
func (l *lifecycle) startOrTakeOver() error {
	if l.inProcess {
		l.log.Info("hot restart started in this process")
		l.Connect(l.PredecessorConn)
		return nil
	}
	for deadline := time.Now().Add(bindTimeout); ; {
		predecessor, err := l.dialPredecessor()
		if err != nil {
			return err
		}
		if predecessor != nil {
			l.closeListeners() // the predecessor offers its own
			l.Connect(predecessor)
			return nil
		}
		err = l.serveAlone()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		l.reportAddressInUse(err)
		select {
		case <-time.After(bindRetryInterval):
		case <-l.stopContext.Done():
			return err
		}
	}
}

// maxPredecessors limits the processes to which one generation connects as their successor. Each but the last has ended
// before its offer.
const maxPredecessors = 8

// dialPredecessor connects to the process that listens for successors. It returns nil if there is none, or if
// maxPredecessors is reached.
func (l *lifecycle) dialPredecessor() (*takeover.Conn, error) {
	path := l.options.Config.Takeover.Socket
	if path == "" || l.predecessors == maxPredecessors {
		return nil, nil
	}
	conn, err := takeover.Dial(path)
	switch {
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("takeover: %s: %w", path, err)
	}
	l.predecessors++
	l.log.Info("hot restart started", "socket", path)
	return conn, nil
}

// reportAddressInUse logs the first error of serveAlone for which the start waits.
func (l *lifecycle) reportAddressInUse(err error) {
	if !l.addressInUseReported {
		l.addressInUseReported = true
		l.log.Info("address in use, start waits", "up to", bindTimeout, "error", err)
	}
}

// serveAlone starts the generation without a predecessor: it opens its listeners and serves at once. Requests
// are rejected until an endpoint list has been received. After an error, listeners that were opened stay open.
func (l *lifecycle) serveAlone() error {
	l.Successor.ServeAlone()
	if err := l.openListeners(nil, nil); err != nil {
		return err
	}
	l.generation.startBackground()
	l.StartServing()
	return nil
}

// joinFleet joins the fleet and starts the admin server. Failures are logged, and the instance serves without
// these parts.
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

// ReceiveCordons applies cordons that the other generation of a hot restart has sent. A generation that drains still
// sends queued requests and retries, and one whose successor is lost serves again.
func (l *lifecycle) ReceiveCordons(sender *takeover.Conn, payload []byte) {
	cordons, err := l.cordonPeers.Receive(sender, payload)
	if err != nil {
		l.log.Warn("cordons of the other process rejected", "error", err)
		return
	}
	l.core.ReceiveCordons(cordons...)
}
