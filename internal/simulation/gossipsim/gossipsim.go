// Package gossipsim simulates the gossip between the instances of a fleet: members (package coordination) with clocks
// of different rates, a network that loses, delays, duplicates and cuts off messages, and faults of the processes. It
// checks within every second of true time that what all members spend of a budget is within it, and measures how much
// of the budget is used and what the messages cost.
//
// A run is a pure function of its Settings. The package does no I/O, and must not know about requests or endpoints.
package gossipsim

import (
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings configure a run.
type Settings struct {
	Members      int
	Candidates   int     // how many of the members may be the allocator
	Units        float64 // of the budget, a second
	Demand       float64 // of all members together, in units a second
	Duration     monotime.Micros
	Seed         uint64
	Coordination coordination.Settings          // of each member; names and seeds are filled in
	MessageSize  func(coordination.Message) int // in bytes as sent; nil counts messages only
	Faults       []Fault
	PlantedError string // one of PlantedErrors; empty for none
}

// DefaultSettings returns the coordination settings that are used where operators set none (package config).
func DefaultSettings() coordination.Settings {
	return coordination.Settings{
		LeaseDuration: second,
		Quota: quota.Settings{
			Reserve:         0.1,
			LeaseDuration:   2 * second,
			RequestInterval: second / 4,
			MaxClockDrift:   0.005,
		},
	}
}

// The errors that can be planted in a run.
const (
	twoAllocators         = "two books"           // every other member elects itself
	slowClocks            = "slow clocks"         // a third of the clocks run slower than MaxClockDrift allows
	spendsOnStart         = "spends as it starts" // members do not wait for a second after a start
	tooManyMembers        = "more than said"      // there are more members than MaxInstances
	slowClockRate         = 0.5
	slowClockEvery        = 3
	membersPerMaxInstance = 4
)

// PlantedErrors are the errors that can be planted, each of which a run must detect.
var PlantedErrors = []string{twoAllocators, slowClocks, spendsOnStart, tooManyMembers}

// Second is the units that were demanded and spent within a second of true time.
type Second struct {
	Demanded int
	Spent    int
}

// Result is what a run measured.
type Result struct {
	MaxSpent      int             // the most units that were spent within any second
	MaxSpentAt    monotime.Micros // when that second ended
	UnitsExceeded int             // units that were spent beyond the budget
	Utilization   float64         // fraction of the budget, as far as there was demand, that was spent
	Seconds       []Second
	// end of the first second in which nine tenths of the budget, or of the demand, were spent
	ConvergedAt monotime.Micros

	// Costs of a member that is no candidate, a second.
	MessageRate float64
	ByteRate    float64 // 0 without Settings.MessageSize
	// Costs of the member that sent most messages, a second: the allocator.
	AllocatorMessageRate float64
	AllocatorByteRate    float64
}
