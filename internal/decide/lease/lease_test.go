package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const leaseDuration monotime.Micros = 2_000_000

// cluster simulates voters with clocks of different rates, over a network that loses, delays, duplicates and reorders
// messages.
type cluster struct {
	rng           *rand.Rand
	names         []string
	drift         float64 // largest deviation of a clock's rate from the true rate, as a fraction
	now           float64 // true time, in microseconds
	voters        []*Voter
	clockRates    []float64               // clock rate of each voter, relative to the true rate
	clockOrigins  []float64               // true time at which each voter's clock was 0
	stoppedUntil  []float64               // true time until which each voter is stopped
	incarnations  uint64                  // number of processes started
	inFlight      []inFlightMessage       // messages sent but not yet delivered
	partitioned   func(from, to int) bool // reports whether messages between two voters are dropped
	loss          float64                 // probability that a message is lost, duplicated or delayed
	maxExtraDelay float64                 // upper bound of the extra delay of a delayed message, in microseconds

	holder        int                   // index of the latest observed holder; -1 if there is none
	operations    []porcupine.Operation // history of lock operations, for the linearizability check
	observedTerms []Term                // latest observed term of each voter; the zero value if it held no lease
	terms         map[Term]bool         // all observed terms
	termCount     int                   // number of observed terms
}

type inFlightMessage struct {
	arrivesAt float64 // true time of arrival, in microseconds
	from, to  int     // indexes of the voters
	message   Message
}

// noPartition is the value of cluster.partitioned for a network without partitions.
func noPartition(int, int) bool { return false }

func newCluster(voterCount int, seed uint64, drift float64) *cluster {
	c := &cluster{
		rng:         rand.New(rand.NewPCG(seed, 7)),
		drift:       drift,
		holder:      -1,
		terms:       map[Term]bool{},
		partitioned: noPartition,
	}
	for i := range voterCount {
		c.names = append(c.names, fmt.Sprint("v", i))
	}
	c.observedTerms = make([]Term, voterCount)
	c.voters = make([]*Voter, voterCount)
	c.clockRates = make([]float64, voterCount)
	c.clockOrigins = make([]float64, voterCount)
	c.stoppedUntil = make([]float64, voterCount)
	for i := range voterCount {
		c.startProcess(i)
	}
	return c
}

// startProcess replaces voter i by a new process with a new clock.
func (c *cluster) startProcess(i int) {
	c.incarnations++
	if heldTerm := c.observedTerms[i]; heldTerm != (Term{}) { // the replaced process no longer holds the lease
		c.recordOperation(i, lockOperation{heldTerm, false}, c.now)
		c.observedTerms[i] = Term{}
	}
	c.clockRates[i] = 1 + c.drift*(2*c.rng.Float64()-1)
	c.clockOrigins[i] = c.now - 1e6*c.rng.Float64()
	c.stoppedUntil[i] = 0
	v, err := New(c.localTime(i), Settings{
		Self:          c.names[i],
		Incarnation:   c.incarnations,
		Voters:        c.names,
		Duration:      leaseDuration,
		MaxClockDrift: c.drift,
		Seed:          c.incarnations,
	})
	if err != nil {
		panic(err)
	}
	c.voters[i] = v
}

// localTime returns the local time of voter i.
func (c *cluster) localTime(i int) monotime.Micros {
	return monotime.Micros((c.now - c.clockOrigins[i]) * c.clockRates[i])
}

// sendOutgoing puts the outgoing messages of voter i on the network.
func (c *cluster) sendOutgoing(i int) {
	for _, o := range c.voters[i].TakeOutgoing() {
		to := slices.Index(c.names, o.To)
		for copies := 1; copies > 0 && c.rng.Float64() >= c.loss; copies-- {
			if c.rng.Float64() < c.loss {
				copies++ // the message is duplicated
			}
			delay := 200 + c.rng.ExpFloat64()*1000
			if c.rng.Float64() < c.loss {
				delay += c.rng.Float64() * c.maxExtraDelay
			}
			c.inFlight = append(c.inFlight, inFlightMessage{c.now + delay, i, to, o.Message})
		}
	}
}

