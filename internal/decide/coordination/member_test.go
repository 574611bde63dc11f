package coordination

import (
	"fmt"
	"testing"

	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

const (
	second      = monotime.Second
	budgetName  = "b"
	budgetUnits = 100
)

// convergenceTime is the time after which a fleet without faults has an allocator whose recovery has ended, and each
// member has a quota lease.
const convergenceTime = 10 * second

// fleet simulates members that share one clock, over a network that delivers each message after a millisecond.
type fleet struct {
	t        *testing.T
	now      monotime.Micros
	names    []string
	members  map[string]*Member
	isolated map[string]bool // members that receive no messages
	inFlight []inFlightMessage
}

type inFlightMessage struct {
	from, to  string
	arrivesAt monotime.Micros
	message   Message
}

func testSettings(self string, candidates []string, maxInstances int) Settings {
	return Settings{
		Self:          self,
		Candidates:    candidates,
		LeaseDuration: second,
		Seed:          uint64(self[0]),
		Quota: quota.Settings{
			MaxInstances:    maxInstances,
			Reserve:         0.1,
			LeaseDuration:   2 * second,
			RequestInterval: second / 4,
			MaxClockDrift:   0.005,
		},
	}
}

// startFleet starts a fleet with a member of each name. The first three members are candidates.
func startFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, names: names, members: map[string]*Member{}, isolated: map[string]bool{}}
	for i, name := range names {
		f.members[name] = f.newMember(name)
		f.members[name].Start(f.now, uint64(i+1))
	}
	return f
}

func (f *fleet) newMember(name string) *Member {
	f.t.Helper()
	m, err := New(testSettings(name, f.names[:min(3, len(f.names))], len(f.names)))
	require.NoError(f.t, err)
	m.SetBudget(budgetName, budgetUnits, false)
	return m
}

// run advances the time by duration in steps of a millisecond. At each step every member demands a unit, so that the
// whole budget is in demand. run ends the test if the members may together spend more than the budget.
func (f *fleet) run(duration monotime.Micros) {
	f.t.Helper()
	const step = second / 1000
	for end := f.now + duration; f.now < end; f.now += step {
		pending := f.inFlight
		f.inFlight = nil
		for _, m := range pending {
			if m.arrivesAt > f.now {
				f.inFlight = append(f.inFlight, m)
			} else if !f.isolated[m.to] {
				f.members[m.to].Receive(f.now, m.from, m.message)
				f.queueOutgoing(m.to)
			}
		}
		allowed := 0
		for _, name := range f.names {
			m := f.members[name]
			m.RecordDemand(f.now, budgetName)
			if f.now >= m.NextTick() {
				m.Tick(f.now)
			}
			f.queueOutgoing(name)
			allowed += m.Allowed(f.now, budgetName)
		}
		if allowed > budgetUnits {
			f.t.Fatalf("%d of %d units are allowed at %d", allowed, budgetUnits, f.now)
		}
	}
}

// queueOutgoing puts the outgoing messages of a member on the network.
func (f *fleet) queueOutgoing(from string) {
	for _, o := range f.members[from].TakeOutgoing() {
		f.inFlight = append(f.inFlight, inFlightMessage{from, o.To, f.now + second/1000, o.Message})
	}
}

// allocator returns the name of the member that grants quota leases, or an empty string if there is none. It ends the
// test if there are two.
func (f *fleet) allocator() (name string) {
	f.t.Helper()
	for _, candidate := range f.names {
		if _, active := f.members[candidate].allocator.ActiveTerm(); !active {
			continue
		}
		if name != "" {
			f.t.Fatalf("%s and %s are both the allocator", name, candidate)
		}
		name = candidate
	}
	return name
}

// totalAllowed returns the units that all members together may spend within a second.
func (f *fleet) totalAllowed() (sum int) {
	for _, m := range f.members {
		sum += m.Allowed(f.now, budgetName)
	}
	return sum
}

func TestFleetElectsAllocatorAndDividesBudget(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			f := startFleet(t, names...)
			f.run(convergenceTime)
			allocator := f.allocator()
			if allocator == "" {
				t.Fatal("there is no allocator")
			}
			for name, m := range f.members {
				if v := m.View(f.now); v.Allocator != allocator || v.LeaseRemaining <= 0 {
					t.Errorf("%s: %+v, not a lease from %s", name, v, allocator)
				}
			}
			if allowed := f.totalAllowed(); allowed < 9*budgetUnits/10 {
				t.Errorf("only %d of %d units are allowed, though all are in demand", allowed, budgetUnits)
			}
			if v := f.members[allocator].View(f.now); v.RecoveryRemaining != 0 || len(v.Leases) != len(names) {
				t.Errorf("the allocator shows %+v", v)
			}
		})
	}
}

