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
const answerTime = 5 * time.Second

// life is the course of a generation from its start to its end: as taker, if another serves, and then as giver to the next,
// in another process or in this one. Its fields belong to the goroutine in run; others use events.
type life struct {
	*generation
	stop context.Context
	loop *takeover.Loop

	began func()         // called once it accepts
	busy  func(yes bool) // called when it begins to hand over, and when nothing comes of that
	bound bool           // to take over in this process, or to end
	told  bool           // the last that busy was told

	taker    decide.Successor
	from     *takeover.Conn // the giver; nil once there is none
	offered  offer
	files    []net.Listener // listening sockets offered, in the offer's order
	taken    []net.Conn     // connections handed over before we accept
	started  bool
	accepted bool

	giver   decide.Predecessor
	takeLn  *takeover.Listener
	takes   sync.WaitGroup // the accept loop of takeLn
	to      *takeover.Conn // the taker; nil while there is none
	state   []byte         // to go with Go
	emptied bool           // no connection is served, and our own giver may hand some over yet
	waiting context.CancelFunc

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
func newLife(stop context.Context, d *generation, giver *takeover.Conn) *life {
	t := d.o.Config.Takeover
	times := decide.Times{Ready: clock.Micros(t.ReadyWithin.Duration), Answer: clock.Micros(answerTime),
		Drain: clock.Micros(t.DrainWithin.Duration)}
	l := &life{generation: d, stop: stop, from: giver, bound: giver != nil,
		began: func() {}, busy: func(bool) {}, taker: decide.Successor{Times: times}, giver: decide.Predecessor{Times: times}}
	l.loop = takeover.NewLoop(l.woken)
	return l
}

// run takes over or starts cold, serves, and ends.
func (l *life) run() error {
	defer l.finish()
	if err := l.begin(); err != nil {
		return err
	}
	stopped := l.stop.Done()
	for !l.ended {
		l.loop.Arm(l.taker.Deadline(), l.giver.Deadline())
		select {
		case event := <-l.loop.Events:
			event()
		case <-stopped:
			stopped = nil
			l.stopped()
		}
	}
	return l.result
}

// finish gives everything back, whatever came before.
func (l *life) finish() {
	l.loop.Close()
	if l.waiting != nil {
		l.waiting()
	}
	if l.takeLn != nil {
		l.takeLn.Close()
		l.takes.Wait()
	}
	for _, c := range []*takeover.Conn{l.from, l.to} {
		if c != nil {
			c.Close()
		}
	}
	for _, ln := range l.files {
		if ln != nil {
			ln.Close()
		}
	}
	for _, nc := range l.taken {
		nc.Close()
	}
	l.generation.end()
	l.loop.Goroutines.Wait()
}

func now() monotime.Micros { return takeover.Monotonic() }

func (l *life) woken() {
	l.takerStep(decide.DeadlineReached, "")
	l.giverStep(decide.DeadlineReached)
}

func (l *life) stopped() {
	if !l.accepted {
		l.takerStep(decide.Stop, "")
		if !l.ended {
			l.end(nil) // there was nothing yet
		}
		return
	}
	l.takerStep(decide.Stop, "")
	l.giverStep(decide.Stop)
}

func (l *life) end(err error) {
	if !l.ended {
		l.ended, l.result = true, err
	}
}

// begin asks whoever serves to hand over, or starts alone.
func (l *life) begin() error {
	path := l.o.Config.Takeover.Socket
	if l.from != nil {
		l.log.Info("taking over in this process")
		l.loop.Read(l.from, l.fromGiver)
		l.takerSteps(l.taker.Connected(now()))
		return nil
	}
	if path == "" {
		return l.cold()
	}
	c, err := takeover.Dial(path)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED):
		return l.cold()
	default:
		return errf("takeover: %s: %w", path, err)
	}
	l.from = c
	l.log.Info("taking over", "socket", path)
	l.loop.Read(c, l.fromGiver)
	l.takerSteps(l.taker.Connected(now()))
	return nil
}

// ---- Taking over -----------------------------------------------------------

func (l *life) fromGiver(c *takeover.Conn, m takeover.Message) {
	if c != l.from {
		m.CloseFiles()
		return
	}
	switch m.Kind {
	case decide.Offer:
		l.inherit(m)
	case takeover.ConnectionHandedOver:
		l.adopt(m)
		return
	case decide.Handover:
		l.state = m.Payload
	}
	m.CloseFiles()
	l.takerStep(m.Kind, string(m.Payload))
	if l.emptied && !l.taker.ReceivesConnections() {
		l.emptied = false
		l.drained()
	}
}

func (l *life) takerStep(e decide.Event, reason string) {
	l.takerSteps(l.taker.Step(now(), e, reason))
}

