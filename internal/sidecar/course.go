package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/cordon"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/platform"
	"dunlinsail/internal/takeover"
)

const (
	// The platform sends SIGTERM to the old process 6 s after the new one was started at the latest. A takeover takes
	// three answers and a start, so that one which fails in the last step still leaves time to begin with less.
	answerTimeout = time.Second
	readyTimeout  = 2 * time.Second
	// drainTime bounds what is open when another process serves, or none is to: longer than any request's time, and than
	// most answers that stream. The platform kills the process before that.
	drainTimeout = 30 * time.Second
	// killAfter is how long after the longest deadline, longestMost at most, all has to be answered: the platform kills the process
	// 0.7 s after it.
	deadlineMargin = 500 * time.Millisecond
	maxDeadline    = 3 * time.Second
	// settleTime is how long a giver outlives its word that the taker is to accept, with nothing left to do: should the taker end
	// in that step, it serves on. The platform leaves it 0.7 s.
	successorStartGrace = 500 * time.Millisecond
)

// meetingPlace is the socket, in the folder that two versions of a sidecar share, at which the one that serves listens for
// the one that is to take over.
const socketName = "dunlinsail.takeover"

// course is a sidecar's way from its start to its end: it takes over from the process that serves, if there is one, serves,
// and hands over to the next. Package decide/takeover decides; this carries out. The clients' listening socket is held by
// the platform, and both processes have it: what is handed over is who accepts on it, what was learned and the clients'
// connections. Its fields belong to the goroutine in run; others use events.
type lifecycle struct {
	sidecar  *sidecar
	listener net.Listener
	loop     *takeover.Loop

	successor       decide.Successor
	predecessorConn *takeover.Conn // the giver; nil once there is none
	snapshot        []byte         // what came with Offer, then with Go; or, when we give, what is to go with Go
	earlyConns      []net.Conn     // connections handed over before we accept

	predecessor       decide.Predecessor
	successorListener *takeover.Listener
	successorConn     *takeover.Conn // the taker; nil while there is none
	acceptResult      chan error     // of the front, while it accepts
	drainedEarly      bool           // no connection is served, and our own giver may hand some over yet
	cancelWait        context.CancelFunc

	cordonPeersMu sync.Mutex       // guards talking
	cordonPeers   []*takeover.Conn // the other processes that words by hand are told to

	stopRequested bool // to end, by the platform
	ended         bool
	result        error
}

func newLifecycle(s *sidecar, ln net.Listener) *lifecycle {
	times := decide.Times{Ready: clock.Micros(readyTimeout), Answer: clock.Micros(answerTimeout), Drain: clock.Micros(drainTimeout)}
	return &lifecycle{sidecar: s, listener: ln,
		successor: decide.Successor{Times: times, OwnsSockets: true}, predecessor: decide.Predecessor{Times: times}}
}

// run takes over or starts cold, serves, and ends.
func (l *lifecycle) run(stop context.Context) error {
	l.loop = takeover.NewLoop(func() {
		l.stepSuccessor(decide.DeadlineReached, "")
		l.stepPredecessor(decide.DeadlineReached)
	})
	defer l.close()
	l.connect()
	stopped := stop.Done()
	for !l.ended {
		l.loop.Arm(l.successor.Deadline(), l.predecessor.Deadline())
		select {
		case event := <-l.loop.Events:
			event()
		case err := <-l.acceptResult:
			l.acceptResult = nil
			if err != nil {
				l.end(fmt.Errorf("serve: %w", err))
			}
		case <-stopped:
			stopped, l.stopRequested = nil, true
			// The platform counts from the order, however far a handover is: what is taken from now on has no more time.
			l.answerAllInTime()
			if l.stepSuccessor(decide.Stop, ""); !l.ended {
				l.stepPredecessor(decide.Stop)
			}
		}
	}
	return l.result
}

func (l *lifecycle) close() {
	l.loop.Close()
	if l.cancelWait != nil {
		l.cancelWait()
	}
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	l.listener.Close()
	for _, c := range []*takeover.Conn{l.predecessorConn, l.successorConn} {
		if c != nil {
			c.Close()
		}
	}
	for _, nc := range l.earlyConns {
		nc.Close()
	}
	l.sidecar.front.Cut() // nothing is left, unless the start failed
	l.loop.Goroutines.Wait()
}

// longest is the longest time that a client waits.
func longestDeadline(c *platform.Config) (d time.Duration) {
	for _, class := range c.Site.Settings.Classes {
		d = max(d, clock.Duration(class.ClientTimeout))
	}
	return d
}

