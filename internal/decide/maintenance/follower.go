package maintenance

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Report says how far an instance has applied the plan, and asks the leader for the next one.
type Report struct {
	Incarnation uint64         `json:"Life"`
	Sequence    uint64         `json:"Number"`  // grows with each report of a process; from 1
	PlanVersion uint64         `json:"Version"` // of the plan that it applies; 0 is none yet
	InFlight    map[string]int `json:"Open"`    // requests in flight at machines that nothing new may go to
}

// PlanGrant answers a Report with the plan, under a lease that runs from when the report was sent.
type PlanGrant struct {
	Incarnation   uint64          `json:"Life"`   // of the report,
	Sequence      uint64          `json:"Number"` // and its number
	Plan          Plan            `json:"Order"`
	LeaseDuration monotime.Micros `json:"Lease"`
}

// rememberedReports is how many reports may be under way at once: a grant that answers an older one is dropped.
const rememberedReports = 8

// Follower is what one instance has to apply of the plan. Make one with NewFollower.
type Follower struct {
	settings     Settings
	incarnation  uint64
	plan         Plan
	hasPlan      bool
	leaseEnd     monotime.Micros
	sentReports  [rememberedReports]sentReport // by sequence, as a ring
	lastSequence uint64
}

type sentReport struct {
	sequence uint64
	sentAt   monotime.Micros
}

// NewFollower returns the follower of a process that has received no plan yet, or a *setting.Error. Until HasPlan it
// must send nothing to any machine.
func NewFollower(s Settings, incarnation uint64) (*Follower, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Follower{settings: s, incarnation: incarnation}, nil
}

// HasPlan reports whether it has received a plan at all.
func (f *Follower) HasPlan() bool { return f.hasPlan }

// Inherit sets the plan, and the end of its lease, that the process applies whose successor this one is.
func (f *Follower) Inherit(plan Plan, leaseEnd monotime.Micros) {
	f.plan = plan
	f.hasPlan = true
	f.leaseEnd = leaseEnd
}

// NextReport returns a report that is sent now. inFlight returns how many requests are in flight at a machine.
func (f *Follower) NextReport(now monotime.Micros, inFlight func(machine string) int) Report {
	f.lastSequence++
	*f.sentReport(f.lastSequence) = sentReport{sequence: f.lastSequence, sentAt: now}
	report := Report{Incarnation: f.incarnation, Sequence: f.lastSequence, InFlight: map[string]int{}}
	if f.hasPlan {
		report.PlanVersion = f.plan.Version
	}
	for _, name := range f.ExcludedMachines(now) {
		if count := inFlight(name); count > 0 {
			report.InFlight[name] = count
		}
	}
	return report
}

func (f *Follower) sentReport(sequence uint64) *sentReport {
	return &f.sentReports[sequence%rememberedReports]
}

// ApplyGrant applies a grant and reports whether ExcludedMachines or the plan may be others than before. It drops
// grants that are late, come twice, or answer another process or an older plan than the one that is applied.
func (f *Follower) ApplyGrant(now monotime.Micros, grant PlanGrant) (changed bool) {
	report := *f.sentReport(grant.Sequence)
	if grant.Incarnation != f.incarnation || report.sequence != grant.Sequence || grant.Sequence == 0 {
		return false
	}
	leaseEnd := report.sentAt + min(grant.LeaseDuration, f.settings.LeaseDuration)
	if grant.Plan.Version < f.plan.Version || leaseEnd <= f.leaseEnd || now >= leaseEnd {
		return false
	}
	expired := now >= f.leaseEnd
	changed = expired || !f.hasPlan || grant.Plan.Version != f.plan.Version
	f.plan = grant.Plan
	f.hasPlan = true
	f.leaseEnd = leaseEnd
	return changed
}

// ExcludedMachines returns the machines that nothing new may go to now, by name. Once the lease has expired,
// announced ones are among them.
func (f *Follower) ExcludedMachines(now monotime.Micros) []string {
	excluded := slices.Clone(f.plan.Excluded)
	if now >= f.leaseEnd {
		excluded = append(excluded, f.plan.Announced...)
		slices.Sort(excluded)
	}
	return excluded
}

// MustEndInFlight reports whether the lease expired so long ago that what is in flight at excluded machines has to end.
func (f *Follower) MustEndInFlight(now monotime.Micros) bool {
	return f.hasPlan && now >= f.leaseEnd+f.settings.InFlightGrace
}

// CurrentPlan returns the plan that was applied last, the end of its lease, and when what is in flight at its
// machines has to end.
func (f *Follower) CurrentPlan() (plan Plan, leaseEnd, inFlightEnd monotime.Micros) {
	return f.plan, f.leaseEnd, f.leaseEnd + f.settings.InFlightGrace
}
