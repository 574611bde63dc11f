// Package consensus has instances settle among themselves the order in which machines are taken out (package decide/work): a few of them, the
// voters, keep its log by consensus (go.etcd.io/raft), and all report to whoever leads how far they obey, and are told the order. It decides
// nothing by itself: it is a state machine for one caller at a time, as raft's own is, with time passed in, and does no I/O but by the
// Disk that it is given. It may not know sockets, engines or the operators' calls.
//
// An order that an instance is told holds for a lease from when it asked, so who tells it must lead then. That is made sure of
// for each round of questions by a round to a majority (raft's read index): one that was cut off and does not know that another leads tells nothing.
package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are the same for all instances of a fleet, but for Self.
type Settings struct {
	Self   string
	Voters []string // names, an odd number of them
	Work   maintenance.Settings
	Turn   monotime.Micros // of raft's clock: a leader is missed after ten to twenty
}

// Disk keeps a voter's log. What it has said to be saved must be there after any end of the process.
type Disk interface {
	// Load returns what was kept; blank is that nothing ever was.
	Load() (k Kept, blank bool, err error)
	// Save keeps what is new, all of it or nothing, and returns once it is kept.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
}

// Kept is what a Disk has.
type Kept struct {
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// Word is what instances tell one another; one of its parts is set.
type Word struct {
	Raft    []byte                 `json:"Raft"`    // to a voter from a voter
	Blank   bool                   `json:"Blank"`   // a voter's: nothing was ever kept by it
	Report  *maintenance.Report    `json:"Report"`  // to who leads, or to any voter
	Told    *maintenance.PlanGrant `json:"Told"`    // its answer,
	Leader  string                 `json:"Leader"`  // or who leads, as far as is known
	Command *Command               `json:"Command"` // of an operator, to who leads
	Reply   *Reply                 `json:"Reply"`   // its answer
}

// Command is what an operator says, with a number of its own.
type Command struct {
	Number uint64              `json:"Number"`
	Look   bool                `json:"Look"` // at how all stands, in place of an order
	Order  maintenance.Command `json:"Order"`
}

// Reply answers a Command.
type Reply struct {
	Number uint64 `json:"Number"`
	Answer string `json:"Answer"`
	Error  string `json:"Error"`
	View   *View  `json:"View"`
}

// Out is a word that is to be told.
type Out struct {
	To   string
	Word Word
}

// View is the order as who leads has it, for people.
type View struct {
	Leader    string                 `json:"Leader"`
	Now       monotime.Micros        `json:"Now"`
	Held      bool                   `json:"Held"`
	Jobs      []maintenance.Request  `json:"Jobs"`
	Items     []maintenance.Machine  `json:"Items"`
	Instances []maintenance.Instance `json:"Instances"`
	Events    []maintenance.Event    `json:"Events"`
	Silent    []maintenance.Instance `json:"Silent"` // not heard for long: they keep machines from being known as ahead
}

// Node is one instance. Make one with New.
type Node struct {
	s      Settings
	disk   Disk
	duty   *maintenance.Follower
	out    []Out
	own    []Word                         // to this instance itself
	facts  func() maintenance.FleetStatus // as this instance sees them; nil sees nothing
	open   func(machine string) int
	leader string // as far as is known
	askAt  monotime.Micros
	asked  int // reports since one was answered

	// Of a voter.
	id      uint64
	raw     *raft.RawNode // nil while it keeps no log
	storage *raft.MemoryStorage
	turnAt  monotime.Micros
	blank   bool            // it has no log: the fleet has none yet, or this voter has lost its own
	blanks  map[string]bool // voters that have none either
	founded bool            // in this life
	met     map[string]bool // voters that have said something of the log since
	failed  error
	applied uint64
	state   *maintenance.State
	snapped uint64
	told    uint64 // version that was logged last

	// Of who leads.
	watch   *maintenance.Coordinator
	term    uint64          // in which watch began
	base    monotime.Micros // the state's clock as it began,
	baseAt  monotime.Micros // and when
	reads   uint64
	reading []question // whose read index is under way
	waiting []question // that wait for the next
	pending map[string]monotime.Micros
	origins map[uint64]origin
	why     map[string]string
	factsAt monotime.Micros
	beatAt  monotime.Micros

	replies map[uint64]Reply // to this instance's own commands
	numbers uint64
}

type question struct {
	from   string
	report maintenance.Report
	number uint64 // of the read that it waits for
}

type origin struct {
	from   string
	number uint64
}

// entry is what the log has.
type entry struct {
	ID    uint64              `json:"ID"` // of the proposal
	Order maintenance.Command `json:"Order"`
}

const (
	compactEvery = 500 // entries from one snapshot to the next
	pendingFor   = second
	factsEvery   = second / 2
	beatEvery    = second
)

// New returns an instance. disk is nil for one that is no voter. That a disk does not hold what can be gone on from is an error that is returned
// beside the instance: it obeys and reports, and has no vote.
func New(now monotime.Micros, s Settings, life uint64, disk Disk) (*Node, error) {
	duty, err := maintenance.NewFollower(s.Work, life)
	if err != nil {
		return nil, err
	}
	n := &Node{s: s, disk: disk, duty: duty, open: func(string) int { return 0 }, askAt: now, turnAt: now, blanks: map[string]bool{}, met: map[string]bool{}, pending: map[string]monotime.Micros{},
		origins: map[uint64]origin{}, replies: map[uint64]Reply{}, numbers: life<<20 | 1}
	if n.state, err = maintenance.NewState(s.Work); err != nil {
		return nil, err
	}
	if at := slices.Index(s.Voters, s.Self); at >= 0 && disk != nil {
		n.id = uint64(at + 1)
		kept, blank, err := disk.Load()
		if err != nil {
			n.failed = err
			return n, fmt.Errorf("the order's log cannot be gone on from; this instance has no vote: %w", err)
		}
		if blank {
			n.blank = true
			return n, nil
		}
		return n, n.begin(kept)
	}
	return n, nil
}

// Sees says what tells how machines stand, and what is open at one.
func (n *Node) Sees(facts func() maintenance.FleetStatus, open func(machine string) int) {
	n.facts, n.open = facts, open
}

// Duty is what this instance obeys.
func (n *Node) Duty() *maintenance.Follower { return n.duty }

// Failed returns why this voter keeps no log any more; nil is that it does, or is none.
func (n *Node) Failed() error { return n.failed }

// Leads says whether this instance leads, as far as it knows.
func (n *Node) Leads() bool { return n.raw != nil && n.raw.BasicStatus().RaftState == raft.StateLeader }

// State is the order as far as this voter has applied it.
func (n *Node) State() *maintenance.State { return n.state }

// begin goes on from what was kept.
func (n *Node) begin(k Kept) (err error) {
	defer func() {
		if p := recover(); p != nil { // as guard has it
			err = n.fail(fmt.Errorf("the order's log makes no sense: %v", p))
		}
	}()
	n.storage = raft.NewMemoryStorage()
	if k.Snapshot != nil && k.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := n.storage.ApplySnapshot(k.Snapshot); err != nil {
			return n.fail(err)
		}
		if err := n.restore(k.Snapshot); err != nil {
			return n.fail(err)
		}
	}
	if k.Hard != nil {
		if err := n.storage.SetHardState(k.Hard); err != nil {
			return n.fail(err)
		}
	}
	if err := n.storage.Append(k.Entries); err != nil {
		return n.fail(err)
	}
	turns := 10
	raw, err := raft.NewRawNode(&raft.Config{ID: n.id, ElectionTick: turns, HeartbeatTick: 2, Storage: n.storage, Applied: n.applied, MaxSizePerMsg: 256 << 10,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		return n.fail(err)
	}
	n.raw = raw
	return nil
}

func (n *Node) fail(err error) error {
	n.failed, n.raw, n.watch = err, nil, nil
	return err
}

// found begins the log, once all voters have said that they have none.
func (n *Node) found() {
	voters := &raftpb.ConfState{}
	for i := range n.s.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	text, err := json.Marshal(n.state)
	if err != nil {
		panic(err) // of our own state
	}
	snapshot := &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: voters, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := n.disk.Save(hard, nil, snapshot); err != nil {
		n.fail(err)
		return
	}
	n.blank, n.founded = false, true
	n.begin(Kept{Hard: hard, Snapshot: snapshot})
}

// ---- Time ------------------------------------------------------------------

// Next is when Tick has something to do.
func (n *Node) Next() monotime.Micros { return min(n.askAt, n.turnAt) }

// Out returns what is to be told since it was called last.
func (n *Node) Out() []Out {
	out := n.out
	n.out = nil
	return out
}

// guard has raft's own word that its log makes no sense, which it says by a panic, be the end of this voter's part and not of the process:
// a log that was put back from an older copy is such a one.
func (n *Node) guard() {
	if p := recover(); p != nil {
		n.fail(fmt.Errorf("the order's log makes no sense: %v", p))
	}
}

// Tick does what is due.
func (n *Node) Tick(now monotime.Micros) {
	defer n.guard()
	for n.turnAt <= now {
		n.turnAt += n.s.Turn
		if now-n.turnAt > 20*n.s.Turn {
			n.turnAt = now + n.s.Turn // it was stopped: what it missed is not made up for
		}
		switch {
		case n.blank:
			n.say(Word{Blank: true})
		case n.raw != nil:
			n.raw.Tick()
		}
	}
	n.settle(now)
	if now >= n.askAt {
		n.report(now)
		n.settle(now)
	}
}

// settle carries out what has become due, also what this instance has to tell itself.
func (n *Node) settle(now monotime.Micros) {
	n.lead(now)
	n.ready(now)
	for len(n.own) > 0 {
		w := n.own[0]
		n.own = n.own[1:]
		n.take(now, n.s.Self, w)
		n.lead(now)
		n.ready(now)
	}
}

// say tells all other voters.
func (n *Node) say(w Word) {
	for _, name := range n.s.Voters {
		if name != n.s.Self {
			n.out = append(n.out, Out{name, w})
		}
	}
}

// report reports to who leads, or to all voters where that is not known.
func (n *Node) report(now monotime.Micros) {
	n.askAt = now + n.s.Work.LeaseDuration/4
	if n.asked++; n.asked > 3 {
		n.leader = ""
	}
	if l := n.knows(); l != "" {
		n.leader = l
	}
	r := n.duty.NextReport(now, n.open)
	if n.Leads() {
		n.own = append(n.own, Word{Report: &r})
		return
	}
	for _, name := range n.s.Voters {
		if name != n.s.Self && (n.leader == "" || n.leader == name) {
			n.out = append(n.out, Out{name, Word{Report: &r}})
		}
	}
}

// tell sends a word, also to itself.
func (n *Node) tell(now monotime.Micros, to string, w Word) {
	if to == n.s.Self {
		n.own = append(n.own, w)
		return
	}
	n.out = append(n.out, Out{to, w})
}

// Hear takes another's word in.
func (n *Node) Hear(now monotime.Micros, from string, w Word) {
	defer n.guard()
	n.take(now, from, w)
	n.settle(now)
}

func (n *Node) take(now monotime.Micros, from string, w Word) {
	switch {
	case w.Raft != nil:
		n.step(from, w.Raft)
	case w.Blank:
		switch {
		case n.blank:
			n.blanks[from] = true
			if len(n.blanks) == len(n.s.Voters)-1 {
				n.found()
			}
		case n.founded && !n.met[from]:
			// It has not heard that this one was blank, too. Of one that has taken part since, some voter knows.
			n.tell(now, from, Word{Blank: true})
		}
	case w.Report != nil:
		if !n.Leads() {
			if l := n.knows(); l != "" && l != n.s.Self {
				n.tell(now, from, Word{Leader: l})
			}
			return
		}
		if n.watch != nil && n.watch.RecordReport(now, from, *w.Report) {
			n.waiting = append(n.waiting, question{from: from, report: *w.Report})
		}
	case w.Told != nil:
		n.duty.Apply(now, *w.Told)
		n.leader, n.asked = from, 0
	case w.Leader != "":
		if n.leader != w.Leader {
			n.leader, n.askAt = w.Leader, now
		}
	case w.Command != nil:
		n.command(now, from, *w.Command)
	case w.Reply != nil:
		n.replies[w.Reply.Number] = *w.Reply
	}
}

// knows returns who leads, as far as this voter knows.
func (n *Node) knows() string {
	if n.raw == nil {
		return ""
	}
	if l := n.raw.BasicStatus().Lead; l > 0 && int(l) <= len(n.s.Voters) {
		return n.s.Voters[l-1]
	}
	return ""
}

// step hands a message to raft. A voter that has lost its log takes no part: what it voted for and what it said to have kept is not known.
func (n *Node) step(from string, text []byte) {
	var m raftpb.Message
	if proto.Unmarshal(text, &m) != nil || int(m.GetFrom()) != slices.Index(n.s.Voters, from)+1 || m.GetFrom() == 0 || m.GetTo() != n.id || n.raw == nil {
		return
	}
	n.met[from] = true
	n.raw.Step(&m) // what it makes nothing of is a message of before
}

// Blank says whether this voter has no log, while others do: its disk was lost, and it has no vote.
func (n *Node) Blank() bool { return n.blank }

// ---- The log ---------------------------------------------------------------

// ready carries out what raft asks for: what is new is kept before anybody hears of it.
func (n *Node) ready(now monotime.Micros) {
	for n.raw != nil && n.raw.HasReady() {
		rd := n.raw.Ready()
		if err := n.disk.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			n.fail(err)
			return
		}
		if rd.Snapshot.GetMetadata().GetIndex() > 0 {
			n.storage.ApplySnapshot(rd.Snapshot)
			if err := n.restore(rd.Snapshot); err != nil {
				n.fail(err)
				return
			}
		}
		if rd.HardState != nil {
			n.storage.SetHardState(rd.HardState)
		}
		n.storage.Append(rd.Entries)
		for _, m := range rd.Messages {
			text, err := proto.Marshal(m)
			if err != nil || m.GetTo() == 0 || int(m.GetTo()) > len(n.s.Voters) {
				continue
			}
			n.out = append(n.out, Out{n.s.Voters[m.GetTo()-1], Word{Raft: text}})
			if m.GetType() == raftpb.MsgSnap {
				n.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost is sent again
			}
		}
		for _, e := range rd.CommittedEntries {
			n.apply(now, e)
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == 8 {
				n.read(now, binary.BigEndian.Uint64(s.RequestCtx), s.Index)
			}
		}
		n.raw.Advance(rd)
		n.compact()
	}
}

