package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const sec monotime.Micros = 1_000_000

func service(epoch string, n uint64) Version {
	return Version{ID: ID{SourceControlPlane, epoch, n}, Digest: fmt.Sprint(epoch, n)}
}

func file(n uint64) Version { return Version{ID: ID{SourceFile, "", n}, Digest: fmt.Sprint("file", n)} }

// story drives a machine by hand: each step that comes out is written as "action version".
type story struct {
	*testing.T
	m   *StateMachine
	now monotime.Micros
	got []string
	// What the host does at once; a test that wants to wait takes the action out.
	does map[Action]bool
	bad  map[string]string // reasons, by "validate 3", "apply 3", "roll back 3", "save"
}

func begin(t *testing.T, trial bool) *story {
	return &story{T: t, m: New(Settings{CanaryEnabled: trial, MinValidationInterval: sec}, LayeredVersion{File: file(1)}, PersistentState{}), now: 10 * sec,
		does: map[Action]bool{ActionValidate: true, ActionApply: true, ActionRollBack: true, ActionPersist: true}, bad: map[string]string{}}
}

func (s *story) did(steps []Command) {
	for _, x := range steps {
		if x.Action == ActionPersist {
			if s.does[ActionPersist] {
				s.did(s.m.HandlePersisted(s.now, s.bad["save"]))
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
		s.got = append(s.got, text)
		reason := s.bad[x.Action.String()+" "+x.Version.ID.String()]
		if !s.does[x.Action] {
			continue
		}
		switch x.Action {
		case ActionValidate:
			s.did(s.m.HandleValidated(s.now, reason))
		case ActionApply:
			s.did(s.m.HandleApplied(s.now, reason))
		case ActionRollBack:
			s.did(s.m.HandleRolledBack(s.now, reason))
		}
	}
}

func (s *story) offer(v Version) { s.now += 2 * sec; s.did(s.m.Offer(s.now, v)) }

// wants compares all steps since the last look.
func (s *story) wants(want ...string) {
	s.Helper()
	if a, b := strings.Join(s.got, "\n"), strings.Join(want, "\n"); a != b {
		s.Errorf("got\n%s\n\nwant\n%s", a, b)
	}
	s.got = nil
}

func (s *story) runs(want string) {
	s.Helper()
	if p, _ := s.m.Running(); p.String() != want {
		s.Errorf("runs %v, want %s", p, want)
	}
}

func TestAppliedAndConfirmed(t *testing.T) {
	s := begin(t, true)
	s.offer(service("a", 1))
	s.wants("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
	if g := s.m.PersistentState(); g.Unconfirmed == nil || g.Unconfirmed.Number != 1 || g.LastKnownGood.ControlPlane != nil {
		t.Errorf("on trial %+v", g)
	}
	s.offer(service("a", 1)) // its service says it again
	s.wants("ack a/1")
	s.did(s.m.HandleCanaryResult(s.now, ""))
	s.wants("ack a/1 finally")
	s.runs("a/1 over file 1")
	if g := s.m.PersistentState(); g.Unconfirmed != nil || g.LastKnownGood.ControlPlane.Number != 1 || g.PreviousGood.ControlPlane != nil {
		t.Errorf("confirmed %+v", g)
	}
	s.did(s.m.HandleCanaryResult(s.now, "late"))
	s.wants()
}

// What does not hold is refused with its reason, at each stage, again without work, and what ran goes on.
func TestRefused(t *testing.T) {
	s := begin(t, true)
	s.bad["validate a/1"], s.bad["apply a/2"] = "no sense", "no room"
	s.offer(service("a", 1))
	s.wants("validate a/1", "nack a/1: no sense")
	s.offer(service("a", 1))
	s.wants("nack a/1: no sense")
	s.offer(service("a", 2))
	s.wants("validate a/2", "apply a/2", "nack a/2: no room")
	s.runs("file 1")
	s.offer(service("a", 3))
	s.got = nil
	s.did(s.m.HandleCanaryResult(s.now, "slow"))
	s.wants("nack a/3: slow", "roll back a/3")
	s.runs("file 1")
	s.offer(service("a", 3))
	s.wants("nack a/3: slow")
	s.did(s.m.RejectUnreadable(service("a", 4), "no text"))
	s.offer(service("a", 4))
	s.wants("nack a/4: no text", "nack a/4: no text")
	// A change of the file may mend what was refused, but for what did harm.
	s.offer(file(2))
	s.did(s.m.HandleCanaryResult(s.now, ""))
	s.got = nil
	s.offer(service("a", 3))
	s.wants("nack a/3: slow")
	delete(s.bad, "validate a/1")
	s.offer(service("a", 1))
	s.wants("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
}

// Versions out of order, with another content, of an epoch that was left; and what goes back all the same.
func TestOrder(t *testing.T) {
	s := begin(t, false)
	s.offer(service("a", 5))
	s.wants("validate a/5", "apply a/5", "ack a/5 finally")
	s.offer(service("a", 4))
	s.wants("nack a/4: version a/4 is older than a/5")
	other := service("a", 5)
	other.Digest = "other"
	s.offer(other)
	s.wants("nack a/5: version a/5 came with another content before")
	s.offer(service("b", 1)) // its numbers begin anew
	s.wants("validate b/1", "apply b/1", "ack b/1 finally")
	s.offer(service("a", 6))
	s.wants(`nack a/6: version a/6: epoch "a" was left for a newer one`)
	back := service("a", 5)
	back.Rollback = true
	s.offer(back)
	s.wants("validate a/5", "apply a/5", "ack a/5 finally")
	s.runs("a/5 over file 1")
	s.offer(service("a", 6))
	s.wants("validate a/6", "apply a/6", "ack a/6 finally")
	s.offer(service("b", 2))
	s.wants(`nack b/2: version b/2: epoch "b" was left for a newer one`)
}

// A storm costs one check each gap, and the newest wins.
func TestStorm(t *testing.T) {
	s := begin(t, false)
	s.offer(service("a", 1))
	s.got = nil
	for n := uint64(2); n < 100; n++ {
		s.did(s.m.Offer(s.now, service("a", n)))
	}
	if len(s.got) != 97 || s.got[0] != "superseded a/2" || s.got[96] != "superseded a/98" {
		t.Errorf("%q", s.got)
	}
	s.got = nil
	if at := s.m.Deadline(); at != s.now+sec {
		t.Errorf("deadline %d, want %d", at, s.now+sec)
	}
	s.did(s.m.HandleDeadline(s.now + sec - 1))
	s.wants()
	s.now += sec
	s.did(s.m.HandleDeadline(s.now))
	s.wants("validate a/99", "apply a/99", "ack a/99 finally")
}

// During a trial a version waits, unless it is to go back to or the operator's; what comes to nothing lets the trial begin
// anew.
func TestDuringTrial(t *testing.T) {
	s := begin(t, true)
	s.offer(service("a", 1))
	s.did(s.m.HandleCanaryResult(s.now, ""))
	s.offer(service("a", 2))
	s.got = nil
	s.offer(service("a", 3))
	s.offer(service("a", 4))
	s.wants("superseded a/3")
	s.did(s.m.HandleCanaryResult(s.now, ""))
	s.wants("ack a/2 finally", "validate a/4", "apply a/4", "ack a/4", "start canary a/4")
	back := service("a", 2)
	back.Rollback = true
	s.bad["validate a/2"] = "not any more"
	s.offer(back)
	s.wants("stop canary", "validate a/2", "nack a/2: not any more", "start canary a/4")
	s.offer(file(2))
	s.wants("stop canary", "validate file 2", "apply file 2", "ack file 2", "start canary file 2")
	if g := s.m.PersistentState().LastKnownGood; g.ControlPlane.Number != 2 || g.File.Number != 1 {
		t.Errorf("good %v: neither part of what runs is confirmed", g)
	}
	s.did(s.m.HandleCanaryResult(s.now, "worse"))
	s.wants("nack file 2: worse", "roll back file 2")
	s.runs("a/2 over file 1")
}

// Where going back fails it is tried again, ever more seldom, and a version that comes meanwhile goes first.
func TestGoingBackFails(t *testing.T) {
	s := begin(t, true)
	s.bad["roll back a/1"] = "no process"
	s.offer(service("a", 1))
	s.did(s.m.HandleCanaryResult(s.now, "worse"))
	s.got = nil
	var waits []monotime.Micros
	for {
		at := s.m.Deadline()
		if at == 0 {
			break
		}
		waits = append(waits, (at-s.now)/sec)
		s.now = at
		s.did(s.m.HandleDeadline(s.now))
	}
	if fmt.Sprint(waits) != "[1 2 4 8]" || len(s.got) != 4 {
		t.Errorf("waits %v, %q", waits, s.got)
	}
	s.got = nil
	s.runs("a/1 over file 1")
	s.offer(service("a", 2))
	s.wants("validate a/2", "apply a/2", "ack a/2", "start canary a/2")
	s.bad["roll back a/2"], s.bad["validate a/3"] = "no process", "bad"
	s.did(s.m.HandleCanaryResult(s.now, "worse"))
	s.offer(service("a", 3))
	s.wants("nack a/2: worse", "roll back a/2", "validate a/3", "nack a/3: bad")
	delete(s.bad, "roll back a/2")
	s.now = s.m.Deadline()
	s.did(s.m.HandleDeadline(s.now))
	s.wants("roll back a/2")
	s.runs("file 1")
}

// While the process hands over nothing is begun.
func TestHeld(t *testing.T) {
	s := begin(t, true)
	s.did(s.m.SetPaused(s.now, true))
	s.offer(service("a", 1))
	s.did(s.m.HandleDeadline(s.now + 100*sec))
	s.wants()
	if at := s.m.Deadline(); at != 0 {
		t.Errorf("deadline %d", at)
	}
	s.did(s.m.SetPaused(s.now, false))
	s.wants("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
}

// A version whose processes ended twice while they tried it is not tried again.
func TestProcessesThatEnd(t *testing.T) {
	kept := PersistentState{}
	for range 2 {
		s := begin(t, true)
		s.m = New(Settings{CanaryEnabled: true}, LayeredVersion{File: file(1)}, kept)
		s.offer(service("a", 1))
		s.wants("validate a/1", "apply a/1", "ack a/1", "start canary a/1")
		kept = *s.m.PersistentState()
	}
	s := begin(t, true)
	s.m = New(Settings{CanaryEnabled: true}, LayeredVersion{File: file(1)}, kept)
	s.offer(service("a", 1))
	s.wants("validate a/1", "nack a/1: 2 processes ended while they tried version a/1")
}

// What cannot be written down is tried again, and holds nothing up.
func TestDiskThatTakesNothing(t *testing.T) {
	s := begin(t, false)
	s.bad["save"] = "no space"
	s.offer(service("a", 1))
	s.wants("validate a/1", "apply a/1", "ack a/1 finally")
	if s.m.PersistError() != "no space" {
		t.Errorf("%q", s.m.PersistError())
	}
	for i, last := 0, s.now; i < 10; i++ {
		at := s.m.Deadline()
		if at <= last || at > last+96*sec {
			t.Fatalf("deadline %d after %d", at, last)
		}
		s.now, last = at, at
		s.did(s.m.HandleDeadline(s.now))
	}
	delete(s.bad, "save")
	s.now = s.m.Deadline()
	s.did(s.m.HandleDeadline(s.now))
	if s.m.PersistError() != "" || s.m.Deadline() != 0 {
		t.Errorf("%q, deadline %d", s.m.PersistError(), s.m.Deadline())
	}
}

// world is a host whose disk, service and contents are a test's: it carries out steps in order, as far and as well as chance
// has it, and holds what a plain reading of the rules demands against each.
type world struct {
	*rapid.T
	m        *StateMachine
	now      monotime.Micros
	s        Settings
	disk     []byte // Kept, as last written
	torn     bool   // a writing failed: what is known may be lost with the process
	steps    []Command
	files    uint64
	file     Version
	sound    map[string]bool // by digest: passes its check,
	fits     map[string]bool // can be applied,
	harmful  map[string]bool // and does harm
	checked  *Version        // the last that passed
	applied  map[ID]string   // digests of all that were
	harmed   map[string]bool // digests of those that were found worse, and this written down
	good     LayeredVersion  // as the rules have it
	running  LayeredVersion
	trial    bool
	owed     map[ID]bool
	crashes  int
	newEpoch string
	numbers  map[string]uint64
}

func (w *world) start() {
	var kept PersistentState
	if w.disk != nil {
		if err := json.Unmarshal(w.disk, &kept); err != nil {
			w.Fatal(err)
		}
	}
	w.file = Version{ID: ID{SourceFile, "", 1}, Digest: w.file.Digest}
	running := LayeredVersion{File: w.file}
	if kept.LastKnownGood != nil {
		running = *kept.LastKnownGood
		w.good = *kept.LastKnownGood
	} else {
		w.good = running
	}
	w.files = max(1, running.File.Number)
	w.running, w.trial, w.steps, w.checked = running, false, nil, nil
	w.m = New(w.s, running, kept)
}

func (w *world) take(steps []Command) { w.steps = append(w.steps, steps...) }

// step carries out the next step.
func (w *world) step(ok bool) {
	x := w.steps[0]
	w.steps = w.steps[1:]
	v := x.Version
	reason := func(fine bool) string {
		if fine {
			return ""
		}
		return "no"
	}
	switch x.Action {
	case ActionValidate:
		if w.trial {
			w.Fatalf("validate of %v during a trial", v.ID)
		}
		if w.checked = nil; w.sound[v.Digest] {
			w.checked = &v
		}
		w.take(w.m.HandleValidated(w.now, reason(w.sound[v.Digest])))
	case ActionApply:
		if w.checked == nil || *w.checked != v {
			w.Fatalf("apply %v, which was not checked", v)
		}
		if x.Previous.String() != w.running.String() || x.Target.String() != w.running.with(v).String() {
			w.Fatalf("apply %v from %v, while %v runs", x.Target, x.Previous, w.running)
		}
		if was := w.running.ControlPlane; v.Source == SourceControlPlane && !v.Rollback && was != nil && was.Epoch == v.Epoch && v.Number < was.Number {
			w.Fatalf("apply %v over %v", v.ID, was.ID)
		}
		if at, was := w.applied[v.ID]; was && v.Source == SourceControlPlane && at != v.Digest && !w.torn {
			w.Fatalf("apply %v with two contents", v.ID)
		}
		if w.harmed[v.Digest] && v.Source == SourceControlPlane {
			w.Fatalf("apply %v, which was found worse", v.ID)
		}
		w.checked = nil
		if w.fits[v.Digest] {
			w.applied[v.ID] = v.Digest
			w.running = x.Target
		}
		w.take(w.m.HandleApplied(w.now, reason(w.fits[v.Digest])))
	case ActionStartCanary:
		if x.Target.String() != w.running.String() {
			w.Fatalf("start canary %v, while %v runs", x.Target, w.running)
		}
		w.trial = true
	case ActionStopCanary:
		w.trial = false
	case ActionRollBack:
		if x.Target.String() != w.good.String() {
			w.Fatalf("roll back to %v, and %v is the last good one", x.Target, w.good)
		}
		if ok {
			w.running = x.Target
		}
		w.take(w.m.HandleRolledBack(w.now, reason(ok)))
	case ActionPersist:
		if ok {
			text, err := json.Marshal(w.m.PersistentState())
			if err != nil {
				w.Fatal(err)
			}
			w.disk = text
			var kept PersistentState
			if err := json.Unmarshal(text, &kept); err != nil || kept.LastKnownGood.String() != w.m.PersistentState().LastKnownGood.String() {
				w.Fatalf("%v: %s", err, text)
			}
			for _, r := range kept.Rejected {
				if r.RolledBack {
					w.harmed[r.Digest] = true
				}
			}
		}
		w.torn = w.torn || !ok
		w.take(w.m.HandlePersisted(w.now, reason(ok)))
	case ActionAck:
		if v.Source == SourceControlPlane && w.running.ControlPlane.ID != v.ID {
			w.Fatalf("ack of %v, while %v runs", v.ID, w.running)
		}
		if x.Confirmed {
			w.good = w.running
			w.trial = false
		}
		delete(w.owed, v.ID)
	case ActionNack, ActionSuperseded:
		delete(w.owed, v.ID)
	}
}

func (w *world) offer(v Version) {
	w.owed[v.ID] = true
	w.take(w.m.Offer(w.now, v))
}

// newVersion draws a version that was not offered before.
func (w *world) newVersion(sound bool) Version {
	w.numbers[w.newEpoch]++
	v := Version{ID: ID{SourceControlPlane, w.newEpoch, w.numbers[w.newEpoch]}}
	w.contents(&v, sound)
	return v
}

var contents int

func (w *world) contents(v *Version, sound bool) {
	contents++
	v.Digest = fmt.Sprint("c", contents)
	w.sound[v.Digest] = sound || rapid.IntRange(0, 4).Draw(w.T, "sound") > 0
	w.fits[v.Digest] = sound || rapid.IntRange(0, 4).Draw(w.T, "fits") > 0
	w.harmful[v.Digest] = !sound && rapid.IntRange(0, 3).Draw(w.T, "harmful") == 0
}

// In whatever order versions come, twice, late, or not at all, whatever fails and whenever the process ends: the rules hold
// at each step, and once a sound version comes to an instance that nothing befalls any more, that one runs and is kept.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{T: t, s: Settings{CanaryEnabled: rapid.Bool().Draw(t, "trial"), MinValidationInterval: rapid.Int64Range(0, 3*sec).Draw(t, "gap")}, now: sec, newEpoch: "a",
			sound: map[string]bool{}, fits: map[string]bool{}, harmful: map[string]bool{}, applied: map[ID]string{}, harmed: map[string]bool{},
			owed: map[ID]bool{}, numbers: map[string]uint64{}}
		w.contents(&w.file, true)
		w.start()
		var offered []Version
		judge := func() {
			v := w.m.unconfirmed
			if v == nil || !w.trial {
				return
			}
			w.trial = false
			reason := ""
			if w.harmful[v.Digest] {
				reason = "harm"
			} else if w.m.phase == PhaseCanary { // else its end is on its way
				w.good = w.running
			}
			w.take(w.m.HandleCanaryResult(w.now, reason))
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			w.now += rapid.Int64Range(0, 2*sec).Draw(t, "later")
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
						w.contents(&v, false)
					}
					w.offer(v)
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "epoch") == 0 {
					w.newEpoch += "a"
				}
			case 5:
				w.files++
				v := Version{ID: ID{SourceFile, "", w.files}}
				w.contents(&v, false)
				w.offer(v)
			case 6:
				if w.crashes++; w.crashes < 6 {
					w.start()
				}
			case 7:
				w.take(w.m.SetPaused(w.now, rapid.Bool().Draw(t, "hold")))
			case 8:
				judge()
			case 9:
				if at := w.m.Deadline(); at > 0 && at <= w.now {
					w.take(w.m.HandleDeadline(w.now))
				}
			default:
				for range rapid.IntRange(1, 4).Draw(t, "steps") {
					if len(w.steps) > 0 {
						w.step(rapid.IntRange(0, 9).Draw(t, "ok") > 0)
					}
				}
			}
		}
		// From here on all goes well.
		w.newEpoch += "z"
		last := w.newVersion(true)
		settle := func() {
			for i := 0; ; i++ {
				if i > 10_000 {
					t.Fatalf("no rest: %v, %v", w.m.phase, w.steps)
				}
				if len(w.steps) > 0 {
					w.step(true)
					continue
				}
				if at := w.m.Deadline(); at > 0 {
					w.now = max(w.now, at)
					w.take(w.m.HandleDeadline(w.now))
					continue
				}
				if w.trial {
					judge()
					continue
				}
				return
			}
		}
		w.take(w.m.SetPaused(w.now, false))
		settle()
		w.owed = map[ID]bool{}
		w.offer(last)
		settle()
		p, trial := w.m.Running()
		if trial || p.ControlPlane == nil || *p.ControlPlane != last || w.m.PersistentState().LastKnownGood.ControlPlane.ID != last.ID || len(w.owed) > 0 {
			t.Fatalf("runs %v, trial %v, good %v, owed %v; the last sound version is %v", p, trial, w.m.PersistentState().LastKnownGood, w.owed, last.ID)
		}
		w.start()
		if p, _ := w.m.Running(); *p.ControlPlane != last {
			t.Fatalf("after a restart %v runs", p)
		}
	})
}
