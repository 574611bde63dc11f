package gossipsim

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// FaultKind is a kind of fault, one of the keys of FaultKinds.
type FaultKind string

// The kinds of faults. Programs take their names as arguments, and RandomFaults draws from the sorted names.
const (
	faultKill              FaultKind = "kill"
	faultRepeatedKill      FaultKind = "kills"
	faultStop              FaultKind = "stop"
	faultSlow              FaultKind = "slow"
	faultPartition         FaultKind = "split"
	faultReceiveBlocked    FaultKind = "deaf"
	faultSendBlocked       FaultKind = "dumb"
	faultFlappingPartition FaultKind = "flap"
	faultPairPartition     FaultKind = "unseen"
	faultLossy             FaultKind = "lossy"
	faultDemandChange      FaultKind = "demand"
	faultDemandOverstated  FaultKind = "lies"
	faultBudgetChange      FaultKind = "budget"
	faultTakeover          FaultKind = "replaced"
)

// FaultKinds has a description of each kind of fault; "they" are the members of the fault.
var FaultKinds = map[FaultKind]string{
	faultKill:              "they are killed, and restarted when it ends",
	faultRepeatedKill:      "they are killed and restarted again and again, every Factor seconds",
	faultStop:              "they are stopped, and resumed when it ends",
	faultSlow:              "their messages are delayed by Factor times a lease's duration",
	faultPartition:         "no message passes between them and the others",
	faultReceiveBlocked:    "no message reaches them",
	faultSendBlocked:       "no message of theirs reaches anybody",
	faultFlappingPartition: "no message passes between them and the others in every other second",
	faultPairPartition:     "no message passes between the first of them and the last",

	faultLossy: "the fraction Factor of messages is lost, as much duplicated, as much delayed by up to two leases",

	faultDemandChange:     "their demand is Factor times what it was",
	faultDemandOverstated: "they report Factor times their demand",
	faultBudgetChange:     "the budget in their configuration has Factor times its units",
	faultTakeover:         "a successor takes over from each",
}

// Fault is a fault of members or of the network during a run.
type Fault struct {
	Kind     FaultKind
	Start    monotime.Micros
	Duration monotime.Micros // 0: until the end of the run
	Members  []int           // indices of the affected members
	// Factor is the extent of the fault; its meaning depends on Kind (FaultKinds).
	Factor float64
}

// RandomFaults draws one to eight faults of any kind. The result is a pure function of the arguments.
func RandomFaults(seed uint64, members int, duration monotime.Micros) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 13))
	kinds := slices.Sorted(maps.Keys(FaultKinds))
	for range 1 + rng.IntN(8) {
		fault := Fault{
			Kind:     kinds[rng.IntN(len(kinds))],
			Start:    rng.Int64N(duration),
			Duration: 1 + rng.Int64N(8*second),
		}
		fault.Members = append(fault.Members, rng.Perm(members)[:1+rng.IntN(members)]...)
		fault.Factor = randomFactor(rng, fault.Kind)
		faults = append(faults, fault)
	}
	return faults
}

// randomFactor draws a factor for a kind of fault; it returns 0 if the kind has no factor.
func randomFactor(rng *rand.Rand, kind FaultKind) float64 {
	switch kind {
	case faultRepeatedKill:
		return 0.5 + 2*rng.Float64()
	case faultSlow:
		return 1.5 * rng.Float64()
	case faultLossy:
		return 0.4 * rng.Float64()
	case faultDemandChange:
		return 3 * rng.Float64()
	case faultDemandOverstated:
		return 1000
	case faultBudgetChange:
		return 0.2 + 1.3*rng.Float64()
	}
	return 0
}

