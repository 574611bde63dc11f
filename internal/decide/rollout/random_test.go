package rollout

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

// simulatedHost is a host of a StateMachine with a simulated disk, control plane and local file. It executes the
// commands in order, with random results, and checks that the state machine may request each of them.
type simulatedHost struct {
	*rapid.T
	machine        *StateMachine
	now            monotime.Micros
	settings       Settings
	queuedCommands []Command // commands that are not executed yet

	storedState      []byte // latest stored PersistentState, encoded as JSON
	anyPersistFailed bool   // a write has failed, so that a restart may lose state

	latestFileNumber uint64 // number of the latest version of the local file
	fileVersion      Version
	currentEpoch     string            // epoch of new versions of the control plane
	latestNumbers    map[string]uint64 // latest version number of each epoch
	offeredVersions  []Version         // versions that the control plane has offered, and may offer again
	restartCount     int

	passesValidation map[string]bool // whether the validation succeeds, by digest of the content
	canBeApplied     map[string]bool // whether ActionApply succeeds, by digest of the content
	failsCanary      map[string]bool // whether the canary fails, by digest of the content

	lastValidated     *Version        // version that passed the latest validation and is not applied yet; nil if none
	appliedDigests    map[ID]string   // digest of each applied version
	rolledBackDigests map[string]bool // digests of versions that the stored state lists as rolled back
	lastKnownGood     LayeredVersion  // configuration that ActionRollBack must restore
	running           LayeredVersion  // configuration that the host has applied
	onCanary          bool
	awaitingReply     map[ID]bool // offered versions that have got no ack, NACK or superseded yet
}

func newSimulatedHost(t *rapid.T) *simulatedHost {
	h := &simulatedHost{
		T: t,
		settings: Settings{
			CanaryEnabled:         rapid.Bool().Draw(t, "canary"),
			MinValidationInterval: rapid.Int64Range(0, 3*second).Draw(t, "interval"),
		},
		now:               second,
		currentEpoch:      "a",
		passesValidation:  map[string]bool{},
		canBeApplied:      map[string]bool{},
		failsCanary:       map[string]bool{},
		appliedDigests:    map[ID]string{},
		rolledBackDigests: map[string]bool{},
		awaitingReply:     map[ID]bool{},
		latestNumbers:     map[string]uint64{},
	}
	h.drawContent(&h.fileVersion, true)
	h.restart()
	return h
}

// restart simulates the end of the process and the start of a new one with the stored state.
func (h *simulatedHost) restart() {
	var persistent PersistentState
	if h.storedState != nil {
		if err := json.Unmarshal(h.storedState, &persistent); err != nil {
			h.Fatal(err)
		}
	}
	h.fileVersion = Version{ID: ID{SourceFile, "", 1}, Digest: h.fileVersion.Digest}
	running := LayeredVersion{File: h.fileVersion}
	if persistent.LastKnownGood != nil {
		running = *persistent.LastKnownGood
	}
	h.lastKnownGood = running
	h.running = running
	h.latestFileNumber = max(1, running.File.Number)
	h.onCanary = false
	h.queuedCommands = nil
	h.lastValidated = nil
	h.machine = New(h.settings, running, persistent)
}

// enqueue appends commands to queuedCommands.
func (h *simulatedHost) enqueue(commands []Command) {
	h.queuedCommands = append(h.queuedCommands, commands...)
}

// resultReason returns the reason to pass to the state machine as the result of a command: empty for a success.
func resultReason(success bool) string {
	if success {
		return ""
	}
	return "no"
}

// executeNext executes the first queued command. If it is a rollback or a write to disk, success determines whether it
// succeeds.
func (h *simulatedHost) executeNext(success bool) {
	command := h.queuedCommands[0]
	h.queuedCommands = h.queuedCommands[1:]
	v := command.Version
	switch command.Action {
	case ActionValidate:
		h.validate(v)
	case ActionApply:
		h.apply(command)
	case ActionStartCanary:
		if command.Target.String() != h.running.String() {
			h.Fatalf("start canary %v, while %v runs", command.Target, h.running)
		}
		h.onCanary = true
	case ActionStopCanary:
		h.onCanary = false
	case ActionRollBack:
		if command.Target.String() != h.lastKnownGood.String() {
			h.Fatalf("roll back to %v, and %v is the last known good", command.Target, h.lastKnownGood)
		}
		if success {
			h.running = command.Target
		}
		h.enqueue(h.machine.HandleRolledBack(h.now, resultReason(success)))
	case ActionPersist:
		h.persist(success)
	case ActionAck:
		if v.Source == SourceControlPlane && h.running.ControlPlane.ID != v.ID {
			h.Fatalf("ack of %v, while %v runs", v.ID, h.running)
		}
		if command.Confirmed {
			h.lastKnownGood = h.running
			h.onCanary = false
		}
		delete(h.awaitingReply, v.ID)
	case ActionNack, ActionSuperseded:
		delete(h.awaitingReply, v.ID)
	}
}

