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
	machine     *rollout.StateMachine
	firstConfig *config.Config // the configuration that the process starts with
	// handleChangeResult is the machine's step for the end of the change that is being applied; nil while none is.
	handleChangeResult func(now monotime.Micros, reason string) []rollout.Command

	fileReadCount         uint64                       // how often the file was read, which numbers its versions
	fileConfigs           map[string]*config.Config    // contents of the file that the machine may name, by digest
	controlPlaneResources map[string][]config.Resource // contents of the control plane's versions that it may name, by digest
	cache                 *configcache.Cache           // nil without a folder for it
	saveGoroutines        sync.WaitGroup               // the goroutines that write the cache

	controlPlane       config.ControlPlane // the control plane that is followed
	controlPlaneClient *xdsclient.Client   // nil while none is followed
	stopFollowing      context.CancelFunc  // ends the client's goroutine; never nil
	clientGoroutines   sync.WaitGroup      // the clients' goroutines

	canaryAnalysis  *canary.Analysis // nil while none runs
	canarySamples   []canary.Sample  // of the analysis that runs
	baselineSamples []canary.Sample  // under good configurations, the latest last
	lastSampleEnd   time.Time        // the end of the last sample
}

// minFileValidationInterval is the least time between two validations of the file without a control service.
const minFileValidationInterval = 100 * time.Millisecond

// rolloutSettings returns the settings of the rollout's state machine.
func rolloutSettings(c *config.ControlPlane, seed uint64) rollout.Settings {
	settings := rollout.Settings{
		CanaryEnabled:         c.CanaryEnabled(),
		MinValidationInterval: clock.Micros(minFileValidationInterval),
		Seed:                  seed,
	}
	if c.Address != "" {
		settings.MinValidationInterval = c.MinValidationInterval.Micros()
	}
	return settings
}

// executeCommands carries out the commands of the rollout's state machine, and those that follow from their results.
func (p *process) executeCommands(commands []rollout.Command) {
	for _, command := range commands {
		switch command.Action {
		case rollout.ActionValidate:
			p.executeCommands(p.machine.HandleValidated(now(), p.validationError(&command)))
		case rollout.ActionApply, rollout.ActionRollBack:
			p.applyVersion(&command)
		case rollout.ActionStartCanary:
			p.startCanary()
		case rollout.ActionStopCanary:
			p.canaryAnalysis = nil
		case rollout.ActionPersist:
			p.saveRolloutState()
		case rollout.ActionAck, rollout.ActionNack:
			p.reportDecision(&command)
		}
	}
}

// configOf returns the configuration of a layered version: the control plane's resources over the file.
func (p *process) configOf(version rollout.LayeredVersion) (*config.Config, error) {
	file := p.fileConfigs[version.File.Digest]
	if file == nil {
		return nil, fmt.Errorf("the content of %v is not held any more", version.File.ID)
	}
	if version.ControlPlane == nil {
		return file, nil
	}
	resources := p.controlPlaneResources[version.ControlPlane.Digest]
	if resources == nil {
		return nil, fmt.Errorf("the content of version %v is not held any more", version.ControlPlane.ID)
	}
	return config.Combine(file, resources)
}

// validate returns why a version cannot be applied, "" if it can.
func (p *process) validationError(command *rollout.Command) string {
	if _, err := p.configOf(command.Target); err != nil {
		return err.Error()
	}
	return ""
}

// applyVersion starts to apply the version of a command, or to roll back to it. A change that the serving generation
// cannot make while serving is made by a new generation that takes over from it. onApplied is called at the end.
func (p *process) applyVersion(command *rollout.Command) {
	p.handleChangeResult = p.machine.HandleApplied
	if command.Action == rollout.ActionRollBack {
		p.handleChangeResult = p.machine.HandleRolledBack
	}
	c, err := p.configOf(command.Target)
	if err == nil {
		err = p.prepareProcess(c)
	}
	if err != nil {
		p.onApplied(err)
		return
	}
	tables, canApplyLive := p.serving.canApplyLive(c)
	p.log.Info("configuration change", "version", command.Target.String(), "while serving", canApplyLive,
		"tables", tables)
	if !canApplyLive {
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
	handleResult := p.handleChangeResult
	p.handleChangeResult = nil
	p.executeCommands(handleResult(now(), reason))
	if c, err := p.configOf(firstOf(p.machine.Running())); err == nil {
		p.machine.UpdateSettings(rolloutSettings(&c.ControlPlane, 0))
		p.followControlPlane(c)
	}
}

func firstOf[A, B any](value A, _ B) A { return value }

// prepareProcess applies the settings of the whole process, such as its limits.
func (p *process) prepareProcess(c *config.Config) error {
	if p.options.Prepare == nil {
		return nil
	}
	return p.options.Prepare(&c.Process)
}

// reportDecision acknowledges or rejects a version: in the log, and at the control plane if it came from there.
func (p *process) reportDecision(command *rollout.Command) {
	id := command.Version.ID.String()
	switch {
	case command.Action == rollout.ActionNack:
		p.log.Error("configuration rejected", "version", id, "reason", command.Reason)
	case command.Confirmed:
		p.log.Info("configuration applied", "version", id)
	default:
		p.log.Info("configuration applied, on trial", "version", id, "for", p.controlPlane.CanaryDuration.Duration)
	}
	if command.Version.Source == rollout.SourceControlPlane && p.controlPlaneClient != nil {
		if command.Action == rollout.ActionNack {
			p.controlPlaneClient.Nack(command.Version.ID, command.Reason, p.runningControlPlaneVersion())
		} else {
			p.controlPlaneClient.Ack(command.Version.ID, command.Confirmed)
		}
	}
	p.dropUnusedContents()
	if p.options.Answered != nil {
		p.options.Answered(*command)
	}
}
