package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/takeover"
)

// answerTime bounds the steps of a takeover that take no work.
const answerTimeout = 5 * time.Second

// life is the course of a generation from its start to its end: as taker, if another serves, and then as giver to the next,
// in another process or in this one. Its fields belong to the goroutine in run; others use events.
type lifecycle struct {
	*generation
	stopContext context.Context
	loop        *takeover.Loop

	onServing     func()         // called once it accepts
	onHandingOver func(yes bool) // called when it begins to hand over, and when nothing comes of that
	inProcess     bool           // to take over in this process, or to end
	handingOver   bool           // the last that busy was told

	successor        decide.Successor
	predecessorConn  *takeover.Conn // the giver; nil once there is none
	received         offer
	offeredListeners []net.Listener // listening sockets offered, in the offer's order
	earlyConns       []net.Conn     // connections handed over before we accept
	started          bool
	serving          bool

	predecessor       decide.Predecessor
	successorListener *takeover.Listener
	accepting         sync.WaitGroup // the accept loop of takeLn
	successorConn     *takeover.Conn // the taker; nil while there is none
	snapshot          []byte         // to go with Go
	drainedEarly      bool           // no connection is served, and our own giver may hand some over yet
	cancelWait        context.CancelFunc

	result error
	ended  bool
}

// offer is what a giver offers with its listening sockets.
type offer struct {
	Listeners []string `json:"Listeners"` // their addresses as the giver's file has them
	Takeover  bool     `json:"Takeover"`  // the last socket is the one for takers
	State     []byte   `json:"State"`
}

// newLife returns the life of a generation. With a connection to a giver in this process it takes over from that and from
// no other.
func newLifecycle(stop context.Context, d *generation, giver *takeover.Conn) *lifecycle {
	t := d.options.Config.Takeover
	times := decide.Times{Ready: clock.Micros(t.ReadyWithin.Duration), Answer: clock.Micros(answerTimeout),
		Drain: clock.Micros(t.DrainWithin.Duration)}
	l := &lifecycle{generation: d, stopContext: stop, predecessorConn: giver, inProcess: giver != nil,
		onServing: func() {}, onHandingOver: func(bool) {}, successor: decide.Successor{Times: times}, predecessor: decide.Predecessor{Times: times}}
	l.loop = takeover.NewLoop(l.onDeadline)
	return l
}

// run takes over or starts cold, serves, and ends.
func (l *lifecycle) run() error {
	defer l.close()
	if err := l.connect(); err != nil {
		return err
	}
	stopped := l.stopContext.Done()
	for !l.ended {
		l.loop.Arm(l.successor.Deadline(), l.predecessor.Deadline())
		select {
		case event := <-l.loop.Events:
			event()
		case <-stopped:
			stopped = nil
			l.onStop()
		}
	}
	return l.result
}

// finish gives everything back, whatever came before.
func (l *lifecycle) close() {
	l.loop.Close()
	if l.cancelWait != nil {
		l.cancelWait()
	}
	if l.successorListener != nil {
		l.successorListener.Close()
		l.accepting.Wait()
	}
	for _, c := range []*takeover.Conn{l.predecessorConn, l.successorConn} {
		if c != nil {
			c.Close()
		}
	}
	for _, ln := range l.offeredListeners {
		if ln != nil {
			ln.Close()
		}
	}
	for _, nc := range l.earlyConns {
		nc.Close()
	}
	l.generation.end()
	l.loop.Goroutines.Wait()
}

func now() monotime.Micros { return takeover.Monotonic() }

func (l *lifecycle) onDeadline() {
	l.stepSuccessor(decide.DeadlineReached, "")
	l.stepPredecessor(decide.DeadlineReached)
}

func (l *lifecycle) onStop() {
	if !l.serving {
		l.stepSuccessor(decide.Stop, "")
		if !l.ended {
			l.end(nil) // there was nothing yet
		}
		return
	}
	l.stepSuccessor(decide.Stop, "")
	l.stepPredecessor(decide.Stop)
}

func (l *lifecycle) end(err error) {
	if !l.ended {
		l.ended, l.result = true, err
	}
}

