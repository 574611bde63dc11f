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
	answerTime = time.Second
	readyTime  = 2 * time.Second
	// drainTime bounds what is open when another process serves, or none is to: longer than any request's time, and than
	// most answers that stream. The platform kills the process before that.
	drainTime = 30 * time.Second
	// killAfter is how long after the longest deadline, longestMost at most, all has to be answered: the platform kills the process
	// 0.7 s after it.
	killAfter   = 500 * time.Millisecond
	longestMost = 3 * time.Second
	// settleTime is how long a giver outlives its word that the taker is to accept, with nothing left to do: should the taker end
	// in that step, it serves on. The platform leaves it 0.7 s.
	settleTime = 500 * time.Millisecond
)

// meetingPlace is the socket, in the folder that two versions of a sidecar share, at which the one that serves listens for
// the one that is to take over.
const meetingPlace = "dunlinsail.takeover"

// course is a sidecar's way from its start to its end: it takes over from the process that serves, if there is one, serves,
// and hands over to the next. Package decide/takeover decides; this carries out. The clients' listening socket is held by
// the platform, and both processes have it: what is handed over is who accepts on it, what was learned and the clients'
// connections. Its fields belong to the goroutine in run; others use events.
type course struct {
	s    *sidecar
	ln   net.Listener
	loop *takeover.Loop

	taker decide.Successor
	from  *takeover.Conn // the giver; nil once there is none
	state []byte         // what came with Offer, then with Go; or, when we give, what is to go with Go
	taken []net.Conn     // connections handed over before we accept

	giver   decide.Predecessor
	takeLn  *takeover.Listener
	to      *takeover.Conn // the taker; nil while there is none
	accepts chan error     // of the front, while it accepts
	emptied bool           // no connection is served, and our own giver may hand some over yet
	waiting context.CancelFunc

	peers  sync.Mutex       // guards talking
	talked []*takeover.Conn // the other processes that words by hand are told to

	told   bool // to end, by the platform
	ended  bool
	result error
}

func newCourse(s *sidecar, ln net.Listener) *course {
	times := decide.Times{Ready: clock.Micros(readyTime), Answer: clock.Micros(answerTime), Drain: clock.Micros(drainTime)}
	return &course{s: s, ln: ln,
		taker: decide.Successor{Times: times, OwnsSockets: true}, giver: decide.Predecessor{Times: times}}
}

// run takes over or starts cold, serves, and ends.
func (l *course) run(stop context.Context) error {
	l.loop = takeover.NewLoop(func() {
		l.takerStep(decide.DeadlineReached, "")
		l.giverStep(decide.DeadlineReached)
	})
	defer l.finish()
	l.begin()
	stopped := stop.Done()
	for !l.ended {
		l.loop.Arm(l.taker.Deadline(), l.giver.Deadline())
		select {
		case event := <-l.loop.Events:
			event()
		case err := <-l.accepts:
			l.accepts = nil
			if err != nil {
				l.end(fmt.Errorf("serve: %w", err))
			}
		case <-stopped:
			stopped, l.told = nil, true
			// The platform counts from the order, however far a handover is: what is taken from now on has no more time.
			l.endBy()
			if l.takerStep(decide.Stop, ""); !l.ended {
				l.giverStep(decide.Stop)
			}
		}
	}
	return l.result
}

func (l *course) finish() {
	l.loop.Close()
	if l.waiting != nil {
		l.waiting()
	}
	if l.takeLn != nil {
		l.takeLn.Close()
	}
	l.ln.Close()
	for _, c := range []*takeover.Conn{l.from, l.to} {
		if c != nil {
			c.Close()
		}
	}
	for _, nc := range l.taken {
		nc.Close()
	}
	l.s.front.Cut() // nothing is left, unless the start failed
	l.loop.Goroutines.Wait()
}

// longest is the longest time that a client waits.
func longest(c *platform.Config) (d time.Duration) {
	for _, class := range c.Site.Settings.Classes {
		d = max(d, clock.Duration(class.GiveUp))
	}
	return d
}

