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

// consensusMember is a generation's part in the consensus on the maintenance plan. It has a goroutine of its
// own, since it keeps a log on disk. The core gets the plan, and requests never wait for any of it.
type consensusMember struct {
	generation *generation
	node       *consensus.Node
	file       *consensus.BoltStore // nil for who is no voter
	events     chan func()
	cancel     context.CancelFunc
	done       chan struct{}

	facts          maintenance.FleetStatus
	factsTime      monotime.Micros
	peak           float64
	peakTime       monotime.Micros
	open           map[string]int
	applied        engine.MaintenancePlan
	replies        map[uint64]chan consensus.OperatorReply
	voteLossLogged bool
}

const (
	observeInterval = 500_000     // microseconds from one look at how machines stand to the next
	peakWindow      = 900_000_000 // for so long what was in use at most counts for the time to come
	tickInterval    = 10 * time.Millisecond
)

// startConsensus starts the consensus member, where the configuration says so. From then on requests are sent
// only once a plan has been received.
func (d *generation) startConsensus() error {
	s := d.config.Consensus()
	if s == nil || d.consensus != nil {
		return nil
	}
	x := &consensusMember{
		generation: d,
		events:     make(chan func(), 1024),
		done:       make(chan struct{}),
		open:       map[string]int{},
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
	node.SetSources(x.machineFacts, func(name string) int { return x.open[name] })
	x.applied = engine.MaintenancePlan{AwaitingPlan: true}
	if o := d.inheritedPlan; o != nil { // the process whose place this one takes has heard one
		x.applied = *o
		node.PlanFollower().Inherit(maintenance.Plan{Excluded: o.Excluded, Announced: o.Announced}, o.LeaseEnd)
	}
	d.core.ApplyMaintenancePlan(x.applied)
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(context.Background())
	d.consensus = x
	go x.run(ctx)
	return nil
}

// stopConsensus stops the consensus member, and returns the plan that is applied: it is applied here until its
// lease ends.
func (d *generation) stopConsensus() (o *engine.MaintenancePlan) {
	if x := d.consensus; x != nil {
		x.cancel()
		<-x.done
		if x.file != nil {
			_ = x.file.Close() // each entry was synced before it was acknowledged
		}
		d.consensus = nil
		if !x.applied.AwaitingPlan {
			o = &x.applied
			d.inheritedPlan = o // should nobody take this process's place, it goes on
		}
	}
	return o
}

// receive takes in a message. It never waits: a message that does not fit the buffer is lost.
func (x *consensusMember) receive(from string, w consensus.Message) {
	select {
	case x.events <- func() { x.node.Receive(x.generation.clock.Now(), from, w) }:
	default:
	}
}

func (x *consensusMember) run(ctx context.Context) {
	defer close(x.done)
	turn := time.NewTicker(tickInterval)
	defer turn.Stop()
	for {
		select {
		case event := <-x.events:
			event()
		case <-turn.C:
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

// observeMachines reads what is in flight at excluded and announced machines, and once in a while the status of
// all machines.
func (x *consensusMember) observeMachines(now monotime.Micros) {
	order, _, _ := x.node.PlanFollower().CurrentPlan()
	names := append(append([]string(nil), order.Excluded...), order.Announced...)
	if len(names) == 0 && now < x.factsTime+observeInterval {
		return
	}
	f, open := x.generation.core.MaintenanceStatus(names)
	x.open = open
	x.factsTime = now
	round := func(v float64) float64 { return math.Round(v*20) / 20 } // what hardly changes is not logged
	if f.Usage > x.peak || now >= x.peakTime+peakWindow {
		x.peak = f.Usage
		x.peakTime = now
	}
	f.Usage = round(f.Usage)
	f.PeakUsage = round(x.peak)
	x.facts = f
}

func (x *consensusMember) machineFacts() maintenance.FleetStatus { return x.facts }

// publish sends messages, passes the plan to the core, and answers operators that wait.
func (x *consensusMember) publish() {
	p := x.generation.gossip.Load()
	for _, o := range x.node.TakeOutgoing() {
		if p != nil {
			p.SendConsensus(o.To, o.Message)
		}
	}
	order, until, end := x.node.PlanFollower().CurrentPlan()
	o := engine.MaintenancePlan{
		AwaitingPlan:  !x.node.PlanFollower().HasPlan(),
		Excluded:      order.Excluded,
		Announced:     order.Announced,
		LeaseEnd:      until,
		DrainDeadline: end,
	}
	if fmt.Sprint(o) != fmt.Sprint(x.applied) {
		if fmt.Sprint(o.Excluded) != fmt.Sprint(x.applied.Excluded) {
			x.generation.log.Info("maintenance plan changed", "out", o.Excluded, "next in line", o.Announced)
		}
		x.applied = o
		x.generation.core.ApplyMaintenancePlan(o)
	}
	for number, c := range x.replies {
		if r, ok := x.node.TakeReply(number); ok {
			c <- r
			delete(x.replies, number)
		}
	}
	if x.node.LogMissing() && x.node.PlanFollower().HasPlan() && !x.voteLossLogged {
		x.voteLossLogged = true
		x.generation.log.Error("consensus log missing, following only")
	}
	if err := x.node.VoterError(); err != nil && !x.voteLossLogged {
		x.voteLossLogged = true
		x.generation.log.Error("consensus vote lost, following only", "error", err)
	}
}

// errNoLeader is returned for a request while the consensus has no leader.
var errNoLeader = errors.New("nobody leads in settling the order just now; say it again")

// propose submits an operator's request, and waits for its answer.
func (x *consensusMember) propose(ctx context.Context, put func(now monotime.Micros) uint64) (
	consensus.OperatorReply, error) {
	answer := make(chan consensus.OperatorReply, 1)
	select {
	case x.events <- func() { x.replies[put(x.generation.clock.Now())] = answer }:
	case <-ctx.Done():
		return consensus.OperatorReply{}, errNoLeader
	}
	select {
	case r := <-answer:
		if r.Error != "" {
			return r, errors.New(r.Error)
		}
		return r, nil
	case <-x.done:
	case <-ctx.Done():
		select {
		case x.events <- func() {
			maps.DeleteFunc(x.replies, func(_ uint64, c chan consensus.OperatorReply) bool { return c == answer })
		}:
		default:
		}
	}
	return consensus.OperatorReply{}, errNoLeader
}

// work answers an operator's call: an order in JSON, or a look at how all stands without one.
func (d *generation) work(ctx context.Context, body []byte) ([]byte, error) {
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
	var order maintenance.Command
	if err := json.Unmarshal(body, &order); err != nil {
		return nil, fmt.Errorf("the body makes no sense: %w", err)
	}
	order = maintenance.Command{
		Request:       order.Request,
		CancelRequest: order.CancelRequest,
		Complete:      order.Complete,
		Hold:          order.Hold,
		Forget:        order.Forget,
	} // an operator says no more
	r, err := x.propose(ctx, func(now monotime.Micros) uint64 { return x.node.Submit(now, order) })
	return []byte(r.Answer), err
}
