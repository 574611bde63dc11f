package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// host carries out what the engine asks for (engine.Host), on goroutines that report by posted events.
type host Core

// sending is what is out of an attempt.
type sending struct {
	began  time.Time
	gate   gate
	line   line
	cancel context.CancelFunc
}

// line is what an attempt is sent on. Whoever withdraws the attempt ends the sending on it before anything else goes out for its
// request, so that no two are out where two may not be; whoever lets go of it first keeps what it was.
type line struct {
	mu  sync.Mutex
	end func()
	cut bool
}

// hold notes how to end the sending, which must not wait. It says no if that is to be ended already.
func (l *line) hold(end func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
	return !l.cut
}

// letGo says that the sending is over, and whether nobody has ended it.
func (l *line) letGo() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = nil
	return !l.cut
}

func (l *line) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut = true; l.end != nil {
		l.end()
		l.end = nil
	}
}

// gate decides once whether an attempt's first byte goes out.
type gate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gatePassed
	gateShut
)

func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// shut keeps the attempt in, and says whether that was in time: then it never runs.
func (g *gate) shut() bool {
	g.state.CompareAndSwap(gateOpen, gateShut)
	return g.state.Load() == gateShut
}

// Target makes a target of an address.
func (h *host) Target(addr string) engine.Target { return h.config.Upstream.Target(addr) }

// Start makes an attempt.
func (h *host) Start(a *engine.Attempt) {
	x := (*Core)(h)
	ctx, cancel := context.WithCancel(context.Background())
	s := &sending{began: time.Now(), cancel: cancel}
	a.Host = s
	e, c := a.Endpoint, a.Call.Host.(*Call)
	to, deadline, until := e.Target.(Target), a.Deadline, a.Until // they may change later
	go func() {
		r := c.Attempt(ctx, &Try{To: to, Deadline: deadline, MayGo: func(now monotime.Micros) bool {
			// The dial may have outlasted the grace of a drain, the time of the request, or the window in which it may be repeated.
			return e.MaySend(now) && now < deadline && (until == 0 || now < until) && s.gate.pass()
		}, Began: func(r engine.Reply) bool {
			return ask(x, func(now monotime.Micros) bool { return x.engine.Began(now, a, r) })
		}, Hold: s.line.hold, LetGo: s.line.letGo, Heard: func() { x.post(func(now monotime.Micros) { x.engine.Heard(now, a) }) }})
		x.post(func(now monotime.Micros) { x.engine.Ended(now, a, r) })
	}()
}

// Shut keeps in what has not gone out. What was never started never runs.
func (h *host) Shut(a *engine.Attempt) bool {
	s, started := a.Host.(*sending)
	return !started || s.gate.shut()
}

// Withdraw ends an attempt.
func (h *host) Withdraw(a *engine.Attempt) {
	if s, started := a.Host.(*sending); started {
		s.line.sever()
		s.cancel()
	}
}

// Silent tells the target.
func (h *host) Silent(a *engine.Attempt) {
	a.Endpoint.Target.(Target).Silent(a.Host.(*sending).began)
}

// Probe asks an endpoint.
func (h *host) Probe(p *engine.Pool, e *engine.Endpoint) {
	x := (*Core)(h)
	sent, to := h.config.Clock.Now(), e.Target.(Target)
	go func() {
		r := to.Probe()
		x.post(func(now monotime.Micros) { x.engine.Probed(now, p, e, sent, r) })
	}()
}

// Answer hands the answer to the front.
func (h *host) Answer(c *engine.Call, a engine.Answer) {
	c.Host.(*Call).Answer <- a // room for one, and the engine gives one
}

// Ready notes it.
func (h *host) Ready() {
	h.ready.Store(true)
	close(h.isReady)
}

// Log writes to the log.
func (h *host) Log(line string, args ...any) { h.config.Log.Info(line, args...) }

// Warn writes to the log.
func (h *host) Warn(line string, args ...any) { h.config.Log.Warn(line, args...) }
