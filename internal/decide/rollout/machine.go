package rollout

import (
	"math/rand/v2"

	"dunlinsail/internal/monotime"
)

// Settings configure a StateMachine.
type Settings struct {
	// CanaryEnabled keeps an applied version unconfirmed until HandleCanaryResult. Otherwise a version is confirmed as
	// soon as it is applied.
	CanaryEnabled bool
	// MinValidationInterval is the shortest time from the start of one validation to the start of the next.
	MinValidationInterval monotime.Micros
	// Seed determines the jitter of retries.
	Seed uint64
}

// Phase is the state of a StateMachine.
type Phase uint8

// The phases.
const (
	PhaseIdle Phase = iota
	PhaseValidating
	PhaseApplying
	PhaseCanary
	PhaseRollingBack
)

var phaseNames = [...]string{"idle", "validating", "applying", "canary", "rolling back"}

// String returns the phase's name for people.
func (p Phase) String() string { return phaseNames[p] }

// rngStream is the second half of the random generator's seed.
const rngStream = 0x76

// StateMachine is the rollout state of one instance. Create one with New. It is not safe for concurrent use.
type StateMachine struct {
	settings Settings
	rng      *rand.Rand

	phase              Phase
	running            LayeredVersion // applied
	unconfirmed        *Version       // the part of running that is not confirmed, nil if all of it is
	rollbackRequired   bool           // the canary of unconfirmed has failed
	candidate          *Version       // being validated or applied
	awaitsAttemptWrite bool           // the attempt to apply candidate is neither stored nor has failed to be
	pending            [2]*Version    // by source
	paused             bool
	nextValidationAt   monotime.Micros // earliest instant of the next validation
	rollbackAttempts   int
	rollbackRetryAt    monotime.Micros // 0 if none is due, or one is in progress

	persistent      PersistentState
	persisting      bool            // the result of an ActionPersist is outstanding
	persistAgain    bool            // persistent has changed since that ActionPersist
	persistFailures int             // consecutive failures to store the state
	persistRetryAt  monotime.Micros // 0 if no retry is due
	persistError    string          // of the latest attempt to store the state; empty if it succeeded
}

// New returns a state machine for a process that starts with running: the last known good version, or the local file if
// there is none. persistent is the state that was stored last.
func New(settings Settings, running LayeredVersion, persistent PersistentState) *StateMachine {
	m := &StateMachine{
		settings:   settings,
		rng:        rand.New(rand.NewPCG(settings.Seed, rngStream)),
		running:    running,
		persistent: persistent,
	}
	if m.persistent.LastKnownGood == nil {
		m.persistent.LastKnownGood = &running
	}
	return m
}

// UpdateSettings replaces the settings except Seed. A canary in progress continues.
func (m *StateMachine) UpdateSettings(settings Settings) {
	settings.Seed = m.settings.Seed
	m.settings = settings
}

// ForgiveLastAttempt subtracts one attempt to apply the unconfirmed version, because the process that made it ended for
// another reason: a hot restart or a regular stop.
func (m *StateMachine) ForgiveLastAttempt() {
	if m.persistent.ApplyAttempts > 0 {
		m.persistent.ApplyAttempts--
	}
}

// Running returns the version that is applied, and reports whether it is on canary.
func (m *StateMachine) Running() (version LayeredVersion, onCanary bool) {
	return m.running, m.phase == PhaseCanary
}

// Phase returns the phase and the version that is processed in it, nil while idle.
func (m *StateMachine) Phase() (Phase, *Version) {
	if m.candidate != nil {
		return m.phase, m.candidate
	}
	return m.phase, m.unconfirmed
}

// Pending returns the version of a source that waits for its validation, nil for none.
func (m *StateMachine) Pending(source Source) *Version { return m.pending[source] }

// PersistentState returns the state to store. It belongs to the machine, and is valid only until the next event.
func (m *StateMachine) PersistentState() *PersistentState { return &m.persistent }

// PersistError returns why the state could not be stored at the latest attempt, empty if it was stored.
func (m *StateMachine) PersistError() string { return m.persistError }

// Deadline returns the instant at which HandleDeadline is due, 0 for none.
func (m *StateMachine) Deadline() monotime.Micros {
	var deadline monotime.Micros
	consider := func(instant monotime.Micros) {
		if instant > 0 && (deadline == 0 || instant < deadline) {
			deadline = instant
		}
	}
	if m.canStartNext() && (m.pending[SourceControlPlane] != nil || m.pending[SourceFile] != nil) {
		consider(m.nextValidationAt)
	}
	if m.phase == PhaseRollingBack && !m.paused {
		consider(m.rollbackRetryAt)
	}
	if !m.persisting {
		consider(m.persistRetryAt)
	}
	return deadline
}

// HandleDeadline does what is due at now. It may be called early.
func (m *StateMachine) HandleDeadline(now monotime.Micros) []Command {
	var commands []Command
	if !m.persisting && m.persistRetryAt > 0 && now >= m.persistRetryAt {
		commands = m.persist()
	}
	// A pending version goes first: it may replace a version whose rollback fails.
	commands = append(commands, m.startNext(now)...)
	return append(commands, m.retryRollback(now)...)
}

// SetPaused starts or ends a pause, during which no further version is started or applied, and no rollback is retried:
// for a hot restart or a shutdown.
func (m *StateMachine) SetPaused(now monotime.Micros, paused bool) []Command {
	m.paused = paused
	return append(m.applyCandidateOncePersisted(), m.startNext(now)...)
}
