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

// consensusMember is a generation's member of the consensus on the maintenance plan. It passes the plan to the core.
// Its goroutine is that of run, from startConsensus to stopConsensus, because the node writes a log to disk, which
// requests must not wait for. The fields below done belong to that goroutine.
type consensusMember struct {
	generation *generation
	node       *consensus.Node
	file       *consensus.BoltStore // nil for a member that is not a voter
	events     chan func()
	cancel     context.CancelFunc
	done       chan struct{} // closed once run has returned

	status         maintenance.FleetStatus // as last observed
	statusTime     monotime.Micros
	peakUsage      float64 // highest usage since peakTime, in the unit of MachineStatus.Capacity
	peakTime       monotime.Micros
	inFlight       map[string]int // requests in flight at excluded and announced machines, by name
	applied        engine.MaintenancePlan
	replies        map[uint64]chan consensus.OperatorReply // of operators who wait, by the node's request number
	voteLossLogged bool
}

const (
	consensusEventsBuffer = 1024        // messages and operators' requests that wait for run; further messages are lost
	observeInterval       = 500_000     // microseconds between two observations of all machines
	peakWindow            = 900_000_000 // microseconds for which a peak of the fleet's usage counts
	usageSteps            = 20          // per unit of usage, which is rounded because each change is logged on disk
	tickInterval          = 10 * time.Millisecond
)

// startConsensus starts the consensus member, if the configuration has one and none runs. From then on no request is
// sent before a plan has been received. A member that cannot open its log follows without a vote.
func (d *generation) startConsensus() error {
	s := d.config.Consensus()
	if s == nil || d.consensus != nil {
		return nil
	}
	x := &consensusMember{
		generation: d,
		events:     make(chan func(), consensusEventsBuffer),
		done:       make(chan struct{}),
		inFlight:   map[string]int{},
		replies:    map[uint64]chan consensus.OperatorReply{},
	}
	var disk consensus.LogStore
	if path := d.config.Maintenance.StateFile; path != "" {
		var err error
		if x.file, err = consensus.OpenBoltStore(path); err != nil {
			d.log.Error("consensus vote not available, following only", "error", err)
		} else {
			disk = x.file
		}
	}
	node, err := consensus.New(d.clock.Now(), *s, rand.Uint64(), disk)
	if node == nil {
		return err
	}
	if err != nil {
		d.log.Error("consensus vote not available, following only", "error", err)
	}
	x.node = node
	node.SetSources(x.fleetStatus, func(name string) int { return x.inFlight[name] })
	x.applied = engine.MaintenancePlan{AwaitingPlan: true}
	if plan := d.inheritedPlan; plan != nil {
		x.applied = *plan
		node.PlanFollower().Inherit(maintenance.Plan{Excluded: plan.Excluded, Announced: plan.Announced}, plan.LeaseEnd)
	}
	d.core.ApplyMaintenancePlan(x.applied)
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(context.Background())
	d.consensus = x
	go x.run(ctx)
	return nil
}

// stopConsensus stops the consensus member and returns the plan that is applied, nil if there is none. The core goes on
// applying it until its lease ends.
func (d *generation) stopConsensus() *engine.MaintenancePlan {
	x := d.consensus
	if x == nil {
		return nil
	}
	x.cancel()
	<-x.done
	if x.file != nil {
		_ = x.file.Close() // each entry was synced before it was acknowledged
	}
	d.consensus = nil
	if x.applied.AwaitingPlan {
		return nil
	}
	d.inheritedPlan = &x.applied // for startConsensus, should the successor be lost
	return &x.applied
}

// receive passes a message to the node. It never waits: a message that does not fit the buffer is lost.
func (x *consensusMember) receive(from string, m consensus.Message) {
	select {
	case x.events <- func() { x.node.Receive(x.generation.clock.Now(), from, m) }:
	default:
	}
}

// run is the member's goroutine. It ends with ctx.
func (x *consensusMember) run(ctx context.Context) {
	defer close(x.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-x.events:
			event()
		case <-ticker.C:
			if now := x.generation.clock.Now(); now >= x.node.NextTick() {
				x.observeMachines(now)
				x.node.Tick(now)
			}
		case <-ctx.Done():
			return
		}
		x.publish()
	}
}

// observeMachines reads the requests in flight at excluded and announced machines, and the status of the fleet. Without
// such machines it does so every observeInterval only.
func (x *consensusMember) observeMachines(now monotime.Micros) {
	plan, _, _ := x.node.PlanFollower().CurrentPlan()
	names := append(append([]string(nil), plan.Excluded...), plan.Announced...)
	if len(names) == 0 && now < x.statusTime+observeInterval {
		return
	}
	status, inFlight := x.generation.core.MaintenanceStatus(names)
	x.inFlight = inFlight
	x.statusTime = now
	if status.Usage > x.peakUsage || now >= x.peakTime+peakWindow {
		x.peakUsage = status.Usage
		x.peakTime = now
	}
	status.Usage = roundUsage(status.Usage)
	status.PeakUsage = roundUsage(x.peakUsage)
	x.status = status
}