// begin asks whoever serves to hand over, or starts alone.
func (l *lifecycle) connect() error {
	path := l.options.Config.Takeover.Socket
	if l.predecessorConn != nil {
		l.log.Info("taking over in this process")
		l.loop.Read(l.predecessorConn, l.onPredecessorMessage)
		l.runSuccessorSteps(l.successor.Connected(now()))
		return nil
	}
	if path == "" {
		return l.startAlone()
	}
	c, err := takeover.Dial(path)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED):
		return l.startAlone()
	default:
		return errorf("takeover: %s: %w", path, err)
	}
	l.predecessorConn = c
	l.log.Info("taking over", "socket", path)
	l.loop.Read(c, l.onPredecessorMessage)
	l.runSuccessorSteps(l.successor.Connected(now()))
	return nil
}

// ---- Taking over -----------------------------------------------------------

func (l *lifecycle) onPredecessorMessage(c *takeover.Conn, m takeover.Message) {
	if c != l.predecessorConn {
		m.CloseFiles()
		return
	}
	switch m.Kind {
	case decide.Offer:
		l.inheritListeners(m)
	case takeover.ConnectionHandedOver:
		l.adoptConnections(m)
		return
	case decide.Handover:
		l.snapshot = m.Payload
	}
	m.CloseFiles()
	l.stepSuccessor(m.Kind, string(m.Payload))
	if l.drainedEarly && !l.successor.ReceivesConnections() {
		l.drainedEarly = false
		l.waitUntilDrained()
	}
}

func (l *lifecycle) stepSuccessor(e decide.Event, reason string) {
	l.runSuccessorSteps(l.successor.Step(now(), e, reason))
}

func (l *lifecycle) runSuccessorSteps(steps []decide.Step) {
	for _, s := range steps {
		if l.ended {
			return
		}
		switch s.Action {
		case decide.Send:
			m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
			if s.Message == decide.Hello {
				m = takeover.HelloMessage()
			}
			l.predecessorConn.Write(m) // a failure shows as the connection's end
		case decide.Disconnect:
			l.predecessorConn.Close()
			l.predecessorConn = nil
		case decide.StartWithOffer:
			if err := l.startWithOffer(); err != nil {
				l.predecessorConn.Write(takeover.Message{Kind: decide.Rejected, Payload: []byte(err.Error())})
				l.end(err)
			}
		case decide.RestoreState:
			l.restore(l.decodeSnapshot(l.snapshot, "at the handover"), "at the handover")
			l.snapshot = nil
		case decide.StartServing:
			l.serve()
		case decide.StartAlone:
			if l.inProcess {
				l.end(errorf("what served in this process has ended"))
			} else if err := l.startAlone(); err != nil {
				l.end(err)
			}
		case decide.Fail:
			if l.stopContext.Err() != nil {
				l.end(nil) // we were told to stop before we began
				return
			}
			l.end(errorf("takeover: %s", s.Reason))
		}
	}
}

// inherit takes the listening sockets that are offered.
func (l *lifecycle) inheritListeners(m takeover.Message) {
	if err := json.Unmarshal(m.Payload, &l.received); err != nil {
		l.log.Warn("what is offered makes no sense", "error", err)
		l.received = offer{}
	}
	for i, f := range m.Files {
		if l.received.Takeover && i == len(m.Files)-1 {
			ln, err := takeover.FromFile(f)
			if err != nil {
				l.log.Warn("socket for takers not taken over", "error", err)
				continue
			}
			l.successorListener = ln
			continue
		}
		ln, err := net.FileListener(f)
		if err != nil {
			l.log.Warn("listening socket not taken over", "error", err)
		}
		l.offeredListeners = append(l.offeredListeners, ln) // nil in its place
	}
	l.received.Listeners = l.received.Listeners[:min(len(l.received.Listeners), len(l.offeredListeners))]
}

// startWith starts with what was offered, and tells once requests could be served.
func (l *lifecycle) startWithOffer() error {
	var names []string
	for i, name := range l.received.Listeners {
		if l.offeredListeners[i] == nil {
			name = "" // not to be had
		}
		names = append(names, name)
	}
	if err := l.listen(l.stopContext, l.offeredListeners, names, 0); err != nil {
		return err
	}
	s := l.decodeSnapshot(l.received.State, "at the start")
	if s != nil {
		// The watch goes on where the giver's stands: a whole list might be older than what it has told.
		for name, p := range l.pools {
			if from := s.Snapshot.Pool(name); from != nil && p.firstWatcher != nil && from.Source == p.config.Source() {
				p.firstWatcher.StartAfter(from.Generation)
			}
		}
	}
	l.generation.start()
	l.restore(s, "at the start")
	l.notifyWhenReady()
	return nil
}