// endBy has all answered in time after an order to end that comes now. Of what is only half sent then nothing can be answered.
func (l *course) endBy() {
	left := min(longestMost, longest(l.s.config)) + killAfter
	l.s.log.Info("told to end", "while", l.giver.String(), "all answered within", left)
	l.s.front.EndBy(l.s.clock.Now() + clock.Micros(left))
	l.loop.After(left, func() {
		if n := l.s.front.GiveUpHalves(); n > 0 {
			l.s.log.Warn("requests that were never sent whole are given up", "connections", n)
		}
	})
}

func now() monotime.Micros { return takeover.Monotonic() }

func (l *course) end(err error) {
	if !l.ended {
		l.ended, l.result = true, err
	}
}

// place is the path of the meeting place, "" where there is none: no other process can have our listening socket.
func (l *course) place() string {
	if l.s.config.Meeting == "" {
		return ""
	}
	return filepath.Join(l.s.config.Meeting, meetingPlace)
}

// begin asks whoever serves to hand over, or starts alone.
func (l *course) begin() {
	if path := l.place(); path != "" {
		c, err := takeover.Dial(path)
		if err == nil {
			l.s.log.Info("taking over")
			l.from = c
			l.loop.Read(c, l.fromGiver)
			l.takerSteps(l.taker.Connected(now()))
			return
		}
		if !errors.Is(err, syscall.ENOENT) && !errors.Is(err, syscall.ECONNREFUSED) {
			l.s.log.Warn("nobody to take over from is to be reached", "error", err)
		}
	}
	l.taker.ServeAlone()
	l.cold()
}

// cold starts with nothing but what was said by hand.
func (l *course) cold() {
	l.s.start()
	l.s.core.ReceiveCordons(l.s.spoken()...)
	l.serve()
}

// ---- Taking over -----------------------------------------------------------

func (l *course) fromGiver(c *takeover.Conn, m takeover.Message) {
	if c != l.from {
		m.CloseFiles()
		return
	}
	switch m.Kind {
	case takeover.ConnectionHandedOver:
		l.adopt(m)
		return
	case takeover.Cordons:
		l.hear(m.Payload)
		return
	case decide.Offer, decide.Handover:
		l.state = m.Payload
	}
	m.CloseFiles()
	l.takerStep(m.Kind, string(m.Payload))
	if l.emptied && !l.taker.ReceivesConnections() {
		l.emptied = false
		l.drained()
	}
}

func (l *course) takerStep(e decide.Event, reason string) {
	l.takerSteps(l.taker.Step(now(), e, reason))
}

func (l *course) takerSteps(steps []decide.Step) {
	for _, s := range steps {
		switch s.Action {
		case decide.Send:
			m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
			if s.Message == decide.Hello {
				m = takeover.HelloMessage()
			}
			l.from.Write(m) // a failure shows as the connection's end
		case decide.Disconnect:
			if !l.taker.Serving() || l.taker.ReceivesConnections() {
				l.s.log.Warn("the process before is not heard any more", "while", l.taker.String())
			}
			l.hush(l.from)
			l.from.Close()
			l.from = nil
		case decide.StartWithOffer:
			l.startWith()
		case decide.RestoreState:
			l.restore("at the handover")
		case decide.StartServing:
			l.serve()
		case decide.StartAlone:
			l.cold()
		case decide.Fail:
			l.end(nil) // told to stop before it began
		}
	}
}

// startWith starts with what was offered, and tells once requests could be served.
func (l *course) startWith() {
	s := l.s
	if from, err := takeover.DecodeState(l.state); err == nil {
		// The watch goes on where the giver's stands: a whole list might be older than what it has told.
		if p := from.Snapshot.Pool(""); p != nil && p.Source == s.config.Discovery {
			s.watcher1.StartAfter(p.Generation)
		}
	}
	s.start()
	s.core.ReceiveCordons(s.spoken()...)
	l.restore("at the start")
	l.speak(l.from)
	ctx, cancel := context.WithCancel(context.Background())
	l.waiting = cancel
	l.loop.Goroutines.Go(func() {
		if s.core.WaitReady(ctx) == nil {
			l.loop.Post(func() { l.takerStep(decide.Started, "") })
		}
	})
}

// restore takes in what the giver learned. What makes no sense is told and left: then we begin with less.
func (l *course) restore(when string) {
	from, err := takeover.DecodeState(l.state)
	if l.state = nil; err != nil {
		l.s.log.Warn("beginning with less", "when", when, "error", err)
		return
	}
	passed := l.s.core.Restore(from.Snapshot, max(0, now()-from.TakenAt))
	l.s.log.Info("what the other process learned is taken over", "when", when, "passed over", passed)
}

