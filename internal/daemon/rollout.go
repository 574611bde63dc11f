package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/configcache"
	"dunlinsail/internal/decide/canary"
	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/xdsclient"
)

// versioning is the part of a process that selects the configuration it runs: the sources of versions, the state
// machine that decides between them, their cache, and the canary analysis. Its fields belong to the process's
// goroutine.
type versioning struct {
	machine *rollout.StateMachine
	first   *config.Config // the configuration that the process starts with
	// onAppliedStep is the machine's step for the end of the change that is being applied; nil while none is.
	onAppliedStep func(now monotime.Micros, reason string) []rollout.Command

	fileReads uint64                       // how often the file was read, which numbers its versions
	files     map[string]*config.Config    // contents of the file that the machine may name, by digest
	resources map[string][]config.Resource // contents of the control plane's versions that it may name, by digest
	cache     *configcache.Cache           // nil without a folder for it
	saving    sync.WaitGroup               // the goroutines that write the cache

	control       config.ControlPlane // the control plane that is followed
	client        *xdsclient.Client   // nil while none is followed
	stopFollowing context.CancelFunc  // ends the client's goroutine; never nil
	following     sync.WaitGroup      // the clients' goroutines

	canary          *canary.Analysis // nil while none runs
	canarySamples   []canary.Sample  // of the analysis that runs
	baselineSamples []canary.Sample  // under good configurations, the latest last
	lastSample      time.Time        // the end of the last sample
}

// minFileValidationInterval is the least time between two validations of the file without a control service.
const minFileValidationInterval = 100 * time.Millisecond

// machineSettings returns the settings of the rollout's state machine.
func machineSettings(c *config.ControlPlane, seed uint64) rollout.Settings {
	s := rollout.Settings{
		CanaryEnabled:         c.CanaryEnabled(),
		MinValidationInterval: clock.Micros(minFileValidationInterval),
		Seed:                  seed,
	}
	if c.Address != "" {
		s.MinValidationInterval = c.MinValidationInterval.Micros()
	}
	return s
}

// carryOut carries out the commands of the rollout's state machine, and those that follow from their results.
func (p *process) carryOut(commands []rollout.Command) {
	for _, c := range commands {
		switch c.Action {
		case rollout.ActionValidate:
			p.carryOut(p.machine.HandleValidated(now(), p.validate(&c)))
		case rollout.ActionApply, rollout.ActionRollBack:
			p.applyVersion(&c)
		case rollout.ActionStartCanary:
			p.startCanary()
		case rollout.ActionStopCanary:
			p.canary = nil
		case rollout.ActionPersist:
			p.saveState()
		case rollout.ActionAck, rollout.ActionNack:
			p.answerSource(&c)
		}
	}
}

// configOf returns the configuration of a layered version: the control plane's resources over the file.
func (p *process) configOf(version rollout.LayeredVersion) (*config.Config, error) {
	file := p.files[version.File.Digest]
	if file == nil {
		return nil, fmt.Errorf("the content of %v is not held any more", version.File.ID)
	}
	if version.ControlPlane == nil {
		return file, nil
	}
	resources := p.resources[version.ControlPlane.Digest]
	if resources == nil {
		return nil, fmt.Errorf("the content of version %v is not held any more", version.ControlPlane.ID)
	}
	return config.Combine(file, resources)
}

// validate returns why a version cannot be applied, "" if it can.
func (p *process) validate(command *rollout.Command) string {
	if _, err := p.configOf(command.Target); err != nil {
		return err.Error()
	}
	return ""
}

// applyVersion starts to apply the version of a command, or to roll back to it. A change that the serving generation
// cannot make while serving is made by a new generation that takes over from it. onApplied is called at the end.
func (p *process) applyVersion(command *rollout.Command) {
	p.onAppliedStep = p.machine.HandleApplied
	if command.Action == rollout.ActionRollBack {
		p.onAppliedStep = p.machine.HandleRolledBack
	}
	c, err := p.configOf(command.Target)
	if err == nil {
		err = p.prepareProcess(c)
	}
	if err != nil {
		p.onApplied(err)
		return
	}
	tables, live := p.serving.changesLive(c)
	p.log.Info("configuration change", "version", command.Target.String(), "while serving", live, "tables", tables)
	if !live {
		if err := p.startSuccessor(c); err != nil {
			p.onApplied(err)
		}
		return
	}
	p.applyWhileServing(c)
}

// applyWhileServing has the serving generation apply a configuration on its own goroutine. The goroutine started here
// ends once that is done, or once the generation takes no events any more.
func (p *process) applyWhileServing(c *config.Config) {
	serving := p.serving
	go func() {
		err := errors.New("the daemon ends")
		done := make(chan struct{})
		if serving.Loop.Post(func() { err = serving.applyConfig(c); close(done) }) {
			<-done
		}
		p.post(func() { p.onApplied(err) })
	}()
}

// onApplied steps the machine with the end of a change: err is nil, or why the configuration before it is kept.
func (p *process) onApplied(err error) {
	if err != nil && p.stopContext.Err() != nil {
		return // the change may have failed because the process ends, so it is not counted (stopVersioning)
	}
	reason := ""
	if err != nil {
		reason = err.Error()
		_ = p.prepareProcess(p.serving.options.Config) // the settings before the change, which were applied once
	}
	step := p.onAppliedStep
	p.onAppliedStep = nil
	p.carryOut(step(now(), reason))
	if c, err := p.configOf(first(p.machine.Running())); err == nil {
		p.machine.UpdateSettings(machineSettings(&c.ControlPlane, 0))
		p.followControlPlane(c)
	}
}

func first[A, B any](a A, _ B) A { return a }

// prepareProcess applies the settings of the whole process, such as its limits.
func (p *process) prepareProcess(c *config.Config) error {
	if p.options.Prepare == nil {
		return nil
	}
	return p.options.Prepare(&c.Process)
}

// answerSource acknowledges or rejects a version: in the log, and at the control plane if it came from there.
func (p *process) answerSource(command *rollout.Command) {
	id := command.Version.ID.String()
	switch {
	case command.Action == rollout.ActionNack:
		p.log.Error("configuration rejected", "version", id, "reason", command.Reason)
	case command.Confirmed:
		p.log.Info("configuration applied", "version", id)
	default:
		p.log.Info("configuration applied, on trial", "version", id, "for", p.control.CanaryDuration.Duration)
	}
	if command.Version.Source == rollout.SourceControlPlane && p.client != nil {
		if command.Action == rollout.ActionNack {
			p.client.Nack(command.Version.ID, command.Reason, p.runningControlPlaneVersion())
		} else {
			p.client.Ack(command.Version.ID, command.Confirmed)
		}
	}
	p.dropUnused()
	if p.options.Answered != nil {
		p.options.Answered(*command)
	}
}
