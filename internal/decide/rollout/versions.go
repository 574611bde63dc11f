// Package rollout decides which version of the configuration an instance runs: which of those that a control service or the
// local file offers is checked and applied, refused, or gone back from. It is a deterministic state machine for one caller at
// a time: events with instants go in, steps come out, in order, for its host to carry out. It knows names and digests of
// versions, and nothing of what is in them; it does no I/O.
//
// One version is at work at a time:
//
//	idle -> checking -> applying -> trial -> idle, and kept as good
//	            |           |         |
//	            +-----------+---------+--> refused, and gone back from where it was applied
//
// What comes meanwhile waits, and of several only the newest: a storm of versions costs one check each Gap. An offer to roll
// back, and one of the local file, do not wait for a trial's end.
//
// A version applies whole or not at all, and never after a newer one, unless the service says that it is to be gone back to.
// A number stands for one content: another with the same number is refused. Numbers may begin anew in another epoch (the
// service lost what it knew); an epoch that was left is not gone back to.
package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// Source is who offers a version.
type Source uint8

// The sources.
const (
	SourceControlPlane Source = iota
	SourceFile                // the local file; its epoch is empty, its numbers count how often it was read
)

var sourceNames = [...]string{"service", "file"}

func (s Source) String() string { return sourceNames[s] }

// MarshalText writes a source as people read it.
func (s Source) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (s *Source) UnmarshalText(text []byte) error {
	at := slices.Index(sourceNames[:], string(text))
	if at < 0 {
		return fmt.Errorf("%q is no source of versions", text)
	}
	*s = Source(at)
	return nil
}

// ID names a version.
type ID struct {
	Source Source `json:"source"`
	Epoch  string `json:"epoch,omitempty"`
	Number uint64 `json:"number"`
}

func (id ID) String() string {
	switch {
	case id.Source == SourceFile:
		return fmt.Sprintf("file %d", id.Number)
	case id.Epoch == "":
		return fmt.Sprint(id.Number)
	}
	return fmt.Sprintf("%s/%d", id.Epoch, id.Number)
}

// Version is a version as it is offered.
type Version struct {
	ID
	Digest   string `json:"digest"`             // of its content
	Rollback bool   `json:"rollback,omitempty"` // it may be older than the one that is applied
}

// Pair is what an instance runs: a version of the service, or none, over one of the local file.
type LayeredVersion struct {
	ControlPlane *Version `json:"service,omitempty"`
	File         Version  `json:"file"`
}

// with returns the pair in which v has its place.
func (p LayeredVersion) with(v Version) LayeredVersion {
	if v.Source == SourceFile {
		p.File = v
	} else {
		p.ControlPlane = &v
	}
	return p
}

func (p LayeredVersion) version(s Source) *Version {
	if s == SourceFile {
		return &p.File
	}
	return p.ControlPlane
}

func (p LayeredVersion) String() string {
	if p.ControlPlane == nil {
		return p.File.ID.String()
	}
	return p.ControlPlane.ID.String() + " over " + p.File.ID.String()
}

// same says whether both have the same content.
func (p LayeredVersion) sameContent(q LayeredVersion) bool {
	return p.File.Digest == q.File.Digest && (p.ControlPlane == nil) == (q.ControlPlane == nil) && (p.ControlPlane == nil || p.ControlPlane.Digest == q.ControlPlane.Digest)
}

// Refusal is a version that was turned down.
type Rejection struct {
	Version
	Reason     string `json:"reason"`
	RolledBack bool   `json:"tried,omitempty"` // it was applied, and gone back from
}

// Kept is what outlives a process: its host writes it down at each Save, and gives it to New after a restart.
type PersistentState struct {
	LastKnownGood   *LayeredVersion `json:"good,omitempty"`   // the last pair that was confirmed, and is started with
	PreviousGood    *LayeredVersion `json:"before,omitempty"` // the one before that
	Unconfirmed     *Version        `json:"trying,omitempty"` // applied, and not yet confirmed
	ApplyAttempts   int             `json:"tries,omitempty"`  // processes in which that was so
	Rejected        []Rejection     `json:"refused,omitempty"`
	AbandonedEpochs []string        `json:"left,omitempty"` // epochs
	KnownVersions   []Version       `json:"seen,omitempty"` // that a number stands for one content
}

