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

// memoryStore is a LogStore in memory. It is kept when its simulated process is killed, as a disk would be.
type memoryStore struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	entries   []*raftpb.Entry
	failing   bool // Load and Save return errDiskFull
}

// errDiskFull is the error of a memoryStore that is set to fail.
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

// testSettings are the maintenance settings of the simulated fleet.
var testSettings = maintenance.Settings{
	MaxOut: 2, MaxOutPerZone: 1, MaxAnnounced: 4, Headroom: 0.1,
	LeaseDuration: monotime.Second, InFlightGrace: monotime.Second / 2, Warmup: monotime.Second, MaxClockDrift: 0.005,
}

// instance is a simulated instance that sends requests to machines while its process runs.
type instance struct {
	name                string
	node                *Node
	running             bool               // whether the process runs
	pausedUntil         float64            // end of the latest pause of the process, on the cluster's clock
	clockRate           float64            // microseconds of the local clock per microsecond of the cluster's clock
	clockStartedAt      float64            // when the local clock was 0, on the cluster's clock
	store               *memoryStore       // nil for an instance that is not a voter
	inFlight            map[string]float64 // end of the latest request in flight, by machine
	predecessorInFlight map[string]float64 // the same for the predecessor process after a hot restart
}

// localTime converts a time of the cluster's clock to the instance's clock.
func (inst *instance) localTime(now float64) monotime.Micros {
	return monotime.Micros((now - inst.clockStartedAt) * inst.clockRate)
}

// delivery is a message in transit between two instances.
type delivery struct {
	deliverAt         float64
	sender, recipient *instance
	message           Message
}

// fault is a programming error that a simulation plants in its instances, and that checkSafety must detect.
type fault string

const (
	noFault              fault = ""
	faultIgnoresPlan     fault = "an instance ignores the plan"
	faultSendsUnplanned  fault = "an instance sends before it has a plan"
	faultSlowClock       fault = "leases are used longer than their duration"
	faultIgnoresAnnounce fault = "an instance without a lease excludes no machine"
)

// cluster simulates a fleet: its processes and their clocks, the network between instances, and the requests that
// instances send to machines. Times and durations of type float64 are in microseconds.
type cluster struct {
	t               testing.TB
	rng             *rand.Rand
	now             float64 // the cluster's clock
	instances       []*instance
	voters          []string // names of the voters
	deliveries      []delivery
	cutLinks        map[[2]string]bool // links that lose all messages, by names of sender and recipient
	lossProbability float64            // of losing a message, and of delaying a message by up to 3 s
	incarnations    uint64             // processes started so far; the latest incarnation
	machines        []maintenance.MachineStatus
	tickInterval    monotime.Micros
	mostApplied     *instance // the running voter with the highest applied index
	plantedFault    fault     // noFault in simulations that must pass
	sentRequests    int       // number of requests sent to machines
	firstViolation  string    // first violation that checkSafety has found; empty if none
}

// newCluster starts a cluster of three voters, named i0 to i2, and the given number of instances that are not
// voters. Seeds that are odd get longer raft ticks.
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
		// With this tick interval a leader that is partitioned from the other voters continues to regard itself as
		// the leader for longer than the duration of a lease.
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

// startProcess starts a new process of an instance. The process gets its own clock, whose rate differs from the
// cluster's clock by up to 0.5%.
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

// nodeSettings returns the settings of an instance's Node.
func (c *cluster) nodeSettings(inst *instance) Settings {
	return Settings{Self: inst.name, Voters: c.voters, Maintenance: testSettings, TickInterval: c.tickInterval}
}

// attachNode makes a Node the Node of an instance, and sets its sources.
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

// killProcess ends an instance's process. Its memoryStore remains.
func (c *cluster) killProcess(inst *instance) { inst.running = false }

// isolateInstance cuts the links from an instance to all others. With bothDirections it also cuts the links from
// the others to the instance.
func (c *cluster) isolateInstance(inst *instance, bothDirections bool) {
	for _, other := range c.instances {
		c.cutLinks[[2]string{inst.name, other.name}] = true
		if bothDirections {
			c.cutLinks[[2]string{other.name, inst.name}] = true
		}
	}
}

// healNetwork ends all faults of the network.
func (c *cluster) healNetwork() {
	clear(c.cutLinks)
	c.lossProbability = 0
}

// findInstance returns the instance with a name, or nil.
func (c *cluster) findInstance(name string) *instance {
	for _, inst := range c.instances {
		if inst.name == name {
			return inst
		}
	}
	return nil
}