// validate executes ActionValidate, and checks that no canary is in progress.
func (h *simulatedHost) validate(v Version) {
	if h.onCanary {
		h.Fatalf("validate %v during a canary", v.ID)
	}
	h.lastValidated = nil
	if h.passesValidation[v.Digest] {
		h.lastValidated = &v
	}
	h.enqueue(h.machine.HandleValidated(h.now, resultReason(h.passesValidation[v.Digest])))
}

// apply executes ActionApply, and checks that the version was validated and may replace the running one.
func (h *simulatedHost) apply(command Command) {
	v := command.Version
	if h.lastValidated == nil || *h.lastValidated != v {
		h.Fatalf("apply %v, which was not validated", v)
	}
	expected := h.running.withVersion(v)
	if command.Previous.String() != h.running.String() || command.Target.String() != expected.String() {
		h.Fatalf("apply %v from %v, while %v runs", command.Target, command.Previous, h.running)
	}
	if v.Source == SourceControlPlane {
		h.checkAllowed(v)
	}
	h.lastValidated = nil
	if h.canBeApplied[v.Digest] {
		h.appliedDigests[v.ID] = v.Digest
		h.running = command.Target
	}
	h.enqueue(h.machine.HandleApplied(h.now, resultReason(h.canBeApplied[v.Digest])))
}

// checkAllowed checks that a version of the control plane may be applied. Without the Rollback flag it must not be
// older than the running version; its ID must not have been applied with another content; and its content must not have
// been rolled back.
func (h *simulatedHost) checkAllowed(v Version) {
	current := h.running.ControlPlane
	if !v.Rollback && current != nil && current.Epoch == v.Epoch && v.Number < current.Number {
		h.Fatalf("apply %v over %v", v.ID, current.ID)
	}
	if digest, wasApplied := h.appliedDigests[v.ID]; wasApplied && digest != v.Digest && !h.anyPersistFailed {
		h.Fatalf("apply %v with two contents", v.ID)
	}
	if h.rolledBackDigests[v.Digest] {
		h.Fatalf("apply %v, which was rolled back", v.ID)
	}
}

// persist executes ActionPersist. success determines whether the write succeeds.
func (h *simulatedHost) persist(success bool) {
	h.anyPersistFailed = h.anyPersistFailed || !success
	if success {
		h.storeState()
	}
	h.enqueue(h.machine.HandlePersisted(h.now, resultReason(success)))
}

// storeState stores the encoded state, and checks that the decoded state has the same last known good configuration.
func (h *simulatedHost) storeState() {
	encoded, err := json.Marshal(h.machine.PersistentState())
	if err != nil {
		h.Fatal(err)
	}
	h.storedState = encoded
	var decoded PersistentState
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		h.Fatalf("%v: %s", err, encoded)
	}
	if decoded.LastKnownGood.String() != h.machine.PersistentState().LastKnownGood.String() {
		h.Fatalf("decoded to another state: %s", encoded)
	}
	for _, rejection := range decoded.Rejected {
		if rejection.RolledBack {
			h.rolledBackDigests[rejection.Digest] = true
		}
	}
}

// evaluateCanary ends the canary in progress, if any. It fails if failsCanary is set for the content of its version.
func (h *simulatedHost) evaluateCanary() {
	v := h.machine.unconfirmed
	if v == nil || !h.onCanary {
		return
	}
	h.onCanary = false
	reason := ""
	if h.failsCanary[v.Digest] {
		reason = "harm"
	} else if h.machine.phase == PhaseCanary {
		// In any other phase the machine has stopped this canary, and ActionStopCanary is still queued.
		h.lastKnownGood = h.running
	}
	h.enqueue(h.machine.HandleCanaryResult(h.now, reason))
}

// offer offers a version and records that its reply is outstanding.
func (h *simulatedHost) offer(v Version) {
	h.awaitingReply[v.ID] = true
	h.enqueue(h.machine.Offer(h.now, v))
}

// newVersion returns a version of the control plane with the next number of the current epoch and a new content.
func (h *simulatedHost) newVersion(harmless bool) Version {
	h.latestNumbers[h.currentEpoch]++
	v := Version{ID: ID{SourceControlPlane, h.currentEpoch, h.latestNumbers[h.currentEpoch]}}
	h.drawContent(&v, harmless)
	return v
}

var contentCount int