// Settings are a machine's.
type Settings struct {
	CanaryEnabled         bool            // what is applied is on trial until Judged
	MinValidationInterval monotime.Micros // from one check to the next, at least
	Seed                  uint64
}

// What a machine remembers at most.
const (
	maxRejections      = 64
	maxKnownVersions   = 256
	maxAbandonedEpochs = 32
)

// triesMost is in how many processes a version is tried that ended while they tried it: one may have been killed for another
// reason, and two are a sign.
const maxApplyAttempts = 2

// backMost is how often going back is tried, in pauses that double from Gap on.
const maxRollbackAttempts = 5

// saveAgain is the first pause before what could not be written down is written again.
const persistRetryDelay monotime.Micros = 1_000_000

// Action is what a host is to do.
type Action uint8

// The actions. Those with a result are answered by the event of that name, once.
const (
	ActionValidate    Action = iota // whether Version makes sense in Pair, and can be applied: Checked
	ActionApply                     // Pair: Applied. From is what runs until then
	ActionStartCanary               // begin a trial of Pair, which is applied: Judged
	ActionStopCanary                // of the trial nothing more is wanted
	ActionRollBack                  // apply Pair, which ran before: WentBack
	ActionPersist                   // write Kept down: Saved
	ActionAck                       // tell the service that Version is applied (Final: and confirmed)
	ActionNack                      // tell the service that Version is refused, for a Reason
	ActionSuperseded                // Version was overtaken by a newer one before it was looked at; nothing is owed for it
)

var actionNames = [...]string{"check", "apply", "try", "end-try", "back", "save", "ack", "nack", "dropped"}

func (a Action) String() string { return actionNames[a] }

// Step is one action.
type Command struct {
	Action    Action
	Version   Version
	Target    LayeredVersion
	Previous  LayeredVersion
	Confirmed bool
	Reason    string
}

// Phase is where a machine is.
type Phase uint8

// The phases.
const (
	PhaseIdle Phase = iota
	PhaseValidating
	PhaseApplying
	PhaseCanary
	PhaseRollingBack
)

var phaseNames = [...]string{"idle", "checking", "applying", "on trial", "going back"}

func (p Phase) String() string { return phaseNames[p] }

// Machine is the state of one instance. Make one with New.
type StateMachine struct {
	settings Settings
	rng      *rand.Rand

	phase            Phase
	running          LayeredVersion // what is applied
	unconfirmed      *Version       // the part of it that is not confirmed, nil where all is
	rollbackRequired bool           // that part was found worse: it is to be gone back from
	candidate        *Version       // checking or applying
	pending          [2]*Version
	paused           bool
	persistent       PersistentState

	nextValidationAt monotime.Micros // no check before
	rollbackAttempts int             // how often going back was tried
	rollbackRetryAt  monotime.Micros // when it is tried next; 0 is under way
	persisting       bool
	persistAgain     bool // something is to be written down once Save has ended
	persistFailures  int  // that failed in a row
	persistRetryAt   monotime.Micros
	persistError     string // why what is known is not written down; "" is that it is
}

// New returns a machine for a process that starts with a pair, as it was confirmed before, or as the local file has it.
func New(s Settings, running LayeredVersion, kept PersistentState) *StateMachine {
	m := &StateMachine{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 0x76)), running: running, persistent: kept}
	if m.persistent.LastKnownGood == nil {
		m.persistent.LastKnownGood = &running
	}
	return m
}

// Adopt returns a machine for a process that took over from one in the midst of applying a version, and runs it. from is what
// ran until then.
func ResumeApplying(now monotime.Micros, s Settings, from LayeredVersion, work Version, kept PersistentState) (*StateMachine, []Command) {
	m := New(s, from, kept)
	m.phase, m.candidate, m.nextValidationAt = PhaseApplying, &work, now+s.MinValidationInterval
	return m, m.HandleApplied(now, "")
}

