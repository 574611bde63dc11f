package rollout

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

// simulatedHost is a host with a simulated disk, control plane and contents. It executes commands in order, with the
// results that the drawn events give, and checks each against the rules.
type simulatedHost struct {
	*rapid.T
	machine  *StateMachine
	now      monotime.Micros
	settings Settings
	commands []Command // not executed yet

	stored        []byte // PersistentState, as stored last
	persistFailed bool   // at least once: a restart may lose state

	fileReads uint64
	file      Version
	epoch     string            // of new versions
	numbers   map[string]uint64 // the latest number, by epoch
	offered   []Version
	restarts  int

	valid      map[string]bool // by digest: passes its validation
	applicable map[string]bool // by digest: can be applied
	harmful    map[string]bool // by digest: fails its canary

	validated     *Version        // the latest version that passed its validation
	applied       map[ID]string   // digests of all applied versions
	rolledBack    map[string]bool // digests whose rollback is stored
	lastKnownGood LayeredVersion  // by the rules
	running       LayeredVersion
	onCanary      bool
	unanswered    map[ID]bool
}

func newSimulatedHost(t *rapid.T) *simulatedHost {
	h := &simulatedHost{
		T: t,
		settings: Settings{
			CanaryEnabled:         rapid.Bool().Draw(t, "canary"),
			MinValidationInterval: rapid.Int64Range(0, 3*second).Draw(t, "interval"),
		},
		now:        second,
		epoch:      "a",
		valid:      map[string]bool{},
		applicable: map[string]bool{},
		harmful:    map[string]bool{},
		applied:    map[ID]string{},
		rolledBack: map[string]bool{},
		unanswered: map[ID]bool{},
		numbers:    map[string]uint64{},
	}
	h.drawContent(&h.file, true)
	h.restart()
	return h
}

// restart starts another process with the stored state.
func (h *simulatedHost) restart() {
	var persistent PersistentState
	if h.stored != nil {
		if err := json.Unmarshal(h.stored, &persistent); err != nil {
			h.Fatal(err)
		}
	}
	h.file = Version{ID: ID{SourceFile, "", 1}, Digest: h.file.Digest}
	running := LayeredVersion{File: h.file}
	if persistent.LastKnownGood != nil {
		running = *persistent.LastKnownGood
	}
	h.lastKnownGood = running
	h.running = running
	h.fileReads = max(1, running.File.Number)
	h.onCanary = false
	h.commands = nil
	h.validated = nil
	h.machine = New(h.settings, running, persistent)
}

// enqueue adds commands to those to execute.
func (h *simulatedHost) enqueue(commands []Command) { h.commands = append(h.commands, commands...) }

// result returns the reason that a command's result has: empty if it succeeds.
func result(ok bool) string {
	if ok {
		return ""
	}
	return "no"
}

// executeNext executes the next command. ok is whether a rollback or a write to disk succeeds.
func (h *simulatedHost) executeNext(ok bool) {
	command := h.commands[0]
	h.commands = h.commands[1:]
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
		if ok {
			h.running = command.Target
		}
		h.enqueue(h.machine.HandleRolledBack(h.now, result(ok)))
	case ActionPersist:
		h.persist(ok)
	case ActionAck:
		if v.Source == SourceControlPlane && h.running.ControlPlane.ID != v.ID {
			h.Fatalf("ack of %v, while %v runs", v.ID, h.running)
		}
		if command.Confirmed {
			h.lastKnownGood = h.running
			h.onCanary = false
		}
		delete(h.unanswered, v.ID)
	case ActionNack, ActionSuperseded:
		delete(h.unanswered, v.ID)
	}
}

// validate executes ActionValidate.
func (h *simulatedHost) validate(v Version) {
	if h.onCanary {
		h.Fatalf("validate %v during a canary", v.ID)
	}
	h.validated = nil
	if h.valid[v.Digest] {
		h.validated = &v
	}
	h.enqueue(h.machine.HandleValidated(h.now, result(h.valid[v.Digest])))
}

// apply executes ActionApply, and checks that the rules allow it.
func (h *simulatedHost) apply(command Command) {
	v := command.Version
	if h.validated == nil || *h.validated != v {
		h.Fatalf("apply %v, which was not validated", v)
	}
	expected := h.running.with(v)
	if command.Previous.String() != h.running.String() || command.Target.String() != expected.String() {
		h.Fatalf("apply %v from %v, while %v runs", command.Target, command.Previous, h.running)
	}
	if v.Source == SourceControlPlane {
		h.checkAllowed(v)
	}
	h.validated = nil
	if h.applicable[v.Digest] {
		h.applied[v.ID] = v.Digest
		h.running = command.Target
	}
	h.enqueue(h.machine.HandleApplied(h.now, result(h.applicable[v.Digest])))
}

// checkAllowed checks that the rules allow to apply a version of the control plane.
func (h *simulatedHost) checkAllowed(v Version) {
	was := h.running.ControlPlane
	if !v.Rollback && was != nil && was.Epoch == v.Epoch && v.Number < was.Number {
		h.Fatalf("apply %v over %v", v.ID, was.ID)
	}
	if digest, wasApplied := h.applied[v.ID]; wasApplied && digest != v.Digest && !h.persistFailed {
		h.Fatalf("apply %v with two contents", v.ID)
	}
	if h.rolledBack[v.Digest] {
		h.Fatalf("apply %v, which was rolled back", v.ID)
	}
}

// persist executes ActionPersist.
func (h *simulatedHost) persist(ok bool) {
	h.persistFailed = h.persistFailed || !ok
	if ok {
		h.store()
	}
	h.enqueue(h.machine.HandlePersisted(h.now, result(ok)))
}

