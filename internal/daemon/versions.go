package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
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

// versioning is the part of a process that has to do with which configuration it runs: where versions come from, the machine
// that decides between them, what is kept of them, and how the one on trial does. It belongs to the process's goroutine.
type versioning struct {
	machine     *rollout.StateMachine
	first       *config.Config                                             // to begin with
	appliedStep func(now monotime.Micros, reason string) []rollout.Command // what the machine is told once what is applied is so

	fileReads uint64                       // of the file
	files     map[string]*config.Config    // contents of the file, by digest: those that the machine may name
	resources map[string][]config.Resource // contents of the service's versions
	cache     *configcache.Cache           // nil where nothing is kept
	saving    sync.WaitGroup

	control       config.Control // as it is followed
	client        *xdsclient.Client
	stopFollowing context.CancelFunc // ends that
	following     sync.WaitGroup

	canary          *canary.Analysis // nil while none is under way
	canarySamples   []canary.Sample  // in it
	baselineSamples []canary.Sample  // what it is held against: the last of what was good
	lastSample      time.Time        // when the last sample ended
}

const (
	fileCheckGap       = 100 * time.Millisecond // from one check of the file to the next, where there is no control service
	sampleInterval     = 250 * time.Millisecond // of a sample
	maxBaselineSamples = 240                    // that a trial is held against
)

// trialRush is how often a trial begins anew in which so much more is asked for than before that it proves nothing.
const maxCanaryRestarts = 3

// settings returns the machine's.
func machineSettings(c *config.Control, seed uint64) rollout.Settings {
	s := rollout.Settings{CanaryEnabled: c.Tries(), MinValidationInterval: clock.Micros(fileCheckGap), Seed: seed}
	if c.Address != "" {
		s.MinValidationInterval = c.Gap.Micros()
	}
	return s
}

// recall finds what to begin with: the file, and over it the last good version of the service's. Without a sound one it is
// the file alone, which is sound by itself.
func (p *process) restoreVersions() {
	p.files, p.resources, p.stopFollowing = map[string]*config.Config{}, map[string][]config.Resource{}, func() {}
	file := p.options.Config
	p.first = file
	running := rollout.LayeredVersion{File: p.fileVersion(file)}
	var known rollout.PersistentState
	if c := &file.Control; c.State != "" {
		var err error
		if p.cache, err = configcache.Open(c.State); err != nil {
			p.log.Error("no version of the configuration will be kept", "folder", c.State, "error", err)
		} else if k := p.loadState(); k != nil {
			known = *k
		}
	}
	if known.LastKnownGood != nil && known.LastKnownGood.ControlPlane != nil && file.Control.Address != "" {
		if c, err := p.cachedConfig(known.LastKnownGood.ControlPlane, file); err != nil {
			p.log.Error("the last good version cannot be begun with, the file alone is", "version", known.LastKnownGood.ControlPlane.ID.String(), "error", err)
		} else {
			p.first, running.ControlPlane = c, known.LastKnownGood.ControlPlane
			p.log.Info("beginning with the last good version", "version", running.String())
		}
	}
	if known.LastKnownGood != nil && !sameContents(known.LastKnownGood, &running) {
		// Whoever starts the process with another file means it.
		known.PreviousGood, known.LastKnownGood = known.LastKnownGood, &running
	}
	p.machine = rollout.New(machineSettings(&file.Control, p.options.Seed), running, known)
}

// same says whether two pairs have the same contents.
func sameContents(a, b *rollout.LayeredVersion) bool {
	return a.File.Digest == b.File.Digest && (a.ControlPlane == nil) == (b.ControlPlane == nil) && (a.ControlPlane == nil || *a.ControlPlane == *b.ControlPlane)
}

// load returns what was known when the process before this one ended, nil if nothing is kept.
func (p *process) loadState() *rollout.PersistentState {
	k, from, err := p.cache.Load()
	if err != nil {
		p.log.Error("what was kept of versions is not all sound", "from", from, "error", err)
	}
	if k == nil {
		return nil
	}
	for _, pair := range []*rollout.LayeredVersion{k.LastKnownGood, k.PreviousGood} {
		if pair == nil {
			continue
		}
		if text, err := p.cache.Content(pair.File.Digest); err == nil && digest(text) == pair.File.Digest {
			if c, err := config.Parse(text); err == nil {
				p.files[pair.File.Digest] = c
			}
		}
	}
	return k
}