// adopt takes a connection over.
func (l *course) adopt(m takeover.Message) {
	for _, f := range m.Files {
		nc, err := net.FileConn(f)
		f.Close()
		switch {
		case err != nil:
			l.s.log.Warn("connection not taken over", "error", err)
		case l.s.accepting.Load():
			l.s.front.Adopt(nc, l.s.identify)
		default:
			l.taken = append(l.taken, nc)
		}
	}
}

// serve accepts clients, and another process that wants to take over.
func (l *course) serve() {
	l.accept()
	for _, nc := range l.taken {
		l.s.front.Adopt(nc, l.s.identify)
	}
	l.taken = nil
	if path := l.place(); path != "" {
		var err error
		if l.takeLn, err = takeover.Replace(path); err != nil {
			l.s.log.Error("no process will be able to take over from this one", "error", err)
		} else {
			ln := l.takeLn
			l.loop.Goroutines.Go(func() { l.meetAll(ln) })
		}
	}
	l.s.log.Info("serving", "name", l.s.config.Name, "listen", l.ln.Addr().String())
}

func (l *course) accept() {
	l.accepts = make(chan error, 1)
	accepts := l.accepts
	l.setDeadline(time.Time{})
	l.s.accepting.Store(true)
	l.loop.Goroutines.Go(func() { accepts <- l.s.front.Accept(l.ln, l.s.identify) })
}

// pause ends accept. Who connects from then on waits in the socket's queue.
func (l *course) pause() {
	l.s.accepting.Store(false)
	if l.accepts != nil {
		l.setDeadline(time.Unix(1, 0))
		<-l.accepts
		l.accepts = nil
	}
}

func (l *course) setDeadline(t time.Time) {
	if ln, ok := l.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(t)
	}
}

// ---- Handing over ----------------------------------------------------------

// meetAll hears what whoever connects wants. One that says nothing keeps nobody from taking over.
func (l *course) meetAll(ln *takeover.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.loop.Goroutines.Go(func() {
			m, err := c.ReadWithin(answerTime)
			m.CloseFiles()
			if err != nil || !l.loop.Post(func() { l.meet(c, m) }) {
				c.Close()
			}
		})
	}
}

// meet begins with a taker, if there is none yet.
func (l *course) meet(c *takeover.Conn, m takeover.Message) {
	why := takeover.HelloProblem(m)
	if why == "" && l.to != nil {
		why = "another takeover is under way"
	}
	if why != "" {
		l.s.log.Warn("a process that wants to take over is turned away", "reason", why)
		c.Reject(why)
		return
	}
	l.to = c
	l.loop.Read(c, l.fromTaker)
	l.giverStep(decide.Hello)
}

func (l *course) fromTaker(c *takeover.Conn, m takeover.Message) {
	m.CloseFiles()
	if c != l.to {
		return
	}
	switch m.Kind {
	case takeover.Cordons:
		l.hear(m.Payload)
		return
	case decide.Rejected, decide.ConnectionLost:
		l.s.log.Warn("takeover ended by the other process", "while", l.giver.String(), "reason", string(m.Payload))
	}
	l.giverStep(m.Kind)
}

func (l *course) giverStep(e decide.Event) {
	for _, s := range l.giver.Step(now(), e) {
		switch s.Action {
		case decide.Send:
			l.tell(s)
		case decide.Disconnect:
			if l.to != nil {
				l.hush(l.to)
				l.to.Close()
				l.to = nil
			}
		case decide.StopAccepting:
			l.pause()
			l.state = l.encode(l.s.core.SnapshotForHandover())
		case decide.ResumeServing:
			l.s.log.Info("serving on, as before")
			l.takerStep(decide.Resumed, "")
			l.emptied = false
			l.s.front.Release(nil)
			l.s.core.CancelHandover()
			l.s.pool.Idle(true)
			if l.waiting != nil {
				l.waiting()
			}
			l.accept()
		case decide.HandOverConnections:
			to := l.to
			l.s.pool.Idle(false) // the descriptors are the taker's now
			l.s.front.Release(func(nc net.Conn) bool { return to.HandOver(nc) == nil })
			l.loop.After(settleTime, func() {
				if l.to == to { // else it is served again, or ends otherwise
					l.drained()
				}
			})
		case decide.Drain:
			l.drain()
		case decide.DrainForSuccessor:
			l.s.log.Info("ending, another process serves")
			l.s.front.Release(nil)
			l.s.front.Quiesce()
			l.drained()
		case decide.CloseRemaining:
			l.s.log.Warn("what is still open is ended", "after", drainTime)
			l.s.front.Cut()
		case decide.Exit:
			l.end(nil)
		}
	}
}