func (l *life) takerSteps(steps []decide.Step) {
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
			l.from.Write(m) // a failure shows as the connection's end
		case decide.Disconnect:
			l.from.Close()
			l.from = nil
		case decide.StartWithOffer:
			if err := l.startWith(); err != nil {
				l.from.Write(takeover.Message{Kind: decide.Rejected, Payload: []byte(err.Error())})
				l.end(err)
			}
		case decide.RestoreState:
			l.restore(l.decode(l.state, "at the handover"), "at the handover")
			l.state = nil
		case decide.StartServing:
			l.serve()
		case decide.StartAlone:
			if l.bound {
				l.end(errf("what served in this process has ended"))
			} else if err := l.cold(); err != nil {
				l.end(err)
			}
		case decide.Fail:
			if l.stop.Err() != nil {
				l.end(nil) // we were told to stop before we began
				return
			}
			l.end(errf("takeover: %s", s.Reason))
		}
	}
}

// inherit takes the listening sockets that are offered.
func (l *life) inherit(m takeover.Message) {
	if err := json.Unmarshal(m.Payload, &l.offered); err != nil {
		l.log.Warn("what is offered makes no sense", "error", err)
		l.offered = offer{}
	}
	for i, f := range m.Files {
		if l.offered.Takeover && i == len(m.Files)-1 {
			ln, err := takeover.FromFile(f)
			if err != nil {
				l.log.Warn("socket for takers not taken over", "error", err)
				continue
			}
			l.takeLn = ln
			continue
		}
		ln, err := net.FileListener(f)
		if err != nil {
			l.log.Warn("listening socket not taken over", "error", err)
		}
		l.files = append(l.files, ln) // nil in its place
	}
	l.offered.Listeners = l.offered.Listeners[:min(len(l.offered.Listeners), len(l.files))]
}

// startWith starts with what was offered, and tells once requests could be served.
func (l *life) startWith() error {
	var names []string
	for i, name := range l.offered.Listeners {
		if l.files[i] == nil {
			name = "" // not to be had
		}
		names = append(names, name)
	}
	if err := l.listen(l.stop, l.files, names, 0); err != nil {
		return err
	}
	s := l.decode(l.offered.State, "at the start")
	if s != nil {
		// The watch goes on where the giver's stands: a whole list might be older than what it has told.
		for name, p := range l.pools {
			if from := s.Snapshot.Pool(name); from != nil && p.watch != nil && from.Source == p.conf.Source() {
				p.watch.StartAfter(from.Generation)
			}
		}
	}
	l.generation.start()
	l.restore(s, "at the start")
	l.ready()
	return nil
}

// ready tells once the core could serve.
func (l *life) ready() {
	ctx, cancel := context.WithCancel(context.Background())
	l.waiting = cancel
	l.beside.Go(func() {
		if l.core.WaitReady(ctx) == nil {
			l.loop.Post(func() {
				l.started = true
				l.takerStep(decide.Started, "")
			})
		}
	})
}

// decode reads what the giver learned. What cannot be taken is told and left: then we begin with less.
func (l *life) decode(text []byte, when string) *takeover.State {
	s, err := takeover.DecodeState(text)
	if err != nil {
		l.log.Warn("beginning with less", "when", when, "error", err)
		return nil
	}
	return s
}

func (l *life) restore(s *takeover.State, when string) {
	if s == nil {
		return
	}
	age := max(0, takeover.Monotonic()-s.TakenAt)
	passed := l.core.Restore(s.Snapshot, age)
	if o := s.Snapshot.Maintenance; o != nil {
		from := l.clk.Now() - age
		l.inherited = &engine.MaintenancePlan{Stopped: o.Stopped, Announced: o.Announced, LeaseEnd: from + o.LeaseEnd, DrainDeadline: from + o.DrainDeadline}
		l.core.ApplyMaintenancePlan(*l.inherited)
	}
	l.log.Info("what the other process learned is taken over", "when", when, "pools", len(s.Snapshot.Pools),
		"passed over", passed)
}

// adopt takes a connection over. It comes from a listener that we have, or it is closed.
func (l *life) adopt(m takeover.Message) {
	for _, f := range m.Files {
		nc, err := net.FileConn(f)
		f.Close()
		if err != nil {
			l.log.Warn("connection not taken over", "error", err)
			continue
		}
		if !l.accepted {
			l.taken = append(l.taken, nc)
			continue
		}
		l.serveConn(nc)
	}
}

func (l *life) serveConn(nc net.Conn) {
	for _, ln := range l.listeners {
		if a, b := ln.ln.Addr(), nc.LocalAddr(); a.Network() == b.Network() && a.String() == b.String() {
			l.front.Adopt(nc, ln.identify)
			return
		}
	}
	l.log.Warn("a connection of a listener that is not ours any more is closed", "listener", nc.LocalAddr().String())
	nc.Close()
}