func (n *Node) apply(now monotime.Micros, e *raftpb.Entry) {
	if e.GetIndex() <= n.applied {
		return
	}
	n.applied = e.GetIndex()
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var x entry
	if json.Unmarshal(e.GetData(), &x) != nil {
		return // all pass it over alike
	}
	answer, err := n.state.Apply(x.Order)
	if o, ok := n.origins[x.ID]; ok {
		delete(n.origins, x.ID)
		r := Reply{Number: o.number, Answer: answer}
		if err != nil {
			r.Error = err.Error()
		}
		n.tell(now, o.from, Word{Reply: &r})
	}
}

func (n *Node) restore(s *raftpb.Snapshot) error {
	n.applied, n.snapped = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	if len(s.GetData()) == 0 {
		return nil
	}
	fresh, err := maintenance.NewState(n.s.Work)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(s.GetData(), fresh); err != nil {
		return fmt.Errorf("the order's snapshot: %w", err)
	}
	fresh.UseSettings(n.s.Work)
	n.state = fresh
	return nil
}

// compact makes a snapshot once the log is long.
func (n *Node) compact() {
	if n.applied-n.snapped < compactEvery {
		return
	}
	text, err := json.Marshal(n.state)
	if err != nil {
		return
	}
	voters := &raftpb.ConfState{}
	for i := range n.s.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	s, err := n.storage.CreateSnapshot(n.applied, voters, text)
	if err != nil {
		return
	}
	if err := n.disk.Save(nil, nil, s); err != nil {
		n.fail(err)
		return
	}
	n.snapped = n.applied
	if n.applied > compactEvery/2 {
		n.storage.Compact(n.applied - compactEvery/2) // followers that are a little behind need no snapshot
	}
}