// endBy has all answered in time after an order to end that comes now. Of what is only half sent then nothing can be answered.
func (l *lifecycle) answerAllInTime() {
	left := min(maxDeadline, longestDeadline(l.sidecar.config)) + deadlineMargin
	l.sidecar.log.Info("told to end", "while", l.predecessor.String(), "all answered within", left)
	l.sidecar.front.EndBy(l.sidecar.clock.Now() + clock.Micros(left))
	l.loop.After(left, func() {
		if n := l.sidecar.front.GiveUpHalves(); n > 0 {
			l.sidecar.log.Warn("requests that were never sent whole are given up", "connections", n)
		}
	})
}

func now() monotime.Micros { return takeover.Monotonic() }

func (l *lifecycle) end(err error) {
	if !l.ended {
		l.ended, l.result = true, err
	}
}

// place is the path of the meeting place, "" where there is none: no other process can have our listening socket.
func (l *lifecycle) socketPath() string {
	if l.sidecar.config.Meeting == "" {
		return ""
	}
	return filepath.Join(l.sidecar.config.Meeting, socketName)
}

// begin asks whoever serves to hand over, or starts alone.
func (l *lifecycle) connect() {
	if path := l.socketPath(); path != "" {
		c, err := takeover.Dial(path)
		if err == nil {
			l.sidecar.log.Info("taking over")
			l.predecessorConn = c
			l.loop.Read(c, l.onPredecessorMessage)
			l.runSuccessorSteps(l.successor.Connected(now()))
			return
		}
		if !errors.Is(err, syscall.ENOENT) && !errors.Is(err, syscall.ECONNREFUSED) {
			l.sidecar.log.Warn("nobody to take over from is to be reached", "error", err)
		}
	}
	l.successor.ServeAlone()
	l.startAlone()
}

// cold starts with nothing but what was said by hand.
func (l *lifecycle) startAlone() {
	l.sidecar.start()
	l.sidecar.core.ReceiveCordons(l.sidecar.readCordons()...)
	l.serve()
}

// ---- Taking over -----------------------------------------------------------

func (l *lifecycle) onPredecessorMessage(c *takeover.Conn, m takeover.Message) {
	if c != l.predecessorConn {
		m.CloseFiles()
		return
	}
	switch m.Kind {
	case takeover.ConnectionHandedOver:
		l.adoptConnections(m)
		return
	case takeover.Cordons:
		l.receiveCordons(m.Payload)
		return
	case decide.Offer, decide.Handover:
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
		switch s.Action {
		case decide.Send:
			m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
			if s.Message == decide.Hello {
				m = takeover.HelloMessage()
			}
			l.predecessorConn.Write(m) // a failure shows as the connection's end
		case decide.Disconnect:
			if !l.successor.Serving() || l.successor.ReceivesConnections() {
				l.sidecar.log.Warn("the process before is not heard any more", "while", l.successor.String())
			}
			l.removeCordonPeer(l.predecessorConn)
			l.predecessorConn.Close()
			l.predecessorConn = nil
		case decide.StartWithOffer:
			l.startWithOffer()
		case decide.RestoreState:
			l.restore("at the handover")
		case decide.StartServing:
			l.serve()
		case decide.StartAlone:
			l.startAlone()
		case decide.Fail:
			l.end(nil) // told to stop before it began
		}
	}
}

// startWith starts with what was offered, and tells once requests could be served.
func (l *lifecycle) startWithOffer() {
	s := l.sidecar
	if from, err := takeover.DecodeState(l.snapshot); err == nil {
		// The watch goes on where the giver's stands: a whole list might be older than what it has told.
		if p := from.Snapshot.Pool(""); p != nil && p.Source == s.config.Discovery {
			s.firstWatcher.StartAfter(p.Generation)
		}
	}
	s.start()
	s.core.ReceiveCordons(s.readCordons()...)
	l.restore("at the start")
	l.addCordonPeer(l.predecessorConn)
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.loop.Goroutines.Go(func() {
		if s.core.WaitReady(ctx) == nil {
			l.loop.Post(func() { l.stepSuccessor(decide.Started, "") })
		}
	})
}

// restore takes in what the giver learned. What makes no sense is told and left: then we begin with less.
func (l *lifecycle) restore(when string) {
	from, err := takeover.DecodeState(l.snapshot)
	if l.snapshot = nil; err != nil {
		l.sidecar.log.Warn("beginning with less", "when", when, "error", err)
		return
	}
	passed := l.sidecar.core.Restore(from.Snapshot, max(0, now()-from.TakenAt))
	l.sidecar.log.Info("what the other process learned is taken over", "when", when, "passed over", passed)
}

