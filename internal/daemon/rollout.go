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

// versioning is the part of a process that has to do with which configuration it runs: where versions come
// from, the machine that decides between them, what is kept of them, and how the one on trial does. It belongs
// to the process's goroutine.
type versioning struct {
	machine *rollout.StateMachine
	first   *config.Config // to begin with
	// appliedStep is what the machine is told once what is applied has come into effect.
	appliedStep func(now monotime.Micros, reason string) []rollout.Command

	fileReads uint64                       // of the file
	files     map[string]*config.Config    // contents of the file, by digest: those that the machine may name
	resources map[string][]config.Resource // contents of the service's versions
	cache     *configcache.Cache           // nil where nothing is kept
	saving    sync.WaitGroup

	control       config.ControlPlane // as it is followed
	client        *xdsclient.Client
	stopFollowing context.CancelFunc // ends that
	following     sync.WaitGroup

	canary          *canary.Analysis // nil while none is under way
	canarySamples   []canary.Sample  // in it
	baselineSamples []canary.Sample  // what it is held against: the last of what was good
	lastSample      time.Time        // when the last sample ended
}

const (
	fileCheckGap       = 100 * time.Millisecond // between two checks of the file without a control service
	sampleInterval     = 250 * time.Millisecond // of a sample
	maxBaselineSamples = 240                    // that a trial is held against
)

// maxCanaryRestarts is how often a canary analysis restarts because the load has grown so much that it proves
// nothing.
const maxCanaryRestarts = 3

// machineSettings returns the settings of the rollout's machine.
func machineSettings(c *config.ControlPlane, seed uint64) rollout.Settings {
	s := rollout.Settings{
		CanaryEnabled:         c.CanaryEnabled(),
		MinValidationInterval: clock.Micros(fileCheckGap),
		Seed:                  seed,
	}
	if c.Address != "" {
		s.MinValidationInterval = c.MinValidationInterval.Micros()
	}
	return s
}

// carryOut carries out the commands of the rollout's machine.
func (p *process) carryOut(steps []rollout.Command) {
	for _, s := range steps {
		switch s.Action {
		case rollout.ActionValidate:
			p.carryOut(p.machine.HandleValidated(now(), p.checkVersion(&s)))
		case rollout.ActionApply, rollout.ActionRollBack:
			p.applyVersion(&s)
		case rollout.ActionStartCanary:
			p.startCanary()
		case rollout.ActionStopCanary:
			p.canary = nil
		case rollout.ActionPersist:
			p.saveState()
		case rollout.ActionAck, rollout.ActionNack:
			p.answerSource(&s)
		}
	}
}

// config returns what a pair of versions comes to.
func (p *process) configOf(pair rollout.LayeredVersion) (*config.Config, error) {
	file := p.files[pair.File.Digest]
	if file == nil {
		return nil, fmt.Errorf("the content of %v is not held any more", pair.File.ID)
	}
	if pair.ControlPlane == nil {
		return file, nil
	}
	all := p.resources[pair.ControlPlane.Digest]
	if all == nil {
		return nil, fmt.Errorf("the content of version %v is not held any more", pair.ControlPlane.ID)
	}
	return config.Combine(file, all)
}

// check says why a version cannot be applied, "" if it can.
func (p *process) checkVersion(s *rollout.Command) string {
	if _, err := p.configOf(s.Target); err != nil {
		return err.Error()
	}
	return ""
}

// apply begins to apply what the machine wants applied, or gone back to.
func (p *process) applyVersion(s *rollout.Command) {
	p.appliedStep = p.machine.HandleApplied
	if s.Action == rollout.ActionRollBack {
		p.appliedStep = p.machine.HandleRolledBack
	}
	c, err := p.configOf(s.Target)
	if err == nil {
		err = p.prepareProcess(c)
	}
	if err != nil {
		p.onApplied(err)
		return
	}
	tables, live := p.serving.changesLive(c)
	p.log.Info("configuration change", "version", s.Target.String(), "while serving", live, "tables", tables)
	if !live {
		if err := p.startSuccessor(c); err != nil {
			p.onApplied(err)
		}
		return
	}
	to := p.serving
	go func() {
		err := errors.New("the daemon ends")
		done := make(chan struct{})
		if to.Loop.Post(func() { err = to.applyConfig(c); close(done) }) {
			<-done
		}
		p.post(func() { p.onApplied(err) })
	}()
}

// onApplied notifies the machine how applying a version has ended.
func (p *process) onApplied(err error) {
	if err != nil && p.stopContext.Err() != nil {
		return // what failed may be the process's own end: it is held against nothing (leave)
	}
	reason := ""
	if err != nil {
		reason = err.Error()
		_ = p.prepareProcess(p.serving.options.Config) // as it was before
	}
	done := p.appliedStep
	p.appliedStep = nil
	p.carryOut(done(now(), reason))
	if c, err := p.configOf(first(p.machine.Running())); err == nil {
		p.machine.UpdateSettings(machineSettings(&c.ControlPlane, 0))
		p.followService(c)
	}
}

func first[A, B any](a A, _ B) A { return a }

// prepareProcess sets what holds for the whole process.
func (p *process) prepareProcess(c *config.Config) error {
	if p.options.Prepare == nil {
		return nil
	}
	return p.options.Prepare(&c.Process)
}

// answerSource acknowledges or rejects a version at its source.
func (p *process) answerSource(s *rollout.Command) {
	id := s.Version.ID.String()
	switch {
	case s.Action == rollout.ActionNack:
		p.log.Error("configuration rejected", "version", id, "reason", s.Reason)
	case s.Confirmed:
		p.log.Info("configuration applied", "version", id)
	default:
		p.log.Info("configuration applied, on trial", "version", id, "for", p.control.CanaryDuration.Duration)
	}
	if s.Version.Source == rollout.SourceControlPlane && p.client != nil {
		if s.Action == rollout.ActionNack {
			p.client.Nack(s.Version.ID, s.Reason, p.runningServiceVersion())
		} else {
			p.client.Ack(s.Version.ID, s.Confirmed)
		}
	}
	p.dropUnused()
	if p.options.Answered != nil {
		p.options.Answered(*s)
	}
}