// drawContent gives a version a new content. If harmless is set, validation, ActionApply and canary of that content
// succeed; otherwise each of them may fail at random.
func (h *simulatedHost) drawContent(v *Version, harmless bool) {
	contentCount++
	v.Digest = fmt.Sprint("c", contentCount)
	h.passesValidation[v.Digest] = harmless || rapid.IntRange(0, 4).Draw(h.T, "valid") > 0
	h.canBeApplied[v.Digest] = harmless || rapid.IntRange(0, 4).Draw(h.T, "applicable") > 0
	h.failsCanary[v.Digest] = !harmless && rapid.IntRange(0, 3).Draw(h.T, "harmful") == 0
}

// executeRandomEvent draws one event and executes it.
func (h *simulatedHost) executeRandomEvent() {
	h.now += rapid.Int64Range(0, 2*second).Draw(h.T, "later")
	switch rapid.IntRange(0, 13).Draw(h.T, "event") {
	case 0, 1:
		v := h.newVersion(false)
		v.Rollback = rapid.IntRange(0, 5).Draw(h.T, "rollback") == 0
		h.offeredVersions = append(h.offeredVersions, v)
		h.offer(v)
	case 2, 3:
		h.reofferVersion()
	case 4:
		if rapid.IntRange(0, 3).Draw(h.T, "epoch") == 0 {
			h.currentEpoch += "a"
		}
	case 5:
		h.latestFileNumber++
		v := Version{ID: ID{SourceFile, "", h.latestFileNumber}}
		h.drawContent(&v, false)
		h.offer(v)
	case 6:
		if h.restartCount++; h.restartCount < 6 {
			h.restart()
		}
	case 7:
		h.enqueue(h.machine.SetPaused(h.now, rapid.Bool().Draw(h.T, "paused")))
	case 8:
		h.evaluateCanary()
	case 9:
		if deadline := h.machine.Deadline(); deadline > 0 && deadline <= h.now {
			h.enqueue(h.machine.HandleDeadline(h.now))
		}
	default:
		for range rapid.IntRange(1, 4).Draw(h.T, "commands") {
			if len(h.queuedCommands) > 0 {
				h.executeNext(rapid.IntRange(0, 9).Draw(h.T, "ok") > 0)
			}
		}
	}
}

// reofferVersion offers an earlier version of the control plane again, with or without the Rollback flag, and sometimes
// with another content.
func (h *simulatedHost) reofferVersion() {
	if len(h.offeredVersions) == 0 {
		return
	}
	v := h.offeredVersions[rapid.IntRange(0, len(h.offeredVersions)-1).Draw(h.T, "which")]
	v.Rollback = rapid.Bool().Draw(h.T, "rollback")
	if rapid.IntRange(0, 9).Draw(h.T, "other") == 0 {
		h.drawContent(&v, false)
	}
	h.offer(v)
}

// runUntilIdle executes commands, deadlines and canaries until none is left. All commands succeed if their content
// allows it.
func (h *simulatedHost) runUntilIdle() {
	for range 10_001 {
		deadline := h.machine.Deadline()
		switch {
		case len(h.queuedCommands) > 0:
			h.executeNext(true)
		case deadline > 0:
			h.now = max(h.now, deadline)
			h.enqueue(h.machine.HandleDeadline(h.now))
		case h.onCanary:
			h.evaluateCanary()
		default:
			return
		}
	}
	h.Fatalf("not idle: %v, %v", h.machine.phase, h.queuedCommands)
}

// expectConfirmedAndStored checks that a version is running, confirmed and stored, and that each offered version got an
// ack, a NACK or superseded.
func (h *simulatedHost) expectConfirmedAndStored(expected Version) {
	running, onCanary := h.machine.Running()
	lastKnownGood := h.machine.PersistentState().LastKnownGood
	isRunning := running.ControlPlane != nil && *running.ControlPlane == expected
	isLastKnownGood := lastKnownGood.ControlPlane != nil && lastKnownGood.ControlPlane.ID == expected.ID
	if onCanary || !isRunning || !isLastKnownGood || len(h.awaitingReply) > 0 {
		h.Fatalf("runs %v, canary %v, last known good %v, unanswered %v; the last harmless version is %v",
			running, onCanary, lastKnownGood, h.awaitingReply, expected.ID)
	}
	h.restart()
	if running, _ := h.machine.Running(); *running.ControlPlane != expected {
		h.Fatalf("after a restart %v runs", running)
	}
}

// TestRandomEvents runs random sequences of new, late and repeated versions, failures and restarts. Each command must
// be allowed, and a harmless version that is offered after the last failure must be confirmed and stored.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newSimulatedHost(t)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			host.executeRandomEvent()
		}
		// From here on, no command fails because of the host.
		host.currentEpoch += "z"
		harmless := host.newVersion(true)
		host.enqueue(host.machine.SetPaused(host.now, false))
		host.runUntilIdle()
		host.awaitingReply = map[ID]bool{}
		host.offer(harmless)
		host.runUntilIdle()
		host.expectConfirmedAndStored(harmless)
	})
}