// step advances the true time by a duration in microseconds. It returns an error if two voters hold the lease.
func (c *cluster) step(duration float64) error {
	c.now += duration
	pending := c.inFlight
	c.inFlight = nil
	for _, f := range pending {
		switch {
		case f.arrivesAt > c.now || c.stoppedUntil[f.to] > c.now:
			c.inFlight = append(c.inFlight, f)
		case !c.partitioned(f.from, f.to):
			c.voters[f.to].Receive(c.localTime(f.to), c.names[f.from], f.message)
			c.sendOutgoing(f.to)
		}
	}
	holders := 0
	for i, v := range c.voters {
		if c.stoppedUntil[i] <= c.now && c.localTime(i) >= v.NextTick() {
			v.Tick(c.localTime(i))
			c.sendOutgoing(i)
		}
		c.recordTermChange(i, v)
		if t, _, held := v.HeldTerm(c.localTime(i)); held { // includes stopped voters, which may resume
			holders++
			if !c.terms[t] {
				c.terms[t] = true
				c.termCount++
			}
			c.holder = i
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d hold the lease at %.0f", holders, c.now)
	}
	if holders == 0 {
		c.holder = -1
	}
	return nil
}

// lockOperation is an operation of a voter that acquires (wins) or releases (loses) the lease.
type lockOperation struct {
	term     Term
	acquired bool // true for winning the lease, false for losing it
}

// recordTermChange records a voter's winning or losing of the lease as operations on a lock. Winning starts when the
// votes are requested and ends when the voter is observed to hold the lease.
func (c *cluster) recordTermChange(i int, v *Voter) {
	term, _, _ := v.HeldTerm(c.localTime(i))
	previous := c.observedTerms[i]
	if previous == term {
		return
	}
	if previous != (Term{}) {
		c.recordOperation(i, lockOperation{previous, false}, c.now)
	}
	if term != (Term{}) {
		requestedAt := float64(v.requestedAt)/c.clockRates[i] + c.clockOrigins[i]
		c.recordOperation(i, lockOperation{term, true}, requestedAt)
	}
	c.observedTerms[i] = term
}

// recordOperation records an operation of voter i that was called at calledAt and returns now.
func (c *cluster) recordOperation(i int, op lockOperation, calledAt float64) {
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: i, Input: op, Call: int64(calledAt), Return: int64(c.now),
	})
}

// lockModel is the sequential specification of a lock: only the holder's term can be released, and the lock can be
// acquired only while no term holds it.
var lockModel = porcupine.Model{
	Init: func() any { return Term{} },
	Step: func(state, in, _ any) (bool, any) {
		if op := in.(lockOperation); op.acquired {
			return state == Term{}, op.term
		} else {
			return state == op.term, Term{}
		}
	},
}

func (c *cluster) run(t interface{ Fatal(...any) }, duration float64) {
	for end := c.now + duration; c.now < end; {
		if err := c.step(2000); err != nil {
			t.Fatal(err)
		}
	}
}

// Two voters never hold the lease at the same time, under random message faults, partitions, stops and kills. After the
// faults end, one voter wins the lease within 8 lease durations and keeps it.
func TestNeverTwoHoldersAndOneElectedOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		voterCount := rapid.SampledFrom([]int{1, 3, 5}).Draw(r, "voters")
		c := newCluster(
			voterCount,
			rapid.Uint64().Draw(r, "seed"),
			rapid.SampledFrom([]float64{0, 0.01}).Draw(r, "drift"),
		)
		c.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(r, "loss")
		c.maxExtraDelay = float64(3 * leaseDuration)
		for range rapid.IntRange(0, 12).Draw(r, "faults") {
			target := rapid.IntRange(0, voterCount-1).Draw(r, "whom")
			switch rapid.SampledFrom([]string{"kill", "stop", "split", "one way", "heal", "all"}).Draw(r, "fault") {
			case "kill":
				c.startProcess(target)
			case "all":
				for j := range voterCount {
					c.startProcess(j)
				}
			case "stop":
				c.stoppedUntil[target] = c.now + c.rng.Float64()*float64(2*leaseDuration)
			case "split":
				c.partitioned = func(from, to int) bool { return (from <= target) != (to <= target) }
			case "one way":
				c.partitioned = func(from, to int) bool { return from <= target && to > target }
			case "heal":
				c.partitioned = noPartition
			}
			c.run(r, c.rng.Float64()*float64(2*leaseDuration))
		}
		c.partitioned = noPartition
		c.loss = 0
		c.run(r, float64(8*leaseDuration))
		if c.holder < 0 {
			r.Fatal("there is no holder after 16 s without a fault")
		}
		previousTermCount := c.termCount
		c.run(r, float64(4*leaseDuration))
		if c.termCount != previousTermCount {
			r.Fatal("the holder changed without a cause")
		}
		if !porcupine.CheckOperations(lockModel, c.operations) {
			r.Fatalf("the holders are not those of a lock: %+v", c.operations)
		}
	})
}