// sendMessages takes the outgoing messages of an instance and sends them over the simulated network.
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

// advance advances the cluster's clock: messages that are due arrive, timers fire, and each instance may send a
// request to a machine. Then it checks the safety properties.
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

// sendRequest ends the requests in flight that the instance's follower requires to end, and sends a request to a
// random machine if the follower permits it.
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

// excludedUnderLease returns the machines that the plan excludes during a lease, even if the lease has expired. An
// instance that uses this list after its lease has expired has faultIgnoresAnnounce: it must also exclude the
// announced machines then.
func excludedUnderLease(follower *maintenance.Follower, now monotime.Micros) (excluded []string) {
	underLease := follower.ExcludedMachines(now - 10*monotime.Second)
	for _, machine := range follower.ExcludedMachines(now) {
		if slices.Contains(underLease, machine) {
			excluded = append(excluded, machine)
		}
	}
	return excluded
}

// checkSafety compares all instances with the replicated state at the voter that has applied the most entries. No
// request may be in flight at a machine under maintenance, and no more machines may be out of service, in the fleet
// and in each zone, than the settings allow.
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
			c.firstViolation = fmt.Sprintf("%d machines of zone %s are out of service", count, zone)
		}
	}
	if outCount > testSettings.MaxOut {
		c.firstViolation = fmt.Sprintf("%d machines are out of service", outCount)
	}
}

// checkNothingInFlight records a violation if an instance has a request in flight at a machine.
func (c *cluster) checkNothingInFlight(machine string) {
	for _, inst := range c.instances {
		if inst.running && (inst.inFlight[machine] > c.now || inst.predecessorInFlight[machine] > c.now) {
			c.firstViolation = fmt.Sprintf("%s has a request in flight at %s, which is under maintenance, at %.0f",
				inst.name, machine, c.now)
		}
	}
}

// zoneOf returns the zone of a machine.
func (c *cluster) zoneOf(machine string) string {
	i := slices.IndexFunc(c.machines, func(m maintenance.MachineStatus) bool { return m.Name == machine })
	return c.machines[i].Zone
}

// runFor runs the simulation for a duration, or until the first violation. A violation without a planted fault
// fails the test.
func (c *cluster) runFor(duration float64) {
	for end := c.now + duration; c.now < end && c.firstViolation == ""; {
		c.advance(5000)
	}
	if c.firstViolation != "" && c.plantedFault == noFault {
		c.t.Fatal(c.firstViolation)
	}
}

// submit submits an operator's command at an instance and returns the reply. If no reply arrives within 0.5 s, it
// submits the command again, and after 40 attempts it fails the test.
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
	c.t.Fatal("an operator's command got no reply")
	return OperatorReply{}
}

// requestMaintenance requests maintenance of machines, at instance i3, which is not a voter.
func (c *cluster) requestMaintenance(id string, machines ...string) OperatorReply {
	c.t.Helper()
	return c.submit("i3", maintenance.Command{Request: &maintenance.Request{
		ID: id, Machines: machines, Duration: 60 * monotime.Second, Reason: "kernel", Requester: "ana",
	}})
}

// completeMaintenance runs the simulation for a duration, and reports the work on each machine under maintenance as
// complete. It returns the number of machines that remain in the plan.
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

// newCompletion returns the command that completes the work of a machine's first request.
func newCompletion(machine *maintenance.Machine) maintenance.Command {
	return maintenance.Command{Complete: &maintenance.Completion{Request: machine.Requests[0], Machine: machine.Name}}
}

// machineNames returns the names of all machines.
func (c *cluster) machineNames() (names []string) {
	for _, m := range c.machines {
		names = append(names, m.Name)
	}
	return names
}

// injectFaults injects random faults, one in each round. Between the faults, maintenance continues: the work on
// machines under maintenance is completed at random.
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

// injectFault injects one random fault, either of the given instance, of all instances, or of the network.
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

// hotRestart replaces an instance's process by a successor. The predecessor ends its requests in flight after at
// most 1.4 s, which is less than the lease duration and the grace time together.
func (c *cluster) hotRestart(inst *instance) {
	inFlight := inst.inFlight
	for machine, endsAt := range inFlight {
		inFlight[machine] = min(endsAt, c.now+1.4e6)
	}
	c.startProcess(inst)
	inst.predecessorInFlight = inFlight
}
