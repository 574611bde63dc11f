// Package gossipsim simulates the gossip between the instances of a fleet: members (package coordination) with
// clocks of different rates, a network that loses, delays, duplicates and blocks messages, and faults of the
// processes. It checks that the units of a budget that all members spend within any second of true time do not
// exceed the budget. It measures the fraction of the budget that is used, and the number and size of the
// messages.
//
// A run is a pure function of its Settings. The package does no I/O, and must not depend on requests or
// endpoints.
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
	Candidates   int     // number of members that may become the allocator
	BudgetRate   float64 // budget of all members together, in units a second
	DemandRate   float64 // demand of all members together, in units a second
	Duration     monotime.Micros
	Seed         uint64
	Coordination coordination.Settings          // settings of each member; Run sets the names and seeds
	MessageSize  func(coordination.Message) int // size in bytes on the network; nil: only messages are counted
	Faults       []Fault
	PlantedError string // one of PlantedErrors, or empty
}

// DefaultSettings returns the coordination settings that apply where the configuration (package config) sets
// none.
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

// The errors that can be planted in a run to test the budget check.
const (
	twoAllocators         = "two books"           // every second member elects itself as the allocator
	slowClocks            = "slow clocks"         // a third of the clocks run slower than MaxClockDrift permits
	spendsOnStart         = "spends as it starts" // members spend at once after a start, without waiting
	tooManyMembers        = "more than said"      // the fleet has more members than MaxInstances
	slowClockRate         = 0.5
	slowClockEvery        = 3
	membersPerMaxInstance = 4
)

// PlantedErrors are the errors that can be planted in a run. The budget check must detect each of them.
var PlantedErrors = []string{twoAllocators, slowClocks, spendsOnStart, tooManyMembers}

// Second counts the units that were demanded and spent within one second of true time.
type Second struct {
	Demanded int
	Spent    int
}

// Result is the measurements of a run.
type Result struct {
	MaxSpent      int             // largest number of units spent within any period of one second
	MaxSpentAt    monotime.Micros // end of the period in which MaxSpent units were spent
	UnitsExceeded int             // units that were spent in excess of the budget of a second
	Utilization   float64         // spent units, as a fraction of the demand that was within the budget
	Seconds       []Second
	// ConvergedAt is the end of the first second in which at least nine tenths of the budget (or of the demand,
	// if that is lower) were spent.
	ConvergedAt monotime.Micros

	// MessageRate and ByteRate are the messages and bytes a second that a member sends on average, without the
	// candidates for the allocator.
	MessageRate float64
	ByteRate    float64 // 0 without Settings.MessageSize
	// AllocatorMessageRate and AllocatorByteRate are the messages and bytes a second of the member that sent
	// most messages, which is the allocator.
	AllocatorMessageRate float64
	AllocatorByteRate    float64
}
