package coordination

import (
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// View is an instance's view of its fleet, for operators. Its tags are the names in the JSON that operators' tools
// read. Durations are in microseconds.
type View struct {
	Active            bool                `json:"Begun"`
	Allocator         string              `json:"Book"`     // its name; empty if it is not known
	SinceLastGrant    monotime.Micros     `json:"HeardAgo"` // since the allocator's latest lease was received
	LeaseRemaining    monotime.Micros     `json:"Loan"`     // until the lease in force expires; 0 if there is none
	Budgets           []BudgetStatus      `json:"Shares"`   // by name
	Reporters         int                 `json:"Members"`  // instances whose observations the allocator has
	RecoveryRemaining monotime.Micros     `json:"Learning"` // of the allocator: until its recovery ends; 0 if it has
	Leases            []quota.LeaseStatus `json:"Loans"`    // if this instance is the allocator
}

// BudgetStatus is what an instance may spend and has spent of a budget.
type BudgetStatus struct {
	Budget  string `json:"Budget"`
	Allowed int    `json:"Allowed"` // units within the second that ends now
	Spent   int    `json:"Spent"`   // units within the last second
}

// View returns the instance's view at now.
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
