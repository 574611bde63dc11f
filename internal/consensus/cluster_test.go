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
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
	broken   bool
}

var errDiskFull = errors.New("the disk is full")

func (s *memoryStore) Load() (StoredLog, bool, error) {
	if s.broken {
		return StoredLog{}, false, errDiskFull
	}
	if s.snapshot == nil {
		return StoredLog{}, true, nil
	}
	return StoredLog{HardState: s.hard, Snapshot: s.snapshot, Entries: slices.Clone(s.entries)}, false, nil
}

func (s *memoryStore) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if s.broken {
		return errDiskFull
	}
	if hard != nil {
		s.hard = proto.Clone(hard).(*raftpb.HardState)
	}
	if index := snapshot.GetMetadata().GetIndex(); index > 0 {
		s.snapshot = snapshot
		s.entries = slices.DeleteFunc(s.entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		s.entries = slices.DeleteFunc(s.entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
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
	name        string
	node        *Node
	running     bool
	pausedUntil float64
	clockRate   float64
	clockZero   float64
	store       *memoryStore       // nil if it is not a voter
	inFlight    map[string]float64 // end of the latest request in flight, by machine
	predecessor map[string]float64 // the same of the predecessor in a hot restart
}

func (p *instance) clock(now float64) monotime.Micros {
	return monotime.Micros((now - p.clockZero) * p.clockRate)
}

// delivery is a message in flight.
type delivery struct {
	at       float64
	from, to *instance
	message  Message
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
	t            testing.TB
	rng          *rand.Rand
	now          float64
	instances    []*instance
	voters       []string
	deliveries   []delivery
	cut          map[[2]string]bool // from, to
	loss         float64
	incarnations uint64
	machines     []maintenance.MachineStatus
	tickInterval monotime.Micros
	furthest     *instance // the one with the highest applied index
	fault        fault
	sent         int    // requests sent to machines
	violation    string // the first one that check has found
}

// newCluster starts a cluster of three voters, i0 to i2, and the given number of other instances.
func newCluster(tb testing.TB, others int, seed uint64) *cluster {
	tb.Helper()
	const voters = 3
	c := &cluster{
		t:            tb,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		cut:          map[[2]string]bool{},
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
	for i := range voters + others {
		p := &instance{name: fmt.Sprint("i", i)}
		if i < voters {
			c.voters = append(c.voters, p.name)
			p.store = &memoryStore{}
		}
		c.instances = append(c.instances, p)
	}
	for _, p := range c.instances {
		c.start(p)
	}
	return c
}

// start starts a process of an instance, with a clock of its own.
func (c *cluster) start(p *instance) {
	c.incarnations++
	p.clockRate = 1 + 0.005*(2*c.rng.Float64()-1)
	p.clockZero = c.now - 1e6*c.rng.Float64()
	p.running = true
	p.pausedUntil = 0
	p.inFlight = map[string]float64{}
	p.predecessor = nil
	if c.fault == faultSlowClock && p.name != "i1" {
		p.clockRate *= 0.3
	}
	var store LogStore
	if p.store != nil {
		store = p.store
	}
	node, err := New(p.clock(c.now), c.settingsOf(p), c.incarnations, store)
	if err != nil && node == nil {
		c.t.Fatal(err)
	}
	c.attach(p, node)
}

func (c *cluster) settingsOf(p *instance) Settings {
	return Settings{Self: p.name, Voters: c.voters, Maintenance: testSettings, TickInterval: c.tickInterval}
}

// attach lets an instance run a node.
func (c *cluster) attach(p *instance, node *Node) {
	p.node = node
	status := func() maintenance.FleetStatus {
		return maintenance.FleetStatus{Machines: c.machines, Usage: 3, PeakUsage: 3}
	}
	node.SetSources(status, func(machine string) int {
		if p.inFlight[machine] > c.now {
			return 1
		}
		return 0
	})
}

func (c *cluster) kill(p *instance) { p.running = false }

// isolate cuts the messages of an instance to all others, and from them where both is set.
func (c *cluster) isolate(p *instance, both bool) {
	for _, other := range c.instances {
		c.cut[[2]string{p.name, other.name}] = true
		if both {
			c.cut[[2]string{other.name, p.name}] = true
		}
	}
}

// heal ends all faults of the network.
func (c *cluster) heal() {
	clear(c.cut)
	c.loss = 0
}

func (c *cluster) find(name string) *instance {
	for _, p := range c.instances {
		if p.name == name {
			return p
		}
	}
	return nil
}

// sendMessages puts an instance's messages on the network.
func (c *cluster) sendMessages(p *instance) {
	for _, out := range p.node.TakeOutgoing() {
		to := c.find(out.To)
		if to == nil || c.rng.Float64() < c.loss {
			continue
		}
		delay := 200 + 1000*c.rng.ExpFloat64()
		if c.rng.Float64() < c.loss {
			delay += 3e6 * c.rng.Float64()
		}
		c.deliveries = append(c.deliveries, delivery{at: c.now + delay, from: p, to: to, message: out.Message})
	}
}

// step advances the time: messages arrive, timers fire, and each instance sends requests to machines.
func (c *cluster) step(d float64) {
	c.now += d
	inFlight := c.deliveries
	c.deliveries = nil
	for _, m := range inFlight {
		switch {
		case m.at > c.now || m.to.pausedUntil > c.now:
			c.deliveries = append(c.deliveries, m)
		case m.to.running && !c.cut[[2]string{m.from.name, m.to.name}]:
			m.to.node.Receive(m.to.clock(c.now), m.from.name, m.message)
			c.sendMessages(m.to)
		}
	}
	for _, p := range c.instances {
		if !p.running || p.pausedUntil > c.now {
			continue
		}
		if now := p.clock(c.now); now >= p.node.NextTick() {
			p.node.Tick(now)
			c.sendMessages(p)
		}
		c.sendRequest(p)
		if p.node.rawNode == nil {
			continue
		}
		if c.furthest == nil || !c.furthest.running || p.node.appliedIndex >= c.furthest.node.appliedIndex {
			c.furthest = p
		}
	}
	c.check()
}

// sendRequest lets an instance send a request to a random machine if its follower allows that, and end the requests
// that its follower requires to end.
func (c *cluster) sendRequest(p *instance) {
	follower := p.node.PlanFollower()
	now := p.clock(c.now)
	excluded := follower.ExcludedMachines(now)
	if follower.MustEndInFlight(now) {
		for _, machine := range excluded {
			delete(p.inFlight, machine)
		}
	}
	if !follower.HasPlan() && c.fault != faultSendsUnplanned {
		return
	}
	machine := c.machines[c.rng.IntN(len(c.machines))].Name
	if c.fault == faultIgnoresPlan && p.name == "i4" {
		excluded = nil
	}
	if c.fault == faultIgnoresAnnounce {
		excluded = excludedUnderLease(follower, now)
	}
	if !slices.Contains(excluded, machine) {
		p.inFlight[machine] = c.now + 200_000*c.rng.ExpFloat64()
		c.sent++
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
func (c *cluster) check() {
	if c.furthest == nil || c.violation != "" {
		return
	}
	outOfZone := map[string]int{}
	out := 0
	for name, m := range c.furthest.node.State().Machines {
		if m.Phase < maintenance.Draining || m.Phase == maintenance.Returning {
			continue
		}
		out++
		outOfZone[c.zoneOf(name)]++
		if m.Phase == maintenance.UnderMaintenance {
			c.checkNothingInFlight(name)
		}
	}
	for zone, count := range outOfZone {
		if count > testSettings.MaxOutPerZone {
			c.violation = fmt.Sprintf("%d of zone %s are out", count, zone)
		}
	}
	if out > testSettings.MaxOut {
		c.violation = fmt.Sprintf("%d are out", out)
	}
}

func (c *cluster) checkNothingInFlight(machine string) {
	for _, p := range c.instances {
		if p.running && (p.inFlight[machine] > c.now || p.predecessor[machine] > c.now) {
			c.violation = fmt.Sprintf("%s has a request in flight at %s, which is under maintenance, at %.0f",
				p.name, machine, c.now)
		}
	}
}

func (c *cluster) zoneOf(machine string) string {
	i := slices.IndexFunc(c.machines, func(m maintenance.MachineStatus) bool { return m.Name == machine })
	return c.machines[i].Zone
}

func (c *cluster) run(d float64) {
	for end := c.now + d; c.now < end && c.violation == ""; {
		c.step(5000)
	}
	if c.violation != "" && c.fault == noFault {
		c.t.Fatal(c.violation)
	}
}

// submit submits an operator's command at an instance until it has a reply.
func (c *cluster) submit(at string, command maintenance.Command) OperatorReply {
	c.t.Helper()
	p := c.find(at)
	for range 40 {
		number := p.node.Submit(p.clock(c.now), command)
		c.sendMessages(p)
		for range 100 {
			c.run(5000)
			if reply, ok := p.node.TakeReply(number); ok {
				return reply
			}
		}
	}
	c.t.Fatal("an operator gets no reply")
	return OperatorReply{}
}

// request submits a request for machines at an instance that is not a voter.
func (c *cluster) request(id string, machines ...string) OperatorReply {
	c.t.Helper()
	return c.submit("i3", maintenance.Command{Request: &maintenance.Request{
		ID: id, Machines: machines, Duration: 60 * monotime.Second, Reason: "kernel", Requester: "ana",
	}})
}

// finish completes the work on each machine that is under maintenance, for the given time, and returns the number of
// machines that are left in the plan.
func (c *cluster) finish(d float64) (left int) {
	for end := c.now + d; c.now < end && c.violation == ""; {
		c.run(1e5)
		if c.furthest == nil {
			continue
		}
		for _, m := range c.furthest.node.State().Machines {
			if m.Phase == maintenance.UnderMaintenance {
				c.submit(c.furthest.name, completionOf(m))
				break
			}
		}
		if len(c.furthest.node.State().Machines) == 0 {
			return 0
		}
	}
	return len(c.furthest.node.State().Machines)
}

func completionOf(m *maintenance.Machine) maintenance.Command {
	return maintenance.Command{Complete: &maintenance.Completion{Request: m.Requests[0], Machine: m.Name}}
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
		c.run(c.rng.Float64() * 3e6)
		p := c.furthest
		if c.violation != "" || p == nil || !p.running || p.pausedUntil >= c.now {
			continue
		}
		for _, m := range p.node.State().Machines {
			if m.Phase == maintenance.UnderMaintenance && c.rng.IntN(2) == 0 {
				p.node.Submit(p.clock(c.now), completionOf(m))
				c.sendMessages(p)
			}
		}
	}
}

// injectFault injects one random fault, of the given instance or of the network.
func (c *cluster) injectFault(p *instance) {
	switch c.rng.IntN(9) {
	case 0, 1:
		c.kill(p)
		c.run(c.rng.Float64() * 2e6)
		c.start(p)
	case 2:
		p.pausedUntil = c.now + c.rng.Float64()*5e6
	case 3:
		c.isolate(p, true)
	case 4:
		c.isolate(p, false)
	case 5:
		clear(c.cut)
	case 6:
		for _, other := range c.instances {
			c.kill(other)
		}
		c.run(c.rng.Float64() * 1e6)
		for _, other := range c.instances {
			c.start(other)
		}
	case 7:
		c.loss = c.rng.Float64() * 0.2
	case 8:
		c.hotRestart(p)
	}
}

// hotRestart replaces an instance's process by a successor. The predecessor ends its requests within a lease and the
// grace time.
func (c *cluster) hotRestart(p *instance) {
	predecessor := p.inFlight
	for machine, until := range predecessor {
		predecessor[machine] = min(until, c.now+1.4e6)
	}
	c.start(p)
	p.predecessor = predecessor
}
