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
	Service Source = iota
	File           // the local file; its epoch is empty, its numbers count how often it was read
)

var sources = [...]string{"service", "file"}

func (s Source) String() string { return sources[s] }

// MarshalText writes a source as people read it.
func (s Source) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (s *Source) UnmarshalText(text []byte) error {
	at := slices.Index(sources[:], string(text))
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
	case id.Source == File:
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
type Pair struct {
	Service *Version `json:"service,omitempty"`
	File    Version  `json:"file"`
}

// with returns the pair in which v has its place.
func (p Pair) with(v Version) Pair {
	if v.Source == File {
		p.File = v
	} else {
		p.Service = &v
	}
	return p
}

func (p Pair) of(s Source) *Version {
	if s == File {
		return &p.File
	}
	return p.Service
}

func (p Pair) String() string {
	if p.Service == nil {
		return p.File.ID.String()
	}
	return p.Service.ID.String() + " over " + p.File.ID.String()
}

// same says whether both have the same content.
func (p Pair) same(q Pair) bool {
	return p.File.Digest == q.File.Digest && (p.Service == nil) == (q.Service == nil) && (p.Service == nil || p.Service.Digest == q.Service.Digest)
}

// Refusal is a version that was turned down.
type Refusal struct {
	Version
	Reason string `json:"reason"`
	Tried  bool   `json:"tried,omitempty"` // it was applied, and gone back from
}

// Kept is what outlives a process: its host writes it down at each Save, and gives it to New after a restart.
type Kept struct {
	Good    *Pair     `json:"good,omitempty"`   // the last pair that was confirmed, and is started with
	Before  *Pair     `json:"before,omitempty"` // the one before that
	Trying  *Version  `json:"trying,omitempty"` // applied, and not yet confirmed
	Tries   int       `json:"tries,omitempty"`  // processes in which that was so
	Refused []Refusal `json:"refused,omitempty"`
	Left    []string  `json:"left,omitempty"` // epochs
	Seen    []Version `json:"seen,omitempty"` // that a number stands for one content
}

// Settings are a machine's.
type Settings struct {
	Trial bool            // what is applied is on trial until Judged
	Gap   monotime.Micros // from one check to the next, at least
	Seed  uint64
}

// What a machine remembers at most.
const (
	refusedMost = 64
	seenMost    = 256
	leftMost    = 32
)

// triesMost is in how many processes a version is tried that ended while they tried it: one may have been killed for another
// reason, and two are a sign.
const triesMost = 2

// backMost is how often going back is tried, in pauses that double from Gap on.
const backMost = 5

// saveAgain is the first pause before what could not be written down is written again.
const saveAgain monotime.Micros = 1_000_000

// Action is what a host is to do.
type Action uint8

// The actions. Those with a result are answered by the event of that name, once.
const (
	Check   Action = iota // whether Version makes sense in Pair, and can be applied: Checked
	Apply                 // Pair: Applied. From is what runs until then
	Try                   // begin a trial of Pair, which is applied: Judged
	EndTry                // of the trial nothing more is wanted
	Back                  // apply Pair, which ran before: WentBack
	Save                  // write Kept down: Saved
	Ack                   // tell the service that Version is applied (Final: and confirmed)
	Nack                  // tell the service that Version is refused, for a Reason
	Dropped               // Version was overtaken by a newer one before it was looked at; nothing is owed for it
)

var actions = [...]string{"check", "apply", "try", "end-try", "back", "save", "ack", "nack", "dropped"}

func (a Action) String() string { return actions[a] }

// Step is one action.
type Step struct {
	Action  Action
	Version Version
	Pair    Pair
	From    Pair
	Final   bool
	Reason  string
}

// Phase is where a machine is.
type Phase uint8

// The phases.
const (
	Idle Phase = iota
	Checking
	Applying
	OnTrial
	GoingBack
)

var phases = [...]string{"idle", "checking", "applying", "on trial", "going back"}

func (p Phase) String() string { return phases[p] }

// Machine is the state of one instance. Make one with New.
type Machine struct {
	s   Settings
	rng *rand.Rand

	phase   Phase
	running Pair     // what is applied
	open    *Version // the part of it that is not confirmed, nil where all is
	leave   bool     // that part was found worse: it is to be gone back from
	work    *Version // checking or applying
	wait    [2]*Version
	held    bool
	kept    Kept

	next    monotime.Micros // no check before
	backs   int             // how often going back was tried
	backAt  monotime.Micros // when it is tried next; 0 is under way
	saving  bool
	dirty   bool // something is to be written down once Save has ended
	saves   int  // that failed in a row
	saveAt  monotime.Micros
	unsaved string // why what is known is not written down; "" is that it is
}

// New returns a machine for a process that starts with a pair, as it was confirmed before, or as the local file has it.
func New(s Settings, running Pair, kept Kept) *Machine {
	m := &Machine{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0x76)), running: running, kept: kept}
	if m.kept.Good == nil {
		m.kept.Good = &running
	}
	return m
}

