package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

func fromControlPlane(epoch string, n uint64) Version {
	return Version{ID: ID{SourceControlPlane, epoch, n}, Digest: fmt.Sprint(epoch, n)}
}

func fromFile(n uint64) Version {
	return Version{ID: ID{SourceFile, "", n}, Digest: fmt.Sprint("file", n)}
}

// story drives a machine by hand: each step that comes out is written as "action version".
type machineDriver struct {
	*testing.T
	machine *StateMachine
	now     monotime.Micros
	log     []string
	// What the host does at once; a test that wants to wait takes the action out.
	answered map[Action]bool
	failures map[string]string // reasons, by "validate 3", "apply 3", "roll back 3", "save"
}

func newDriver(t *testing.T, trial bool) *machineDriver {
	return &machineDriver{T: t, machine: New(Settings{CanaryEnabled: trial, MinValidationInterval: second}, LayeredVersion{File: fromFile(1)}, PersistentState{}), now: 10 * second,
		answered: map[Action]bool{ActionValidate: true, ActionApply: true, ActionRollBack: true, ActionPersist: true}, failures: map[string]string{}}
}

func (s *machineDriver) execute(steps []Command) {
	for _, x := range steps {
		if x.Action == ActionPersist {
			if s.answered[ActionPersist] {
				s.execute(s.machine.HandlePersisted(s.now, s.failures["save"]))
			}
			continue
		}
		text := x.Action.String()
		if x.Action != ActionStopCanary {
			text += " " + x.Version.ID.String()
		}
		if x.Action == ActionAck && x.Confirmed {
			text += " finally"
		}
		if x.Action == ActionNack {
			text += ": " + x.Reason
		}
		s.log = append(s.log, text)
		reason := s.failures[x.Action.String()+" "+x.Version.ID.String()]
		if !s.answered[x.Action] {
			continue
		}
		switch x.Action {
		case ActionValidate:
			s.execute(s.machine.HandleValidated(s.now, reason))
		case ActionApply:
			s.execute(s.machine.HandleApplied(s.now, reason))
		case ActionRollBack:
			s.execute(s.machine.HandleRolledBack(s.now, reason))
		}
	}
}

func (s *machineDriver) offer(v Version) { s.now += 2 * second; s.execute(s.machine.Offer(s.now, v)) }

// wants compares all steps since the last look.
func (s *machineDriver) expect(want ...string) {
	s.Helper()
	if a, b := strings.Join(s.log, "\n"), strings.Join(want, "\n"); a != b {
		s.Errorf("got\n%s\n\nwant\n%s", a, b)
	}
	s.log = nil
}

func (s *machineDriver) expectRunning(want string) {
	s.Helper()
	if p, _ := s.machine.Running(); p.String() != want {
		s.Errorf("runs %v, want %s", p, want)
	}
}