// Set changes the settings; Seed stays as it was. A trial that is under way goes on.
func (m *StateMachine) UpdateSettings(s Settings) {
	s.Seed = m.settings.Seed
	m.settings = s
}

// Spared says that the process before this one did not end by what it tried: it handed over.
func (m *StateMachine) ForgiveLastAttempt() {
	if m.persistent.ApplyAttempts > 0 {
		m.persistent.ApplyAttempts--
	}
}

// Running returns what is applied, and whether it is on trial.
func (m *StateMachine) Running() (p LayeredVersion, trial bool) {
	return m.running, m.phase == PhaseCanary
}

// Phase returns where the machine is, and the version that it is about, nil while idle.
func (m *StateMachine) Phase() (Phase, *Version) {
	if m.candidate != nil {
		return m.phase, m.candidate
	}
	return m.phase, m.unconfirmed
}

// Waiting returns the version of a source that waits, nil if none does.
func (m *StateMachine) Pending(s Source) *Version { return m.pending[s] }

// Kept returns what is to be written down. It is the machine's: to be read before the next event only.
func (m *StateMachine) PersistentState() *PersistentState { return &m.persistent }

// Unsaved says why what is known could not be written down, "" if it was.
func (m *StateMachine) PersistError() string { return m.persistError }

// Deadline returns the instant at which Wake is due, 0 for none.
func (m *StateMachine) Deadline() (at monotime.Micros) {
	earlier := func(t monotime.Micros) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	if m.canStart() && (m.pending[SourceControlPlane] != nil || m.pending[SourceFile] != nil) {
		earlier(m.nextValidationAt)
	}
	if m.phase == PhaseRollingBack && !m.paused {
		earlier(m.rollbackRetryAt)
	}
	if !m.persisting {
		earlier(m.persistRetryAt)
	}
	return at
}

// idle says whether a version that waits may be begun with.
func (m *StateMachine) canStart() bool {
	if m.paused {
		return false
	}
	switch m.phase {
	case PhaseIdle:
		return true
	case PhaseRollingBack:
		return m.rollbackRetryAt > 0
	case PhaseCanary: // what is to end the trial
		return m.pending[SourceFile] != nil || m.pending[SourceControlPlane] != nil && m.pending[SourceControlPlane].Rollback
	}
	return false
}

// Offer takes a version in that a source offers.
func (m *StateMachine) Offer(now monotime.Micros, v Version) (out []Command) {
	reason, ack := m.precheck(v)
	switch {
	case reason != "":
		return []Command{{Action: ActionNack, Version: v, Reason: reason}}
	case ack && !m.inTransition(): // else it waits, and may not run any more when it is looked at again
		return []Command{{Action: ActionAck, Version: v, Confirmed: m.unconfirmed == nil}}
	}
	if m.candidate != nil && m.candidate.ID == v.ID {
		return nil // it is at work, and will be answered
	}
	if old := m.pending[v.Source]; old != nil {
		if old.ID == v.ID {
			return nil
		}
		out = append(out, Command{Action: ActionSuperseded, Version: *old})
	}
	m.remember(v)
	m.pending[v.Source] = &v
	return append(out, m.startNext(now)...)
}

// changing says whether another version may run before long.
func (m *StateMachine) inTransition() bool {
	return m.phase == PhaseValidating || m.phase == PhaseApplying || m.phase == PhaseRollingBack
}

// Reject tells of a version of which it is known already that it makes no sense: its content could not be read.
func (m *StateMachine) RejectUnreadable(v Version, reason string) []Command {
	m.remember(v)
	return m.reject(v, reason, false)
}

