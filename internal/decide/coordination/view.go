package coordination

import (
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// View is an instance's view of its fleet, for operators. The struct tags are the names in the JSON that operators'
// tools read. Durations are in microseconds.
type View struct {
	Active            bool                `json:"Begun"`
	Allocator         string              `json:"Book"`     // name of the allocator; empty if it is not known
	SinceLastGrant    monotime.Micros     `json:"HeardAgo"` // time since the latest quota lease was received
	LeaseRemaining    monotime.Micros     `json:"Loan"`     // time until the quota lease expires; 0 if there is none
	Budgets           []BudgetStatus      `json:"Shares"`   // status of each budget, sorted by name
	Reporters         int                 `json:"Members"`  // number of instances whose observations are aggregated
	RecoveryRemaining monotime.Micros     `json:"Learning"` // time until recovery ends, if this is the allocator
	Leases            []quota.LeaseStatus `json:"Loans"`    // all quota leases, if this is the allocator
}

// BudgetStatus states how many units of a budget an instance may spend and has spent.
type BudgetStatus struct {
	Budget  string `json:"Budget"`
	Allowed int    `json:"Allowed"` // units that may be spent within the second that ends now
	Spent   int    `json:"Spent"`   // units that were spent within the last second
}

// View returns the instance's view of its fleet at now.
func (m *Member) View(now monotime.Micros) View {
	term, lastGrantAt := m.lessee.KnownAllocator()
	v := View{
		Active:         m.Active(),
		Allocator:      term.Holder,
		SinceLastGrant: now - lastGrantAt,
		Reporters:      m.receivedAggregate.Reporters,
	}
	if until, _, _, held := m.lessee.HeldLease(now); held {
		v.LeaseRemaining = until - now
	}
	for _, name := range m.lessee.BudgetNames() {
		allowed := m.lessee.Allowed(now, name)
		v.Budgets = append(v.Budgets, BudgetStatus{name, allowed, allowed - m.lessee.Available(now, name)})
	}
	if _, active := m.allocator.ActiveTerm(); active {
		v.RecoveryRemaining = max(0, m.allocator.RecoveringUntil()-now)
		v.Leases = m.allocator.Leases(now)
	}
	return v
}