// ready tells once the core could serve.
func (l *lifecycle) notifyWhenReady() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.goroutines.Go(func() {
		if l.core.WaitReady(ctx) == nil {
			l.loop.Post(func() {
				l.started = true
				l.stepSuccessor(decide.Started, "")
			})
		}
	})
}

// decode reads what the giver learned. What cannot be taken is told and left: then we begin with less.
func (l *lifecycle) decodeSnapshot(text []byte, when string) *takeover.State {
	s, err := takeover.DecodeState(text)
	if err != nil {
		l.log.Warn("beginning with less", "when", when, "error", err)
		return nil
	}
	return s
}

func (l *lifecycle) restore(s *takeover.State, when string) {
	if s == nil {
		return
	}
	age := max(0, takeover.Monotonic()-s.TakenAt)
	passed := l.core.Restore(s.Snapshot, age)
	if o := s.Snapshot.Maintenance; o != nil {
		from := l.clock.Now() - age
		l.inheritedPlan = &engine.MaintenancePlan{Stopped: o.Stopped, Announced: o.Announced, LeaseEnd: from + o.LeaseEnd, DrainDeadline: from + o.DrainDeadline}
		l.core.ApplyMaintenancePlan(*l.inheritedPlan)
	}
	l.log.Info("what the other process learned is taken over", "when", when, "pools", len(s.Snapshot.Pools),
		"passed over", passed)
}

// adopt takes a connection over. It comes from a listener that we have, or it is closed.
func (l *lifecycle) adoptConnections(m takeover.Message) {
	for _, f := range m.Files {
		nc, err := net.FileConn(f)
		f.Close()
		if err != nil {
			l.log.Warn("connection not taken over", "error", err)
			continue
		}
		if !l.serving {
			l.earlyConns = append(l.earlyConns, nc)
			continue
		}
		l.adoptConnection(nc)
	}
}

func (l *lifecycle) adoptConnection(nc net.Conn) {
	for _, ln := range l.listeners {
		if a, b := ln.socket.Addr(), nc.LocalAddr(); a.Network() == b.Network() && a.String() == b.String() {
			l.front.Adopt(nc, ln.identify)
			return
		}
	}
	l.log.Warn("a connection of a listener that is not ours any more is closed", "listener", nc.LocalAddr().String())
	nc.Close()
}

// cold starts with nothing: it listens, and serves once discovery has told of an endpoint.
func (l *lifecycle) startAlone() error {
	l.successor.ServeAlone()
	if err := l.listen(l.stopContext, nil, nil, bindTimeout); err != nil {
		return err
	}
	l.generation.start()
	l.serve()
	return nil
}

// serve accepts clients, and takers where that is wanted.
func (l *lifecycle) serve() {
	l.serving = true
	l.joinFleet()
	for _, ln := range l.listeners {
		ln.keepPath(false)
		ln.accept(l.front)
	}
	for i, ln := range l.offeredListeners { // offered, and not in our file
		if ln != nil {
			if u, ok := ln.(*net.UnixListener); ok {
				u.SetUnlinkOnClose(true)
			}
			ln.Close()
			l.offeredListeners[i] = nil
		}
	}
	for _, nc := range l.earlyConns {
		l.adoptConnection(nc)
	}
	l.earlyConns = nil
	path := l.options.Config.Takeover.Socket
	if l.successorListener != nil && l.successorListener.Path() != path {
		l.successorListener.KeepPath(false)
		l.successorListener.Close()
		l.successorListener = nil
	}
	if path != "" && l.successorListener == nil {
		ln, err := takeover.Listen(path)
		if err != nil {
			l.log.Error("no process will be able to take over from this one", "socket", path, "error", err)
		} else {
			l.successorListener = ln
		}
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(false)
		l.acceptSuccessors()
	}
	l.log.Info("serving", "name", l.options.Config.Name, "listeners", l.addresses(), "pid", os.Getpid())
	l.onServing()
}