// ---- Leading ---------------------------------------------------------------

// clock is the state's, by who leads.
func (n *Node) clock(now monotime.Micros) monotime.Micros {
	return max(n.state.Now, n.base+now-n.baseAt)
}

func (n *Node) propose(order maintenance.Command, now monotime.Micros, o *origin) {
	order.Time = n.clock(now)
	n.numbers++
	text, err := json.Marshal(entry{n.numbers, order})
	if err != nil {
		panic(err) // of our own words
	}
	if n.raw.Propose(text) != nil {
		return // it leads no more
	}
	if o != nil {
		n.origins[n.numbers] = *o
	}
}

// once proposes what may be under way already, once in a while.
func (n *Node) once(key string, now monotime.Micros, order maintenance.Command) {
	if now < n.pending[key] {
		return
	}
	n.pending[key] = now + pendingFor
	n.propose(order, now, nil)
}

// lead does what falls to who leads.
func (n *Node) lead(now monotime.Micros) {
	if !n.Leads() {
		n.watch, n.reading, n.waiting = nil, nil, nil
		clear(n.origins)
		return
	}
	status := n.raw.BasicStatus()
	if n.watch == nil || n.term != status.GetTerm() {
		if at, err := n.storage.Term(n.applied); err != nil || at != status.GetTerm() {
			return // what was settled before it leads is not all applied
		}
		n.watch, n.term, n.base, n.baseAt = maintenance.NewCoordinator(now, n.s.Work), status.GetTerm(), n.state.Now, now
		n.reading, n.waiting = nil, nil
		clear(n.pending)
	}
	var known, free []string
	known, free, n.why = n.watch.Progress(now, n.state)
	for _, name := range known {
		n.once("known/"+name, now, maintenance.Command{Acknowledged: []string{name}})
	}
	for _, name := range free {
		n.once("free/"+name, now, maintenance.Command{Drained: []string{name}})
	}
	if n.facts != nil && now >= n.factsAt {
		n.factsAt = now + factsEvery
		if f := n.facts(); fmt.Sprint(f) != fmt.Sprint(n.state.Fleet) {
			n.once("facts", now, maintenance.Command{FleetStatus: &f})
		}
	}
	if now >= n.beatAt && len(n.state.Machines) > 0 {
		n.beatAt = now + beatEvery
		n.propose(maintenance.Command{}, now, nil) // time goes on
	}
	if len(n.reading) == 0 && len(n.waiting) > 0 {
		n.reads++
		n.reading, n.waiting = n.waiting, nil
		n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.reads))
		n.pending["read"] = now + n.s.Work.LeaseDuration/8
	} else if len(n.reading) > 0 && now >= n.pending["read"] {
		n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.reads)) // words get lost
		n.pending["read"] = now + n.s.Work.LeaseDuration/8
	}
}

