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

// versioning is the part of a process that selects the running configuration: the sources of configuration
// versions, the state machine that decides between the versions, the cache of versions, and the canary
// analysis. The fields belong to the process's goroutine.
type versioning struct {
	rolloutMachine *rollout.StateMachine // decides which version is applied
	firstConfig    *config.Config        // the configuration with which the process starts
	// handleChangeResult is the method of the state machine that takes the result of the change that is being
	// applied. It is nil while no change is being applied.
	handleChangeResult func(now monotime.Micros, reason string) []rollout.Command

	fileReadCount uint64                    // number of reads of the configuration file; it numbers the file's versions
	fileConfigs   map[string]*config.Config // contents of the file that the state machine may refer to, by digest
	// controlPlaneResources holds the contents of the control plane versions that the state machine may refer
	// to, by digest.
	controlPlaneResources map[string][]config.Resource
	cache                 *configcache.Cache // nil if there is no folder for it or the folder cannot be used
	saveGoroutines        sync.WaitGroup     // the goroutines that write to the cache

	controlPlane       config.ControlPlane // settings of the control plane that is followed
	controlPlaneClient *xdsclient.Client   // nil while no control plane is followed
	stopFollowing      context.CancelFunc  // ends the goroutine of controlPlaneClient; never nil
	clientGoroutines   sync.WaitGroup      // the goroutines of the current and of earlier control plane clients

	canaryAnalysis  *canary.Analysis // nil while no analysis runs
	canarySamples   []canary.Sample  // samples of the current analysis
	baselineSamples []canary.Sample  // samples under good configurations, oldest first
	lastSampleEnd   time.Time        // the time at which the last sample ended
}

// minFileValidationInterval is the minimum time between two validations of the file if there is no control
// plane.
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

// executeCommands carries out commands of the rollout's state machine, and the commands that follow from their
// results.
func (p *process) executeCommands(commands []rollout.Command) {
	for _, command := range commands {
		switch command.Action {
		case rollout.ActionValidate:
			p.executeCommands(p.rolloutMachine.HandleValidated(now(), p.validationError(&command)))
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

// configForVersion returns the configuration of a layered version: the file, overridden by the control plane's
// resources.
func (p *process) configForVersion(version rollout.LayeredVersion) (*config.Config, error) {
	fileConfig := p.fileConfigs[version.File.Digest]
	if fileConfig == nil {
		return nil, fmt.Errorf("the content of %v is not held any more", version.File.ID)
	}
	if version.ControlPlane == nil {
		return fileConfig, nil
	}
	resources := p.controlPlaneResources[version.ControlPlane.Digest]
	if resources == nil {
		return nil, fmt.Errorf("the content of version %v is not held any more", version.ControlPlane.ID)
	}
	return config.Combine(fileConfig, resources)
}

// validationError returns the reason why a version cannot be applied, or "" if it can be applied.
func (p *process) validationError(command *rollout.Command) string {
	if _, err := p.configForVersion(command.Target); err != nil {
		return err.Error()
	}
	return ""
}

// applyVersion starts to apply the version of a command, or to roll back to it. If the serving generation
// cannot make the change while serving, a new generation is started that takes over from it. onApplied is
// called when the change has succeeded or failed.
func (p *process) applyVersion(command *rollout.Command) {
	p.handleChangeResult = p.rolloutMachine.HandleApplied
	if command.Action == rollout.ActionRollBack {
		p.handleChangeResult = p.rolloutMachine.HandleRolledBack
	}
	c, err := p.configForVersion(command.Target)
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

// applyWhileServing lets the serving generation apply a configuration on the generation's own goroutine. The
// goroutine that applyWhileServing starts ends once the change is applied, or once the generation takes no more
// events.
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

// onApplied passes the result of a change to the state machine. A non-nil err is the reason why the previous
// configuration stays in effect.
func (p *process) onApplied(err error) {
	if err != nil && p.stopContext.Err() != nil {
		// The change may have failed because the process stops, so the attempt is not counted (stopVersioning).
		return
	}
	reason := ""
	if err != nil {
		reason = err.Error()
		// Restore the previous process-wide settings. They were applied successfully before.
		_ = p.prepareProcess(p.serving.options.Config)
	}
	handleResult := p.handleChangeResult
	p.handleChangeResult = nil
	p.executeCommands(handleResult(now(), reason))
	if c, err := p.configForVersion(firstOf(p.rolloutMachine.Running())); err == nil {
		p.rolloutMachine.UpdateSettings(rolloutSettings(&c.ControlPlane, 0))
		p.followControlPlane(c)
	}
}

// firstOf returns the first of two values, such as the results of a call.
func firstOf[A, B any](value A, _ B) A { return value }

// prepareProcess applies the process-wide settings of a configuration, such as resource limits.
func (p *process) prepareProcess(c *config.Config) error {
	if p.options.ApplyProcessSettings == nil {
		return nil
	}
	return p.options.ApplyProcessSettings(&c.Process)
}

// reportDecision reports that a version was acknowledged or rejected: in the log, and to the control plane if
// the version came from there.
func (p *process) reportDecision(command *rollout.Command) {
	versionID := command.Version.ID.String()
	switch {
	case command.Action == rollout.ActionNack:
		p.log.Error("configuration rejected", "version", versionID, "reason", command.Reason)
	case command.Confirmed:
		p.log.Info("configuration applied", "version", versionID)
	default:
		p.log.Info("configuration applied, on trial", "version", versionID,
			"for", p.controlPlane.CanaryDuration.Duration)
	}
	if command.Version.Source == rollout.SourceControlPlane && p.controlPlaneClient != nil {
		if command.Action == rollout.ActionNack {
			p.controlPlaneClient.Nack(command.Version.ID, command.Reason, p.runningControlPlaneVersion())
		} else {
			p.controlPlaneClient.Ack(command.Version.ID, command.Confirmed)
		}
	}
	p.dropUnusedContents()
	if p.options.OnVersionDecided != nil {
		p.options.OnVersionDecided(*command)
	}
}