// known says why a version is refused unseen, or that it runs already.
func (m *StateMachine) precheck(v Version) (reason string, ack bool) {
	running := m.running.version(v.Source)
	if v.Source == SourceFile { // what is in it now is what counts, however often it was read before
		return "", v.Digest == running.Digest
	}
	if at := m.knownVersion(v.ID); at != nil && at.Digest != v.Digest {
		return fmt.Sprintf("version %v came with another content before", v.ID), false
	}
	for i := range m.persistent.Rejected {
		if r := &m.persistent.Rejected[i]; r.ID == v.ID && r.Digest == v.Digest {
			return r.Reason, false
		}
	}
	if running != nil && running.ID == v.ID {
		return "", true
	}
	if v.Rollback {
		return "", false
	}
	if slices.Contains(m.persistent.AbandonedEpochs, v.Epoch) {
		return fmt.Sprintf("version %v: epoch %q was left for a newer one", v.ID, v.Epoch), false
	}
	for _, other := range []*Version{m.pending[SourceControlPlane], m.candidate, running} {
		if other != nil && other.Source == SourceControlPlane && other.Epoch == v.Epoch && v.Number < other.Number {
			return fmt.Sprintf("version %v is older than %v", v.ID, other.ID), false
		}
	}
	return "", false
}

func (m *StateMachine) knownVersion(id ID) *Version {
	for i := range m.persistent.KnownVersions {
		if m.persistent.KnownVersions[i].ID == id {
			return &m.persistent.KnownVersions[i]
		}
	}
	return nil
}

func (m *StateMachine) remember(v Version) {
	if v.Source == SourceFile || m.knownVersion(v.ID) != nil {
		return
	}
	m.persistent.KnownVersions = append(m.persistent.KnownVersions, v)
	if len(m.persistent.KnownVersions) > maxKnownVersions {
		m.persistent.KnownVersions = slices.Delete(m.persistent.KnownVersions, 0, 1)
	}
}

// begin begins with what waits, if it may: what the service wants gone back to first, then the file, then the service.
func (m *StateMachine) startNext(now monotime.Micros) (out []Command) {
	if !m.canStart() || now < m.nextValidationAt {
		return nil
	}
	from := SourceControlPlane
	if w := m.pending[SourceControlPlane]; w == nil || m.pending[SourceFile] != nil && !w.Rollback {
		from = SourceFile
	}
	v := m.pending[from]
	if v == nil {
		return nil
	}
	m.pending[from] = nil
	// What ran as it came may have changed.
	if reason, ack := m.precheck(*v); reason != "" {
		return append([]Command{{Action: ActionNack, Version: *v, Reason: reason}}, m.startNext(now)...)
	} else if ack && !m.rollbackRequired {
		return append([]Command{{Action: ActionAck, Version: *v, Confirmed: m.unconfirmed == nil}}, m.startNext(now)...)
	}
	if m.phase == PhaseCanary {
		out = append(out, Command{Action: ActionStopCanary})
	}
	m.phase, m.candidate, m.rollbackRetryAt = PhaseValidating, v, 0
	m.nextValidationAt = now + m.settings.MinValidationInterval
	return append(out, Command{Action: ActionValidate, Version: *v, Target: m.running.with(*v)})
}

// rest goes on with what was under way before a version came to nothing.
func (m *StateMachine) abandonCandidate(now monotime.Micros) (out []Command) {
	m.candidate = nil
	switch {
	case m.rollbackRequired:
		m.phase, m.rollbackRetryAt = PhaseRollingBack, now+m.rollbackBackoff()
	case m.unconfirmed != nil: // its trial begins anew: what was seen of it was broken off
		m.phase = PhaseCanary
		out = append(out, Command{Action: ActionStartCanary, Version: *m.unconfirmed, Target: m.running})
	default:
		m.phase = PhaseIdle
	}
	return append(out, m.startNext(now)...)
}

// pause is how long is waited before going back is tried again.
func (m *StateMachine) rollbackBackoff() monotime.Micros {
	return max(m.settings.MinValidationInterval, persistRetryDelay) << max(0, m.rollbackAttempts-1)
}

