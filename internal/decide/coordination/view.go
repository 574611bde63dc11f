package coordination

import (
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// View is what an instance knows of its fleet, for operators. Its tags are the names in the JSON that operators' tools
// read. Durations are in microseconds.
type View struct {
	Active            bool                `json:"Begun"`
	Allocator         string              `json:"Book"`     // its name, as far as is known
	SinceLastGrant    monotime.Micros     `json:"HeardAgo"` // since the allocator's latest lease was received
	LeaseRemaining    monotime.Micros     `json:"Loan"`     // until the lease in force ends; 0 if there is none
	Budgets           []BudgetStatus      `json:"Shares"`   // by name
	Reporters         int                 `json:"Members"`  // instances whose observations the allocator has
	RecoveryRemaining monotime.Micros     `json:"Learning"` // of the allocator: until it grants new units; 0 if it does
	Leases            []quota.LeaseStatus `json:"Loans"`    // of the allocator
}

// BudgetStatus is what an instance may spend of a budget.
type BudgetStatus struct {
	Budget  string `json:"Budget"`
	Allowed int    `json:"Allowed"` // units within a second
	Spent   int    `json:"Spent"`   // units within the second before
}

// View returns what the instance knows at now.
func (m *Member) View(now monotime.Micros) View {
	term, lastGrantAt := m.lessee.KnownAllocator()
	v := View{
		Active:         m.Active(),
		Allocator:      term.Holder,
		SinceLastGrant: now - lastGrantAt,
		Reporters:      m.received.Reporters,
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
