package maintenance

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Report is an instance's progress in applying the plan, and its request for the next grant.
type Report struct {
	Incarnation uint64         `json:"Life"`
	Sequence    uint64         `json:"Number"`  // increases with each report of a process, from 1
	PlanVersion uint64         `json:"Version"` // of the plan that the instance applies; 0 is none yet
	InFlight    map[string]int `json:"Open"`    // requests in flight, by excluded machine
}

// PlanGrant is the leader's reply to a Report: the plan, under a lease that starts when the report was sent.
type PlanGrant struct {
	Incarnation   uint64          `json:"Life"`   // of the report
	Sequence      uint64          `json:"Number"` // of the report
	Plan          Plan            `json:"Order"`
	LeaseDuration monotime.Micros `json:"Lease"`
}

// rememberedReports is the number of latest reports whose time of sending is known: a grant for an older one is
// dropped.
const rememberedReports = 8

// Follower is the plan that one instance has to apply, and its lease. Create one with NewFollower.
type Follower struct {
	settings     Settings
	incarnation  uint64
	plan         Plan
	hasPlan      bool
	leaseEnd     monotime.Micros
	sentReports  [rememberedReports]sentReport // by sequence, as a ring
	lastSequence uint64
}

// sentReport is the time at which a report was sent.
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

// HasPlan reports whether it has ever received a plan, or inherited one.
func (f *Follower) HasPlan() bool { return f.hasPlan }

// Inherit sets the plan of the predecessor in a hot restart, and the end of the predecessor's lease.
func (f *Follower) Inherit(plan Plan, leaseEnd monotime.Micros) {
	f.plan = plan
	f.hasPlan = true
	f.leaseEnd = leaseEnd
}

// NextReport returns the next report, which the caller must send at now. connInFlight returns the number of requests that
// are in flight at a machine.
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

// sentReport returns the place of a report in the ring.
func (f *Follower) sentReport(sequence uint64) *sentReport {
	return &f.sentReports[sequence%rememberedReports]
}

// ApplyGrant applies a grant, and reports whether the plan or ExcludedMachines may have changed. It drops grants that
// are late, duplicated, for another process, or of an older plan than the present one.
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

// ExcludedMachines returns the machines to which nothing new may be sent at now. After the end of the lease these
// include the announced machines, since a newer plan may exclude them.
func (f *Follower) ExcludedMachines(now monotime.Micros) []string {
	excluded := slices.Clone(f.plan.Excluded)
	if now >= f.leaseEnd {
		excluded = append(excluded, f.plan.Announced...)
		slices.Sort(excluded)
	}
	return excluded
}

// MustEndInFlight reports whether the lease expired at least Settings.InFlightGrace ago, so that requests in flight at
// excluded machines must be ended.
func (f *Follower) MustEndInFlight(now monotime.Micros) bool {
	return f.hasPlan && now >= f.leaseEnd+f.settings.InFlightGrace
}

// CurrentPlan returns the plan that was applied last, the end of its lease, and the instant at which the requests in
// flight at its machines must be ended if the lease is not renewed.
func (f *Follower) CurrentPlan() (plan Plan, leaseEnd, inFlightEnd monotime.Micros) {
	return f.plan, f.leaseEnd, f.leaseEnd + f.settings.InFlightGrace
}
