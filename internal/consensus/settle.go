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
	Self         string
	Voters       []string // names, an odd number of them
	Maintenance  maintenance.Settings
	TickInterval monotime.Micros // of raft's clock: a leader is missed after ten to twenty
}

// Disk keeps a voter's log. What it has said to be saved must be there after any end of the process.
type LogStore interface {
	// Load returns what was kept; blank is that nothing ever was.
	Load() (k StoredLog, blank bool, err error)
	// Save keeps what is new, all of it or nothing, and returns once it is kept.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
}

// Kept is what a Disk has.
type StoredLog struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Word is what instances tell one another; one of its parts is set.
type Message struct {
	Raft            []byte                 `json:"Raft"`    // to a voter from a voter
	NoLog           bool                   `json:"Blank"`   // a voter's: nothing was ever kept by it
	Report          *maintenance.Report    `json:"Report"`  // to who leads, or to any voter
	Grant           *maintenance.PlanGrant `json:"Told"`    // its answer,
	Leader          string                 `json:"Leader"`  // or who leads, as far as is known
	OperatorRequest *OperatorRequest       `json:"Command"` // of an operator, to who leads
	OperatorReply   *OperatorReply         `json:"Reply"`   // its answer
}

// Command is what an operator says, with a number of its own.
type OperatorRequest struct {
	Number  uint64              `json:"Number"`
	View    bool                `json:"Look"` // at how all stands, in place of an order
	Command maintenance.Command `json:"Order"`
}

// Reply answers a Command.
type OperatorReply struct {
	Number uint64 `json:"Number"`
	Answer string `json:"Answer"`
	Error  string `json:"Error"`
	View   *View  `json:"View"`
}

// Out is a word that is to be told.
type Outgoing struct {
	To      string
	Message Message
}

// View is the order as who leads has it, for people.
type View struct {
	Leader    string                 `json:"Leader"`
	Now       monotime.Micros        `json:"Now"`
	OnHold    bool                   `json:"Held"`
	Requests  []maintenance.Request  `json:"Jobs"`
	Machines  []maintenance.Machine  `json:"Items"`
	Instances []maintenance.Instance `json:"Instances"`
	Events    []maintenance.Event    `json:"Events"`
	Silent    []maintenance.Instance `json:"Silent"` // not heard for long: they keep machines from being known as ahead
}

// Node is one instance. Make one with New.
type Node struct {
	settings          Settings
	store             LogStore
	follower          *maintenance.Follower
	outgoing          []Outgoing
	toSelf            []Message                      // to this instance itself
	fleetStatus       func() maintenance.FleetStatus // as this instance sees them; nil sees nothing
	inFlight          func(machine string) int
	leader            string // as far as is known
	reportAt          monotime.Micros
	unansweredReports int // reports since one was answered

	// Of a voter.
	raftID           uint64
	rawNode          *raft.RawNode // nil while it keeps no log
	raftStorage      *raft.MemoryStorage
	tickAt           monotime.Micros
	noLog            bool            // it has no log: the fleet has none yet, or this voter has lost its own
	votersWithoutLog map[string]bool // voters that have none either
	bootstrapped     bool            // in this life
	seenVoters       map[string]bool // voters that have said something of the log since
	voterErr         error
	appliedIndex     uint64
	state            *maintenance.State
	snapshotIndex    uint64
	told             uint64 // version that was logged last

	// Of who leads.
	coordinator     *maintenance.Coordinator
	coordinatorTerm uint64          // in which watch began
	clockBase       monotime.Micros // the state's clock as it began,
	clockBaseAt     monotime.Micros // and when
	readSequence    uint64
	pendingReads    []readRequest // whose read index is under way
	queuedReads     []readRequest // that wait for the next
	retryAt         map[string]monotime.Micros
	proposers       map[uint64]proposer
	waitReasons     map[string]string
	fleetStatusAt   monotime.Micros
	clockEntryAt    monotime.Micros

	replies    map[uint64]OperatorReply // to this instance's own commands
	lastNumber uint64
}