// Adopt returns a machine for a process that took over from one in the midst of applying a version, and runs it. from is what
// ran until then.
func Adopt(now monotime.Micros, s Settings, from Pair, work Version, kept Kept) (*Machine, []Step) {
	m := New(s, from, kept)
	m.phase, m.work, m.next = Applying, &work, now+s.Gap
	return m, m.Applied(now, "")
}

// Set changes the settings; Seed stays as it was. A trial that is under way goes on.
func (m *Machine) Set(s Settings) {
	s.Seed = m.s.Seed
	m.s = s
}

// Spared says that the process before this one did not end by what it tried: it handed over.
func (m *Machine) Spared() {
	if m.kept.Tries > 0 {
		m.kept.Tries--
	}
}

// Running returns what is applied, and whether it is on trial.
func (m *Machine) Running() (p Pair, trial bool) { return m.running, m.phase == OnTrial }

// Phase returns where the machine is, and the version that it is about, nil while idle.
func (m *Machine) Phase() (Phase, *Version) {
	if m.work != nil {
		return m.phase, m.work
	}
	return m.phase, m.open
}

// Waiting returns the version of a source that waits, nil if none does.
func (m *Machine) Waiting(s Source) *Version { return m.wait[s] }

// Kept returns what is to be written down. It is the machine's: to be read before the next event only.
func (m *Machine) Kept() *Kept { return &m.kept }

// Unsaved says why what is known could not be written down, "" if it was.
func (m *Machine) Unsaved() string { return m.unsaved }

// Deadline returns the instant at which Wake is due, 0 for none.
func (m *Machine) Deadline() (at monotime.Micros) {
	earlier := func(t monotime.Micros) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	if m.idle() && (m.wait[Service] != nil || m.wait[File] != nil) {
		earlier(m.next)
	}
	if m.phase == GoingBack && !m.held {
		earlier(m.backAt)
	}
	if !m.saving {
		earlier(m.saveAt)
	}
	return at
}

// idle says whether a version that waits may be begun with.
func (m *Machine) idle() bool {
	if m.held {
		return false
	}
	switch m.phase {
	case Idle:
		return true
	case GoingBack:
		return m.backAt > 0
	case OnTrial: // what is to end the trial
		return m.wait[File] != nil || m.wait[Service] != nil && m.wait[Service].Rollback
	}
	return false
}

// Offer takes a version in that a source offers.
func (m *Machine) Offer(now monotime.Micros, v Version) (out []Step) {
	reason, ack := m.known(v)
	switch {
	case reason != "":
		return []Step{{Action: Nack, Version: v, Reason: reason}}
	case ack && !m.changing(): // else it waits, and may not run any more when it is looked at again
		return []Step{{Action: Ack, Version: v, Final: m.open == nil}}
	}
	if m.work != nil && m.work.ID == v.ID {
		return nil // it is at work, and will be answered
	}
	if old := m.wait[v.Source]; old != nil {
		if old.ID == v.ID {
			return nil
		}
		out = append(out, Step{Action: Dropped, Version: *old})
	}
	m.see(v)
	m.wait[v.Source] = &v
	return append(out, m.begin(now)...)
}

// changing says whether another version may run before long.
func (m *Machine) changing() bool {
	return m.phase == Checking || m.phase == Applying || m.phase == GoingBack
}

// Reject tells of a version of which it is known already that it makes no sense: its content could not be read.
func (m *Machine) Reject(v Version, reason string) []Step {
	m.see(v)
	return m.refuse(v, reason, false)
}

// known says why a version is refused unseen, or that it runs already.
func (m *Machine) known(v Version) (reason string, ack bool) {
	running := m.running.of(v.Source)
	if v.Source == File { // what is in it now is what counts, however often it was read before
		return "", v.Digest == running.Digest
	}
	if at := m.seen(v.ID); at != nil && at.Digest != v.Digest {
		return fmt.Sprintf("version %v came with another content before", v.ID), false
	}
	for i := range m.kept.Refused {
		if r := &m.kept.Refused[i]; r.ID == v.ID && r.Digest == v.Digest {
			return r.Reason, false
		}
	}
	if running != nil && running.ID == v.ID {
		return "", true
	}
	if v.Rollback {
		return "", false
	}
	if slices.Contains(m.kept.Left, v.Epoch) {
		return fmt.Sprintf("version %v: epoch %q was left for a newer one", v.ID, v.Epoch), false
	}
	for _, other := range []*Version{m.wait[Service], m.work, running} {
		if other != nil && other.Source == Service && other.Epoch == v.Epoch && v.Number < other.Number {
			return fmt.Sprintf("version %v is older than %v", v.ID, other.ID), false
		}
	}
	return "", false
}

