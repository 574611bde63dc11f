package maintenance

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Report is what an instance says of how far it obeys, and the question for its next order.
type Report struct {
	Incarnation uint64         `json:"Life"`
	Sequence    uint64         `json:"Number"`  // of the report; they grow
	PlanVersion uint64         `json:"Version"` // of the order that it obeys; 0 is none yet
	InFlight    map[string]int `json:"Open"`    // of machines that nothing new may go to: what is still open there
}

// Told answers a Report with the order, which holds for so long from when the report went out.
type PlanGrant struct {
	Incarnation   uint64          `json:"Life"`
	Sequence      uint64          `json:"Number"`
	Plan          Plan            `json:"Order"`
	LeaseDuration monotime.Micros `json:"Lease"`
}

// Duty is what one instance has to obey. Make one with NewDuty.
type Follower struct {
	settings    Settings
	incarnation uint64
	plan        Plan
	hasPlan     bool
	leaseEnd    monotime.Micros // the order holds
	sentReports [8]struct {
		number uint64
		at     monotime.Micros
	}
	lastSequence uint64
}

// NewDuty returns the duty of a process that has heard nothing: until it has, it must send nowhere.
func NewFollower(s Settings, life uint64) (*Follower, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Follower{settings: s, incarnation: life}, nil
}

// Heard says whether it has heard an order at all.
func (d *Follower) HasPlan() bool { return d.hasPlan }

// Inherit begins with what a process obeys whose place this one takes, until when that holds.
func (d *Follower) Inherit(o Plan, until monotime.Micros) {
	d.plan, d.hasPlan, d.leaseEnd = o, true, until
}

// Report returns a report that goes out now; open says what is open at a machine.
func (d *Follower) NextReport(now monotime.Micros, open func(machine string) int) Report {
	d.lastSequence++
	at := &d.sentReports[d.lastSequence%uint64(len(d.sentReports))]
	at.number, at.at = d.lastSequence, now
	r := Report{Incarnation: d.incarnation, Sequence: d.lastSequence, InFlight: map[string]int{}}
	if d.hasPlan {
		r.PlanVersion = d.plan.Version
	}
	for _, name := range d.ExcludedMachines(now) {
		if n := open(name); n > 0 {
			r.InFlight[name] = n
		}
	}
	return r
}

// Hear takes an order in, and says whether it changes what is to be obeyed.
func (d *Follower) Apply(now monotime.Micros, t PlanGrant) (changed bool) {
	at := d.sentReports[t.Sequence%uint64(len(d.sentReports))]
	until := at.at + min(t.LeaseDuration, d.settings.LeaseDuration)
	if t.Incarnation != d.incarnation || at.number != t.Sequence || t.Sequence == 0 || t.Plan.Version < d.plan.Version || until <= d.leaseEnd || now >= until {
		return false // late, twice, or of before
	}
	over := now >= d.leaseEnd
	changed = over || !d.hasPlan || t.Plan.Version != d.plan.Version
	d.plan, d.hasPlan, d.leaseEnd = t.Plan, true, until
	return changed
}

// Out returns the machines that nothing new may go to now, in order. Where no order holds, those that are next in line are among them.
func (d *Follower) ExcludedMachines(now monotime.Micros) []string {
	out := slices.Clone(d.plan.Excluded)
	if now >= d.leaseEnd {
		out = append(out, d.plan.Announced...)
		slices.Sort(out)
	}
	return out
}

// Alone says whether no order has held for so long that what is still open at machines that are ahead or out has to end.
func (d *Follower) MustEndInFlight(now monotime.Micros) bool {
	return d.hasPlan && now >= d.leaseEnd+d.settings.InFlightGrace
}

// Holds returns the order that was heard last, until when it holds, and when what is open at its machines has to end.
func (d *Follower) CurrentPlan() (o Plan, until, end monotime.Micros) {
	return d.plan, d.leaseEnd, d.leaseEnd + d.settings.InFlightGrace
}