// together has the instance be among the others of its fleet, and operators be served. That either is not to be had is told, and
// no reason not to serve: the instance goes on by itself.
func (l *lifecycle) joinFleet() {
	if err := l.startConsensus(); err != nil {
		l.log.Error("machines that go out for work are not known here", "error", err)
	}
	if err := l.startGossip(); err != nil {
		l.log.Error("this instance knows of no others, and goes on with its least", "error", err)
	}
	l.core.StartCoordination()
	if err := l.serveAdmin(); err != nil {
		l.log.Error("operators' calls are not served", "error", err)
	}
}

// ---- Handing over ----------------------------------------------------------

func (l *lifecycle) acceptSuccessors() {
	l.successorListener.Pause(false)
	ln := l.successorListener
	l.accepting.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.readHello(c)
		}
	})
}

// meet hears what whoever connected wants. One that says nothing keeps nobody from taking over.
func (l *lifecycle) readHello(c *takeover.Conn) {
	l.goroutines.Go(func() {
		end := context.AfterFunc(l.ctx, func() { c.Close() })
		m, err := c.ReadWithin(answerTimeout)
		end()
		m.CloseFiles()
		if err != nil || !l.loop.Post(func() { l.onSuccessorHello(c, m) }) {
			c.Close()
		}
	})
}

// begins begins with a taker, if there is none yet.
func (l *lifecycle) onSuccessorHello(c *takeover.Conn, m takeover.Message) {
	why := takeover.HelloProblem(m)
	if why == "" && l.successorConn != nil {
		why = "another takeover is under way"
	}
	if why != "" {
		l.log.Warn("a process that wants to take over is turned away", "reason", why)
		c.Reject(why)
		return
	}
	l.successorConn = c
	l.loop.Read(c, l.onSuccessorMessage)
	l.stepPredecessor(decide.Hello)
}

func (l *lifecycle) onSuccessorMessage(c *takeover.Conn, m takeover.Message) {
	m.CloseFiles()
	if c != l.successorConn {
		return
	}
	if m.Kind == decide.Rejected || m.Kind == decide.ConnectionLost {
		l.log.Warn("takeover ended by the other process", "while", l.predecessor.String(), "reason", string(m.Payload))
	}
	l.stepPredecessor(m.Kind)
}

func (l *lifecycle) disconnectSuccessor() {
	if l.successorConn != nil {
		l.successorConn.Close()
		l.successorConn = nil
	}
}

func (l *lifecycle) stepPredecessor(e decide.Event) {
	for _, s := range l.predecessor.Step(now(), e) {
		l.log.Debug("takeover", "event", e.String(), "action", s.Action.String(), "message", s.Message.String())
		switch s.Action {
		case decide.Send:
			l.sendToSuccessor(s)
		case decide.Disconnect:
			l.disconnectSuccessor()
		case decide.StopAccepting:
			l.stopAccepting()
		case decide.ResumeServing:
			l.resumeServing()
		case decide.HandOverConnections:
			l.handOverConnections()
		case decide.Drain:
			l.drain()
		case decide.DrainForSuccessor:
			l.log.Info("ending, another process serves")
			l.front.Release(nil)
			l.front.Quiesce()
			l.waitUntilDrained()
		case decide.CloseRemaining:
			l.log.Warn("what is still open is ended: takeover.drain_within is over")
			l.front.Cut()
		case decide.Exit:
			l.end(nil)
		}
	}
	if yes := l.predecessor.HandingOver(); yes != l.handingOver {
		l.handingOver = yes
		l.onHandingOver(yes)
	}
}

func (l *lifecycle) sendToSuccessor(s decide.Step) {
	if l.successorConn == nil {
		return
	}
	m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
	switch s.Message {
	case decide.Offer:
		m = l.offerMessage()
	case decide.Handover:
		m.Payload, l.snapshot = l.snapshot, nil
	case decide.Activate:
		l.stepSuccessor(decide.HandedOver, "") // before the other side accepts
		// From here on the paths of unix sockets are the taker's.
		for _, ln := range l.listeners {
			ln.keepPath(true)
		}
		if l.successorListener != nil {
			l.successorListener.KeepPath(true)
		}
		l.log.Info("handed over", "waiting for", "open requests and connections")
	}
	if err := l.successorConn.Write(m); err != nil {
		l.log.Warn("takeover", "error", err)
		l.loop.PostConnectionLost(l.successorConn, err, l.onSuccessorMessage)
	}
}

