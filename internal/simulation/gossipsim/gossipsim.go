// Package gossipsim plays the words between the instances of a fleet in simulated time: members (package decide/fleet) with clocks
// of their own rates, ways that lose, delay, double and cut, and what goes wrong with them. It checks in every second of true
// time that what all spend of each budget is within it, and tells how much of it is used and what the words cost. A run is a pure
// function of its settings. It does no I/O, and knows nothing of requests or endpoints.
package gossipsim

import (
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings say what is played.
type Settings struct {
	Members      int
	Candidates   int
	Units        float64 // of the one budget
	Demand       float64 // of all together, in units a second
	Duration     monotime.Micros
	Seed         uint64
	Coordination coordination.Settings          // of each: names and seeds are filled in
	MessageSize  func(coordination.Message) int // of a word as it is carried; nil counts words alone
	Faults       []Fault
	PlantedError string // an error that is planted, by name (Plants); "" is none
}

// Shipped are the settings that hold where operators say no more (package config).
func DefaultSettings() coordination.Settings {
	return coordination.Settings{LeaseDuration: second, Quota: quota.Settings{Reserve: 0.1, LeaseDuration: 2 * second, RequestInterval: second / 4, MaxClockDrift: 0.005}}
}

// Plants are the errors that can be planted, for the checker to find.
var PlantedErrors = []string{"two books", "slow clocks", "spends as it starts", "more than said"}

// Second is what was spent in a second.
type Second struct{ Demanded, Spent int }

// Result is what a run came to.
type Result struct {
	MaxSpent             int // units spent within any second, at most
	MaxSpentAt           monotime.Micros
	UnitsExceeded        int // units that were beyond the budget
	Utilization          float64
	Seconds              []Second
	MessageRate          float64 // a second, of a member that keeps no book
	ByteRate             float64
	AllocatorMessageRate float64         // words a second of the one that keeps the book
	AllocatorByteRate    float64         // and bytes
	ConvergedAt          monotime.Micros // until nine tenths of the budget were spent in a second for the first time
}