// cold starts with nothing: it listens, and serves once discovery has told of an endpoint.
func (l *life) cold() error {
	l.taker.ServeAlone()
	if err := l.listen(l.stop, nil, nil, bindFor); err != nil {
		return err
	}
	l.generation.start()
	l.serve()
	return nil
}

// serve accepts clients, and takers where that is wanted.
func (l *life) serve() {
	l.accepted = true
	l.together()
	for _, ln := range l.listeners {
		ln.keep(false)
		ln.accept(l.front)
	}
	for i, ln := range l.files { // offered, and not in our file
		if ln != nil {
			if u, ok := ln.(*net.UnixListener); ok {
				u.SetUnlinkOnClose(true)
			}
			ln.Close()
			l.files[i] = nil
		}
	}
	for _, nc := range l.taken {
		l.serveConn(nc)
	}
	l.taken = nil
	path := l.o.Config.Takeover.Socket
	if l.takeLn != nil && l.takeLn.Path() != path {
		l.takeLn.KeepPath(false)
		l.takeLn.Close()
		l.takeLn = nil
	}
	if path != "" && l.takeLn == nil {
		ln, err := takeover.Listen(path)
		if err != nil {
			l.log.Error("no process will be able to take over from this one", "socket", path, "error", err)
		} else {
			l.takeLn = ln
		}
	}
	if l.takeLn != nil {
		l.takeLn.KeepPath(false)
		l.acceptTakers()
	}
	l.log.Info("serving", "name", l.o.Config.Name, "listeners", l.addresses(), "pid", os.Getpid())
	l.began()
}

// together has the instance be among the others of its fleet, and operators be served. That either is not to be had is told, and
// no reason not to serve: the instance goes on by itself.
func (l *life) together() {
	if err := l.settles(); err != nil {
		l.log.Error("machines that go out for work are not known here", "error", err)
	}
	if err := l.joinOthers(); err != nil {
		l.log.Error("this instance knows of no others, and goes on with its least", "error", err)
	}
	l.core.StartCoordination()
	if err := l.operate(); err != nil {
		l.log.Error("operators' calls are not served", "error", err)
	}
}

// ---- Handing over ----------------------------------------------------------

func (l *life) acceptTakers() {
	l.takeLn.Pause(false)
	ln := l.takeLn
	l.takes.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.meet(c)
		}
	})
}

// meet hears what whoever connected wants. One that says nothing keeps nobody from taking over.
func (l *life) meet(c *takeover.Conn) {
	l.beside.Go(func() {
		end := context.AfterFunc(l.ctx, func() { c.Close() })
		m, err := c.ReadWithin(answerTime)
		end()
		m.CloseFiles()
		if err != nil || !l.loop.Post(func() { l.begins(c, m) }) {
			c.Close()
		}
	})
}

// begins begins with a taker, if there is none yet.
func (l *life) begins(c *takeover.Conn, m takeover.Message) {
	why := takeover.HelloProblem(m)
	if why == "" && l.to != nil {
		why = "another takeover is under way"
	}
	if why != "" {
		l.log.Warn("a process that wants to take over is turned away", "reason", why)
		c.Reject(why)
		return
	}
	l.to = c
	l.loop.Read(c, l.fromTaker)
	l.giverStep(decide.Hello)
}

func (l *life) fromTaker(c *takeover.Conn, m takeover.Message) {
	m.CloseFiles()
	if c != l.to {
		return
	}
	if m.Kind == decide.Rejected || m.Kind == decide.ConnectionLost {
		l.log.Warn("takeover ended by the other process", "while", l.giver.String(), "reason", string(m.Payload))
	}
	l.giverStep(m.Kind)
}

func (l *life) hangUp() {
	if l.to != nil {
		l.to.Close()
		l.to = nil
	}
}

func (l *life) giverStep(e decide.Event) {
	for _, s := range l.giver.Step(now(), e) {
		l.log.Debug("takeover", "event", e.String(), "action", s.Action.String(), "message", s.Message.String())
		switch s.Action {
		case decide.Send:
			l.tell(s)
		case decide.Disconnect:
			l.hangUp()
		case decide.StopAccepting:
			l.closeFront()
		case decide.ResumeServing:
			l.reopen()
		case decide.HandOverConnections:
			l.release()
		case decide.Drain:
			l.drain()
		case decide.DrainForSuccessor:
			l.log.Info("ending, another process serves")
			l.front.Release(nil)
			l.front.Quiesce()
			l.drained()
		case decide.CloseRemaining:
			l.log.Warn("what is still open is ended: takeover.drain_within is over")
			l.front.Cut()
		case decide.Exit:
			l.end(nil)
		}
	}
	if yes := l.giver.HandingOver(); yes != l.told {
		l.told = yes
		l.busy(yes)
	}
}