// plantedError modifies a voter's state so that it violates one of the rules that safety depends on.
type plantedError struct {
	atStart bool // plant is called when a voter starts, rather than at random instants
	plant   func(v *Voter)
}

// The simulation must detect two holders whenever a rule that safety depends on is violated. This guards against a
// simulation that is too weak to find such an error.
func TestCheckerDetectsPlantedErrors(t *testing.T) {
	for name, planted := range map[string]plantedError{
		"a voter that starts votes at once": {atStart: true, plant: func(v *Voter) {
			v.votesFrom = 0
			v.nextRoundAt = v.randomDelay()
		}},
		"votes that end before the lease does": {plant: func(v *Voter) {
			v.vote.expiresAt = min(v.vote.expiresAt, v.vote.expiresAt-leaseDuration/2)
		}},
		"a lease that is counted from its votes": {plant: func(v *Voter) { v.heldUntil += leaseDuration / 2 }},
	} {
		found := false
		for seed := uint64(0); seed < 300 && !found; seed++ {
			found = planted.isDetected(seed)
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}

// isDetected reports whether two voters hold the lease at some instant of a run with random faults and the planted
// error.
func (p plantedError) isDetected(seed uint64) (found bool) {
	c := newCluster(3, seed, 0.01)
	c.loss = 0.05
	c.maxExtraDelay = float64(leaseDuration)
	for range 30 {
		p.injectFault(c)
		for range 300 {
			if c.step(5000) != nil {
				found = true
			}
			if !p.atStart && c.rng.IntN(20) == 0 {
				p.plant(c.voters[c.rng.IntN(3)])
			}
		}
	}
	return found
}

// injectFault restarts a random voter, partitions it from the others, or ends the partition.
func (p plantedError) injectFault(c *cluster) {
	target := c.rng.IntN(3)
	switch c.rng.IntN(3) {
	case 0:
		c.startProcess(target)
		if p.atStart {
			p.plant(c.voters[target])
		}
	case 1:
		c.partitioned = func(from, to int) bool { return (from == target) != (to == target) }
	case 2:
		c.partitioned = noPartition
	}
}

func TestResignLetsAnotherVoterWinAtOnce(t *testing.T) {
	c := newCluster(3, 1, 0)
	c.run(t, float64(3*leaseDuration))
	firstHolder := c.holder
	resignedAt := c.now
	if firstHolder < 0 {
		t.Fatal("there is no holder")
	}
	c.voters[firstHolder].Resign(c.localTime(firstHolder))
	c.sendOutgoing(firstHolder)
	for c.holder < 0 || c.holder == firstHolder {
		if err := c.step(1000); err != nil || c.now > resignedAt+float64(leaseDuration) {
			t.Fatalf("%v; after %.0f us there is no other holder", err, c.now-resignedAt)
		}
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, s := range map[string]Settings{
		"self is no voter":         {Self: "a", Voters: []string{"b"}, Duration: leaseDuration},
		"no duration":              {Self: "a", Voters: []string{"a"}},
		"a voter twice":            {Self: "a", Voters: []string{"a", "a"}, Duration: leaseDuration},
		"clocks of arbitrary rate": {Self: "a", Voters: []string{"a"}, Duration: leaseDuration, MaxClockDrift: 0.5},
	} {
		if _, err := New(0, s); err == nil {
			t.Errorf("%s: %+v is accepted", name, s)
		}
	}
}
