package maintenance

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Report is the message in which an instance reports its progress in applying the plan, and requests the next grant.
type Report struct {
	Incarnation uint64         `json:"Life"`
	Sequence    uint64         `json:"Number"`  // sequence number of the report, from 1 for a process's first report
	PlanVersion uint64         `json:"Version"` // version of the plan that the instance applies; 0 if it has none yet
	InFlight    map[string]int `json:"Open"`    // number of requests in flight, by excluded machine
}

// PlanGrant is the leader's reply to a Report: the plan, with a lease that starts at the time the report was sent.
type PlanGrant struct {
	Incarnation   uint64          `json:"Life"`   // incarnation from the report
	Sequence      uint64          `json:"Number"` // sequence number from the report
	Plan          Plan            `json:"Order"`
	LeaseDuration monotime.Micros `json:"Lease"`
}

// trackedReports is the number of reports whose sending times a Follower remembers. A grant for an older report is
// dropped.
const trackedReports = 8

// Follower holds the plan that one instance has to apply, and the plan's lease. Create one with NewFollower.
type Follower struct {
	settings     Settings
	incarnation  uint64
	plan         Plan
	hasPlan      bool
	leaseEnd     monotime.Micros
	sentReports  [trackedReports]sentReport // ring buffer, indexed by sequence number modulo its length
	lastSequence uint64
}

// sentReport records the time at which a report was sent.
type sentReport struct {
	sequence uint64
	sentAt   monotime.Micros
}

// NewFollower returns the follower of a process that has received no plan yet, or a *setting.Error. The process
// must send no request to any machine until HasPlan returns true.
func NewFollower(s Settings, incarnation uint64) (*Follower, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Follower{settings: s, incarnation: incarnation}, nil
}

// HasPlan reports whether the follower has received a plan from a leader or inherited one from a predecessor.
func (f *Follower) HasPlan() bool { return f.hasPlan }

// Inherit sets the plan and the end of the lease that the successor takes over from its predecessor in a hot restart.
func (f *Follower) Inherit(plan Plan, leaseEnd monotime.Micros) {
	f.plan = plan
	f.hasPlan = true
	f.leaseEnd = leaseEnd
}

// NextReport returns the next report. The caller must send it at once, because the lease that is granted for it starts
// at now. inFlight returns the number of requests in flight at a machine.
func (f *Follower) NextReport(now monotime.Micros, inFlight func(machine string) int) Report {
	f.lastSequence++
	*f.sentReportSlot(f.lastSequence) = sentReport{sequence: f.lastSequence, sentAt: now}
	report := Report{Incarnation: f.incarnation, Sequence: f.lastSequence, InFlight: map[string]int{}}
	if f.hasPlan {
		report.PlanVersion = f.plan.Version
	}
	for _, name := range f.ExcludedMachines(now) {
		if requestCount := inFlight(name); requestCount > 0 {
			report.InFlight[name] = requestCount
		}
	}
	return report
}

// sentReportSlot returns the slot in the ring buffer for the report with a sequence number.
func (f *Follower) sentReportSlot(sequence uint64) *sentReport {
	return &f.sentReports[sequence%trackedReports]
}

// ApplyGrant applies a grant, and reports whether the plan or the result of ExcludedMachines may have changed. It drops
// a grant that is late or a duplicate, that is for another process, or whose plan is older than the present one.
func (f *Follower) ApplyGrant(now monotime.Micros, grant PlanGrant) (changed bool) {
	report := *f.sentReportSlot(grant.Sequence)
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

// ExcludedMachines returns the machines to which no new request may be sent at now. After the end of the lease it also
// returns the announced machines, because a newer plan may exclude them.
func (f *Follower) ExcludedMachines(now monotime.Micros) []string {
	excluded := slices.Clone(f.plan.Excluded)
	if now >= f.leaseEnd {
		excluded = append(excluded, f.plan.Announced...)
		slices.Sort(excluded)
	}
	return excluded
}

// MustEndInFlight reports whether requests in flight at excluded machines must be ended, because the lease expired at
// least Settings.InFlightGrace ago.
func (f *Follower) MustEndInFlight(now monotime.Micros) bool {
	return f.hasPlan && now >= f.leaseEnd+f.settings.InFlightGrace
}

// CurrentPlan returns the plan that was applied last, the end of its lease, and the time at which requests in flight at
// the machines of the plan must be ended if the lease is not renewed.
func (f *Follower) CurrentPlan() (plan Plan, leaseEnd, inFlightEnd monotime.Micros) {
	return f.plan, f.leaseEnd, f.leaseEnd + f.settings.InFlightGrace
}
