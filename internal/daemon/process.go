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
	options Options
	log     *slog.Logger
	stop    context.Context
	events  chan func()
	closed  chan struct{} // closed once no event is taken any more
	timer   *time.Timer

	serving     *lifecycle // that serves, or is the first to
	successor   *lifecycle // that is to take over from it; nil while none is
	running     int        // that have not ended
	result      error
	appliedStep func(now monotime.Micros, reason string) []rollout.Command // what the machine is to be told once what is applied is so

	versioning
}

// eventsMost is how many events wait at most before who brings one waits, too. The lives bring few, and never wait for
// the process as it never waits for them.
const eventsBuffer = 64

func newProcess(stop context.Context, o Options) *process {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	p := &process{options: o, log: o.Log, stop: stop, events: make(chan func(), eventsBuffer), closed: make(chan struct{})}
	p.restoreVersions()
	return p
}

// begin puts the first generation together.
func (p *process) assembleFirst() error {
	if err := p.prepareProcess(p.first); err != nil {
		return err
	}
	g, err := p.assemble(p.first)
	if err != nil {
		return err
	}
	p.serving = p.newLifecycle(g, nil)
	return nil
}

// run serves by the first configuration, and then by those that follow, until the last generation has ended.
func (p *process) run() error {
	defer p.following.Wait()
	defer close(p.closed) // whoever tells of a version does not wait any more
	p.timer = time.AfterFunc(time.Hour, func() { p.post(func() { p.carryOut(p.machine.HandleDeadline(now())) }) })
	defer p.timer.Stop()
	slots := time.NewTicker(sampleInterval)
	defer slots.Stop()
	p.start(p.serving)
	for p.running > 0 {
		p.armTimer()
		select {
		case event := <-p.events:
			event()
		case <-p.options.Reload:
			p.readFile()
		case <-slots.C:
			p.takeSample()
		}
	}
	p.stopVersioning()
	return p.result
}

// post hands an event to run, and says whether it may be taken: after its end there is nobody to tell.
func (p *process) post(event func()) bool {
	select {
	case p.events <- event:
		return true
	case <-p.closed:
		return false
	}
}

// arm sets the timer to the machine's next deadline.
func (p *process) armTimer() {
	if at := p.machine.Deadline(); at != 0 {
		p.timer.Reset(max(0, clock.Duration(at-now())))
	}
}

// ---- Generations ------------------------------------------------------------

func (p *process) assemble(c *config.Config) (*generation, error) {
	return assemble(Options{Config: c, Log: p.log, Seed: p.options.Seed})
}

// life returns the life of a generation, which tells the process how it goes.
func (p *process) newLifecycle(g *generation, giver *takeover.Conn) *lifecycle {
	l := newLifecycle(p.stop, g, giver)
	l.onServing = func() {
		addresses, given := l.addresses(), l.Successor.ReceivesConnections()
		p.post(func() { p.onServing(l, addresses, given) })
	}
	l.onHandingOver = func(yes bool) {
		p.post(func() {
			if l == p.serving {
				p.carryOut(p.machine.SetPaused(now(), yes))
			}
		})
	}
	return l
}

func (p *process) start(l *lifecycle) {
	p.running++
	go func() {
		err := l.run()
		p.post(func() { p.onEnded(l, err) })
	}()
}

// accepted notes that a generation serves, and whether another one gave to it.
func (p *process) onServing(l *lifecycle, addresses map[string]string, given bool) {
	if p.options.Serving != nil {
		p.options.Serving(addresses)
	}
	if l != p.successor {
		if given {
			p.machine.ForgiveLastAttempt()
		}
		p.followService(p.serving.options.Config)
		return
	}
	p.serving, p.successor = l, nil
	p.onApplied(nil)
	p.carryOut(p.machine.SetPaused(now(), false)) // the one before it was busy with it
}

// ended notes the end of a generation.
func (p *process) onEnded(l *lifecycle, err error) {
	p.running--
	switch l {
	case p.serving:
		p.result = err
	case p.successor:
		p.successor = nil
		if err == nil {
			err = errors.New("told to stop")
		}
		p.onApplied(err)
	}
}

// succeed has a generation of another configuration take over from the one that serves.
func (p *process) startSuccessor(c *config.Config) error {
	g, err := p.assemble(c)
	if err != nil {
		return err
	}
	giver, taker, err := takeover.Pair()
	if err != nil {
		g.end()
		return err
	}
	p.successor = p.newLifecycle(g, taker)
	p.start(p.successor)
	from := p.serving
	go func() {
		if !from.Loop.Post(func() { from.ReadHello(from.ctx, giver, answerTimeout) }) {
			giver.Close()
		}
	}()
	return nil
}
