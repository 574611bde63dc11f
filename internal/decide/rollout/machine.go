package rollout

import (
	"math/rand/v2"

	"dunlinsail/internal/monotime"
)

// Settings configure a StateMachine.
type Settings struct {
	// CanaryEnabled requires a canary for each applied version, which is unconfirmed until HandleCanaryResult. If it is
	// not set, a version is confirmed as soon as it is applied.
	CanaryEnabled bool
	// MinValidationInterval is the shortest time from the start of one validation to the start of the next.
	MinValidationInterval monotime.Micros
	// Seed seeds the random jitter of the retries of ActionPersist.
	Seed uint64
}

// Phase is the current processing step of a StateMachine.
type Phase uint8

// The phases of a StateMachine.
const (
	PhaseIdle Phase = iota
	PhaseValidating
	PhaseApplying
	PhaseCanary
	PhaseRollingBack
)

var phaseNames = [...]string{"idle", "validating", "applying", "canary", "rolling back"}

// String returns the human-readable name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// rngStream is the second word of the random generator's seed; the first word is Settings.Seed.
const rngStream = 0x76

// StateMachine decides the rollout of configuration versions at one instance. Create one with New. It is not safe for
// concurrent use.
type StateMachine struct {
	settings Settings
	rng      *rand.Rand

	phase              Phase
	running            LayeredVersion // configuration that is applied
	unconfirmed        *Version       // version in running that is not confirmed, nil if all are confirmed
	rollbackRequired   bool           // the canary of unconfirmed has failed, and its rollback has not ended
	candidate          *Version       // version that is being validated or applied
	awaitsAttemptWrite bool           // candidate waits for the write of its attempt or for the end of a pause
	pending            [2]*Version    // pending versions, indexed by Source
	paused             bool
	nextValidationAt   monotime.Micros // earliest instant of the next validation
	rollbackAttempts   int             // number of attempts of the current rollback
	rollbackRetryAt    monotime.Micros // instant of the next attempt of a failed rollback, 0 for none

	persistent      PersistentState
	persisting      bool            // an ActionPersist is in progress
	persistAgain    bool            // persistent has changed since the ActionPersist in progress
	persistFailures int             // consecutive failures to store the state
	persistRetryAt  monotime.Micros // instant of the next retry to store the state, 0 for none
	persistError    string          // why the latest attempt to store the state failed, empty if it succeeded
}

// New returns the state machine of a process that starts with the configuration running. That is the last known good
// configuration, or the local file if there is none. persistent is the latest stored state, or the zero value if no
// state was stored.
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

// UpdateSettings replaces all settings except Seed. A canary in progress continues.
func (m *StateMachine) UpdateSettings(settings Settings) {
	settings.Seed = m.settings.Seed
	m.settings = settings
}

// ForgiveLastAttempt subtracts one from the number of processes that attempted to apply the unconfirmed version. The
// host calls it if the process of the last attempt ended because of a hot restart or a regular stop, and not because of
// the version.
func (m *StateMachine) ForgiveLastAttempt() {
	if m.persistent.ApplyAttempts > 0 {
		m.persistent.ApplyAttempts--
	}
}

// Running returns the configuration that is running, and reports whether it is on canary.
func (m *StateMachine) Running() (version LayeredVersion, onCanary bool) {
	return m.running, m.phase == PhaseCanary
}

// Phase returns the current phase and the version that is processed in it. The version is nil while idle.
func (m *StateMachine) Phase() (Phase, *Version) {
	if m.candidate != nil {
		return m.phase, m.candidate
	}
	return m.phase, m.unconfirmed
}

// Pending returns the version of a source that waits for its validation, nil if there is none.
func (m *StateMachine) Pending(source Source) *Version { return m.pending[source] }

// PersistentState returns the state to store. The caller must not change it, or use it after the next event.
func (m *StateMachine) PersistentState() *PersistentState { return &m.persistent }

// PersistError returns why the latest attempt to store the state failed, empty if it succeeded.
func (m *StateMachine) PersistError() string { return m.persistError }

// Deadline returns the instant at which the host must call HandleDeadline, 0 if there is none.
func (m *StateMachine) Deadline() monotime.Micros {
	var deadline monotime.Micros
	keepEarlier := func(instant monotime.Micros) {
		if instant > 0 && (deadline == 0 || instant < deadline) {
			deadline = instant
		}
	}
	if m.canStartNext() && (m.pending[SourceControlPlane] != nil || m.pending[SourceFile] != nil) {
		keepEarlier(m.nextValidationAt)
	}
	if m.phase == PhaseRollingBack && !m.paused {
		keepEarlier(m.rollbackRetryAt)
	}
	if !m.persisting {
		keepEarlier(m.persistRetryAt)
	}
	return deadline
}

// HandleDeadline returns the commands that are due at now: a retry to store the state, the validation of a pending
// version, or a retry of a rollback. It may be called before Deadline.
func (m *StateMachine) HandleDeadline(now monotime.Micros) []Command {
	var commands []Command
	if !m.persisting && m.persistRetryAt > 0 && now >= m.persistRetryAt {
		commands = m.requestPersist()
	}
	// A pending version is started before a rollback is retried: it may replace the version whose rollback fails.
	commands = append(commands, m.startNext(now)...)
	return append(commands, m.retryRollback(now)...)
}

// SetPaused starts or ends a pause, which the host uses for a hot restart or a shutdown. During a pause no validation
// is started, no version is applied, and no rollback is retried.
func (m *StateMachine) SetPaused(now monotime.Micros, paused bool) []Command {
	m.paused = paused
	return append(m.applyCandidateOncePersisted(), m.startNext(now)...)
}
