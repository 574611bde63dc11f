package rollout

import (
	"fmt"
	"strings"
	"testing"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

func fromControlPlane(epoch string, n uint64) Version {
	return Version{ID: ID{SourceControlPlane, epoch, n}, Digest: fmt.Sprint(epoch, n)}
}

func fromFile(n uint64) Version {
	return Version{ID: ID{SourceFile, "", n}, Digest: fmt.Sprint("file", n)}
}

// machineDriver drives a machine by hand: it logs each command as "action version", and answers it at once.
type machineDriver struct {
	*testing.T
	machine *StateMachine
	now     monotime.Micros
	log     []string

	answered map[Action]bool   // a test that answers an action itself takes it out
	failures map[string]string // reasons, by "validate a/3", "apply a/3", "roll back a/3" or "persist"
}

func newDriver(t *testing.T, canary bool) *machineDriver {
	t.Helper()
	settings := Settings{CanaryEnabled: canary, MinValidationInterval: second}
	return &machineDriver{
		T:       t,
		machine: New(settings, LayeredVersion{File: fromFile(1)}, PersistentState{}),
		now:     10 * second,
		answered: map[Action]bool{
			ActionValidate: true,
			ActionApply:    true,
			ActionRollBack: true,
			ActionPersist:  true,
		},
		failures: map[string]string{},
	}
}

func (d *machineDriver) execute(commands []Command) {
	d.Helper()
	for _, command := range commands {
		if command.Action != ActionPersist {
			d.log = append(d.log, describe(command))
		}
		if d.answered[command.Action] {
			d.answer(command)
		}
	}
}

// describe returns "action version", with the reason of a NACK.
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

func (d *machineDriver) answer(command Command) {
	d.Helper()
	reason := d.failures[command.Action.String()+" "+command.Version.ID.String()]
	switch command.Action {
	case ActionValidate:
		d.execute(d.machine.HandleValidated(d.now, reason))
	case ActionApply:
		d.execute(d.machine.HandleApplied(d.now, reason))
	case ActionRollBack:
		d.execute(d.machine.HandleRolledBack(d.now, reason))
	case ActionPersist:
		d.execute(d.machine.HandlePersisted(d.now, d.failures["persist"]))
	}
}

// offer offers a version when the next validation is due.
func (d *machineDriver) offer(v Version) {
	d.Helper()
	d.now += 2 * second
	d.execute(d.machine.Offer(d.now, v))
}

// expect compares the log with the commands expected since the last call.
func (d *machineDriver) expect(commands ...string) {
	d.Helper()
	got := strings.Join(d.log, "\n")
	if expected := strings.Join(commands, "\n"); got != expected {
		d.Errorf("got\n%s\n\nwant\n%s", got, expected)
	}
	d.log = nil
}

func (d *machineDriver) expectRunning(expected string) {
	d.Helper()
	if running, _ := d.machine.Running(); running.String() != expected {
		d.Errorf("runs %v, want %s", running, expected)
	}
}

func TestApplyAndConfirm(t *testing.T) {
	s := newDriver(t, true)
	s.offer(fromControlPlane("a", 1))
	s.expect("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
	state := s.machine.PersistentState()
	if state.Unconfirmed == nil || state.Unconfirmed.Number != 1 || state.LastKnownGood.ControlPlane != nil {
		t.Errorf("on canary %+v", state)
	}
	s.offer(fromControlPlane("a", 1)) // its service says it again
	s.expect("ack a/1")
	s.execute(s.machine.HandleCanaryResult(s.now, ""))
	s.expect("ack a/1 finally")
	s.expectRunning("a/1 over file 1")
	state = s.machine.PersistentState()
	if state.Unconfirmed != nil || state.LastKnownGood.ControlPlane.Number != 1 ||
		state.PreviousGood.ControlPlane != nil {
		t.Errorf("confirmed %+v", state)
	}
	s.execute(s.machine.HandleCanaryResult(s.now, "late"))
	s.expect()
}

// A version is rejected with its reason at each stage, and again without being processed; what ran keeps running.
func TestRejectionAtEachStage(t *testing.T) {
	s := newDriver(t, true)
	s.failures["validate a/1"], s.failures["apply a/2"] = "no sense", "no room"
	s.offer(fromControlPlane("a", 1))
	s.expect("validate a/1", "nack a/1: no sense")
	s.offer(fromControlPlane("a", 1))
	s.expect("nack a/1: no sense")
	s.offer(fromControlPlane("a", 2))
	s.expect("validate a/2", "apply a/2", "nack a/2: no room")
	s.expectRunning("file 1")
	s.offer(fromControlPlane("a", 3))
	s.log = nil
	s.execute(s.machine.HandleCanaryResult(s.now, "slow"))
	s.expect("nack a/3: slow", "roll back a/3")
	s.expectRunning("file 1")
	s.offer(fromControlPlane("a", 3))
	s.expect("nack a/3: slow")
	s.execute(s.machine.RejectUnreadable(fromControlPlane("a", 4), "no text"))
	s.offer(fromControlPlane("a", 4))
	s.expect("nack a/4: no text", "nack a/4: no text")
	// A change of the file may mend what was refused, but for what did harm.
	s.offer(fromFile(2))
	s.execute(s.machine.HandleCanaryResult(s.now, ""))
	s.log = nil
	s.offer(fromControlPlane("a", 3))
	s.expect("nack a/3: slow")
	delete(s.failures, "validate a/1")
	s.offer(fromControlPlane("a", 1))
	s.expect("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
}

// Versions out of order, with another content or of an abandoned epoch are rejected; a rollback is applied.
func TestVersionOrder(t *testing.T) {
	s := newDriver(t, false)
	s.offer(fromControlPlane("a", 5))
	s.expect("validate a/5", "apply a/5", "ack a/5 finally")
	s.offer(fromControlPlane("a", 4))
	s.expect("nack a/4: version a/4 is older than a/5")
	other := fromControlPlane("a", 5)
	other.Digest = "other"
	s.offer(other)
	s.expect("nack a/5: version a/5 came with another content before")
	s.offer(fromControlPlane("b", 1)) // its numbers begin anew
	s.expect("validate b/1", "apply b/1", "ack b/1 finally")
	s.offer(fromControlPlane("a", 6))
	s.expect(`nack a/6: version a/6: epoch "a" was left for a newer one`)
	back := fromControlPlane("a", 5)
	back.Rollback = true
	s.offer(back)
	s.expect("validate a/5", "apply a/5", "ack a/5 finally")
	s.expectRunning("a/5 over file 1")
	s.offer(fromControlPlane("a", 6))
	s.expect("validate a/6", "apply a/6", "ack a/6 finally")
	s.offer(fromControlPlane("b", 2))
	s.expect(`nack b/2: version b/2: epoch "b" was left for a newer one`)
}

// A burst of versions costs one validation each interval, and the newest one is applied.
func TestBurstCostsOneValidation(t *testing.T) {
	s := newDriver(t, false)
	s.offer(fromControlPlane("a", 1))
	s.log = nil
	for n := uint64(2); n < 100; n++ {
		s.execute(s.machine.Offer(s.now, fromControlPlane("a", n)))
	}
	if len(s.log) != 97 || s.log[0] != "superseded a/2" || s.log[96] != "superseded a/98" {
		t.Errorf("%q", s.log)
	}
	s.log = nil
	if at := s.machine.Deadline(); at != s.now+second {
		t.Errorf("deadline %d, want %d", at, s.now+second)
	}
	s.execute(s.machine.HandleDeadline(s.now + second - 1))
	s.expect()
	s.now += second
	s.execute(s.machine.HandleDeadline(s.now))
	s.expect("validate a/99", "apply a/99", "ack a/99 finally")
}

// During a canary a version is pending, unless it is a rollback or the file's; if that one is rejected, the canary
// starts again.
func TestOffersDuringCanary(t *testing.T) {
	s := newDriver(t, true)
	s.offer(fromControlPlane("a", 1))
	s.execute(s.machine.HandleCanaryResult(s.now, ""))
	s.offer(fromControlPlane("a", 2))
	s.log = nil
	s.offer(fromControlPlane("a", 3))
	s.offer(fromControlPlane("a", 4))
	s.expect("superseded a/3")
	s.execute(s.machine.HandleCanaryResult(s.now, ""))
	s.expect("ack a/2 finally", "validate a/4", "apply a/4", "ack a/4", "start canary a/4")
	back := fromControlPlane("a", 2)
	back.Rollback = true
	s.failures["validate a/2"] = "not any more"
	s.offer(back)
	s.expect("stop canary", "validate a/2", "nack a/2: not any more", "start canary a/4")
	s.offer(fromFile(2))
	s.expect("stop canary", "validate file 2", "apply file 2", "ack file 2", "start canary file 2")
	if g := s.machine.PersistentState().LastKnownGood; g.ControlPlane.Number != 2 || g.File.Number != 1 {
		t.Errorf("good %v: neither part of what runs is confirmed", g)
	}
	s.execute(s.machine.HandleCanaryResult(s.now, "worse"))
	s.expect("nack file 2: worse", "roll back file 2")
	s.expectRunning("a/2 over file 1")
}

// A failed rollback is retried with a growing backoff, and a version that is offered meanwhile goes first.
func TestRollbackIsRetried(t *testing.T) {
	s := newDriver(t, true)
	s.failures["roll back a/1"] = "no process"
	s.offer(fromControlPlane("a", 1))
	s.execute(s.machine.HandleCanaryResult(s.now, "worse"))
	s.log = nil
	var waits []monotime.Micros
	for {
		at := s.machine.Deadline()
		if at == 0 {
			break
		}
		waits = append(waits, (at-s.now)/second)
		s.now = at
		s.execute(s.machine.HandleDeadline(s.now))
	}
	if fmt.Sprint(waits) != "[1 2 4 8]" || len(s.log) != 4 {
		t.Errorf("waits %v, %q", waits, s.log)
	}
	s.log = nil
	s.expectRunning("a/1 over file 1")
	s.offer(fromControlPlane("a", 2))
	s.expect("validate a/2", "apply a/2", "ack a/2", "start canary a/2")
	s.failures["roll back a/2"], s.failures["validate a/3"] = "no process", "bad"
	s.execute(s.machine.HandleCanaryResult(s.now, "worse"))
	s.offer(fromControlPlane("a", 3))
	s.expect("nack a/2: worse", "roll back a/2", "validate a/3", "nack a/3: bad")
	delete(s.failures, "roll back a/2")
	s.now = s.machine.Deadline()
	s.execute(s.machine.HandleDeadline(s.now))
	s.expect("roll back a/2")
	s.expectRunning("file 1")
}

// While paused, during a hot restart, no version is started.
func TestPausedStartsNothing(t *testing.T) {
	s := newDriver(t, true)
	s.execute(s.machine.SetPaused(s.now, true))
	s.offer(fromControlPlane("a", 1))
	s.execute(s.machine.HandleDeadline(s.now + 100*second))
	s.expect()
	if at := s.machine.Deadline(); at != 0 {
		t.Errorf("deadline %d", at)
	}
	s.execute(s.machine.SetPaused(s.now, false))
	s.expect("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
}

// A version is rejected after two processes ended before they confirmed it.
func TestVersionThatEndsProcessesIsRejected(t *testing.T) {
	kept := PersistentState{}
	for range 2 {
		s := newDriver(t, true)
		s.machine = New(Settings{CanaryEnabled: true}, LayeredVersion{File: fromFile(1)}, kept)
		s.offer(fromControlPlane("a", 1))
		s.expect("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
		kept = *s.machine.PersistentState()
	}
	s := newDriver(t, true)
	s.machine = New(Settings{CanaryEnabled: true}, LayeredVersion{File: fromFile(1)}, kept)
	s.offer(fromControlPlane("a", 1))
	s.expect("validate a/1", "nack a/1: 2 processes ended while they tried version a/1")
}

// State that cannot be stored is stored again after a backoff, and nothing waits for that.
func TestPersistIsRetried(t *testing.T) {
	s := newDriver(t, false)
	s.failures["persist"] = "no space"
	s.offer(fromControlPlane("a", 1))
	s.expect("validate a/1", "apply a/1", "ack a/1 finally")
	if s.machine.PersistError() != "no space" {
		t.Errorf("%q", s.machine.PersistError())
	}
	for i, last := 0, s.now; i < 10; i++ {
		at := s.machine.Deadline()
		if at <= last || at > last+96*second {
			t.Fatalf("deadline %d after %d", at, last)
		}
		s.now, last = at, at
		s.execute(s.machine.HandleDeadline(s.now))
	}
	delete(s.failures, "persist")
	s.now = s.machine.Deadline()
	s.execute(s.machine.HandleDeadline(s.now))
	if s.machine.PersistError() != "" || s.machine.Deadline() != 0 {
		t.Errorf("%q, deadline %d", s.machine.PersistError(), s.machine.Deadline())
	}
}