// adopt takes a connection over.
func (l *lifecycle) adoptConnections(m takeover.Message) {
	for _, f := range m.Files {
		nc, err := net.FileConn(f)
		f.Close()
		switch {
		case err != nil:
			l.sidecar.log.Warn("connection not taken over", "error", err)
		case l.sidecar.accepting.Load():
			l.sidecar.front.Adopt(nc, l.sidecar.identify)
		default:
			l.earlyConns = append(l.earlyConns, nc)
		}
	}
}

// serve accepts clients, and another process that wants to take over.
func (l *lifecycle) serve() {
	l.accept()
	for _, nc := range l.earlyConns {
		l.sidecar.front.Adopt(nc, l.sidecar.identify)
	}
	l.earlyConns = nil
	if path := l.socketPath(); path != "" {
		var err error
		if l.successorListener, err = takeover.Replace(path); err != nil {
			l.sidecar.log.Error("no process will be able to take over from this one", "error", err)
		} else {
			ln := l.successorListener
			l.loop.Goroutines.Go(func() { l.acceptSuccessors(ln) })
		}
	}
	l.sidecar.log.Info("serving", "name", l.sidecar.config.Name, "listen", l.listener.Addr().String())
}

func (l *lifecycle) accept() {
	l.acceptResult = make(chan error, 1)
	accepts := l.acceptResult
	l.setDeadline(time.Time{})
	l.sidecar.accepting.Store(true)
	l.loop.Goroutines.Go(func() { accepts <- l.sidecar.front.Accept(l.listener, l.sidecar.identify) })
}

// pause ends accept. Who connects from then on waits in the socket's queue.
func (l *lifecycle) pause() {
	l.sidecar.accepting.Store(false)
	if l.acceptResult != nil {
		l.setDeadline(time.Unix(1, 0))
		<-l.acceptResult
		l.acceptResult = nil
	}
}

func (l *lifecycle) setDeadline(t time.Time) {
	if ln, ok := l.listener.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(t)
	}
}

// ---- Handing over ----------------------------------------------------------

// meetAll hears what whoever connects wants. One that says nothing keeps nobody from taking over.
func (l *lifecycle) acceptSuccessors(ln *takeover.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.loop.Goroutines.Go(func() {
			m, err := c.ReadWithin(answerTimeout)
			m.CloseFiles()
			if err != nil || !l.loop.Post(func() { l.onSuccessorHello(c, m) }) {
				c.Close()
			}
		})
	}
}