type readRequest struct {
	from   string
	report maintenance.Report
	number uint64 // of the read that it waits for
}

type proposer struct {
	from   string
	number uint64
}

// entry is what the log has.
type logEntry struct {
	ProposalID uint64              `json:"ID"` // of the proposal
	Command    maintenance.Command `json:"Order"`
}

const (
	snapshotInterval    = 500 // entries from one snapshot to the next
	proposalRetry       = second
	fleetStatusInterval = second / 2
	clockEntryInterval  = second
)

// New returns an instance. disk is nil for one that is no voter. That a disk does not hold what can be gone on from is an error that is returned
// beside the instance: it obeys and reports, and has no vote.
func New(now monotime.Micros, s Settings, life uint64, disk LogStore) (*Node, error) {
	duty, err := maintenance.NewFollower(s.Maintenance, life)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, store: disk, follower: duty, inFlight: func(string) int { return 0 }, reportAt: now, tickAt: now, votersWithoutLog: map[string]bool{}, seenVoters: map[string]bool{}, retryAt: map[string]monotime.Micros{},
		proposers: map[uint64]proposer{}, replies: map[uint64]OperatorReply{}, lastNumber: life<<20 | 1}
	if n.state, err = maintenance.NewState(s.Maintenance); err != nil {
		return nil, err
	}
	if at := slices.Index(s.Voters, s.Self); at >= 0 && disk != nil {
		n.raftID = uint64(at + 1)
		kept, blank, err := disk.Load()
		if err != nil {
			n.voterErr = err
			return n, fmt.Errorf("the order's log cannot be gone on from; this instance has no vote: %w", err)
		}
		if blank {
			n.noLog = true
			return n, nil
		}
		return n, n.startRaft(kept)
	}
	return n, nil
}

// Sees says what tells how machines stand, and what is open at one.
func (n *Node) SetSources(facts func() maintenance.FleetStatus, open func(machine string) int) {
	n.fleetStatus, n.inFlight = facts, open
}

// Duty is what this instance obeys.
func (n *Node) Follower() *maintenance.Follower { return n.follower }

// Failed returns why this voter keeps no log any more; nil is that it does, or is none.
func (n *Node) VoterError() error { return n.voterErr }

// Leads says whether this instance leads, as far as it knows.
func (n *Node) IsLeader() bool {
	return n.rawNode != nil && n.rawNode.BasicStatus().RaftState == raft.StateLeader
}

// State is the order as far as this voter has applied it.
func (n *Node) State() *maintenance.State { return n.state }

// begin goes on from what was kept.
func (n *Node) startRaft(k StoredLog) (err error) {
	defer func() {
		if p := recover(); p != nil { // as guard has it
			err = n.stopVoting(fmt.Errorf("the order's log makes no sense: %v", p))
		}
	}()
	n.raftStorage = raft.NewMemoryStorage()
	if k.Snapshot != nil && k.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := n.raftStorage.ApplySnapshot(k.Snapshot); err != nil {
			return n.stopVoting(err)
		}
		if err := n.restoreSnapshot(k.Snapshot); err != nil {
			return n.stopVoting(err)
		}
	}
	if k.HardState != nil {
		if err := n.raftStorage.SetHardState(k.HardState); err != nil {
			return n.stopVoting(err)
		}
	}
	if err := n.raftStorage.Append(k.Entries); err != nil {
		return n.stopVoting(err)
	}
	turns := 10
	raw, err := raft.NewRawNode(&raft.Config{ID: n.raftID, ElectionTick: turns, HeartbeatTick: 2, Storage: n.raftStorage, Applied: n.appliedIndex, MaxSizePerMsg: 256 << 10,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		return n.stopVoting(err)
	}
	n.rawNode = raw
	return nil
}

func (n *Node) stopVoting(err error) error {
	n.voterErr, n.rawNode, n.coordinator = err, nil, nil
	return err
}

