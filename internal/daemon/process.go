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

// process is a daemon's process over all its configurations. Package decide/rollout decides which version is applied. A
// change that can be made while serving is made in the serving generation; for any other, a new generation takes over
// from it within the process, as another process would.
//
// Its fields belong to the goroutine of run; other goroutines post events.
type process struct {
	options      Options
	log          *slog.Logger
	stopContext  context.Context // ends the process; kept because events, which have no context, start generations
	events       chan func()
	eventsClosed chan struct{} // closed once no event is taken any more
	timer        *time.Timer

	serving      *lifecycle // the generation that serves, or the first one before it does
	successor    *lifecycle // the generation that is to take over from it; nil while there is none
	running      int        // lifecycles that have not ended
	servingError error      // of the last serving generation

	versioning
}

// eventsBuffer is the number of events that can wait for run before post blocks. Lifecycles post few events, and run
// never waits for a lifecycle.
const eventsBuffer = 64

func newProcess(stop context.Context, options Options) *process {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	p := &process{
		options:      options,
		log:          options.Log,
		stopContext:  stop,
		events:       make(chan func(), eventsBuffer),
		eventsClosed: make(chan struct{}),
	}
	p.selectFirstConfig()
	return p
}

// assembleFirst assembles the first generation.
func (p *process) assembleFirst() error {
	if err := p.prepareProcess(p.firstConfig); err != nil {
		return err
	}
	g, err := p.assemble(p.firstConfig)
	if err != nil {
		return err
	}
	p.serving = p.newLifecycle(g, nil)
	return nil
}

// run serves by the first configuration and those that follow, until the last generation has ended.
func (p *process) run() error {
	defer p.clientGoroutines.Wait()
	defer close(p.eventsClosed) // post does not block any more, so that the clients of control planes can end
	p.timer = time.AfterFunc(time.Hour, func() {
		p.post(func() { p.executeCommands(p.machine.HandleDeadline(now())) })
	})
	defer p.timer.Stop()
	sampleTicker := time.NewTicker(sampleInterval)
	defer sampleTicker.Stop()
	p.startLifecycle(p.serving)
	for p.running > 0 {
		p.armTimer()
		select {
		case event := <-p.events:
			event()
		case <-p.options.Reload:
			p.reloadFile()
		case <-sampleTicker.C:
			p.takeCanarySample()
		}
	}
	p.stopVersioning()
	return p.servingError
}

// post hands an event to run. After the end of run it is dropped.
func (p *process) post(event func()) {
	select {
	case p.events <- event:
	case <-p.eventsClosed:
	}
}

// armTimer sets the timer to the machine's next deadline.
func (p *process) armTimer() {
	if deadline := p.machine.Deadline(); deadline != 0 {
		p.timer.Reset(max(0, clock.Duration(deadline-now())))
	}
}

// ---- Generations ------------------------------------------------------------

// assemble makes a generation of a configuration, without starting it.
func (p *process) assemble(c *config.Config) (*generation, error) {
	return assemble(Options{Config: c, Log: p.log, Seed: p.options.Seed})
}

// newLifecycle returns the lifecycle of a generation, which notifies the process of its changes. A non-nil predecessor
// is a connection to the serving generation of this process.
func (p *process) newLifecycle(g *generation, predecessor *takeover.Conn) *lifecycle {
	l := newLifecycle(p.stopContext, g, predecessor)
	l.onServing = func() {
		addresses := l.addresses()
		tookOver := l.Successor.ReceivesConnections()
		p.post(func() { p.onServing(l, addresses, tookOver) })
	}
	l.onHandoverChange = func(active bool) {
		p.post(func() {
			if l == p.serving {
				p.executeCommands(p.machine.SetPaused(now(), active))
			}
		})
	}
	return l
}

// startLifecycle runs a lifecycle in a goroutine of its own. run waits for onEnded of each.
func (p *process) startLifecycle(l *lifecycle) {
	p.running++
	go func() {
		err := l.run()
		p.post(func() { p.onEnded(l, err) })
	}()
}

// onServing handles that a generation serves. tookOver reports whether it took over from another process or generation.
func (p *process) onServing(l *lifecycle, addresses map[string]string, tookOver bool) {
	if p.options.Serving != nil {
		p.options.Serving(addresses)
	}
	if l != p.successor {
		if tookOver {
			p.machine.ForgiveLastAttempt()
		}
		p.followControlPlane(p.serving.options.Config)
		return
	}
	p.serving = l
	p.successor = nil
	p.onApplied(nil)
	p.executeCommands(p.machine.SetPaused(now(), false)) // the predecessor's handover had paused the rollout
}

// onEnded handles the end of a generation.
func (p *process) onEnded(l *lifecycle, err error) {
	p.running--
	switch l {
	case p.serving:
		p.servingError = err
	case p.successor:
		p.successor = nil
		if err == nil {
			err = errors.New("told to stop")
		}
		p.onApplied(err)
	}
}

// startSuccessor has a generation of another configuration take over from the serving one. An error means that it could
// not be assembled; onServing or onEnded follows otherwise.
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
	serving := p.serving
	go func() { // ends once the serving generation takes the event, or takes none any more
		if !serving.Loop.Post(func() { serving.ReadHello(serving.ctx, toSuccessor, replyTimeout) }) {
			toSuccessor.Close()
		}
	}()
	return nil
}