func TestLeavingAllocatorIsReplacedBeforeItsLeaseExpires(t *testing.T) {
	f := startFleet(t, "a", "b", "c", "d")
	f.run(convergenceTime)
	firstAllocator := f.allocator()
	f.members[firstAllocator].resign(f.now)
	f.queueOutgoing(firstAllocator)
	f.run(3 * second / 4) // wait for less than the lease's duration
	if newAllocator := f.allocator(); newAllocator == "" || newAllocator == firstAllocator {
		t.Errorf("the allocator is %q after %s has left", newAllocator, firstAllocator)
	}
}

func TestSilentAllocatorIsReplacedAndLeasesExpire(t *testing.T) {
	f := startFleet(t, "a", "b", "c", "d")
	f.run(convergenceTime)
	firstAllocator := f.allocator()
	f.isolated[firstAllocator] = true
	f.run(convergenceTime)
	newAllocator := f.allocator()
	if newAllocator == "" || newAllocator == firstAllocator {
		t.Errorf("the allocator is %q after %s is cut off", newAllocator, firstAllocator)
	}
	if v := f.members["d"].View(f.now); v.Allocator != newAllocator || v.LeaseRemaining <= 0 {
		t.Errorf("d: %+v, not a lease from %s", v, newAllocator)
	}
	minimum := f.members[firstAllocator].settings.Quota.Minimum(budgetUnits)
	if allowed := f.members[firstAllocator].Allowed(f.now, budgetName); allowed != minimum {
		t.Errorf("the one that is cut off may spend %d, not its minimum of %d", allowed, minimum)
	}
}

func TestSuccessorGoesOnWithLeaseOfPredecessor(t *testing.T) {
	f := startFleet(t, "a", "b", "c", "d")
	f.run(convergenceTime)
	predecessor := f.members["d"]
	allowed := predecessor.Allowed(f.now, budgetName)
	state := predecessor.HandOver(f.now)
	if predecessor.Active() || predecessor.Spend(f.now, budgetName) {
		t.Error("the predecessor spends after it has handed over")
	}
	predecessor.Tick(f.now)
	if outgoing := predecessor.TakeOutgoing(); len(outgoing) != 0 {
		t.Errorf("the predecessor sends %v", outgoing)
	}
	successor := f.newMember("d")
	successor.Restore(f.now, 0, 99, state)
	f.members["d"] = successor
	if successorAllowed := successor.Allowed(f.now, budgetName); successorAllowed != allowed {
		t.Errorf("the successor may spend %d, its predecessor %d", successorAllowed, allowed)
	}
	f.run(second)
	if v := successor.View(f.now); v.LeaseRemaining <= 0 {
		t.Errorf("the successor has no lease of its own: %+v", v)
	}
}

func TestAggregateReachesAllMembersOnceAndExpires(t *testing.T) {
	f := startFleet(t, "a", "b", "c", "d")
	for _, m := range f.members {
		m.SetObserver(func(monotime.Micros) observations.Observations { return observations.Observations{} })
	}
	f.run(convergenceTime)
	d := f.members["d"]
	aggregate, changed := d.TakeAggregate(f.now)
	if !changed || aggregate.Reporters != len(f.names) {
		t.Errorf("d has received %+v, changed %v", aggregate, changed)
	}
	if _, changed := d.TakeAggregate(f.now); changed {
		t.Error("an aggregate is returned as new twice")
	}
	f.isolated["d"] = true
	f.run(2 * aggregateLifetime * d.settings.Quota.RequestInterval)
	if aggregate, changed := d.TakeAggregate(f.now); !changed || aggregate.Reporters != 0 {
		t.Errorf("%+v, changed %v, after the aggregate has expired", aggregate, changed)
	}
	if _, changed := d.TakeAggregate(f.now); changed {
		t.Error("an aggregate expires twice")
	}
}

func TestInactiveMemberIgnoresMessages(t *testing.T) {
	m, err := New(testSettings("a", []string{"a"}, 1))
	require.NoError(t, err)
	m.Receive(0, "b", Message{Request: &quota.LeaseRequest{Incarnation: 1, Sequence: 1}})
	m.Tick(second)
	if outgoing := m.TakeOutgoing(); len(outgoing) != 0 || m.Active() {
		t.Errorf("sends %v before it is started", outgoing)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, change := range map[string]func(s *Settings){
		"quota":             func(s *Settings) { s.Quota.MaxInstances = 0 },
		"no lease":          func(s *Settings) { s.LeaseDuration = 0 },
		"a candidate twice": func(s *Settings) { s.Candidates = []string{"a", "a"} },
	} {
		s := testSettings("a", []string{"a"}, 1)
		change(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: %+v is accepted", name, s)
		}
	}
}