// found begins the log, once all voters have said that they have none.
func (n *Node) bootstrap() {
	voters := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	text, err := json.Marshal(n.state)
	if err != nil {
		panic(err) // of our own state
	}
	snapshot := &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: voters, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := n.store.Save(hard, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.noLog, n.bootstrapped = false, true
	n.startRaft(StoredLog{HardState: hard, Snapshot: snapshot})
}

// ---- Time ------------------------------------------------------------------

// Next is when Tick has something to do.
func (n *Node) NextTick() monotime.Micros { return min(n.reportAt, n.tickAt) }

// Out returns what is to be told since it was called last.
func (n *Node) TakeOutgoing() []Outgoing {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// guard has raft's own word that its log makes no sense, which it says by a panic, be the end of this voter's part and not of the process:
// a log that was put back from an older copy is such a one.
func (n *Node) recoverRaftPanic() {
	if p := recover(); p != nil {
		n.stopVoting(fmt.Errorf("the order's log makes no sense: %v", p))
	}
}

// Tick does what is due.
func (n *Node) Tick(now monotime.Micros) {
	defer n.recoverRaftPanic()
	for n.tickAt <= now {
		n.tickAt += n.settings.TickInterval
		if now-n.tickAt > 20*n.settings.TickInterval {
			n.tickAt = now + n.settings.TickInterval // it was stopped: what it missed is not made up for
		}
		switch {
		case n.noLog:
			n.broadcast(Message{NoLog: true})
		case n.rawNode != nil:
			n.rawNode.Tick()
		}
	}
	n.process(now)
	if now >= n.reportAt {
		n.sendReport(now)
		n.process(now)
	}
}

// settle carries out what has become due, also what this instance has to tell itself.
func (n *Node) process(now monotime.Micros) {
	n.runLeader(now)
	n.handleReady(now)
	for len(n.toSelf) > 0 {
		w := n.toSelf[0]
		n.toSelf = n.toSelf[1:]
		n.handle(now, n.settings.Self, w)
		n.runLeader(now)
		n.handleReady(now)
	}
}

// say tells all other voters.
func (n *Node) broadcast(w Message) {
	for _, name := range n.settings.Voters {
		if name != n.settings.Self {
			n.outgoing = append(n.outgoing, Outgoing{name, w})
		}
	}
}

// report reports to who leads, or to all voters where that is not known.
func (n *Node) sendReport(now monotime.Micros) {
	n.reportAt = now + n.settings.Maintenance.LeaseDuration/4
	if n.unansweredReports++; n.unansweredReports > 3 {
		n.leader = ""
	}
	if l := n.knownLeader(); l != "" {
		n.leader = l
	}
	r := n.follower.NextReport(now, n.inFlight)
	if n.IsLeader() {
		n.toSelf = append(n.toSelf, Message{Report: &r})
		return
	}
	for _, name := range n.settings.Voters {
		if name != n.settings.Self && (n.leader == "" || n.leader == name) {
			n.outgoing = append(n.outgoing, Outgoing{name, Message{Report: &r}})
		}
	}
}

// tell sends a word, also to itself.
func (n *Node) send(now monotime.Micros, to string, w Message) {
	if to == n.settings.Self {
		n.toSelf = append(n.toSelf, w)
		return
	}
	n.outgoing = append(n.outgoing, Outgoing{to, w})
}

// Hear takes another's word in.
func (n *Node) Receive(now monotime.Micros, from string, w Message) {
	defer n.recoverRaftPanic()
	n.handle(now, from, w)
	n.process(now)
}

func (n *Node) handle(now monotime.Micros, from string, w Message) {
	switch {
	case w.Raft != nil:
		n.stepRaft(from, w.Raft)
	case w.NoLog:
		switch {
		case n.noLog:
			n.votersWithoutLog[from] = true
			if len(n.votersWithoutLog) == len(n.settings.Voters)-1 {
				n.bootstrap()
			}
		case n.bootstrapped && !n.seenVoters[from]:
			// It has not heard that this one was blank, too. Of one that has taken part since, some voter knows.
			n.send(now, from, Message{NoLog: true})
		}
	case w.Report != nil:
		if !n.IsLeader() {
			if l := n.knownLeader(); l != "" && l != n.settings.Self {
				n.send(now, from, Message{Leader: l})
			}
			return
		}
		if n.coordinator != nil && n.coordinator.RecordReport(now, from, *w.Report) {
			n.queuedReads = append(n.queuedReads, readRequest{from: from, report: *w.Report})
		}
	case w.Grant != nil:
		n.follower.Apply(now, *w.Grant)
		n.leader, n.unansweredReports = from, 0
	case w.Leader != "":
		if n.leader != w.Leader {
			n.leader, n.reportAt = w.Leader, now
		}
	case w.OperatorRequest != nil:
		n.handleOperatorRequest(now, from, *w.OperatorRequest)
	case w.OperatorReply != nil:
		n.replies[w.OperatorReply.Number] = *w.OperatorReply
	}
}

// knows returns who leads, as far as this voter knows.
func (n *Node) knownLeader() string {
	if n.rawNode == nil {
		return ""
	}
	if l := n.rawNode.BasicStatus().Lead; l > 0 && int(l) <= len(n.settings.Voters) {
		return n.settings.Voters[l-1]
	}
	return ""
}

// step hands a message to raft. A voter that has lost its log takes no part: what it voted for and what it said to have kept is not known.
func (n *Node) stepRaft(from string, text []byte) {
	var m raftpb.Message
	if proto.Unmarshal(text, &m) != nil || int(m.GetFrom()) != slices.Index(n.settings.Voters, from)+1 || m.GetFrom() == 0 || m.GetTo() != n.raftID || n.rawNode == nil {
		return
	}
	n.seenVoters[from] = true
	n.rawNode.Step(&m) // what it makes nothing of is a message of before
}

// Blank says whether this voter has no log, while others do: its disk was lost, and it has no vote.
func (n *Node) LogMissing() bool { return n.noLog }

// ---- The log ---------------------------------------------------------------

// ready carries out what raft asks for: what is new is kept before anybody hears of it.
func (n *Node) handleReady(now monotime.Micros) {
	for n.rawNode != nil && n.rawNode.HasReady() {
		rd := n.rawNode.Ready()
		if err := n.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			n.stopVoting(err)
			return
		}
		if rd.Snapshot.GetMetadata().GetIndex() > 0 {
			n.raftStorage.ApplySnapshot(rd.Snapshot)
			if err := n.restoreSnapshot(rd.Snapshot); err != nil {
				n.stopVoting(err)
				return
			}
		}
		if rd.HardState != nil {
			n.raftStorage.SetHardState(rd.HardState)
		}
		n.raftStorage.Append(rd.Entries)
		for _, m := range rd.Messages {
			text, err := proto.Marshal(m)
			if err != nil || m.GetTo() == 0 || int(m.GetTo()) > len(n.settings.Voters) {
				continue
			}
			n.outgoing = append(n.outgoing, Outgoing{n.settings.Voters[m.GetTo()-1], Message{Raft: text}})
			if m.GetType() == raftpb.MsgSnap {
				n.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost is sent again
			}
		}
		for _, e := range rd.CommittedEntries {
			n.applyEntry(now, e)
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == 8 {
				n.answerReads(now, binary.BigEndian.Uint64(s.RequestCtx), s.Index)
			}
		}
		n.rawNode.Advance(rd)
		n.takeSnapshot()
	}
}

func (n *Node) applyEntry(now monotime.Micros, e *raftpb.Entry) {
	if e.GetIndex() <= n.appliedIndex {
		return
	}
	n.appliedIndex = e.GetIndex()
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var x logEntry
	if json.Unmarshal(e.GetData(), &x) != nil {
		return // all pass it over alike
	}
	answer, err := n.state.Apply(x.Command)
	if o, ok := n.proposers[x.ProposalID]; ok {
		delete(n.proposers, x.ProposalID)
		r := OperatorReply{Number: o.number, Answer: answer}
		if err != nil {
			r.Error = err.Error()
		}
		n.send(now, o.from, Message{OperatorReply: &r})
	}
}

func (n *Node) restoreSnapshot(s *raftpb.Snapshot) error {
	n.appliedIndex, n.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	if len(s.GetData()) == 0 {
		return nil
	}
	fresh, err := maintenance.NewState(n.settings.Maintenance)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(s.GetData(), fresh); err != nil {
		return fmt.Errorf("the order's snapshot: %w", err)
	}
	fresh.UseSettings(n.settings.Maintenance)
	n.state = fresh
	return nil
}

// compact makes a snapshot once the log is long.
func (n *Node) takeSnapshot() {
	if n.appliedIndex-n.snapshotIndex < snapshotInterval {
		return
	}
	text, err := json.Marshal(n.state)
	if err != nil {
		return
	}
	voters := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	s, err := n.raftStorage.CreateSnapshot(n.appliedIndex, voters, text)
	if err != nil {
		return
	}
	if err := n.store.Save(nil, nil, s); err != nil {
		n.stopVoting(err)
		return
	}
	n.snapshotIndex = n.appliedIndex
	if n.appliedIndex > snapshotInterval/2 {
		n.raftStorage.Compact(n.appliedIndex - snapshotInterval/2) // followers that are a little behind need no snapshot
	}
}

// ---- Leading ---------------------------------------------------------------

// clock is the state's, by who leads.
func (n *Node) stateClock(now monotime.Micros) monotime.Micros {
	return max(n.state.Now, n.clockBase+now-n.clockBaseAt)
}

func (n *Node) propose(order maintenance.Command, now monotime.Micros, o *proposer) {
	order.Time = n.stateClock(now)
	n.lastNumber++
	text, err := json.Marshal(logEntry{n.lastNumber, order})
	if err != nil {
		panic(err) // of our own words
	}
	if n.rawNode.Propose(text) != nil {
		return // it leads no more
	}
	if o != nil {
		n.proposers[n.lastNumber] = *o
	}
}

// once proposes what may be under way already, once in a while.
func (n *Node) proposeOnce(key string, now monotime.Micros, order maintenance.Command) {
	if now < n.retryAt[key] {
		return
	}
	n.retryAt[key] = now + proposalRetry
	n.propose(order, now, nil)
}

// lead does what falls to who leads.
func (n *Node) runLeader(now monotime.Micros) {
	if !n.IsLeader() {
		n.coordinator, n.pendingReads, n.queuedReads = nil, nil, nil
		clear(n.proposers)
		return
	}
	status := n.rawNode.BasicStatus()
	if n.coordinator == nil || n.coordinatorTerm != status.GetTerm() {
		if at, err := n.raftStorage.Term(n.appliedIndex); err != nil || at != status.GetTerm() {
			return // what was settled before it leads is not all applied
		}
		n.coordinator, n.coordinatorTerm, n.clockBase, n.clockBaseAt = maintenance.NewCoordinator(now, n.settings.Maintenance), status.GetTerm(), n.state.Now, now
		n.pendingReads, n.queuedReads = nil, nil
		clear(n.retryAt)
	}
	var known, free []string
	known, free, n.waitReasons = n.coordinator.Progress(now, n.state)
	for _, name := range known {
		n.proposeOnce("known/"+name, now, maintenance.Command{Acknowledged: []string{name}})
	}
	for _, name := range free {
		n.proposeOnce("free/"+name, now, maintenance.Command{Drained: []string{name}})
	}
	if n.fleetStatus != nil && now >= n.fleetStatusAt {
		n.fleetStatusAt = now + fleetStatusInterval
		if f := n.fleetStatus(); fmt.Sprint(f) != fmt.Sprint(n.state.Fleet) {
			n.proposeOnce("facts", now, maintenance.Command{FleetStatus: &f})
		}
	}
	if now >= n.clockEntryAt && len(n.state.Machines) > 0 {
		n.clockEntryAt = now + clockEntryInterval
		n.propose(maintenance.Command{}, now, nil) // time goes on
	}
	if len(n.pendingReads) == 0 && len(n.queuedReads) > 0 {
		n.readSequence++
		n.pendingReads, n.queuedReads = n.queuedReads, nil
		n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.readSequence))
		n.retryAt["read"] = now + n.settings.Maintenance.LeaseDuration/8
	} else if len(n.pendingReads) > 0 && now >= n.retryAt["read"] {
		n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.readSequence)) // words get lost
		n.retryAt["read"] = now + n.settings.Maintenance.LeaseDuration/8
	}
}