func (l *course) tell(s decide.Step) {
	if l.to == nil {
		return
	}
	m := takeover.Message{Kind: s.Message, Payload: []byte(s.Reason)}
	switch s.Message {
	case decide.Offer:
		l.s.log.Info("another wants to take over")
		m.Payload = l.encode(l.s.core.Snapshot())
		l.speak(l.to)
	case decide.Handover:
		m.Payload, l.state = l.state, nil
	case decide.Activate:
		l.takerStep(decide.HandedOver, "") // before the other side accepts
		l.s.log.Info("handed over", "waiting for", "open requests and connections")
	}
	if err := l.to.Write(m); err != nil {
		l.loop.PostConnectionLost(l.to, err, l.fromTaker)
	}
}

// drain ends what is open in order: clients still connect for a moment, and are served, with each answer closing its
// connection. Refusing those that come meanwhile would fail them for nothing.
func (l *course) drain() {
	l.s.log.Info("stopping")
	l.s.accepting.Store(false)
	l.s.front.Release(nil)
	if !l.told { // it is the taker that was told to end
		l.endBy()
	}
	l.s.front.Quiesce()
	if l.takeLn != nil {
		l.takeLn.Close()
	}
	if l.accepts == nil { // paused for a taker that is gone
		l.accept()
		l.s.accepting.Store(false)
	}
	l.loop.After(acceptFor, func() {
		l.pause()
		l.s.front.AcceptRest(l.ln, l.s.identify)
		l.ln.Close()
		l.s.front.Quiesce() // those that have come meanwhile and said nothing
		l.drained()
	})
}

// drained tells once no connection is served any more, and none will be handed to us.
func (l *course) drained() {
	ctx, cancel := context.WithCancel(context.Background())
	l.waiting = cancel
	l.loop.Goroutines.Go(func() {
		if l.s.front.Wait(ctx) == nil {
			l.loop.Post(func() {
				if l.emptied = l.taker.ReceivesConnections(); !l.emptied {
					l.giverStep(decide.Drained)
				}
			})
		}
	})
}

// encode returns the form of what we know, nothing where it has none: the taker then begins with less.
func (l *course) encode(s *engine.Snapshot) []byte {
	state := takeover.State{TakenAt: now(), Snapshot: s}
	text, err := state.Encode()
	if err != nil {
		l.s.log.Error("what was learned cannot be handed over", "error", err)
		return nil
	}
	return text
}

// ---- Words by hand ----------------------------------------------------------

// speak has words by hand told to another process from now on, and hush ends that.
func (l *course) speak(c *takeover.Conn) {
	l.peers.Lock()
	defer l.peers.Unlock()
	l.talked = append(l.talked, c)
}

func (l *course) hush(c *takeover.Conn) {
	l.peers.Lock()
	defer l.peers.Unlock()
	for i, o := range l.talked {
		if o == c {
			l.talked = append(l.talked[:i:i], l.talked[i+1:]...)
			return
		}
	}
}

// say tells a word to the other processes of this sidecar. It may be called from any goroutine.
func (l *course) say(w cordon.Word) {
	l.peers.Lock()
	to := l.talked
	l.peers.Unlock()
	for _, c := range to {
		text, err := json.Marshal([]cordon.Word{w})
		if err == nil {
			c.Write(takeover.Message{Kind: takeover.Cordons, Payload: text}) // a failure shows as the connection's end
		}
	}
}

func (l *course) hear(text []byte) {
	var words []cordon.Word
	if err := json.Unmarshal(text, &words); err != nil {
		l.s.log.Warn("words by hand from the other process make no sense", "error", err)
		return
	}
	l.s.core.ReceiveCordons(words...)
}
