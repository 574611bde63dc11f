package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// consensusMember is a generation's member in the consensus on the maintenance plan. It passes the plan to the
// core. The method run has a goroutine of its own, from startConsensus to stopConsensus, because the consensus
// node writes a log to disk and requests must not wait for that. The fields from lastStatus on belong to that
// goroutine.
type consensusMember struct {
	generation *generation
	node       *consensus.Node
	logStore   *consensus.BoltStore // nil for a member that is not a voter
	events     chan func()          // events for the goroutine of run
	cancel     context.CancelFunc
	runEnded   chan struct{} // closed once run has returned

	lastStatus maintenance.FleetStatus // status of the fleet at statusTime
	statusTime monotime.Micros         // when the machines were last observed
	// peakUsage is the highest usage since peakTime, in the unit of MachineStatus.Capacity.
	peakUsage         float64
	peakTime          monotime.Micros                         // when peakUsage was measured
	inFlightByMachine map[string]int                          // requests in flight at excluded and announced machines
	appliedPlan       engine.MaintenancePlan                  // the plan that was last passed to the core
	pendingReplies    map[uint64]chan consensus.OperatorReply // for waiting operators, by the node's request number
	voteLossLogged    bool                                    // reports whether the loss of the vote was logged
}

const (
	// consensusEventsBufferSize is the number of messages and operators' requests that can wait for run. Further
	// messages are lost.
	consensusEventsBufferSize = 1024
	// minObserveInterval is the minimum time in microseconds between two observations while the plan names no
	// machine.
	minObserveInterval = 500_000
	// peakUsageWindow is the time in microseconds for which a peak of the fleet's usage is kept.
	peakUsageWindow = 900_000_000
	// Usage is rounded to multiples of 1/usageStepsPerUnit, because each change of it is logged on disk.
	usageStepsPerUnit = 20
	// consensusTickInterval is the interval at which run checks whether the consensus node has a tick due.
	consensusTickInterval = 10 * time.Millisecond
)

// startConsensus starts the consensus member if the configuration has one and none runs. From then on no
// request is sent until a maintenance plan has been received. A member that cannot open its log follows the
// consensus without a vote.
func (g *generation) startConsensus() error {
	settings := g.config.Consensus()
	if settings == nil || g.consensus != nil {
		return nil
	}
	member := &consensusMember{
		generation:        g,
		events:            make(chan func(), consensusEventsBufferSize),
		runEnded:          make(chan struct{}),
		inFlightByMachine: map[string]int{},
		pendingReplies:    map[uint64]chan consensus.OperatorReply{},
	}
	var logStore consensus.LogStore
	if path := g.config.Maintenance.StateFile; path != "" {
		var err error
		if member.logStore, err = consensus.OpenBoltStore(path); err != nil {
			g.log.Error("consensus vote not available, following only", "error", err)
		} else {
			logStore = member.logStore
		}
	}
	node, err := consensus.New(g.clock.Now(), *settings, rand.Uint64(), logStore)
	if node == nil {
		return err
	}
	if err != nil {
		g.log.Error("consensus vote not available, following only", "error", err)
	}
	member.node = node
	node.SetSources(member.fleetStatus, func(name string) int { return member.inFlightByMachine[name] })
	member.appliedPlan = engine.MaintenancePlan{AwaitingPlan: true}
	if plan := g.inheritedPlan; plan != nil {
		member.appliedPlan = *plan
		node.PlanFollower().Inherit(maintenance.Plan{Excluded: plan.Excluded, Announced: plan.Announced}, plan.LeaseEnd)
	}
	g.core.ApplyMaintenancePlan(member.appliedPlan)
	var ctx context.Context
	ctx, member.cancel = context.WithCancel(context.Background())
	g.consensus = member
	go member.run(ctx)
	return nil
}

// stopConsensus stops the consensus member and returns the plan that is applied, or nil if there is none. The
// core continues to apply the plan until its lease expires.
func (g *generation) stopConsensus() *engine.MaintenancePlan {
	member := g.consensus
	if member == nil {
		return nil
	}
	member.cancel()
	<-member.runEnded
	if member.logStore != nil {
		_ = member.logStore.Close() // the error can be ignored: each entry was synced before it was acknowledged
	}
	g.consensus = nil
	if member.appliedPlan.AwaitingPlan {
		return nil
	}
	g.inheritedPlan = &member.appliedPlan // for startConsensus, if the successor is lost
	return &member.appliedPlan
}

// receiveMessage passes a message to the node. It never waits: a message is dropped if the buffer of events is
// full.
func (member *consensusMember) receiveMessage(from string, message consensus.Message) {
	select {
	case member.events <- func() { member.node.Receive(member.generation.clock.Now(), from, message) }:
	default:
	}
}

// run handles events and ticks on the member's goroutine until ctx ends.
func (member *consensusMember) run(ctx context.Context) {
	defer close(member.runEnded)
	ticker := time.NewTicker(consensusTickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-member.events:
			event()
		case <-ticker.C:
			if now := member.generation.clock.Now(); now >= member.node.NextTick() {
				member.observeMachines(now)
				member.node.Tick(now)
			}
		case <-ctx.Done():
			return
		}
		member.publishUpdates()
	}
}