// read answers the questions of a round: this instance has led since they came.
func (n *Node) answerReads(now monotime.Micros, number, index uint64) {
	if number != n.readSequence || n.coordinator == nil || n.appliedIndex < index {
		return
	}
	questions := n.pendingReads
	n.pendingReads = nil
	order := n.state.Plan()
	for _, q := range questions {
		if n.state.Instances[q.from] != q.report.Incarnation {
			// It is told nothing before all who may lead know that it is there.
			n.proposeOnce("join/"+q.from, now, maintenance.Command{Join: &maintenance.Instance{Name: q.from, Incarnation: q.report.Incarnation}})
			continue
		}
		t := n.coordinator.Grant(now, q.from, q.report, order)
		n.send(now, q.from, Message{Grant: &t})
	}
}

// ---- Operators -------------------------------------------------------------

// silentAfter is after how many leases without a word an instance is told of to operators.
const silentLeases = 4

// command takes an operator's word in, at who leads; another voter says who does.
func (n *Node) handleOperatorRequest(now monotime.Micros, from string, c OperatorRequest) {
	switch {
	case !n.IsLeader() || n.coordinator == nil:
		if l := n.knownLeader(); l != "" && l != n.settings.Self {
			n.send(now, from, Message{Leader: l})
		}
	case c.View:
		v := n.view(now)
		n.send(now, from, Message{OperatorReply: &OperatorReply{Number: c.Number, View: v}})
	default:
		n.propose(c.Command, now, &proposer{from, c.Number})
	}
}

