package daemon

import (
	"context"
	"reflect"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/xdsclient"
)

// reloadFile reads the configuration file again and offers its version to the rollout's state machine. If the
// file cannot be read, this is logged and the running configuration stays.
func (p *process) reloadFile() {
	c, err := p.options.ReadConfig()
	if err != nil {
		p.log.Error("configuration not reloaded", "error", err)
		return
	}
	p.executeCommands(p.rolloutMachine.Offer(now(), p.fileVersion(c)))
}

// fileVersion stores the content of the configuration file and returns a new version for it.
func (p *process) fileVersion(c *config.Config) rollout.Version {
	p.fileReadCount++
	version := rollout.Version{
		ID:     rollout.ID{Source: rollout.SourceFile, Number: p.fileReadCount},
		Digest: fileDigest(c.Text),
	}
	p.fileConfigs[version.Digest] = c
	return version
}

// followControlPlane follows the control plane of a configuration if its settings differ from those of the
// control plane that is followed now. stopFollowing ends the goroutine of the new client.
func (p *process) followControlPlane(c *config.Config) {
	if reflect.DeepEqual(p.controlPlane, c.ControlPlane) {
		return
	}
	p.stopFollowing()
	p.stopFollowing = func() {}
	p.controlPlaneClient = nil
	p.controlPlane = c.ControlPlane
	if c.ControlPlane.Address == "" {
		return
	}
	var client *xdsclient.Client
	client, err := xdsclient.New(xdsclient.Options{
		Settings:     c.ControlPlane,
		InstanceName: c.Name,
		Zone:         c.Fleet.Zone,
		Applied:      p.runningControlPlaneVersion(),
		Log:          p.log,
		OnUpdate: func(update xdsclient.Update) {
			p.post(func() {
				if p.controlPlaneClient == client {
					p.onControlPlaneUpdate(update)
				}
			})
		},
	})
	if err != nil {
		p.log.Error("control service not followed", "error", err)
		return
	}
	var ctx context.Context
	ctx, p.stopFollowing = context.WithCancel(context.Background())
	p.controlPlaneClient = client
	p.clientGoroutines.Go(func() { client.Run(ctx) })
	p.log.Info("following control service", "service", c.ControlPlane.Address)
}

// runningControlPlaneVersion returns the id of the control plane version that is running or, during a rollback,
// to which the process rolls back. It returns nil if that configuration has no control plane version.
func (p *process) runningControlPlaneVersion() *rollout.ID {
	version, _ := p.rolloutMachine.Running()
	if phase, _ := p.rolloutMachine.Phase(); phase == rollout.PhaseRollingBack {
		version = *p.rolloutMachine.PersistentState().LastKnownGood
	}
	if version.ControlPlane == nil {
		return nil
	}
	return &version.ControlPlane.ID
}

// onControlPlaneUpdate offers a version that the control plane sent to the rollout's state machine.
func (p *process) onControlPlaneUpdate(update xdsclient.Update) {
	if update.DecodeError != "" {
		p.executeCommands(p.rolloutMachine.RejectUnreadable(update.Version, update.DecodeError))
		return
	}
	if p.controlPlaneResources[update.Version.Digest] == nil {
		p.controlPlaneResources[update.Version.Digest] = update.Resources
	}
	p.executeCommands(p.rolloutMachine.Offer(now(), update.Version))
	p.dropUnusedContents()
}