func TestApplyAndConfirm(t *testing.T) {
	s := newDriver(t, true)
	s.offer(fromControlPlane("a", 1))
	s.expect("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
	if g := s.machine.PersistentState(); g.Unconfirmed == nil || g.Unconfirmed.Number != 1 || g.LastKnownGood.ControlPlane != nil {
		t.Errorf("on trial %+v", g)
	}
	s.offer(fromControlPlane("a", 1)) // its service says it again
	s.expect("ack a/1")
	s.execute(s.machine.HandleCanaryResult(s.now, ""))
	s.expect("ack a/1 finally")
	s.expectRunning("a/1 over file 1")
	if g := s.machine.PersistentState(); g.Unconfirmed != nil || g.LastKnownGood.ControlPlane.Number != 1 || g.PreviousGood.ControlPlane != nil {
		t.Errorf("confirmed %+v", g)
	}
	s.execute(s.machine.HandleCanaryResult(s.now, "late"))
	s.expect()
}

// What does not hold is refused with its reason, at each stage, again without work, and what ran goes on.
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

// Versions out of order, with another content, of an epoch that was left; and what goes back all the same.
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

// A storm costs one check each gap, and the newest wins.
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

// During a trial a version waits, unless it is to go back to or the operator's; what comes to nothing lets the trial
// begin anew.
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

// Where going back fails it is tried again, ever more seldom, and a version that comes meanwhile goes first.
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

// While the process hands over nothing is begun.
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

// A version whose processes ended twice while they tried it is not tried again.
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

// What cannot be written down is tried again, and holds nothing up.
func TestPersistIsRetried(t *testing.T) {
	s := newDriver(t, false)
	s.failures["save"] = "no space"
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
	delete(s.failures, "save")
	s.now = s.machine.Deadline()
	s.execute(s.machine.HandleDeadline(s.now))
	if s.machine.PersistError() != "" || s.machine.Deadline() != 0 {
		t.Errorf("%q, deadline %d", s.machine.PersistError(), s.machine.Deadline())
	}
}

// world is a host whose disk, service and contents are a test's: it carries out steps in order, as far and as well as
// chance has it, and holds what a plain reading of the rules demands against each.
type simulatedHost struct {
	*rapid.T
	machine       *StateMachine
	now           monotime.Micros
	settings      Settings
	stored        []byte // Kept, as last written
	persistFailed bool   // a writing failed: what is known may be lost with the process
	commands      []Command
	fileReads     uint64
	file          Version
	valid         map[string]bool // by digest: passes its check,
	applicable    map[string]bool // can be applied,
	harmful       map[string]bool // and does harm
	validated     *Version        // the last that passed
	applied       map[ID]string   // digests of all that were
	rolledBack    map[string]bool // digests of those that were found worse, and this written down
	lastKnownGood LayeredVersion  // as the rules have it
	running       LayeredVersion
	onCanary      bool
	unanswered    map[ID]bool
	crashes       int
	epoch         string
	numbers       map[string]uint64
}

func (w *simulatedHost) restart() {
	var kept PersistentState
	if w.stored != nil {
		if err := json.Unmarshal(w.stored, &kept); err != nil {
			w.Fatal(err)
		}
	}
	w.file = Version{ID: ID{SourceFile, "", 1}, Digest: w.file.Digest}
	running := LayeredVersion{File: w.file}
	if kept.LastKnownGood != nil {
		running = *kept.LastKnownGood
		w.lastKnownGood = *kept.LastKnownGood
	} else {
		w.lastKnownGood = running
	}
	w.fileReads = max(1, running.File.Number)
	w.running, w.onCanary, w.commands, w.validated = running, false, nil, nil
	w.machine = New(w.settings, running, kept)
}

func (w *simulatedHost) enqueue(steps []Command) { w.commands = append(w.commands, steps...) }

// step carries out the next step.
func (w *simulatedHost) executeNext(ok bool) {
	x := w.commands[0]
	w.commands = w.commands[1:]
	v := x.Version
	reason := func(fine bool) string {
		if fine {
			return ""
		}
		return "no"
	}
	switch x.Action {
	case ActionValidate:
		if w.onCanary {
			w.Fatalf("validate of %v during a trial", v.ID)
		}
		if w.validated = nil; w.valid[v.Digest] {
			w.validated = &v
		}
		w.enqueue(w.machine.HandleValidated(w.now, reason(w.valid[v.Digest])))
	case ActionApply:
		if w.validated == nil || *w.validated != v {
			w.Fatalf("apply %v, which was not checked", v)
		}
		if x.Previous.String() != w.running.String() || x.Target.String() != w.running.with(v).String() {
			w.Fatalf("apply %v from %v, while %v runs", x.Target, x.Previous, w.running)
		}
		if was := w.running.ControlPlane; v.Source == SourceControlPlane && !v.Rollback && was != nil && was.Epoch == v.Epoch && v.Number < was.Number {
			w.Fatalf("apply %v over %v", v.ID, was.ID)
		}
		if at, was := w.applied[v.ID]; was && v.Source == SourceControlPlane && at != v.Digest && !w.persistFailed {
			w.Fatalf("apply %v with two contents", v.ID)
		}
		if w.rolledBack[v.Digest] && v.Source == SourceControlPlane {
			w.Fatalf("apply %v, which was found worse", v.ID)
		}
		w.validated = nil
		if w.applicable[v.Digest] {
			w.applied[v.ID] = v.Digest
			w.running = x.Target
		}
		w.enqueue(w.machine.HandleApplied(w.now, reason(w.applicable[v.Digest])))
	case ActionStartCanary:
		if x.Target.String() != w.running.String() {
			w.Fatalf("start canary %v, while %v runs", x.Target, w.running)
		}
		w.onCanary = true
	case ActionStopCanary:
		w.onCanary = false
	case ActionRollBack:
		if x.Target.String() != w.lastKnownGood.String() {
			w.Fatalf("roll back to %v, and %v is the last good one", x.Target, w.lastKnownGood)
		}
		if ok {
			w.running = x.Target
		}
		w.enqueue(w.machine.HandleRolledBack(w.now, reason(ok)))
	case ActionPersist:
		if ok {
			text, err := json.Marshal(w.machine.PersistentState())
			if err != nil {
				w.Fatal(err)
			}
			w.stored = text
			var kept PersistentState
			if err := json.Unmarshal(text, &kept); err != nil || kept.LastKnownGood.String() != w.machine.PersistentState().LastKnownGood.String() {
				w.Fatalf("%v: %s", err, text)
			}
			for _, r := range kept.Rejected {
				if r.RolledBack {
					w.rolledBack[r.Digest] = true
				}
			}
		}
		w.persistFailed = w.persistFailed || !ok
		w.enqueue(w.machine.HandlePersisted(w.now, reason(ok)))
	case ActionAck:
		if v.Source == SourceControlPlane && w.running.ControlPlane.ID != v.ID {
			w.Fatalf("ack of %v, while %v runs", v.ID, w.running)
		}
		if x.Confirmed {
			w.lastKnownGood = w.running
			w.onCanary = false
		}
		delete(w.unanswered, v.ID)
	case ActionNack, ActionSuperseded:
		delete(w.unanswered, v.ID)
	}
}

func (w *simulatedHost) offer(v Version) {
	w.unanswered[v.ID] = true
	w.enqueue(w.machine.Offer(w.now, v))
}

// newVersion draws a version that was not offered before.
func (w *simulatedHost) newVersion(sound bool) Version {
	w.numbers[w.epoch]++
	v := Version{ID: ID{SourceControlPlane, w.epoch, w.numbers[w.epoch]}}
	w.drawContent(&v, sound)
	return v
}

var contentCount int

func (w *simulatedHost) drawContent(v *Version, sound bool) {
	contentCount++
	v.Digest = fmt.Sprint("c", contentCount)
	w.valid[v.Digest] = sound || rapid.IntRange(0, 4).Draw(w.T, "sound") > 0
	w.applicable[v.Digest] = sound || rapid.IntRange(0, 4).Draw(w.T, "fits") > 0
	w.harmful[v.Digest] = !sound && rapid.IntRange(0, 3).Draw(w.T, "harmful") == 0
}

// In whatever order versions come, twice, late, or not at all, whatever fails and whenever the process ends: the
// rules hold at each step, and once a sound version comes to an instance that nothing befalls any more, that one runs
// and is kept.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulatedHost{T: t, settings: Settings{CanaryEnabled: rapid.Bool().Draw(t, "trial"), MinValidationInterval: rapid.Int64Range(0, 3*second).Draw(t, "gap")}, now: second, epoch: "a",
			valid: map[string]bool{}, applicable: map[string]bool{}, harmful: map[string]bool{}, applied: map[ID]string{}, rolledBack: map[string]bool{},
			unanswered: map[ID]bool{}, numbers: map[string]uint64{}}
		w.drawContent(&w.file, true)
		w.restart()
		var offered []Version
		judge := func() {
			v := w.machine.unconfirmed
			if v == nil || !w.onCanary {
				return
			}
			w.onCanary = false
			reason := ""
			if w.harmful[v.Digest] {
				reason = "harm"
			} else if w.machine.phase == PhaseCanary { // else its end is on its way
				w.lastKnownGood = w.running
			}
			w.enqueue(w.machine.HandleCanaryResult(w.now, reason))
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			w.now += rapid.Int64Range(0, 2*second).Draw(t, "later")
			switch rapid.IntRange(0, 13).Draw(t, "event") {
			case 0, 1:
				v := w.newVersion(false)
				v.Rollback = rapid.IntRange(0, 5).Draw(t, "rollback") == 0
				offered = append(offered, v)
				w.offer(v)
			case 2, 3: // again, late, to go back to, or with another content
				if len(offered) > 0 {
					v := offered[rapid.IntRange(0, len(offered)-1).Draw(t, "which")]
					v.Rollback = rapid.Bool().Draw(t, "back")
					if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
						w.drawContent(&v, false)
					}
					w.offer(v)
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "epoch") == 0 {
					w.epoch += "a"
				}
			case 5:
				w.fileReads++
				v := Version{ID: ID{SourceFile, "", w.fileReads}}
				w.drawContent(&v, false)
				w.offer(v)
			case 6:
				if w.crashes++; w.crashes < 6 {
					w.restart()
				}
			case 7:
				w.enqueue(w.machine.SetPaused(w.now, rapid.Bool().Draw(t, "hold")))
			case 8:
				judge()
			case 9:
				if at := w.machine.Deadline(); at > 0 && at <= w.now {
					w.enqueue(w.machine.HandleDeadline(w.now))
				}
			default:
				for range rapid.IntRange(1, 4).Draw(t, "steps") {
					if len(w.commands) > 0 {
						w.executeNext(rapid.IntRange(0, 9).Draw(t, "ok") > 0)
					}
				}
			}
		}
		// From here on all goes well.
		w.epoch += "z"
		last := w.newVersion(true)
		settle := func() {
			for i := 0; ; i++ {
				if i > 10_000 {
					t.Fatalf("no rest: %v, %v", w.machine.phase, w.commands)
				}
				if len(w.commands) > 0 {
					w.executeNext(true)
					continue
				}
				if at := w.machine.Deadline(); at > 0 {
					w.now = max(w.now, at)
					w.enqueue(w.machine.HandleDeadline(w.now))
					continue
				}
				if w.onCanary {
					judge()
					continue
				}
				return
			}
		}
		w.enqueue(w.machine.SetPaused(w.now, false))
		settle()
		w.unanswered = map[ID]bool{}
		w.offer(last)
		settle()
		p, trial := w.machine.Running()
		if trial || p.ControlPlane == nil || *p.ControlPlane != last || w.machine.PersistentState().LastKnownGood.ControlPlane.ID != last.ID || len(w.unanswered) > 0 {
			t.Fatalf("runs %v, trial %v, good %v, owed %v; the last sound version is %v", p, trial, w.machine.PersistentState().LastKnownGood, w.unanswered, last.ID)
		}
		w.restart()
		if p, _ := w.machine.Running(); *p.ControlPlane != last {
			t.Fatalf("after a restart %v runs", p)
		}
	})
}