// Checked tells what came of Check: a reason is that the version is refused.
func (m *StateMachine) HandleValidated(now monotime.Micros, reason string) (out []Command) {
	if m.phase != PhaseValidating {
		return nil
	}
	v := *m.candidate
	tried := false
	if at := m.persistent.Unconfirmed; reason == "" && at != nil && at.ID == v.ID && m.persistent.ApplyAttempts >= maxApplyAttempts {
		reason, tried = fmt.Sprintf("%d processes ended while they tried version %v", maxApplyAttempts, v.ID), true
		m.persistent.Unconfirmed, m.persistent.ApplyAttempts = nil, 0
	}
	if reason != "" {
		out = m.reject(v, reason, tried)
		return append(out, m.abandonCandidate(now)...)
	}
	m.phase = PhaseApplying
	// What is tried is written down first: should the process end by it, the next one knows.
	m.recordAttempt(&v)
	out = m.persist()
	return append(out, Command{Action: ActionApply, Version: v, Target: m.running.with(v), Previous: m.running})
}

// trying notes what is tried, nil for nothing.
func (m *StateMachine) recordAttempt(v *Version) {
	switch {
	case v == nil:
		m.persistent.Unconfirmed, m.persistent.ApplyAttempts = nil, 0
	case m.persistent.Unconfirmed != nil && m.persistent.Unconfirmed.ID == v.ID:
		m.persistent.ApplyAttempts++
	default:
		m.persistent.Unconfirmed, m.persistent.ApplyAttempts = v, 1
	}
}

// Applied tells what came of Apply: with a reason nothing has changed.
func (m *StateMachine) HandleApplied(now monotime.Micros, reason string) (out []Command) {
	if m.phase != PhaseApplying {
		return nil
	}
	v := *m.candidate
	if reason != "" {
		m.persistent.Unconfirmed, m.persistent.ApplyAttempts = nil, 0
		if m.unconfirmed != nil && !m.rollbackRequired {
			m.recordAttempt(m.unconfirmed)
		}
		out = m.reject(v, reason, false)
		return append(out, m.abandonCandidate(now)...)
	}
	if v.Source == SourceControlPlane {
		// An epoch that is applied is not one that was left, and the one before it is.
		if was := m.running.ControlPlane; was != nil && was.Epoch != v.Epoch {
			m.persistent.AbandonedEpochs = append(m.persistent.AbandonedEpochs, was.Epoch)
		}
		m.persistent.AbandonedEpochs = slices.DeleteFunc(m.persistent.AbandonedEpochs, func(e string) bool { return e == v.Epoch })
		if len(m.persistent.AbandonedEpochs) > maxAbandonedEpochs {
			m.persistent.AbandonedEpochs = slices.Delete(m.persistent.AbandonedEpochs, 0, 1)
		}
	} else {
		// What did not fit the file before may fit it now.
		m.persistent.Rejected = slices.DeleteFunc(m.persistent.Rejected, func(r Rejection) bool { return !r.RolledBack })
	}
	m.running = m.running.with(v)
	m.unconfirmed, m.rollbackRequired, m.candidate, m.rollbackAttempts = &v, false, nil, 0
	if !m.settings.CanaryEnabled {
		return append(out, m.confirm(now)...)
	}
	m.phase = PhaseCanary
	out = append(out, Command{Action: ActionAck, Version: v}, Command{Action: ActionStartCanary, Version: v, Target: m.running})
	return append(out, m.startNext(now)...)
}

// confirm takes what runs as good.
func (m *StateMachine) confirm(now monotime.Micros) []Command {
	v := *m.unconfirmed
	m.phase, m.unconfirmed = PhaseIdle, nil
	if !m.running.sameContent(*m.persistent.LastKnownGood) {
		m.persistent.PreviousGood = m.persistent.LastKnownGood
	}
	good := m.running
	m.persistent.LastKnownGood = &good
	m.recordAttempt(nil)
	out := append(m.persist(), Command{Action: ActionAck, Version: v, Confirmed: true})
	return append(out, m.startNext(now)...)
}