// read answers the questions of a round: this instance has led since they came.
func (n *Node) read(now monotime.Micros, number, index uint64) {
	if number != n.reads || n.watch == nil || n.applied < index {
		return
	}
	questions := n.reading
	n.reading = nil
	order := n.state.Plan()
	for _, q := range questions {
		if n.state.Instances[q.from] != q.report.Incarnation {
			// It is told nothing before all who may lead know that it is there.
			n.once("join/"+q.from, now, maintenance.Command{Join: &maintenance.Instance{Name: q.from, Incarnation: q.report.Incarnation}})
			continue
		}
		t := n.watch.Grant(now, q.from, q.report, order)
		n.tell(now, q.from, Word{Told: &t})
	}
}

// ---- Operators -------------------------------------------------------------

// silentAfter is after how many leases without a word an instance is told of to operators.
const silentAfter = 4

// command takes an operator's word in, at who leads; another voter says who does.
func (n *Node) command(now monotime.Micros, from string, c Command) {
	switch {
	case !n.Leads() || n.watch == nil:
		if l := n.knows(); l != "" && l != n.s.Self {
			n.tell(now, from, Word{Leader: l})
		}
	case c.Look:
		v := n.view(now)
		n.tell(now, from, Word{Reply: &Reply{Number: c.Number, View: v}})
	default:
		n.propose(c.Order, now, &origin{from, c.Number})
	}
}

