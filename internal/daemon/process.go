package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/takeover"
)

// process is what a daemon's process is over all its configurations. Package decide/versions decides which of
// those that come is applied: a change that can be made while serving is made in the generation that serves,
// and for any other one a new generation takes over from it, within the process, as another process would. Its
// fields belong to the goroutine in run; others use events.
type process struct {
	options     Options
	log         *slog.Logger
	stopContext context.Context
	events      chan func()
	closed      chan struct{} // closed once no event is taken any more
	timer       *time.Timer

	serving   *lifecycle // that serves, or is the first to
	successor *lifecycle // that is to take over from it; nil while none is
	running   int        // that have not ended
	result    error

	versioning
}

// eventsBuffer is how many events wait before those that post them wait, too. Lifecycles post few, and never
// wait for the process as it never waits for them.
const eventsBuffer = 64

func newProcess(stop context.Context, o Options) *process {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	p := &process{
		options:     o,
		log:         o.Log,
		stopContext: stop,
		events:      make(chan func(), eventsBuffer),
		closed:      make(chan struct{}),
	}
	p.restoreVersions()
	return p
}

// assembleFirst assembles the first generation.
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
	defer close(p.closed) // those that post do not wait any more
	p.timer = time.AfterFunc(time.Hour, func() { p.post(func() { p.carryOut(p.machine.HandleDeadline(now())) }) })
	defer p.timer.Stop()
	slots := time.NewTicker(sampleInterval)
	defer slots.Stop()
	p.startLifecycle(p.serving)
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

// post hands an event to run. After the end of run it is dropped.
func (p *process) post(event func()) {
	select {
	case p.events <- event:
	case <-p.closed:
	}
}

// armTimer sets the timer to the machine's next deadline.
func (p *process) armTimer() {
	if at := p.machine.Deadline(); at != 0 {
		p.timer.Reset(max(0, clock.Duration(at-now())))
	}
}

// ---- Generations ------------------------------------------------------------

func (p *process) assemble(c *config.Config) (*generation, error) {
	return assemble(Options{Config: c, Log: p.log, Seed: p.options.Seed})
}

// newLifecycle returns the lifecycle of a generation, which notifies the process.
func (p *process) newLifecycle(g *generation, predecessor *takeover.Conn) *lifecycle {
	l := newLifecycle(p.stopContext, g, predecessor)
	l.onServing = func() {
		addresses := l.addresses()
		tookOver := l.Successor.ReceivesConnections()
		p.post(func() { p.onServing(l, addresses, tookOver) })
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

func (p *process) startLifecycle(l *lifecycle) {
	p.running++
	go func() {
		err := l.run()
		p.post(func() { p.onEnded(l, err) })
	}()
}

// onServing notes that a generation serves, and whether it took over from another process.
func (p *process) onServing(l *lifecycle, addresses map[string]string, tookOver bool) {
	if p.options.Serving != nil {
		p.options.Serving(addresses)
	}
	if l != p.successor {
		if tookOver {
			p.machine.ForgiveLastAttempt()
		}
		p.followService(p.serving.options.Config)
		return
	}
	p.serving = l
	p.successor = nil
	p.onApplied(nil)
	p.carryOut(p.machine.SetPaused(now(), false)) // the one before it was busy with it
}

// onEnded notes the end of a generation.
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

// startSuccessor has a generation of another configuration take over from the one that serves.
func (p *process) startSuccessor(c *config.Config) error {
	g, err := p.assemble(c)
	if err != nil {
		return err
	}
	toSuccessor, toPredecessor, err := takeover.ConnPair()
	if err != nil {
		g.stopBackground()
		return err
	}
	p.successor = p.newLifecycle(g, toPredecessor)
	p.startLifecycle(p.successor)
	from := p.serving
	go func() {
		if !from.Loop.Post(func() { from.ReadHello(from.ctx, toSuccessor, answerTimeout) }) {
			toSuccessor.Close()
		}
	}()
	return nil
}