// offer is what a taker is offered: the sockets, and what we know so far.
func (l *lifecycle) offerMessage() takeover.Message {
	l.log.Info("another wants to take over")
	o := offer{Takeover: l.successorListener != nil, State: l.encodeSnapshot(l.core.Snapshot())}
	var socks []syscall.Conn
	for _, ln := range l.listeners {
		o.Listeners = append(o.Listeners, ln.config.Address)
		socks = append(socks, ln.socket.(syscall.Conn))
	}
	text, err := json.Marshal(o)
	if err != nil {
		l.log.Error("offer", "error", err)
	}
	if l.successorListener != nil {
		socks = append(socks, l.successorListener.Socket())
	}
	return takeover.Message{Kind: decide.Offer, Payload: text, Sockets: socks}
}

// closeFront accepts nothing more and leaves to the taker what it will need.
func (l *lifecycle) stopAccepting() {
	for _, ln := range l.listeners {
		ln.pause()
	}
	if l.successorListener != nil {
		l.successorListener.Pause(true)
		l.accepting.Wait()
	}
	s := l.core.SnapshotForHandover()
	if s != nil {
		s.Fleet = l.core.HandOverCoordination()
	}
	l.stopServingAdmin() // before what it asks is taken from it
	if o := l.stopConsensus(); o != nil && s != nil {
		left := *o
		left.LeaseEnd, left.DrainDeadline = o.LeaseEnd-l.clock.Now(), o.DrainDeadline-l.clock.Now()
		s.Maintenance = &left
	}
	l.stopGossip(false)
	l.snapshot = l.encodeSnapshot(s)
}

func (l *lifecycle) resumeServing() {
	l.log.Info("serving on, as before")
	l.stepSuccessor(decide.Resumed, "")
	l.drainedEarly = false
	l.front.Release(nil)
	l.core.CancelHandover()
	l.joinFleet()
	if l.cancelWait != nil {
		l.cancelWait()
	}
	for _, ln := range l.listeners {
		ln.keepPath(false)
		ln.accept(l.front)
	}
	if l.successorListener != nil {
		l.successorListener.KeepPath(false)
		l.acceptSuccessors()
	}
}

// release hands connections over as they come to rest, and tells once there are none left.
func (l *lifecycle) handOverConnections() {
	to := l.successorConn
	l.front.Release(func(nc net.Conn) bool { return to.HandOver(nc) == nil })
	l.waitUntilDrained()
}

// drain ends what is open in order: whoever still connects is served for a moment, each answer closes its
// connection, and cold endpoints get nothing more.
func (l *lifecycle) drain() {
	l.log.Info("stopping")
	l.front.Release(nil)
	l.front.Quiesce()
	l.core.SnapshotForHandover()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	for _, ln := range l.listeners {
		ln.accept(l.front) // it may have been paused for a taker that is gone; more than once is once
	}
	l.loop.After(stopAcceptDelay, func() {
		for _, ln := range l.listeners {
			ln.close()
		}
		l.front.Quiesce()
		l.waitUntilDrained()
	})
}

// drained tells once no connection is served any more, and none will be handed to us.
func (l *lifecycle) waitUntilDrained() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.goroutines.Go(func() {
		if l.front.Wait(ctx) == nil {
			l.loop.Post(func() {
				if l.drainedEarly = l.successor.ReceivesConnections(); !l.drainedEarly {
					l.stepPredecessor(decide.Drained)
				}
			})
		}
	})
}

// encode returns the form of what we know, nothing where it has none: the taker then begins with less.
func (l *lifecycle) encodeSnapshot(s *engine.Snapshot) []byte {
	state := takeover.State{TakenAt: takeover.Monotonic(), Snapshot: s}
	text, err := state.Encode()
	if err != nil {
		l.log.Error("what was learned cannot be handed over", "error", err)
		return nil
	}
	return text
}
