package coordination

import (
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Settings configure a Member. They must be the same for all instances of a fleet, except for Self, Seed and
// Quota.Position.
type Settings struct {
	// Self is this instance's name.
	Self string
	// Candidates are the names of the instances that may be the allocator, which are also the voters of its election.
	// If it is empty, there are no quota leases and no aggregates.
	Candidates []string
	// Quota configures the division of budgets.
	Quota quota.Settings
	// LeaseDuration is the time for which the allocator's lease is valid without renewal (lease.Settings.Duration).
	LeaseDuration monotime.Micros
	// Seed determines the random delays of requests and election rounds.
	Seed uint64
}
