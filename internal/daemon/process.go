package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/takeover"
)

// process is what a daemon's process is over all its configurations. Package decide/versions decides which of those that
// come is applied: a change that can be made while serving is made in the generation that serves, and for any other one
// a new generation takes over from it, within the process, as another process would. Its fields belong to the goroutine
// in run; others use events.
type process struct {
	o      Options
	log    *slog.Logger
	stop   context.Context
	events chan func()
	over   chan struct{} // closed once no event is taken any more
	wake   *time.Timer

	now    *life // that serves, or is the first to
	next   *life // that is to take over from it; nil while none is
	lives  int   // that have not ended
	result error
	done   func(now monotime.Micros, reason string) []rollout.Command // what the machine is to be told once what is applied is so

	versioning
}

// eventsMost is how many events wait at most before who brings one waits, too. The lives bring few, and never wait for
// the process as it never waits for them.
const eventsMost = 64

func newProcess(stop context.Context, o Options) *process {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	p := &process{o: o, log: o.Log, stop: stop, events: make(chan func(), eventsMost), over: make(chan struct{})}
	p.recall()
	return p
}

// begin puts the first generation together.
func (p *process) begin() error {
	if err := p.prepare(p.first); err != nil {
		return err
	}
	g, err := p.assemble(p.first)
	if err != nil {
		return err
	}
	p.now = p.life(g, nil)
	return nil
}

// run serves by the first configuration, and then by those that follow, until the last generation has ended.
func (p *process) run() error {
	defer p.following.Wait()
	defer close(p.over) // whoever tells of a version does not wait any more
	p.wake = time.AfterFunc(time.Hour, func() { p.post(func() { p.do(p.machine.HandleDeadline(now())) }) })
	defer p.wake.Stop()
	slots := time.NewTicker(slot)
	defer slots.Stop()
	p.start(p.now)
	for p.lives > 0 {
		p.arm()
		select {
		case event := <-p.events:
			event()
		case <-p.o.Reload:
			p.read()
		case <-slots.C:
			p.sample()
		}
	}
	p.leave()
	return p.result
}

// post hands an event to run, and says whether it may be taken: after its end there is nobody to tell.
func (p *process) post(event func()) bool {
	select {
	case p.events <- event:
		return true
	case <-p.over:
		return false
	}
}

// arm sets the timer to the machine's next deadline.
func (p *process) arm() {
	if at := p.machine.Deadline(); at != 0 {
		p.wake.Reset(max(0, clock.Duration(at-now())))
	}
}

// ---- Generations ------------------------------------------------------------

func (p *process) assemble(c *config.Config) (*generation, error) {
	return assemble(Options{Config: c, Log: p.log, Seed: p.o.Seed})
}

// life returns the life of a generation, which tells the process how it goes.
func (p *process) life(g *generation, giver *takeover.Conn) *life {
	l := newLife(p.stop, g, giver)
	l.began = func() {
		addresses, given := l.addresses(), l.taker.ReceivesConnections()
		p.post(func() { p.accepted(l, addresses, given) })
	}
	l.busy = func(yes bool) {
		p.post(func() {
			if l == p.now {
				p.do(p.machine.SetPaused(now(), yes))
			}
		})
	}
	return l
}

func (p *process) start(l *life) {
	p.lives++
	go func() {
		err := l.run()
		p.post(func() { p.ended(l, err) })
	}()
}

// accepted notes that a generation serves, and whether another one gave to it.
func (p *process) accepted(l *life, addresses map[string]string, given bool) {
	if p.o.Serving != nil {
		p.o.Serving(addresses)
	}
	if l != p.next {
		if given {
			p.machine.ForgiveLastAttempt()
		}
		p.follow(p.now.o.Config)
		return
	}
	p.now, p.next = l, nil
	p.finish(nil)
	p.do(p.machine.SetPaused(now(), false)) // the one before it was busy with it
}

// ended notes the end of a generation.
func (p *process) ended(l *life, err error) {
	p.lives--
	switch l {
	case p.now:
		p.result = err
	case p.next:
		p.next = nil
		if err == nil {
			err = errors.New("told to stop")
		}
		p.finish(err)
	}
}

// succeed has a generation of another configuration take over from the one that serves.
func (p *process) succeed(c *config.Config) error {
	g, err := p.assemble(c)
	if err != nil {
		return err
	}
	giver, taker, err := takeover.Pair()
	if err != nil {
		g.end()
		return err
	}
	p.next = p.life(g, taker)
	p.start(p.next)
	from := p.now
	go func() {
		if !from.loop.Post(func() { from.meet(giver) }) {
			giver.Close()
		}
	}()
	return nil
}