// recalled returns the configuration that a version comes to over a file, from what is kept.
func (p *process) cachedConfig(v *rollout.Version, file *config.Config) (*config.Config, error) {
	text, err := p.cache.Content(v.Digest)
	if err != nil {
		return nil, err
	}
	var all []config.Resource
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	if config.Digest(all) != v.Digest {
		return nil, configcache.ErrCorrupt
	}
	p.resources[v.Digest] = all
	return config.Combine(file, all)
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// ---- Where versions come from -------------------------------------------------

// read reads the file again, and offers what is in it.
func (p *process) readFile() {
	c, err := p.options.Read()
	if err != nil {
		p.log.Error("configuration not reloaded", "error", err)
		return
	}
	p.carryOut(p.machine.Offer(now(), p.fileVersion(c)))
}

// fileVersion notes a content of the file, and returns its version.
func (p *process) fileVersion(c *config.Config) rollout.Version {
	p.fileReads++
	v := rollout.Version{ID: rollout.ID{Source: rollout.SourceFile, Number: p.fileReads}, Digest: digest(c.Text)}
	p.files[v.Digest] = c
	return v
}

// follow asks the control service that a configuration names, if it is another than before.
func (p *process) followService(c *config.Config) {
	if reflect.DeepEqual(p.control, c.Control) {
		return
	}
	p.stopFollowing()
	p.stopFollowing, p.client, p.control = func() {}, nil, c.Control
	if c.Control.Address == "" {
		return
	}
	var client *xdsclient.Client
	client, err := xdsclient.New(xdsclient.Options{Settings: c.Control, InstanceName: c.Name, Zone: c.Fleet.Zone, Applied: p.runningServiceVersion(), Log: p.log,
		OnUpdate: func(u xdsclient.Update) {
			p.post(func() {
				if p.client == client {
					p.onUpdate(u)
				}
			})
		}})
	if err != nil {
		p.log.Error("no versions of the configuration will come", "error", err)
		return
	}
	var ctx context.Context
	ctx, p.stopFollowing = context.WithCancel(context.Background())
	p.client = client
	p.following.Go(func() { client.Run(ctx) })
	p.log.Info("versions of the configuration come from a control service", "service", c.Control.Address)
}

// service returns which of the service's versions runs, or will in a moment; nil for none.
func (p *process) runningServiceVersion() *rollout.ID {
	pair, _ := p.machine.Running()
	if phase, _ := p.machine.Phase(); phase == rollout.PhaseRollingBack {
		pair = *p.machine.PersistentState().LastKnownGood
	}
	if pair.ControlPlane == nil {
		return nil
	}
	return &pair.ControlPlane.ID
}

// offered takes a version in that the service sent.
func (p *process) onUpdate(u xdsclient.Update) {
	if u.DecodeError != "" {
		p.carryOut(p.machine.RejectUnreadable(u.Version, u.DecodeError))
		return
	}
	if p.resources[u.Version.Digest] == nil {
		p.resources[u.Version.Digest] = u.Resources
	}
	p.carryOut(p.machine.Offer(now(), u.Version))
	p.dropUnused()
}

// ---- What the machine wants ------------------------------------------------------

// do carries out what the machine wants.
func (p *process) carryOut(steps []rollout.Command) {
	for _, s := range steps {
		switch s.Action {
		case rollout.ActionValidate:
			p.carryOut(p.machine.HandleValidated(now(), p.check(&s)))
		case rollout.ActionApply, rollout.ActionRollBack:
			p.apply(&s)
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
func (p *process) config(pair rollout.LayeredVersion) (*config.Config, error) {
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
func (p *process) check(s *rollout.Command) string {
	if _, err := p.config(s.Target); err != nil {
		return err.Error()
	}
	return ""
}

// apply begins to apply what the machine wants applied, or gone back to.
func (p *process) apply(s *rollout.Command) {
	p.appliedStep = p.machine.HandleApplied
	if s.Action == rollout.ActionRollBack {
		p.appliedStep = p.machine.HandleRolledBack
	}
	c, err := p.config(s.Target)
	if err == nil {
		err = p.prepareProcess(c)
	}
	if err != nil {
		p.onApplied(err)
		return
	}
	tables, live := p.serving.changesLive(c)
	p.log.Info("configuration", "version", s.Target.String(), "while serving", live, "tables", tables)
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
		if to.Loop.Post(func() { err = to.apply(c); close(done) }) {
			<-done
		}
		p.post(func() { p.onApplied(err) })
	}()
}

// finish tells the machine how what was to be applied has ended.
func (p *process) onApplied(err error) {
	if err != nil && p.stop.Err() != nil {
		return // what failed may be the process's own end: it is held against nothing (leave)
	}
	reason := ""
	if err != nil {
		reason = err.Error()
		p.prepareProcess(p.serving.options.Config) // as it was before
	}
	done := p.appliedStep
	p.appliedStep = nil
	p.carryOut(done(now(), reason))
	if c, err := p.config(first(p.machine.Running())); err == nil {
		p.machine.UpdateSettings(machineSettings(&c.Control, 0))
		p.followService(c)
	}
}

func first[A, B any](a A, _ B) A { return a }

// prepare sets what holds for the whole process.
func (p *process) prepareProcess(c *config.Config) error {
	if p.options.Prepare == nil {
		return nil
	}
	return p.options.Prepare(&c.Process)
}

// answer tells the source of a version what became of it.
func (p *process) answerSource(s *rollout.Command) {
	id := s.Version.ID.String()
	switch {
	case s.Action == rollout.ActionNack:
		p.log.Error("configuration refused, the one before it is kept", "version", id, "reason", s.Reason)
	case s.Confirmed:
		p.log.Info("configuration applied", "version", id)
	default:
		p.log.Info("configuration applied, on trial", "version", id, "for", p.control.Trial.Duration)
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

// ---- What is kept ----------------------------------------------------------------

// save writes down what is known.
func (p *process) saveState() {
	if p.cache == nil {
		p.carryOut(p.machine.HandlePersisted(now(), ""))
		return
	}
	k, contents, err := p.stateToSave()
	if err != nil {
		p.carryOut(p.machine.HandlePersisted(now(), err.Error()))
		return
	}
	p.saving.Go(func() {
		reason := ""
		if err := p.cache.Save(k, contents); err != nil {
			reason = err.Error()
		}
		p.post(func() {
			if reason != "" && p.machine.PersistError() == "" {
				p.log.Error("what is known of versions cannot be written down; it is tried again", "error", reason)
			}
			p.carryOut(p.machine.HandlePersisted(now(), reason))
		})
	})
}

// toKeep returns a copy of what is known, and the contents that it names.
func (p *process) stateToSave() (*rollout.PersistentState, map[string][]byte, error) {
	text, err := json.Marshal(p.machine.PersistentState())
	if err != nil {
		return nil, nil, err
	}
	k := &rollout.PersistentState{}
	if err := json.Unmarshal(text, k); err != nil {
		return nil, nil, err
	}
	contents := map[string][]byte{}
	for d, c := range p.files {
		contents[d] = c.Text
	}
	for d, all := range p.resources {
		if contents[d], err = json.Marshal(all); err != nil {
			return nil, nil, err
		}
	}
	return k, contents, nil
}

// forget lets contents go that nothing names any more.
func (p *process) dropUnused() {
	keep := map[string]bool{}
	note := func(v *rollout.Version) {
		if v != nil {
			keep[v.Digest] = true
		}
	}
	running, _ := p.machine.Running()
	for _, pair := range []*rollout.LayeredVersion{&running, p.machine.PersistentState().LastKnownGood, p.machine.PersistentState().PreviousGood} {
		if pair != nil {
			note(&pair.File)
			note(pair.ControlPlane)
		}
	}
	note(p.machine.Pending(rollout.SourceFile))
	note(p.machine.Pending(rollout.SourceControlPlane))
	_, work := p.machine.Phase()
	note(work)
	for d := range p.files {
		if !keep[d] {
			delete(p.files, d)
		}
	}
	for d := range p.resources {
		if !keep[d] {
			delete(p.resources, d)
		}
	}
}

// leave is the end of the process. One that was told to end did not end by what it tried.
func (p *process) stopVersioning() {
	p.stopFollowing()
	p.saving.Wait()
	if p.cache == nil || p.stop.Err() == nil || p.machine.PersistentState().Unconfirmed == nil {
		return
	}
	p.machine.ForgiveLastAttempt()
	k, contents, err := p.stateToSave()
	if err == nil {
		err = p.cache.Save(k, contents)
	}
	if err != nil {
		p.log.Warn("what is known of versions cannot be written down", "error", err)
	}
}

// ---- How what is tried does -------------------------------------------------------

// try begins a trial of what runs now against what was good until then.
func (p *process) startCanary() {
	c := &p.control
	s := canary.Settings{Duration: c.Trial.Micros(), HarmMargin: c.Margin, Alpha: c.Alpha, MaxExtensions: maxCanaryRestarts}
	s.MinDuration = min(s.Duration/4, 5_000_000)
	var err error
	if p.canary, err = canary.NewAnalysis(s, p.baselineSamples...); err != nil {
		p.log.Error("no trial", "error", err) // config has checked what it needs
		p.carryOut(p.machine.HandleCanaryResult(now(), ""))
		return
	}
	p.canarySamples = nil
	t := p.serving.tally
	if t == nil {
		return
	}
	if good, err := p.config(*p.machine.PersistentState().LastKnownGood); err == nil {
		t.setObjectives(p.serving.options.Config.Site.Settings.Classes, good.Site.Settings.Classes)
	}
	t.take() // what was before
}

// sample takes in what came of requests in the last slot.
func (p *process) takeSample() {
	at := time.Now()
	length := at.Sub(p.lastSample)
	p.lastSample = at
	t := p.serving.tally
	if t == nil || length > 10*sampleInterval {
		return
	}
	s := t.take()
	s.Duration = length.Microseconds()
	if p.canary == nil {
		p.baselineSamples = append(p.baselineSamples, s)
		p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
		return
	}
	p.canarySamples = append(p.canarySamples, s)
	switch verdict, figures := p.canary.AddCanary(s); verdict {
	case canary.Undecided:
	case canary.Degraded:
		p.canary = nil
		p.carryOut(p.machine.HandleCanaryResult(now(), fmt.Sprintf("worse by %s: %s", figures.Metric, figures.Text())))
	default:
		p.canary = nil
		p.log.Info("trial ended", "verdict", verdict.String(), "figures", figures.Text())
		p.baselineSamples = append(p.baselineSamples, p.canarySamples...)
		p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
		t.setObjectives(p.serving.options.Config.Site.Settings.Classes, nil)
		p.carryOut(p.machine.HandleCanaryResult(now(), ""))
	}
}