func (l *life) tell(s decide.Step) {
	if l.to == nil {
		return
	}
	m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
	switch s.Message {
	case decide.Offer:
		m = l.offer()
	case decide.Handover:
		m.Payload, l.state = l.state, nil
	case decide.Activate:
		l.takerStep(decide.HandedOver, "") // before the other side accepts
		// From here on the paths of unix sockets are the taker's.
		for _, ln := range l.listeners {
			ln.keep(true)
		}
		if l.takeLn != nil {
			l.takeLn.KeepPath(true)
		}
		l.log.Info("handed over", "waiting for", "open requests and connections")
	}
	if err := l.to.Write(m); err != nil {
		l.log.Warn("takeover", "error", err)
		l.loop.PostConnectionLost(l.to, err, l.fromTaker)
	}
}

// offer is what a taker is offered: the sockets, and what we know so far.
func (l *life) offer() takeover.Message {
	l.log.Info("another wants to take over")
	o := offer{Takeover: l.takeLn != nil, State: l.encode(l.core.Snapshot())}
	var socks []syscall.Conn
	for _, ln := range l.listeners {
		o.Listeners = append(o.Listeners, ln.conf.Address)
		socks = append(socks, ln.ln.(syscall.Conn))
	}
	text, err := json.Marshal(o)
	if err != nil {
		l.log.Error("offer", "error", err)
	}
	if l.takeLn != nil {
		socks = append(socks, l.takeLn.Socket())
	}
	return takeover.Message{Kind: decide.Offer, Payload: text, Sockets: socks}
}

// closeFront accepts nothing more and leaves to the taker what it will need.
func (l *life) closeFront() {
	for _, ln := range l.listeners {
		ln.pause()
	}
	if l.takeLn != nil {
		l.takeLn.Pause(true)
		l.takes.Wait()
	}
	s := l.core.SnapshotForHandover()
	if s != nil {
		s.Fleet = l.core.HandOverCoordination()
	}
	l.stopOperating() // before what it asks is taken from it
	if o := l.unsettles(); o != nil && s != nil {
		left := *o
		left.LeaseEnd, left.DrainDeadline = o.LeaseEnd-l.clk.Now(), o.DrainDeadline-l.clk.Now()
		s.Maintenance = &left
	}
	l.leaveOthers(false)
	l.state = l.encode(s)
}

func (l *life) reopen() {
	l.log.Info("serving on, as before")
	l.takerStep(decide.Resumed, "")
	l.emptied = false
	l.front.Release(nil)
	l.core.CancelHandover()
	l.together()
	if l.waiting != nil {
		l.waiting()
	}
	for _, ln := range l.listeners {
		ln.keep(false)
		ln.accept(l.front)
	}
	if l.takeLn != nil {
		l.takeLn.KeepPath(false)
		l.acceptTakers()
	}
}

// release hands connections over as they come to rest, and tells once there are none left.
func (l *life) release() {
	to := l.to
	l.front.Release(func(nc net.Conn) bool { return to.HandOver(nc) == nil })
	l.drained()
}

// drain ends what is open in order: whoever still connects is served for a moment, each answer closes its
// connection, and cold endpoints get nothing more.
func (l *life) drain() {
	l.log.Info("stopping")
	l.front.Release(nil)
	l.front.Quiesce()
	l.core.SnapshotForHandover()
	if l.takeLn != nil {
		l.takeLn.Close()
	}
	for _, ln := range l.listeners {
		ln.accept(l.front) // it may have been paused for a taker that is gone; more than once is once
	}
	l.loop.After(acceptFor, func() {
		for _, ln := range l.listeners {
			ln.close()
		}
		l.front.Quiesce()
		l.drained()
	})
}

// drained tells once no connection is served any more, and none will be handed to us.
func (l *life) drained() {
	ctx, cancel := context.WithCancel(context.Background())
	l.waiting = cancel
	l.beside.Go(func() {
		if l.front.Wait(ctx) == nil {
			l.loop.Post(func() {
				if l.emptied = l.taker.ReceivesConnections(); !l.emptied {
					l.giverStep(decide.Drained)
				}
			})
		}
	})
}

// encode returns the form of what we know, nothing where it has none: the taker then begins with less.
func (l *life) encode(s *engine.Snapshot) []byte {
	state := takeover.State{TakenAt: takeover.Monotonic(), Snapshot: s}
	text, err := state.Encode()
	if err != nil {
		l.log.Error("what was learned cannot be handed over", "error", err)
		return nil
	}
	return text
}
