package coordination

import (
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// ---- For people --------------------------------------------------------------

// View is what an instance knows of its fleet.
type View struct {
	Active            bool                `json:"Begun"`
	Allocator         string              `json:"Book"`     // who keeps it, as far as is known
	SinceLastGrant    monotime.Micros     `json:"HeardAgo"` // from the book
	LeaseRemaining    monotime.Micros     `json:"Loan"`     // until the loan in force ends; 0 is that there is none
	Budgets           []BudgetStatus      `json:"Shares"`
	Members           int                 `json:"Members"`  // whose words the book has
	RecoveryRemaining monotime.Micros     `json:"Learning"` // keeping the book, until it lends anew; 0 is that it does
	Leases            []quota.LeaseStatus `json:"Loans"`    // if it keeps the book
}

// Share is what an instance may spend of a budget.
type BudgetStatus struct {
	Budget  string `json:"Budget"`
	Allowed int    `json:"Allowed"` // within a second
	Spent   int    `json:"Spent"`   // within the last
}

// View returns what the instance knows.
func (m *Member) View(now monotime.Micros) View {
	term, at := m.lessee.KnownAllocator()
	v := View{Active: m.Active(), Allocator: term.Holder, SinceLastGrant: now - at, Members: m.received.Members}
	if until, _, _, yes := m.lessee.HeldLease(now); yes {
		v.LeaseRemaining = until - now
	}
	for _, name := range m.lessee.BudgetNames() {
		v.Budgets = append(v.Budgets, BudgetStatus{name, m.lessee.Allowed(now, name), m.lessee.Allowed(now, name) - m.lessee.Available(now, name)})
	}
	if _, open := m.allocator.ActiveTerm(); open {
		v.RecoveryRemaining = max(0, m.allocator.RecoveringUntil()-now)
		v.Leases = m.allocator.Leases(now)
	}
	return v
}