func (m *Machine) seen(id ID) *Version {
	for i := range m.kept.Seen {
		if m.kept.Seen[i].ID == id {
			return &m.kept.Seen[i]
		}
	}
	return nil
}

func (m *Machine) see(v Version) {
	if v.Source == File || m.seen(v.ID) != nil {
		return
	}
	m.kept.Seen = append(m.kept.Seen, v)
	if len(m.kept.Seen) > seenMost {
		m.kept.Seen = slices.Delete(m.kept.Seen, 0, 1)
	}
}

// begin begins with what waits, if it may: what the service wants gone back to first, then the file, then the service.
func (m *Machine) begin(now monotime.Micros) (out []Step) {
	if !m.idle() || now < m.next {
		return nil
	}
	from := Service
	if w := m.wait[Service]; w == nil || m.wait[File] != nil && !w.Rollback {
		from = File
	}
	v := m.wait[from]
	if v == nil {
		return nil
	}
	m.wait[from] = nil
	// What ran as it came may have changed.
	if reason, ack := m.known(*v); reason != "" {
		return append([]Step{{Action: Nack, Version: *v, Reason: reason}}, m.begin(now)...)
	} else if ack && !m.leave {
		return append([]Step{{Action: Ack, Version: *v, Final: m.open == nil}}, m.begin(now)...)
	}
	if m.phase == OnTrial {
		out = append(out, Step{Action: EndTry})
	}
	m.phase, m.work, m.backAt = Checking, v, 0
	m.next = now + m.s.Gap
	return append(out, Step{Action: Check, Version: *v, Pair: m.running.with(*v)})
}

// rest goes on with what was under way before a version came to nothing.
func (m *Machine) rest(now monotime.Micros) (out []Step) {
	m.work = nil
	switch {
	case m.leave:
		m.phase, m.backAt = GoingBack, now+m.pause()
	case m.open != nil: // its trial begins anew: what was seen of it was broken off
		m.phase = OnTrial
		out = append(out, Step{Action: Try, Version: *m.open, Pair: m.running})
	default:
		m.phase = Idle
	}
	return append(out, m.begin(now)...)
}

// pause is how long is waited before going back is tried again.
func (m *Machine) pause() monotime.Micros { return max(m.s.Gap, saveAgain) << max(0, m.backs-1) }

// Checked tells what came of Check: a reason is that the version is refused.
func (m *Machine) Checked(now monotime.Micros, reason string) (out []Step) {
	if m.phase != Checking {
		return nil
	}
	v := *m.work
	tried := false
	if at := m.kept.Trying; reason == "" && at != nil && at.ID == v.ID && m.kept.Tries >= triesMost {
		reason, tried = fmt.Sprintf("%d processes ended while they tried version %v", triesMost, v.ID), true
		m.kept.Trying, m.kept.Tries = nil, 0
	}
	if reason != "" {
		out = m.refuse(v, reason, tried)
		return append(out, m.rest(now)...)
	}
	m.phase = Applying
	// What is tried is written down first: should the process end by it, the next one knows.
	m.trying(&v)
	out = m.save()
	return append(out, Step{Action: Apply, Version: v, Pair: m.running.with(v), From: m.running})
}

// trying notes what is tried, nil for nothing.
func (m *Machine) trying(v *Version) {
	switch {
	case v == nil:
		m.kept.Trying, m.kept.Tries = nil, 0
	case m.kept.Trying != nil && m.kept.Trying.ID == v.ID:
		m.kept.Tries++
	default:
		m.kept.Trying, m.kept.Tries = v, 1
	}
}