// observeMachines reads the number of requests in flight at excluded and announced machines, and the status of
// the fleet. If the plan names no such machine, it does so at most once every minObserveInterval.
func (member *consensusMember) observeMachines(now monotime.Micros) {
	plan, _, _ := member.node.PlanFollower().CurrentPlan()
	names := append(append([]string(nil), plan.Excluded...), plan.Announced...)
	if len(names) == 0 && now < member.statusTime+minObserveInterval {
		return
	}
	status, inFlight := member.generation.core.MaintenanceStatus(names)
	member.inFlightByMachine = inFlight
	member.statusTime = now
	if status.Usage > member.peakUsage || now >= member.peakTime+peakUsageWindow {
		member.peakUsage = status.Usage
		member.peakTime = now
	}
	status.Usage = roundUsage(status.Usage)
	status.PeakUsage = roundUsage(member.peakUsage)
	member.lastStatus = status
}

// roundUsage rounds a usage to the nearest multiple of 1/usageStepsPerUnit.
func roundUsage(usage float64) float64 {
	return math.Round(usage*usageStepsPerUnit) / usageStepsPerUnit
}

// fleetStatus returns the last observed status of the fleet, for the consensus node.
func (member *consensusMember) fleetStatus() maintenance.FleetStatus { return member.lastStatus }

// publishUpdates sends the outgoing messages, passes the plan to the core, replies to waiting operators, and
// logs the loss of the vote.
func (member *consensusMember) publishUpdates() {
	gossip := member.generation.gossip.Load()
	for _, outgoing := range member.node.TakeOutgoing() {
		if gossip != nil {
			gossip.SendConsensus(outgoing.To, outgoing.Message)
		}
	}
	member.publishPlan()
	for requestNumber, replyChannel := range member.pendingReplies {
		if reply, ok := member.node.TakeReply(requestNumber); ok {
			replyChannel <- reply
			delete(member.pendingReplies, requestNumber)
		}
	}
	member.logVoteLoss()
}

// publishPlan passes the plan to the core if the plan has changed.
func (member *consensusMember) publishPlan() {
	currentPlan, leaseEnd, drainDeadline := member.node.PlanFollower().CurrentPlan()
	plan := engine.MaintenancePlan{
		AwaitingPlan:  !member.node.PlanFollower().HasPlan(),
		Excluded:      currentPlan.Excluded,
		Announced:     currentPlan.Announced,
		LeaseEnd:      leaseEnd,
		DrainDeadline: drainDeadline,
	}
	if fmt.Sprint(plan) == fmt.Sprint(member.appliedPlan) {
		return
	}
	if fmt.Sprint(plan.Excluded) != fmt.Sprint(member.appliedPlan.Excluded) {
		member.generation.log.Info("maintenance plan changed", "out", plan.Excluded, "next in line", plan.Announced)
	}
	member.appliedPlan = plan
	member.generation.core.ApplyMaintenancePlan(plan)
}

// logVoteLoss logs that this member has lost its vote. It logs this only once.
func (member *consensusMember) logVoteLoss() {
	if member.node.LogMissing() && member.node.PlanFollower().HasPlan() && !member.voteLossLogged {
		member.voteLossLogged = true
		member.generation.log.Error("consensus log missing, following only")
	}
	if err := member.node.VoterError(); err != nil && !member.voteLossLogged {
		member.voteLossLogged = true
		member.generation.log.Error("consensus vote lost, following only", "error", err)
	}
}

// errNoLeader is the error of an operator's request that got no reply in time, for example because the
// consensus had no leader.
var errNoLeader = errors.New("nobody leads in settling the order just now; say it again")

// propose submits an operator's request to the node and waits for the reply. submit passes the request to the
// node and returns its request number. A reply that contains an error is returned together with that error. The
// error is errNoLeader if ctx or the member ends before the reply.
func (member *consensusMember) propose(ctx context.Context, submit func(now monotime.Micros) uint64) (
	consensus.OperatorReply, error) {
	replyChannel := make(chan consensus.OperatorReply, 1)
	select {
	case member.events <- func() { member.pendingReplies[submit(member.generation.clock.Now())] = replyChannel }:
	case <-ctx.Done():
		return consensus.OperatorReply{}, errNoLeader
	}
	select {
	case reply := <-replyChannel:
		if reply.Error != "" {
			return reply, errors.New(reply.Error)
		}
		return reply, nil
	case <-member.runEnded:
	case <-ctx.Done():
		select {
		case member.events <- func() {
			maps.DeleteFunc(member.pendingReplies, func(_ uint64, other chan consensus.OperatorReply) bool {
				return other == replyChannel
			})
		}:
		default:
		}
	}
	return consensus.OperatorReply{}, errNoLeader
}

// maintenance handles an operator's call. The body is a maintenance command in JSON; an empty body requests the
// leader's view of the maintenance.
func (g *generation) maintenance(ctx context.Context, body []byte) ([]byte, error) {
	member := g.consensus
	if member == nil {
		return nil, errors.New("work.on is false here, or this process does not serve")
	}
	if len(body) == 0 {
		reply, err := member.propose(ctx, func(now monotime.Micros) uint64 { return member.node.RequestView(now) })
		if err != nil {
			return nil, err
		}
		return json.Marshal(reply.View)
	}
	var operatorCommand maintenance.Command
	if err := json.Unmarshal(body, &operatorCommand); err != nil {
		return nil, fmt.Errorf("the body makes no sense: %w", err)
	}
	command := maintenance.Command{ // copies only the fields that an operator may set
		Request:       operatorCommand.Request,
		CancelRequest: operatorCommand.CancelRequest,
		Complete:      operatorCommand.Complete,
		Hold:          operatorCommand.Hold,
		Forget:        operatorCommand.Forget,
	}
	reply, err := member.propose(ctx, func(now monotime.Micros) uint64 { return member.node.Submit(now, command) })
	return []byte(reply.Result), err
}
