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
	"dunlinsail/internal/timesharing"
)

// process is a daemon's process, which lasts for all its configurations. Package decide/rollout decides which
// version of the configuration is applied. The serving generation applies a change itself if that is possible
// while it serves. For any other change a new generation takes over within the process, in the same way as
// another process would.
//
// The fields belong to the goroutine of run. Other goroutines post events to it.
type process struct {
	options      Options
	log          *slog.Logger
	stopContext  context.Context // ends the process; a field because events, which have no context, start generations
	events       chan func()     // events for the goroutine of run
	eventsClosed chan struct{}   // closed once run takes no more events
	timer        *time.Timer     // fires at the next deadline of the rollout's state machine

	serving           *lifecycle // the generation that serves, or the first generation until it serves
	successor         *lifecycle // the generation that is to take over from the serving one; nil if there is none
	runningLifecycles int        // number of lifecycles that were started and have not ended
	servingError      error      // the error with which the last serving generation ended

	versioning
}

// eventsBufferSize is the number of events that can wait for run before post blocks. Lifecycles post few events,
// and run never waits for a lifecycle, so a blocked post cannot cause a deadlock.
const eventsBufferSize = 64

// newProcess returns a process that has selected its first configuration but started nothing.
func newProcess(stop context.Context, options Options) *process {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	options.processors = timesharing.New(clock.New(), options.Log)
	p := &process{
		options:      options,
		log:          options.Log,
		stopContext:  stop,
		events:       make(chan func(), eventsBufferSize),
		eventsClosed: make(chan struct{}),
	}
	p.selectFirstConfig()
	return p
}

// assembleFirst assembles the generation of the first configuration, without starting it.
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

// run starts the first generation and handles events, file reloads and canary samples until the last generation
// has ended. It returns the error of the last serving generation.
func (p *process) run() error {
	defer p.clientGoroutines.Wait()
	defer close(p.eventsClosed) // from here on post does not block, so that the control plane clients can end
	p.timer = time.AfterFunc(time.Hour, func() {
		p.post(func() { p.executeCommands(p.rolloutMachine.HandleDeadline(now())) })
	})
	defer p.timer.Stop()
	sampleTicker := time.NewTicker(sampleInterval)
	defer sampleTicker.Stop()
	p.startLifecycle(p.serving)
	for p.runningLifecycles > 0 {
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

// post queues an event for run. An event that is posted after the end of run is dropped.
func (p *process) post(event func()) {
	select {
	case p.events <- event:
	case <-p.eventsClosed:
	}
}

// armTimer sets the timer to the next deadline of the rollout's state machine.
func (p *process) armTimer() {
	if deadline := p.rolloutMachine.Deadline(); deadline != 0 {
		p.timer.Reset(max(0, clock.Duration(deadline-now())))
	}
}

// assemble returns a generation for a configuration, without starting it.
func (p *process) assemble(c *config.Config) (*generation, error) {
	return assemble(Options{Config: c, Log: p.log, Seed: p.options.Seed, processors: p.options.processors})
}

// newLifecycle returns the lifecycle of a generation. The lifecycle notifies the process when the generation
// serves and when a handover starts or ends. A non-nil predecessor is a connection to the serving generation of
// this process.
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
				p.executeCommands(p.rolloutMachine.SetPaused(now(), active))
			}
		})
	}
	return l
}

// startLifecycle runs a lifecycle in a goroutine of its own, which calls onEnded at its end. The method run
// returns only once onEnded was called for each lifecycle.
func (p *process) startLifecycle(l *lifecycle) {
	p.runningLifecycles++
	go func() {
		err := l.run()
		p.post(func() { p.onEnded(l, err) })
	}()
}

// onServing handles the event that a generation has started to serve. tookOver reports whether the generation
// took over from another process or generation.
func (p *process) onServing(l *lifecycle, addresses map[string]string, tookOver bool) {
	if p.options.OnServing != nil {
		p.options.OnServing(addresses)
	}
	if l != p.successor {
		if tookOver {
			p.rolloutMachine.ForgiveLastAttempt()
		}
		p.followControlPlane(p.serving.options.Config)
		return
	}
	p.serving = l
	p.successor = nil
	p.onApplied(nil)
	p.executeCommands(p.rolloutMachine.SetPaused(now(), false)) // the predecessor's handover paused the rollout
}

// onEnded handles the end of a generation. If the successor ended before it served, the change that it was
// started for has failed.
func (p *process) onEnded(l *lifecycle, err error) {
	p.runningLifecycles--
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

// startSuccessor starts a generation with another configuration, which takes over from the serving generation.
// It returns an error if the new generation could not be assembled. Otherwise onServing or onEnded is called
// for that generation.
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
	go func() { // ends once the serving generation has taken the event, or takes no more events
		if !serving.Loop.Post(func() { serving.ReadHello(serving.ctx, toSuccessor, replyTimeout) }) {
			toSuccessor.Close()
		}
	}()
	return nil
}