// Judged tells what came of a trial: a reason is that the version does worse than what ran before.
func (m *StateMachine) HandleCanaryResult(now monotime.Micros, reason string) (out []Command) {
	if m.phase != PhaseCanary {
		return nil
	}
	if reason == "" {
		return m.confirm(now)
	}
	m.phase, m.rollbackRequired, m.rollbackAttempts, m.rollbackRetryAt = PhaseRollingBack, true, 1, 0
	m.recordAttempt(nil)
	out = m.reject(*m.unconfirmed, reason, true)
	return append(out, Command{Action: ActionRollBack, Version: *m.unconfirmed, Target: *m.persistent.LastKnownGood, Previous: m.running})
}

// WentBack tells what came of Back: with a reason what was refused still runs.
func (m *StateMachine) HandleRolledBack(now monotime.Micros, reason string) (out []Command) {
	if m.phase != PhaseRollingBack || m.rollbackRetryAt > 0 {
		return nil
	}
	switch {
	case reason == "":
		m.running = *m.persistent.LastKnownGood
		m.phase, m.unconfirmed, m.rollbackRequired, m.rollbackAttempts = PhaseIdle, nil, false, 0
	case m.rollbackAttempts >= maxRollbackAttempts:
		// There is no going back. What runs goes on, refused as it is, until another version comes.
		m.phase, m.unconfirmed, m.rollbackRequired, m.rollbackAttempts = PhaseIdle, nil, false, 0
	default:
		m.rollbackRetryAt = now + m.rollbackBackoff()
	}
	return append(out, m.startNext(now)...)
}

// refuse turns a version down.
func (m *StateMachine) reject(v Version, reason string, tried bool) []Command {
	m.persistent.Rejected = slices.DeleteFunc(m.persistent.Rejected, func(r Rejection) bool { return r.ID == v.ID })
	m.persistent.Rejected = append(m.persistent.Rejected, Rejection{v, reason, tried})
	if len(m.persistent.Rejected) > maxRejections {
		m.persistent.Rejected = slices.Delete(m.persistent.Rejected, 0, 1)
	}
	return append(m.persist(), Command{Action: ActionNack, Version: v, Reason: reason})
}

// Hold keeps new versions waiting, or ends that: while the process hands over or ends, nothing is begun.
func (m *StateMachine) SetPaused(now monotime.Micros, yes bool) []Command {
	m.paused = yes
	return m.startNext(now)
}

// save writes down what is known, now or once the last writing has ended.
func (m *StateMachine) persist() []Command {
	if m.persisting {
		m.persistAgain = true
		return nil
	}
	m.persisting, m.persistAgain, m.persistRetryAt = true, false, 0
	return []Command{{Action: ActionPersist}}
}

// Saved tells what came of Save: a reason is that it is not written down. It is tried again, and nothing waits for it.
func (m *StateMachine) HandlePersisted(now monotime.Micros, reason string) []Command {
	if !m.persisting {
		return nil
	}
	m.persisting, m.persistError = false, reason
	if reason != "" {
		m.persistFailures++
		wait := persistRetryDelay << min(m.persistFailures-1, 6)
		m.persistRetryAt = now + wait/2 + m.rng.Int64N(wait)
		return nil
	}
	m.persistFailures, m.persistRetryAt = 0, 0
	if m.persistAgain {
		return m.persist()
	}
	return nil
}

// Wake is due at Deadline.
func (m *StateMachine) HandleDeadline(now monotime.Micros) (out []Command) {
	if !m.persisting && m.persistRetryAt > 0 && now >= m.persistRetryAt {
		out = m.persist()
	}
	// A version that waits may be the way out, and goes first.
	out = append(out, m.startNext(now)...)
	if m.phase == PhaseRollingBack && !m.paused && m.rollbackRetryAt > 0 && now >= m.rollbackRetryAt {
		m.rollbackRetryAt = 0
		m.rollbackAttempts++
		out = append(out, Command{Action: ActionRollBack, Version: *m.unconfirmed, Target: *m.persistent.LastKnownGood, Previous: m.running})
	}
	return out
}