// store encodes the state, and checks that it decodes to the same state.
func (h *simulatedHost) store() {
	text, err := json.Marshal(h.machine.PersistentState())
	if err != nil {
		h.Fatal(err)
	}
	h.stored = text
	var decoded PersistentState
	if err := json.Unmarshal(text, &decoded); err != nil {
		h.Fatalf("%v: %s", err, text)
	}
	if decoded.LastKnownGood.String() != h.machine.PersistentState().LastKnownGood.String() {
		h.Fatalf("decoded to another state: %s", text)
	}
	for _, rejection := range decoded.Rejected {
		if rejection.RolledBack {
			h.rolledBack[rejection.Digest] = true
		}
	}
}

// evaluateCanary ends the canary in progress: it fails if the version is harmful.
func (h *simulatedHost) evaluateCanary() {
	v := h.machine.unconfirmed
	if v == nil || !h.onCanary {
		return
	}
	h.onCanary = false
	reason := ""
	if h.harmful[v.Digest] {
		reason = "harm"
	} else if h.machine.phase == PhaseCanary { // in another phase the command that stops it is still queued
		h.lastKnownGood = h.running
	}
	h.enqueue(h.machine.HandleCanaryResult(h.now, reason))
}

// offer offers a version, whose reply is awaited from then on.
func (h *simulatedHost) offer(v Version) {
	h.unanswered[v.ID] = true
	h.enqueue(h.machine.Offer(h.now, v))
}

// newVersion draws a version that was not offered before.
func (h *simulatedHost) newVersion(harmless bool) Version {
	h.numbers[h.epoch]++
	v := Version{ID: ID{SourceControlPlane, h.epoch, h.numbers[h.epoch]}}
	h.drawContent(&v, harmless)
	return v
}

var contentCount int

// drawContent gives a version a new content: a valid, applicable and harmless one if harmless is set, else any.
func (h *simulatedHost) drawContent(v *Version, harmless bool) {
	contentCount++
	v.Digest = fmt.Sprint("c", contentCount)
	h.valid[v.Digest] = harmless || rapid.IntRange(0, 4).Draw(h.T, "valid") > 0
	h.applicable[v.Digest] = harmless || rapid.IntRange(0, 4).Draw(h.T, "applicable") > 0
	h.harmful[v.Digest] = !harmless && rapid.IntRange(0, 3).Draw(h.T, "harmful") == 0
}

// drawEvent lets one drawn event happen.
func (h *simulatedHost) drawEvent() {
	h.now += rapid.Int64Range(0, 2*second).Draw(h.T, "later")
	switch rapid.IntRange(0, 13).Draw(h.T, "event") {
	case 0, 1:
		v := h.newVersion(false)
		v.Rollback = rapid.IntRange(0, 5).Draw(h.T, "rollback") == 0
		h.offered = append(h.offered, v)
		h.offer(v)
	case 2, 3:
		h.offerAgain()
	case 4:
		if rapid.IntRange(0, 3).Draw(h.T, "epoch") == 0 {
			h.epoch += "a"
		}
	case 5:
		h.fileReads++
		v := Version{ID: ID{SourceFile, "", h.fileReads}}
		h.drawContent(&v, false)
		h.offer(v)
	case 6:
		if h.restarts++; h.restarts < 6 {
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
			if len(h.commands) > 0 {
				h.executeNext(rapid.IntRange(0, 9).Draw(h.T, "ok") > 0)
			}
		}
	}
}

// offerAgain offers a version again: late, as a rollback, or with another content.
func (h *simulatedHost) offerAgain() {
	if len(h.offered) == 0 {
		return
	}
	v := h.offered[rapid.IntRange(0, len(h.offered)-1).Draw(h.T, "which")]
	v.Rollback = rapid.Bool().Draw(h.T, "rollback")
	if rapid.IntRange(0, 9).Draw(h.T, "other") == 0 {
		h.drawContent(&v, false)
	}
	h.offer(v)
}

// runUntilIdle lets everything succeed until the machine is idle.
func (h *simulatedHost) runUntilIdle() {
	for range 10_001 {
		deadline := h.machine.Deadline()
		switch {
		case len(h.commands) > 0:
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
	h.Fatalf("not idle: %v, %v", h.machine.phase, h.commands)
}

// expectRunning checks that a version runs, confirmed and stored, and that all offers were answered.
func (h *simulatedHost) expectRunning(last Version) {
	running, onCanary := h.machine.Running()
	lastKnownGood := h.machine.PersistentState().LastKnownGood
	isRunning := running.ControlPlane != nil && *running.ControlPlane == last
	isGood := lastKnownGood.ControlPlane != nil && lastKnownGood.ControlPlane.ID == last.ID
	if onCanary || !isRunning || !isGood || len(h.unanswered) > 0 {
		h.Fatalf("runs %v, canary %v, last known good %v, unanswered %v; the last harmless version is %v",
			running, onCanary, lastKnownGood, h.unanswered, last.ID)
	}
	h.restart()
	if running, _ := h.machine.Running(); *running.ControlPlane != last {
		h.Fatalf("after a restart %v runs", running)
	}
}

// Whatever the order of versions, duplicated, late or lost, whatever fails and whenever the process ends: the rules
// hold at each step, and a harmless version that is offered after the last failure runs and is stored.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newSimulatedHost(t)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			host.drawEvent()
		}
		// There are no failures from here on.
		host.epoch += "z"
		last := host.newVersion(true)
		host.enqueue(host.machine.SetPaused(host.now, false))
		host.runUntilIdle()
		host.unanswered = map[ID]bool{}
		host.offer(last)
		host.runUntilIdle()
		host.expectRunning(last)
	})
}