// meet begins with a taker, if there is none yet.
func (l *lifecycle) onSuccessorHello(c *takeover.Conn, m takeover.Message) {
	why := takeover.HelloProblem(m)
	if why == "" && l.successorConn != nil {
		why = "another takeover is under way"
	}
	if why != "" {
		l.sidecar.log.Warn("a process that wants to take over is turned away", "reason", why)
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
	switch m.Kind {
	case takeover.Cordons:
		l.receiveCordons(m.Payload)
		return
	case decide.Rejected, decide.ConnectionLost:
		l.sidecar.log.Warn("takeover ended by the other process", "while", l.predecessor.String(), "reason", string(m.Payload))
	}
	l.stepPredecessor(m.Kind)
}

func (l *lifecycle) stepPredecessor(e decide.Event) {
	for _, s := range l.predecessor.Step(now(), e) {
		switch s.Action {
		case decide.Send:
			l.sendToSuccessor(s)
		case decide.Disconnect:
			if l.successorConn != nil {
				l.removeCordonPeer(l.successorConn)
				l.successorConn.Close()
				l.successorConn = nil
			}
		case decide.StopAccepting:
			l.pause()
			l.snapshot = l.encodeSnapshot(l.sidecar.core.SnapshotForHandover())
		case decide.ResumeServing:
			l.sidecar.log.Info("serving on, as before")
			l.stepSuccessor(decide.Resumed, "")
			l.drainedEarly = false
			l.sidecar.front.Release(nil)
			l.sidecar.core.CancelHandover()
			l.sidecar.pool.Idle(true)
			if l.cancelWait != nil {
				l.cancelWait()
			}
			l.accept()
		case decide.HandOverConnections:
			to := l.successorConn
			l.sidecar.pool.Idle(false) // the descriptors are the taker's now
			l.sidecar.front.Release(func(nc net.Conn) bool { return to.HandOver(nc) == nil })
			l.loop.After(successorStartGrace, func() {
				if l.successorConn == to { // else it is served again, or ends otherwise
					l.waitUntilDrained()
				}
			})
		case decide.Drain:
			l.drain()
		case decide.DrainForSuccessor:
			l.sidecar.log.Info("ending, another process serves")
			l.sidecar.front.Release(nil)
			l.sidecar.front.Quiesce()
			l.waitUntilDrained()
		case decide.CloseRemaining:
			l.sidecar.log.Warn("what is still open is ended", "after", drainTimeout)
			l.sidecar.front.Cut()
		case decide.Exit:
			l.end(nil)
		}
	}
}

func (l *lifecycle) sendToSuccessor(s decide.Step) {
	if l.successorConn == nil {
		return
	}
	m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
	switch s.Message {
	case decide.Offer:
		l.sidecar.log.Info("another wants to take over")
		m.Payload = l.encodeSnapshot(l.sidecar.core.Snapshot())
		l.addCordonPeer(l.successorConn)
	case decide.Handover:
		m.Payload, l.snapshot = l.snapshot, nil
	case decide.Activate:
		l.stepSuccessor(decide.HandedOver, "") // before the other side accepts
		l.sidecar.log.Info("handed over", "waiting for", "open requests and connections")
	}
	if err := l.successorConn.Write(m); err != nil {
		l.loop.PostConnectionLost(l.successorConn, err, l.onSuccessorMessage)
	}
}

// drain ends what is open in order: clients still connect for a moment, and are served, with each answer closing its
// connection. Refusing those that come meanwhile would fail them for nothing.
func (l *lifecycle) drain() {
	l.sidecar.log.Info("stopping")
	l.sidecar.accepting.Store(false)
	l.sidecar.front.Release(nil)
	if !l.stopRequested { // it is the taker that was told to end
		l.answerAllInTime()
	}
	l.sidecar.front.Quiesce()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	if l.acceptResult == nil { // paused for a taker that is gone
		l.accept()
		l.sidecar.accepting.Store(false)
	}
	l.loop.After(stopAcceptDelay, func() {
		l.pause()
		l.sidecar.front.AcceptRest(l.listener, l.sidecar.identify)
		l.listener.Close()
		l.sidecar.front.Quiesce() // those that have come meanwhile and said nothing
		l.waitUntilDrained()
	})
}

// drained tells once no connection is served any more, and none will be handed to us.
func (l *lifecycle) waitUntilDrained() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelWait = cancel
	l.loop.Goroutines.Go(func() {
		if l.sidecar.front.Wait(ctx) == nil {
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
	state := takeover.State{TakenAt: now(), Snapshot: s}
	text, err := state.Encode()
	if err != nil {
		l.sidecar.log.Error("what was learned cannot be handed over", "error", err)
		return nil
	}
	return text
}

// ---- Words by hand ----------------------------------------------------------

// speak has words by hand told to another process from now on, and hush ends that.
func (l *lifecycle) addCordonPeer(c *takeover.Conn) {
	l.cordonPeersMu.Lock()
	defer l.cordonPeersMu.Unlock()
	l.cordonPeers = append(l.cordonPeers, c)
}

func (l *lifecycle) removeCordonPeer(c *takeover.Conn) {
	l.cordonPeersMu.Lock()
	defer l.cordonPeersMu.Unlock()
	for i, o := range l.cordonPeers {
		if o == c {
			l.cordonPeers = append(l.cordonPeers[:i:i], l.cordonPeers[i+1:]...)
			return
		}
	}
}

// say tells a word to the other processes of this sidecar. It may be called from any goroutine.
func (l *lifecycle) broadcastCordon(w cordon.Record) {
	l.cordonPeersMu.Lock()
	to := l.cordonPeers
	l.cordonPeersMu.Unlock()
	for _, c := range to {
		text, err := json.Marshal([]cordon.Record{w})
		if err == nil {
			c.Write(takeover.Message{Kind: takeover.Cordons, Payload: text}) // a failure shows as the connection's end
		}
	}
}

func (l *lifecycle) receiveCordons(text []byte) {
	var words []cordon.Record
	if err := json.Unmarshal(text, &words); err != nil {
		l.sidecar.log.Warn("words by hand from the other process make no sense", "error", err)
		return
	}
	l.sidecar.core.ReceiveCordons(words...)
}