func (n *Node) view(now monotime.Micros) *View {
	x := n.state
	v := &View{Leader: n.s.Self, Now: n.clock(now), Held: x.OnHold, Events: slices.Clone(x.Events), Silent: n.watch.SilentInstances(now, x, silentAfter*n.s.Work.LeaseDuration)}
	for _, j := range x.Requests {
		v.Jobs = append(v.Jobs, *j)
	}
	for _, i := range x.Machines {
		i := *i
		if w := n.why[i.Name]; w != "" {
			i.WaitReason = w
		}
		v.Items = append(v.Items, i)
	}
	for name, life := range x.Instances {
		v.Instances = append(v.Instances, maintenance.Instance{Name: name, Incarnation: life})
	}
	slices.SortFunc(v.Jobs, func(a, b maintenance.Request) int { return int(a.RequestedAt - b.RequestedAt) })
	slices.SortFunc(v.Items, func(a, b maintenance.Machine) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	slices.SortFunc(v.Instances, func(a, b maintenance.Instance) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	return v
}

// Say says something for an operator, and returns the number by which Answer has the answer. Nobody may lead just then: whoever asks says it
// again, and a job that is asked for twice is asked for once.
func (n *Node) Say(now monotime.Micros, order maintenance.Command) (number uint64) {
	return n.put(now, Command{Order: order})
}

// Look asks how all stands; the answer is got as that of Say.
func (n *Node) Look(now monotime.Micros) (number uint64) { return n.put(now, Command{Look: true}) }

func (n *Node) put(now monotime.Micros, c Command) (number uint64) {
	defer n.guard()
	n.numbers++
	c.Number = n.numbers
	number = n.numbers
	w := Word{Command: &c}
	switch {
	case n.Leads():
		n.own = append(n.own, w)
		n.settle(now)
	case n.leader != "":
		n.out = append(n.out, Out{n.leader, w})
	default:
		n.say(w)
	}
	return number
}

// Answer returns the answer to what was said by a number, once.
func (n *Node) Answer(number uint64) (r Reply, ok bool) {
	r, ok = n.replies[number]
	delete(n.replies, number)
	return r, ok
}