func roundUsage(usage float64) float64 { return math.Round(usage*usageSteps) / usageSteps }

func (x *consensusMember) fleetStatus() maintenance.FleetStatus { return x.status }

// publish sends messages, passes the plan to the core, answers operators who wait, and logs the loss of the vote.
func (x *consensusMember) publish() {
	gossip := x.generation.gossip.Load()
	for _, o := range x.node.TakeOutgoing() {
		if gossip != nil {
			gossip.SendConsensus(o.To, o.Message)
		}
	}
	x.publishPlan()
	for number, waiting := range x.replies {
		if reply, ok := x.node.TakeReply(number); ok {
			waiting <- reply
			delete(x.replies, number)
		}
	}
	x.logVoteLoss()
}

// publishPlan passes the plan to the core if it has changed.
func (x *consensusMember) publishPlan() {
	current, leaseEnd, drainDeadline := x.node.PlanFollower().CurrentPlan()
	plan := engine.MaintenancePlan{
		AwaitingPlan:  !x.node.PlanFollower().HasPlan(),
		Excluded:      current.Excluded,
		Announced:     current.Announced,
		LeaseEnd:      leaseEnd,
		DrainDeadline: drainDeadline,
	}
	if fmt.Sprint(plan) == fmt.Sprint(x.applied) {
		return
	}
	if fmt.Sprint(plan.Excluded) != fmt.Sprint(x.applied.Excluded) {
		x.generation.log.Info("maintenance plan changed", "out", plan.Excluded, "next in line", plan.Announced)
	}
	x.applied = plan
	x.generation.core.ApplyMaintenancePlan(plan)
}

// logVoteLoss logs once that this member has no vote any more.
func (x *consensusMember) logVoteLoss() {
	if x.node.LogMissing() && x.node.PlanFollower().HasPlan() && !x.voteLossLogged {
		x.voteLossLogged = true
		x.generation.log.Error("consensus log missing, following only")
	}
	if err := x.node.VoterError(); err != nil && !x.voteLossLogged {
		x.voteLossLogged = true
		x.generation.log.Error("consensus vote lost, following only", "error", err)
	}
}

// errNoLeader is the error of an operator's request that was not answered in time, as while the consensus has no
// leader.
var errNoLeader = errors.New("nobody leads in settling the order just now; say it again")

// propose has submit hand a request to the node, which returns its number, and waits for the reply to it. A reply with
// an error is returned with that error; errNoLeader is the error once ctx or the member ends.
func (x *consensusMember) propose(ctx context.Context, submit func(now monotime.Micros) uint64) (
	consensus.OperatorReply, error) {
	waiting := make(chan consensus.OperatorReply, 1)
	select {
	case x.events <- func() { x.replies[submit(x.generation.clock.Now())] = waiting }:
	case <-ctx.Done():
		return consensus.OperatorReply{}, errNoLeader
	}
	select {
	case reply := <-waiting:
		if reply.Error != "" {
			return reply, errors.New(reply.Error)
		}
		return reply, nil
	case <-x.done:
	case <-ctx.Done():
		select {
		case x.events <- func() {
			maps.DeleteFunc(x.replies, func(_ uint64, c chan consensus.OperatorReply) bool { return c == waiting })
		}:
		default:
		}
	}
	return consensus.OperatorReply{}, errNoLeader
}

// maintenance answers an operator's call: a command in JSON, or with an empty body a request for the leader's view.
func (d *generation) maintenance(ctx context.Context, body []byte) ([]byte, error) {
	x := d.consensus
	if x == nil {
		return nil, errors.New("work.on is false here, or this process does not serve")
	}
	if len(body) == 0 {
		r, err := x.propose(ctx, func(now monotime.Micros) uint64 { return x.node.RequestView(now) })
		if err != nil {
			return nil, err
		}
		return json.Marshal(r.View)
	}
	var received maintenance.Command
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, fmt.Errorf("the body makes no sense: %w", err)
	}
	command := maintenance.Command{ // only the fields that an operator may set
		Request:       received.Request,
		CancelRequest: received.CancelRequest,
		Complete:      received.Complete,
		Hold:          received.Hold,
		Forget:        received.Forget,
	}
	r, err := x.propose(ctx, func(now monotime.Micros) uint64 { return x.node.Submit(now, command) })
	return []byte(r.Answer), err
}
