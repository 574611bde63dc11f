package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// memoryStore is a LogStore in memory, which outlives its simulated process.
type memoryStore struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	entries   []*raftpb.Entry
	failing   bool
}

var errDiskFull = errors.New("the disk is full")

func (s *memoryStore) Load() (StoredLog, bool, error) {
	if s.failing {
		return StoredLog{}, false, errDiskFull
	}
	if s.snapshot == nil {
		return StoredLog{}, true, nil
	}
	return StoredLog{HardState: s.hardState, Snapshot: s.snapshot, Entries: slices.Clone(s.entries)}, false, nil
}

func (s *memoryStore) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if s.failing {
		return errDiskFull
	}
	if hardState != nil {
		s.hardState = proto.Clone(hardState).(*raftpb.HardState)
	}
	if index := snapshot.GetMetadata().GetIndex(); index > 0 {
		s.snapshot = snapshot
		s.entries = slices.DeleteFunc(s.entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	}
	if len(entries) > 0 {
		firstIndex := entries[0].GetIndex()
		s.entries = slices.DeleteFunc(s.entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= firstIndex })
		s.entries = append(s.entries, entries...)
	}
	return nil
}

var testSettings = maintenance.Settings{
	MaxOut: 2, MaxOutPerZone: 1, MaxAnnounced: 4, Headroom: 0.1,
	LeaseDuration: monotime.Second, InFlightGrace: monotime.Second / 2, Warmup: monotime.Second, MaxClockDrift: 0.005,
}

// instance is a simulated instance, whose requests are in flight at machines while it runs.
type instance struct {
	name                string
	node                *Node
	running             bool
	pausedUntil         float64
	clockRate           float64
	clockStartedAt      float64
	store               *memoryStore       // nil if it is not a voter
	inFlight            map[string]float64 // end of the latest request in flight, by machine
	predecessorInFlight map[string]float64 // the same of the predecessor in a hot restart
}

func (inst *instance) localTime(now float64) monotime.Micros {
	return monotime.Micros((now - inst.clockStartedAt) * inst.clockRate)
}

// delivery is a message in flight.
type delivery struct {
	deliverAt         float64
	sender, recipient *instance
	message           Message
}

// fault is a planted error that the cluster's checks must find.
type fault string

const (
	noFault              fault = ""
	faultIgnoresPlan     fault = "an instance ignores the plan"
	faultSendsUnplanned  fault = "an instance sends before it has a plan"
	faultSlowClock       fault = "leases outlive their time"
	faultIgnoresAnnounce fault = "an instance without a lease excludes no machine"
)

// cluster simulates a fleet: processes, clocks, the network between instances, and the requests that they send to
// machines. Times are in microseconds.
type cluster struct {
	t               testing.TB
	rng             *rand.Rand
	now             float64
	instances       []*instance
	voters          []string
	deliveries      []delivery
	cutLinks        map[[2]string]bool // from, to
	lossProbability float64
	incarnations    uint64
	machines        []maintenance.MachineStatus
	tickInterval    monotime.Micros
	mostApplied     *instance // the one with the highest applied index
	plantedFault    fault
	sentRequests    int    // requests sent to machines
	firstViolation  string // the first one that check has found
}

// newCluster starts a cluster of three voters, i0 to i2, and the given number of other instances.
func newCluster(tb testing.TB, nonVoters int, seed uint64) *cluster {
	tb.Helper()
	const voters = 3
	c := &cluster{
		t:            tb,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		cutLinks:     map[[2]string]bool{},
		tickInterval: monotime.Second / 20,
	}
	if seed%2 == 1 {
		// A leader that is cut off believes that it leads for longer than a lease.
		c.tickInterval = monotime.Second / 5
	}
	for i := range 8 {
		c.machines = append(c.machines, maintenance.MachineStatus{
			Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Kind: "k", Cell: i % 4, Capacity: 1, Healthy: true,
		})
	}
	for i := range voters + nonVoters {
		inst := &instance{name: fmt.Sprint("i", i)}
		if i < voters {
			c.voters = append(c.voters, inst.name)
			inst.store = &memoryStore{}
		}
		c.instances = append(c.instances, inst)
	}
	for _, inst := range c.instances {
		c.startProcess(inst)
	}
	return c
}

