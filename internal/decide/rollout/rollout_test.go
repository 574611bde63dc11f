package rollout

import (
	"fmt"
	"strings"
	"testing"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

func controlPlaneVersion(epoch string, number uint64) Version {
	return Version{ID: ID{SourceControlPlane, epoch, number}, Digest: fmt.Sprint(epoch, number)}
}

func fileVersion(number uint64) Version {
	return Version{ID: ID{SourceFile, "", number}, Digest: fmt.Sprint("file", number)}
}

// machineDriver executes the commands of a StateMachine: it logs each command as "action version", and passes the
// results of some actions to the machine immediately.
type machineDriver struct {
	*testing.T
	machine    *StateMachine
	now        monotime.Micros
	commandLog []string

	automaticResults map[Action]bool // actions whose results are passed to the machine immediately
	// failureReasons has the reasons with which commands fail, by action and version, such as "validate a/3" or
	// "roll back a/3". The reason under the key "persist" makes all writes fail.
	failureReasons map[string]string
}

// newDriver returns a driver of a state machine that runs version 1 of the local file.
func newDriver(t *testing.T, canaryEnabled bool) *machineDriver {
	t.Helper()
	settings := Settings{CanaryEnabled: canaryEnabled, MinValidationInterval: second}
	return &machineDriver{
		T:       t,
		machine: New(settings, LayeredVersion{File: fileVersion(1)}, PersistentState{}),
		now:     10 * second,
		automaticResults: map[Action]bool{
			ActionValidate: true,
			ActionApply:    true,
			ActionRollBack: true,
			ActionPersist:  true,
		},
		failureReasons: map[string]string{},
	}
}

// execute logs commands, and passes the results of those in automaticResults to the machine.
func (d *machineDriver) execute(commands []Command) {
	d.Helper()
	for _, command := range commands {
		if command.Action != ActionPersist {
			d.commandLog = append(d.commandLog, describe(command))
		}
		if d.automaticResults[command.Action] {
			d.returnResult(command)
		}
	}
}

// describe returns a command as "action version". "finally" follows if the command acknowledges a confirmed version,
// and the reason if it is a NACK.
func describe(command Command) string {
	text := command.Action.String()
	if command.Action != ActionStopCanary {
		text += " " + command.Version.ID.String()
	}
	if command.Action == ActionAck && command.Confirmed {
		text += " finally"
	}
	if command.Action == ActionNack {
		text += ": " + command.Reason
	}
	return text
}

// returnResult passes the result of a command to the machine.
func (d *machineDriver) returnResult(command Command) {
	d.Helper()
	reason := d.failureReasons[command.Action.String()+" "+command.Version.ID.String()]
	switch command.Action {
	case ActionValidate:
		d.execute(d.machine.HandleValidated(d.now, reason))
	case ActionApply:
		d.execute(d.machine.HandleApplied(d.now, reason))
	case ActionRollBack:
		d.execute(d.machine.HandleRolledBack(d.now, reason))
	case ActionPersist:
		d.execute(d.machine.HandlePersisted(d.now, d.failureReasons["persist"]))
	}
}

// offer advances the time by more than MinValidationInterval, and then offers a version.
func (d *machineDriver) offer(v Version) {
	d.Helper()
	d.now += 2 * second
	d.execute(d.machine.Offer(d.now, v))
}

// expectCommands checks that the commands logged since its last call are expectedCommands.
func (d *machineDriver) expectCommands(expectedCommands ...string) {
	d.Helper()
	got := strings.Join(d.commandLog, "\n")
	if want := strings.Join(expectedCommands, "\n"); got != want {
		d.Errorf("got\n%s\n\nwant\n%s", got, want)
	}
	d.commandLog = nil
}

// expectRunning checks the text of the running configuration.
func (d *machineDriver) expectRunning(expected string) {
	d.Helper()
	if running, _ := d.machine.Running(); running.String() != expected {
		d.Errorf("runs %v, want %s", running, expected)
	}
}

func TestApplyAndConfirm(t *testing.T) {
	d := newDriver(t, true)
	d.offer(controlPlaneVersion("a", 1))
	d.expectCommands("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
	state := d.machine.PersistentState()
	if state.Unconfirmed == nil || state.Unconfirmed.Number != 1 || state.LastKnownGood.ControlPlane != nil {
		t.Errorf("on canary %+v", state)
	}
	d.offer(controlPlaneVersion("a", 1)) // the version on canary is offered again
	d.expectCommands("ack a/1")
	d.execute(d.machine.HandleCanaryResult(d.now, ""))
	d.expectCommands("ack a/1 finally")
	d.expectRunning("a/1 over file 1")
	state = d.machine.PersistentState()
	if state.Unconfirmed != nil || state.LastKnownGood.ControlPlane.Number != 1 ||
		state.PreviousGood.ControlPlane != nil {
		t.Errorf("confirmed %+v", state)
	}
	d.execute(d.machine.HandleCanaryResult(d.now, "late"))
	d.expectCommands()
}

// A version that cannot be decoded, validated or applied, or that fails its canary, is rejected with the reason of that
// failure. If it is offered again, it is rejected without being processed. The configuration that runs afterwards is
// the one before the version.
func TestRejectionAtEachStage(t *testing.T) {
	d := newDriver(t, true)
	d.failureReasons["validate a/1"], d.failureReasons["apply a/2"] = "no sense", "no room"
	d.offer(controlPlaneVersion("a", 1))
	d.expectCommands("validate a/1", "nack a/1: no sense")
	d.offer(controlPlaneVersion("a", 1))
	d.expectCommands("nack a/1: no sense")
	d.offer(controlPlaneVersion("a", 2))
	d.expectCommands("validate a/2", "apply a/2", "nack a/2: no room")
	d.expectRunning("file 1")
	d.offer(controlPlaneVersion("a", 3))
	d.commandLog = nil
	d.execute(d.machine.HandleCanaryResult(d.now, "slow"))
	d.expectCommands("nack a/3: slow", "roll back a/3")
	d.expectRunning("file 1")
	d.offer(controlPlaneVersion("a", 3))
	d.expectCommands("nack a/3: slow")
	d.execute(d.machine.RejectUnreadable(controlPlaneVersion("a", 4), "no text"))
	d.offer(controlPlaneVersion("a", 4))
	d.expectCommands("nack a/4: no text", "nack a/4: no text")
	// A new version of the local file makes rejected versions eligible again, except those that were rolled back.
	d.offer(fileVersion(2))
	d.execute(d.machine.HandleCanaryResult(d.now, ""))
	d.commandLog = nil
	d.offer(controlPlaneVersion("a", 3))
	d.expectCommands("nack a/3: slow")
	delete(d.failureReasons, "validate a/1")
	d.offer(controlPlaneVersion("a", 1))
	d.expectCommands("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
}

// A version is rejected if it is older than the running one, has another content than before, or is of an abandoned
// epoch. A version with the Rollback flag is applied although it is older.
func TestVersionOrder(t *testing.T) {
	d := newDriver(t, false)
	d.offer(controlPlaneVersion("a", 5))
	d.expectCommands("validate a/5", "apply a/5", "ack a/5 finally")
	d.offer(controlPlaneVersion("a", 4))
	d.expectCommands("nack a/4: version a/4 is older than a/5")
	conflicting := controlPlaneVersion("a", 5)
	conflicting.Digest = "other"
	d.offer(conflicting)
	d.expectCommands("nack a/5: version a/5 came with another content before")
	d.offer(controlPlaneVersion("b", 1)) // numbers start again in a new epoch
	d.expectCommands("validate b/1", "apply b/1", "ack b/1 finally")
	d.offer(controlPlaneVersion("a", 6))
	d.expectCommands(`nack a/6: version a/6: epoch "a" was left for a newer one`)
	rollbackVersion := controlPlaneVersion("a", 5)
	rollbackVersion.Rollback = true
	d.offer(rollbackVersion)
	d.expectCommands("validate a/5", "apply a/5", "ack a/5 finally")
	d.expectRunning("a/5 over file 1")
	d.offer(controlPlaneVersion("a", 6))
	d.expectCommands("validate a/6", "apply a/6", "ack a/6 finally")
	d.offer(controlPlaneVersion("b", 2))
	d.expectCommands(`nack b/2: version b/2: epoch "b" was left for a newer one`)
}

// A burst of versions causes one validation per interval, and the newest version is applied.
func TestBurstCostsOneValidation(t *testing.T) {
	d := newDriver(t, false)
	d.offer(controlPlaneVersion("a", 1))
	d.commandLog = nil
	for number := uint64(2); number < 100; number++ {
		d.execute(d.machine.Offer(d.now, controlPlaneVersion("a", number)))
	}
	if len(d.commandLog) != 97 || d.commandLog[0] != "superseded a/2" || d.commandLog[96] != "superseded a/98" {
		t.Errorf("%q", d.commandLog)
	}
	d.commandLog = nil
	if deadline := d.machine.Deadline(); deadline != d.now+second {
		t.Errorf("deadline %d, want %d", deadline, d.now+second)
	}
	d.execute(d.machine.HandleDeadline(d.now + second - 1))
	d.expectCommands()
	d.now += second
	d.execute(d.machine.HandleDeadline(d.now))
	d.expectCommands("validate a/99", "apply a/99", "ack a/99 finally")
}

// A version that is offered during a canary stays pending, unless it has the Rollback flag or comes from the local
// file. In these two cases the canary is stopped; if the offered version is rejected, the canary starts again.
func TestOffersDuringCanary(t *testing.T) {
	d := newDriver(t, true)
	d.offer(controlPlaneVersion("a", 1))
	d.execute(d.machine.HandleCanaryResult(d.now, ""))
	d.offer(controlPlaneVersion("a", 2))
	d.commandLog = nil
	d.offer(controlPlaneVersion("a", 3))
	d.offer(controlPlaneVersion("a", 4))
	d.expectCommands("superseded a/3")
	d.execute(d.machine.HandleCanaryResult(d.now, ""))
	d.expectCommands("ack a/2 finally", "validate a/4", "apply a/4", "ack a/4", "start canary a/4")
	rollbackVersion := controlPlaneVersion("a", 2)
	rollbackVersion.Rollback = true
	d.failureReasons["validate a/2"] = "not any more"
	d.offer(rollbackVersion)
	d.expectCommands("stop canary", "validate a/2", "nack a/2: not any more", "start canary a/4")
	d.offer(fileVersion(2))
	d.expectCommands("stop canary", "validate file 2", "apply file 2", "ack file 2", "start canary file 2")
	if lastKnownGood := d.machine.PersistentState().LastKnownGood; lastKnownGood.ControlPlane.Number != 2 ||
		lastKnownGood.File.Number != 1 {
		t.Errorf("good %v: neither part of what runs is confirmed", lastKnownGood)
	}
	d.execute(d.machine.HandleCanaryResult(d.now, "worse"))
	d.expectCommands("nack file 2: worse", "roll back file 2")
	d.expectRunning("a/2 over file 1")
}

// A failed rollback is retried with exponential backoff. A version that is offered during the backoff is validated
// before the next attempt.
func TestRollbackIsRetried(t *testing.T) {
	d := newDriver(t, true)
	d.failureReasons["roll back a/1"] = "no process"
	d.offer(controlPlaneVersion("a", 1))
	d.execute(d.machine.HandleCanaryResult(d.now, "worse"))
	d.commandLog = nil
	var backoffs []monotime.Micros
	for {
		deadline := d.machine.Deadline()
		if deadline == 0 {
			break
		}
		backoffs = append(backoffs, (deadline-d.now)/second)
		d.now = deadline
		d.execute(d.machine.HandleDeadline(d.now))
	}
	if fmt.Sprint(backoffs) != "[1 2 4 8]" || len(d.commandLog) != 4 {
		t.Errorf("backoffs %v, commands %q", backoffs, d.commandLog)
	}
	d.commandLog = nil
	d.expectRunning("a/1 over file 1")
	d.offer(controlPlaneVersion("a", 2))
	d.expectCommands("validate a/2", "apply a/2", "ack a/2", "start canary a/2")
	d.failureReasons["roll back a/2"], d.failureReasons["validate a/3"] = "no process", "bad"
	d.execute(d.machine.HandleCanaryResult(d.now, "worse"))
	d.offer(controlPlaneVersion("a", 3))
	d.expectCommands("nack a/2: worse", "roll back a/2", "validate a/3", "nack a/3: bad")
	delete(d.failureReasons, "roll back a/2")
	d.now = d.machine.Deadline()
	d.execute(d.machine.HandleDeadline(d.now))
	d.expectCommands("roll back a/2")
	d.expectRunning("file 1")
}

// While the state machine is paused for a hot restart, it does not start the validation of an offered version.
func TestPausedStartsNothing(t *testing.T) {
	d := newDriver(t, true)
	d.execute(d.machine.SetPaused(d.now, true))
	d.offer(controlPlaneVersion("a", 1))
	d.execute(d.machine.HandleDeadline(d.now + 100*second))
	d.expectCommands()
	if deadline := d.machine.Deadline(); deadline != 0 {
		t.Errorf("deadline %d", deadline)
	}
	d.execute(d.machine.SetPaused(d.now, false))
	d.expectCommands("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
}

// A version is rejected after two processes have ended after applying it and before confirming it.
func TestVersionThatEndsProcessesIsRejected(t *testing.T) {
	storedState := PersistentState{}
	for range 2 {
		d := newDriver(t, true)
		d.machine = New(Settings{CanaryEnabled: true}, LayeredVersion{File: fileVersion(1)}, storedState)
		d.offer(controlPlaneVersion("a", 1))
		d.expectCommands("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
		storedState = *d.machine.PersistentState()
	}
	d := newDriver(t, true)
	d.machine = New(Settings{CanaryEnabled: true}, LayeredVersion{File: fileVersion(1)}, storedState)
	d.offer(controlPlaneVersion("a", 1))
	d.expectCommands("validate a/1", "nack a/1: 2 processes ended while they tried version a/1")
}

// A version is applied only after the write that records its attempt, even if an earlier write was in progress, and not
// during a pause. Otherwise an attempt would not be counted if the process ended before the attempt was on disk.
func TestAttemptIsStoredBeforeItIsMade(t *testing.T) {
	d := newDriver(t, true)
	d.automaticResults[ActionPersist] = false
	d.execute(d.machine.RejectUnreadable(controlPlaneVersion("a", 1), "no text"))
	d.offer(controlPlaneVersion("a", 2))
	d.expectCommands("nack a/1: no text", "validate a/2")
	d.execute(d.machine.HandlePersisted(d.now, "")) // result of the write of the rejection
	d.expectCommands()
	d.execute(d.machine.SetPaused(d.now, true))
	if d.machine.PersistentState().ApplyAttempts != 1 {
		t.Error("the write in progress does not have the attempt")
	}
	d.execute(d.machine.HandlePersisted(d.now, ""))
	d.expectCommands()
	d.execute(d.machine.SetPaused(d.now, false))
	d.expectCommands("apply a/2", "ack a/2", "start canary a/2")
}

// A failed write of the state is retried after a backoff, and does not delay the rollout of a version.
func TestPersistIsRetried(t *testing.T) {
	d := newDriver(t, false)
	d.failureReasons["persist"] = "no space"
	d.offer(controlPlaneVersion("a", 1))
	d.expectCommands("validate a/1", "apply a/1", "ack a/1 finally")
	if d.machine.PersistError() != "no space" {
		t.Errorf("%q", d.machine.PersistError())
	}
	for i, previous := 0, d.now; i < 10; i++ {
		deadline := d.machine.Deadline()
		if deadline <= previous || deadline > previous+96*second {
			t.Fatalf("deadline %d after %d", deadline, previous)
		}
		d.now, previous = deadline, deadline
		d.execute(d.machine.HandleDeadline(d.now))
	}
	delete(d.failureReasons, "persist")
	d.now = d.machine.Deadline()
	d.execute(d.machine.HandleDeadline(d.now))
	if d.machine.PersistError() != "" || d.machine.Deadline() != 0 {
		t.Errorf("%q, deadline %d", d.machine.PersistError(), d.machine.Deadline())
	}
}