// startFault starts a fault now, and schedules its end if it has a duration.
func (sim *simulation) startFault(fault *Fault) {
	sim.activeFaults = append(sim.activeFaults, fault)
	duration := fault.Duration
	if fault.Duration == 0 {
		duration = sim.settings.Duration
	}
	for _, memberIndex := range fault.Members {
		sim.applyFault(sim.members[memberIndex], fault, duration)
	}
	if fault.Kind == faultRepeatedKill {
		sim.scheduleRestarts(fault, fault.Start+duration)
	}
	if fault.Duration > 0 {
		sim.schedule(fault.Duration, func() { sim.endFault(fault) })
	}
}

// applyFault applies the start of a fault to one of its members.
func (sim *simulation) applyFault(x *member, fault *Fault, duration monotime.Micros) {
	switch fault.Kind {
	case faultKill, faultRepeatedKill:
		x.kill()
	case faultStop:
		x.stoppedUntil = sim.now + duration
	case faultDemandChange:
		previousRate := x.demandRate
		x.demandRate = previousRate * fault.Factor
		if previousRate == 0 {
			x.demandRate = fault.Factor
			sim.scheduleDemand(x)
		}
	case faultDemandOverstated:
		x.demandFactor = fault.Factor
	case faultBudgetChange:
		x.setBudget(sim.settings.BudgetRate * fault.Factor)
	case faultTakeover:
		sim.replaceProcess(x)
	}
}

// endFault ends a fault, and restores the members that it changed.
func (sim *simulation) endFault(fault *Fault) {
	sim.activeFaults = slices.DeleteFunc(sim.activeFaults, func(active *Fault) bool { return active == fault })
	for _, memberIndex := range fault.Members {
		x := sim.members[memberIndex]
		switch fault.Kind {
		case faultKill, faultRepeatedKill:
			if !x.running {
				sim.restart(x)
			}
		case faultDemandChange:
			x.demandRate /= fault.Factor
		case faultDemandOverstated:
			x.demandFactor = 1
		case faultBudgetChange:
			x.setBudget(sim.settings.BudgetRate)
		}
	}
}

// scheduleRestarts has the members of a fault killed and restarted every Factor seconds until the given
// instant.
func (sim *simulation) scheduleRestarts(fault *Fault, until monotime.Micros) {
	interval := monotime.Micros(fault.Factor * float64(second))
	var restartAll func()
	restartAll = func() {
		if sim.now >= until {
			return
		}
		for _, memberIndex := range fault.Members {
			sim.members[memberIndex].kill()
			sim.restart(sim.members[memberIndex])
		}
		sim.schedule(interval, restartAll)
	}
	sim.schedule(interval, restartAll)
}

// kill ends a member's process without notifying any other member.
func (x *member) kill() {
	x.running = false
	x.incarnation = 0
}

// restart starts a member's process again, with empty state.
func (sim *simulation) restart(x *member) {
	if err := sim.start(x); err != nil {
		panic(err) // impossible: Run started it with the same settings
	}
}

// setBudget changes the budget in a member's configuration, and in its running process.
func (x *member) setBudget(units float64) {
	x.budgetUnits = units
	if x.running {
		x.coordinator.SetBudget(budgetName, units, false)
	}
}

// replaceProcess has a successor process take over from a member's process. Messages in transit to the
// predecessor reach the successor.
func (sim *simulation) replaceProcess(x *member) {
	if !x.running || x.stoppedUntil > sim.now {
		return
	}
	sim.processOutgoing(x)
	handedOver := x.coordinator.HandOver(x.localTime(sim.now))
	for _, outgoing := range x.coordinator.TakeOutgoing() {
		sim.transmit(x, outgoing)
	}
	sim.startedIncarnations++
	x.incarnation = sim.startedIncarnations
	coordinator, err := sim.newCoordinator(x)
	if err != nil {
		panic(err) // impossible: Run created a coordinator with the same settings
	}
	x.coordinator = coordinator
	x.nextTickAt = 0
	coordinator.Restore(x.localTime(sim.now), 0, x.incarnation, handedOver)
	sim.processOutgoing(x)
}