// start starts a process of an instance, with a clock of its own.
func (c *cluster) startProcess(inst *instance) {
	c.incarnations++
	inst.clockRate = 1 + 0.005*(2*c.rng.Float64()-1)
	inst.clockStartedAt = c.now - 1e6*c.rng.Float64()
	inst.running = true
	inst.pausedUntil = 0
	inst.inFlight = map[string]float64{}
	inst.predecessorInFlight = nil
	if c.plantedFault == faultSlowClock && inst.name != "i1" {
		inst.clockRate *= 0.3
	}
	var store LogStore
	if inst.store != nil {
		store = inst.store
	}
	node, err := New(inst.localTime(c.now), c.nodeSettings(inst), c.incarnations, store)
	if err != nil && node == nil {
		c.t.Fatal(err)
	}
	c.attachNode(inst, node)
}

func (c *cluster) nodeSettings(inst *instance) Settings {
	return Settings{Self: inst.name, Voters: c.voters, Maintenance: testSettings, TickInterval: c.tickInterval}
}

// attach lets an instance run a node.
func (c *cluster) attachNode(inst *instance, node *Node) {
	inst.node = node
	fleetStatus := func() maintenance.FleetStatus {
		return maintenance.FleetStatus{Machines: c.machines, Usage: 3, PeakUsage: 3}
	}
	node.SetSources(fleetStatus, func(machine string) int {
		if inst.inFlight[machine] > c.now {
			return 1
		}
		return 0
	})
}

func (c *cluster) killProcess(inst *instance) { inst.running = false }

// isolate cuts the messages of an instance to all others, and from them where both is set.
func (c *cluster) isolateInstance(inst *instance, bothDirections bool) {
	for _, other := range c.instances {
		c.cutLinks[[2]string{inst.name, other.name}] = true
		if bothDirections {
			c.cutLinks[[2]string{other.name, inst.name}] = true
		}
	}
}

// heal ends all faults of the network.
func (c *cluster) healNetwork() {
	clear(c.cutLinks)
	c.lossProbability = 0
}

func (c *cluster) findInstance(name string) *instance {
	for _, inst := range c.instances {
		if inst.name == name {
			return inst
		}
	}
	return nil
}

// sendMessages puts an instance's messages on the network.
func (c *cluster) sendMessages(inst *instance) {
	for _, outgoing := range inst.node.TakeOutgoing() {
		recipient := c.findInstance(outgoing.To)
		if recipient == nil || c.rng.Float64() < c.lossProbability {
			continue
		}
		delay := 200 + 1000*c.rng.ExpFloat64()
		if c.rng.Float64() < c.lossProbability {
			delay += 3e6 * c.rng.Float64()
		}
		c.deliveries = append(c.deliveries,
			delivery{deliverAt: c.now + delay, sender: inst, recipient: recipient, message: outgoing.Message})
	}
}

// step advances the time: messages arrive, timers fire, and each instance sends requests to machines.
func (c *cluster) advance(duration float64) {
	c.now += duration
	inTransit := c.deliveries
	c.deliveries = nil
	for _, pending := range inTransit {
		switch {
		case pending.deliverAt > c.now || pending.recipient.pausedUntil > c.now:
			c.deliveries = append(c.deliveries, pending)
		case pending.recipient.running && !c.cutLinks[[2]string{pending.sender.name, pending.recipient.name}]:
			pending.recipient.node.Receive(pending.recipient.localTime(c.now), pending.sender.name, pending.message)
			c.sendMessages(pending.recipient)
		}
	}
	for _, inst := range c.instances {
		if !inst.running || inst.pausedUntil > c.now {
			continue
		}
		if localTime := inst.localTime(c.now); localTime >= inst.node.NextTick() {
			inst.node.Tick(localTime)
			c.sendMessages(inst)
		}
		c.sendRequest(inst)
		if inst.node.rawNode == nil {
			continue
		}
		if c.mostApplied == nil || !c.mostApplied.running || inst.node.appliedIndex >= c.mostApplied.node.appliedIndex {
			c.mostApplied = inst
		}
	}
	c.checkSafety()
}