// Applied tells what came of Apply: with a reason nothing has changed.
func (m *Machine) Applied(now monotime.Micros, reason string) (out []Step) {
	if m.phase != Applying {
		return nil
	}
	v := *m.work
	if reason != "" {
		m.kept.Trying, m.kept.Tries = nil, 0
		if m.open != nil && !m.leave {
			m.trying(m.open)
		}
		out = m.refuse(v, reason, false)
		return append(out, m.rest(now)...)
	}
	if v.Source == Service {
		// An epoch that is applied is not one that was left, and the one before it is.
		if was := m.running.Service; was != nil && was.Epoch != v.Epoch {
			m.kept.Left = append(m.kept.Left, was.Epoch)
		}
		m.kept.Left = slices.DeleteFunc(m.kept.Left, func(e string) bool { return e == v.Epoch })
		if len(m.kept.Left) > leftMost {
			m.kept.Left = slices.Delete(m.kept.Left, 0, 1)
		}
	} else {
		// What did not fit the file before may fit it now.
		m.kept.Refused = slices.DeleteFunc(m.kept.Refused, func(r Refusal) bool { return !r.Tried })
	}
	m.running = m.running.with(v)
	m.open, m.leave, m.work, m.backs = &v, false, nil, 0
	if !m.s.Trial {
		return append(out, m.confirm(now)...)
	}
	m.phase = OnTrial
	out = append(out, Step{Action: Ack, Version: v}, Step{Action: Try, Version: v, Pair: m.running})
	return append(out, m.begin(now)...)
}

// confirm takes what runs as good.
func (m *Machine) confirm(now monotime.Micros) []Step {
	v := *m.open
	m.phase, m.open = Idle, nil
	if !m.running.same(*m.kept.Good) {
		m.kept.Before = m.kept.Good
	}
	good := m.running
	m.kept.Good = &good
	m.trying(nil)
	out := append(m.save(), Step{Action: Ack, Version: v, Final: true})
	return append(out, m.begin(now)...)
}

// Judged tells what came of a trial: a reason is that the version does worse than what ran before.
func (m *Machine) Judged(now monotime.Micros, reason string) (out []Step) {
	if m.phase != OnTrial {
		return nil
	}
	if reason == "" {
		return m.confirm(now)
	}
	m.phase, m.leave, m.backs, m.backAt = GoingBack, true, 1, 0
	m.trying(nil)
	out = m.refuse(*m.open, reason, true)
	return append(out, Step{Action: Back, Version: *m.open, Pair: *m.kept.Good, From: m.running})
}

// WentBack tells what came of Back: with a reason what was refused still runs.
func (m *Machine) WentBack(now monotime.Micros, reason string) (out []Step) {
	if m.phase != GoingBack || m.backAt > 0 {
		return nil
	}
	switch {
	case reason == "":
		m.running = *m.kept.Good
		m.phase, m.open, m.leave, m.backs = Idle, nil, false, 0
	case m.backs >= backMost:
		// There is no going back. What runs goes on, refused as it is, until another version comes.
		m.phase, m.open, m.leave, m.backs = Idle, nil, false, 0
	default:
		m.backAt = now + m.pause()
	}
	return append(out, m.begin(now)...)
}

// refuse turns a version down.
func (m *Machine) refuse(v Version, reason string, tried bool) []Step {
	m.kept.Refused = slices.DeleteFunc(m.kept.Refused, func(r Refusal) bool { return r.ID == v.ID })
	m.kept.Refused = append(m.kept.Refused, Refusal{v, reason, tried})
	if len(m.kept.Refused) > refusedMost {
		m.kept.Refused = slices.Delete(m.kept.Refused, 0, 1)
	}
	return append(m.save(), Step{Action: Nack, Version: v, Reason: reason})
}

// Hold keeps new versions waiting, or ends that: while the process hands over or ends, nothing is begun.
func (m *Machine) Hold(now monotime.Micros, yes bool) []Step {
	m.held = yes
	return m.begin(now)
}

// save writes down what is known, now or once the last writing has ended.
func (m *Machine) save() []Step {
	if m.saving {
		m.dirty = true
		return nil
	}
	m.saving, m.dirty, m.saveAt = true, false, 0
	return []Step{{Action: Save}}
}

// Saved tells what came of Save: a reason is that it is not written down. It is tried again, and nothing waits for it.
func (m *Machine) Saved(now monotime.Micros, reason string) []Step {
	if !m.saving {
		return nil
	}
	m.saving, m.unsaved = false, reason
	if reason != "" {
		m.saves++
		wait := saveAgain << min(m.saves-1, 6)
		m.saveAt = now + wait/2 + m.rng.Int64N(wait)
		return nil
	}
	m.saves, m.saveAt = 0, 0
	if m.dirty {
		return m.save()
	}
	return nil
}

// Wake is due at Deadline.
func (m *Machine) Wake(now monotime.Micros) (out []Step) {
	if !m.saving && m.saveAt > 0 && now >= m.saveAt {
		out = m.save()
	}
	// A version that waits may be the way out, and goes first.
	out = append(out, m.begin(now)...)
	if m.phase == GoingBack && !m.held && m.backAt > 0 && now >= m.backAt {
		m.backAt = 0
		m.backs++
		out = append(out, Step{Action: Back, Version: *m.open, Pair: *m.kept.Good, From: m.running})
	}
	return out
}