func (n *Node) view(now monotime.Micros) *View {
	x := n.state
	v := &View{Leader: n.settings.Self, Now: n.stateClock(now), OnHold: x.OnHold, Events: slices.Clone(x.Events), Silent: n.coordinator.SilentInstances(now, x, silentLeases*n.settings.Maintenance.LeaseDuration)}
	for _, j := range x.Requests {
		v.Requests = append(v.Requests, *j)
	}
	for _, i := range x.Machines {
		i := *i
		if w := n.waitReasons[i.Name]; w != "" {
			i.WaitReason = w
		}
		v.Machines = append(v.Machines, i)
	}
	for name, life := range x.Instances {
		v.Instances = append(v.Instances, maintenance.Instance{Name: name, Incarnation: life})
	}
	slices.SortFunc(v.Requests, func(a, b maintenance.Request) int { return int(a.RequestedAt - b.RequestedAt) })
	slices.SortFunc(v.Machines, func(a, b maintenance.Machine) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	slices.SortFunc(v.Instances, func(a, b maintenance.Instance) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	return v
}

// Say says something for an operator, and returns the number by which Answer has the answer. Nobody may lead just then: whoever asks says it
// again, and a job that is asked for twice is asked for once.
func (n *Node) Submit(now monotime.Micros, order maintenance.Command) (number uint64) {
	return n.submit(now, OperatorRequest{Command: order})
}

// Look asks how all stands; the answer is got as that of Say.
func (n *Node) RequestView(now monotime.Micros) (number uint64) {
	return n.submit(now, OperatorRequest{View: true})
}

func (n *Node) submit(now monotime.Micros, c OperatorRequest) (number uint64) {
	defer n.recoverRaftPanic()
	n.lastNumber++
	c.Number = n.lastNumber
	number = n.lastNumber
	w := Message{OperatorRequest: &c}
	switch {
	case n.IsLeader():
		n.toSelf = append(n.toSelf, w)
		n.process(now)
	case n.leader != "":
		n.outgoing = append(n.outgoing, Outgoing{n.leader, w})
	default:
		n.broadcast(w)
	}
	return number
}

// Answer returns the answer to what was said by a number, once.
func (n *Node) TakeReply(number uint64) (r OperatorReply, ok bool) {
	r, ok = n.replies[number]
	delete(n.replies, number)
	return r, ok
}