// sendRequest lets an instance send a request to a random machine if its follower allows that, and end the requests
// that its follower requires to end.
func (c *cluster) sendRequest(inst *instance) {
	follower := inst.node.PlanFollower()
	localTime := inst.localTime(c.now)
	excluded := follower.ExcludedMachines(localTime)
	if follower.MustEndInFlight(localTime) {
		for _, machine := range excluded {
			delete(inst.inFlight, machine)
		}
	}
	if !follower.HasPlan() && c.plantedFault != faultSendsUnplanned {
		return
	}
	machine := c.machines[c.rng.IntN(len(c.machines))].Name
	if c.plantedFault == faultIgnoresPlan && inst.name == "i4" {
		excluded = nil
	}
	if c.plantedFault == faultIgnoresAnnounce {
		excluded = excludedUnderLease(follower, localTime)
	}
	if !slices.Contains(excluded, machine) {
		inst.inFlight[machine] = c.now + 200_000*c.rng.ExpFloat64()
		c.sentRequests++
	}
}

// excludedUnderLease returns the machines that are excluded during a lease. An instance that still uses that list after
// its lease has the fault.
func excludedUnderLease(follower *maintenance.Follower, now monotime.Micros) (excluded []string) {
	underLease := follower.ExcludedMachines(now - 10*monotime.Second)
	for _, machine := range follower.ExcludedMachines(now) {
		if slices.Contains(underLease, machine) {
			excluded = append(excluded, machine)
		}
	}
	return excluded
}

// check compares all instances with the state of the voter that has applied most: nothing is in flight at a machine
// under maintenance, and no bound is broken.
func (c *cluster) checkSafety() {
	if c.mostApplied == nil || c.firstViolation != "" {
		return
	}
	outByZone := map[string]int{}
	outCount := 0
	for name, machine := range c.mostApplied.node.State().Machines {
		if machine.Phase < maintenance.Draining || machine.Phase == maintenance.Returning {
			continue
		}
		outCount++
		outByZone[c.zoneOf(name)]++
		if machine.Phase == maintenance.UnderMaintenance {
			c.checkNothingInFlight(name)
		}
	}
	for zone, count := range outByZone {
		if count > testSettings.MaxOutPerZone {
			c.firstViolation = fmt.Sprintf("%d of zone %s are out", count, zone)
		}
	}
	if outCount > testSettings.MaxOut {
		c.firstViolation = fmt.Sprintf("%d are out", outCount)
	}
}

func (c *cluster) checkNothingInFlight(machine string) {
	for _, inst := range c.instances {
		if inst.running && (inst.inFlight[machine] > c.now || inst.predecessorInFlight[machine] > c.now) {
			c.firstViolation = fmt.Sprintf("%s has a request in flight at %s, which is under maintenance, at %.0f",
				inst.name, machine, c.now)
		}
	}
}

func (c *cluster) zoneOf(machine string) string {
	i := slices.IndexFunc(c.machines, func(m maintenance.MachineStatus) bool { return m.Name == machine })
	return c.machines[i].Zone
}

func (c *cluster) runFor(duration float64) {
	for end := c.now + duration; c.now < end && c.firstViolation == ""; {
		c.advance(5000)
	}
	if c.firstViolation != "" && c.plantedFault == noFault {
		c.t.Fatal(c.firstViolation)
	}
}

// submit submits an operator's command at an instance until it has a reply.
func (c *cluster) submit(instanceName string, command maintenance.Command) OperatorReply {
	c.t.Helper()
	inst := c.findInstance(instanceName)
	for range 40 {
		number := inst.node.Submit(inst.localTime(c.now), command)
		c.sendMessages(inst)
		for range 100 {
			c.runFor(5000)
			if reply, ok := inst.node.TakeReply(number); ok {
				return reply
			}
		}
	}
	c.t.Fatal("an operator gets no reply")
	return OperatorReply{}
}

// request submits a request for machines at an instance that is not a voter.
func (c *cluster) requestMaintenance(id string, machines ...string) OperatorReply {
	c.t.Helper()
	return c.submit("i3", maintenance.Command{Request: &maintenance.Request{
		ID: id, Machines: machines, Duration: 60 * monotime.Second, Reason: "kernel", Requester: "ana",
	}})
}

// finish completes the work on each machine that is under maintenance, for the given time, and returns the number of
// machines that are left in the plan.
func (c *cluster) completeMaintenance(duration float64) (remaining int) {
	for end := c.now + duration; c.now < end && c.firstViolation == ""; {
		c.runFor(1e5)
		if c.mostApplied == nil {
			continue
		}
		for _, machine := range c.mostApplied.node.State().Machines {
			if machine.Phase == maintenance.UnderMaintenance {
				c.submit(c.mostApplied.name, newCompletion(machine))
				break
			}
		}
		if len(c.mostApplied.node.State().Machines) == 0 {
			return 0
		}
	}
	return len(c.mostApplied.node.State().Machines)
}

func newCompletion(machine *maintenance.Machine) maintenance.Command {
	return maintenance.Command{Complete: &maintenance.Completion{Request: machine.Requests[0], Machine: machine.Name}}
}

func (c *cluster) machineNames() (names []string) {
	for _, m := range c.machines {
		names = append(names, m.Name)
	}
	return names
}

// injectFaults injects random faults for a number of rounds, while maintenance goes on.
func (c *cluster) injectFaults(rounds int) {
	for range rounds {
		c.injectFault(c.instances[c.rng.IntN(len(c.instances))])
		c.runFor(c.rng.Float64() * 3e6)
		inst := c.mostApplied
		if c.firstViolation != "" || inst == nil || !inst.running || inst.pausedUntil >= c.now {
			continue
		}
		for _, machine := range inst.node.State().Machines {
			if machine.Phase == maintenance.UnderMaintenance && c.rng.IntN(2) == 0 {
				inst.node.Submit(inst.localTime(c.now), newCompletion(machine))
				c.sendMessages(inst)
			}
		}
	}
}

// injectFault injects one random fault, of the given instance or of the network.
func (c *cluster) injectFault(inst *instance) {
	switch c.rng.IntN(9) {
	case 0, 1:
		c.killProcess(inst)
		c.runFor(c.rng.Float64() * 2e6)
		c.startProcess(inst)
	case 2:
		inst.pausedUntil = c.now + c.rng.Float64()*5e6
	case 3:
		c.isolateInstance(inst, true)
	case 4:
		c.isolateInstance(inst, false)
	case 5:
		clear(c.cutLinks)
	case 6:
		for _, other := range c.instances {
			c.killProcess(other)
		}
		c.runFor(c.rng.Float64() * 1e6)
		for _, other := range c.instances {
			c.startProcess(other)
		}
	case 7:
		c.lossProbability = c.rng.Float64() * 0.2
	case 8:
		c.hotRestart(inst)
	}
}

// hotRestart replaces an instance's process by a successor. The predecessor ends its requests within a lease and the
// grace time.
func (c *cluster) hotRestart(inst *instance) {
	inFlight := inst.inFlight
	for machine, endsAt := range inFlight {
		inFlight[machine] = min(endsAt, c.now+1.4e6)
	}
	c.startProcess(inst)
	inst.predecessorInFlight = inFlight
}
