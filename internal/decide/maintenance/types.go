package maintenance

import (
	"dunlinsail/internal/monotime"
)

// The json tags of this package are the stored and sent names: in the raft log and its snapshots, in messages between
// instances and in operators' calls. They are those of earlier builds and must not change.

// MachineStatus is how a machine that requests go to is seen by the leader.
type MachineStatus struct {
	Name     string  `json:"Name"`
	Zone     string  `json:"Zone"`
	Kind     string  `json:"Kind"` // machine type
	Cell     int     `json:"Cell"`
	Capacity float64 `json:"Share"` // in any unit that all machines have in common
	Healthy  bool    `json:"Well"`  // it serves, is warmed up and not ejected
}

// FleetStatus is the status of all machines, and how much of their capacity is in use.
type FleetStatus struct {
	Machines  []MachineStatus `json:"Machines"`
	Usage     float64         `json:"Use"`  // now, in the unit of MachineStatus.Capacity
	PeakUsage float64         `json:"Peak"` // expected for the time ahead
}

// Phase is how far a machine is on its way out of service and back.
type Phase uint8

// The phases, in their order. Their numbers are stored.
const (
	Requested        Phase = iota // an operator has asked for it
	Announced                     // it is being announced to all instances
	Acknowledged                  // all instances know it as announced
	Draining                      // instances are told to send nothing new there
	UnderMaintenance              // nobody sends there and nothing is in flight: it may be worked on
	Returning                     // requests may go there again; it is warming up
)

// String returns the name of the phase that operators see.
func (p Phase) String() string {
	return [...]string{"asked", "ahead", "known", "draining", "at work", "returning"}[p]
}

// Request is an operator's request to have machines taken out.
type Request struct {
	ID          string          `json:"ID"` // idempotency key: a second request with the same one changes nothing
	Machines    []string        `json:"Machines"`
	Duration    monotime.Micros `json:"For"` // for how long each machine is to be out
	Reason      string          `json:"Why"`
	Requester   string          `json:"By"`
	Urgent      bool            `json:"Urgent"`
	RequestedAt monotime.Micros `json:"At"`
	OnHold      bool            `json:"Held"` // no machine of it is drained
}

// Machine is a machine in the plan.
type Machine struct {
	Name         string          `json:"Machine"`
	Requests     []string        `json:"Jobs"` // ids of those that need it out; it is out until all are complete
	Phase        Phase           `json:"Phase"`
	Since        monotime.Micros `json:"Since"`   // when it entered its phase
	DueAt        monotime.Micros `json:"Until"`   // under maintenance: when the work was to be done
	PlanVersion  uint64          `json:"Version"` // of the first plan that lists it as it is listed now
	Overdue      bool            `json:"Overdue"`
	RecallReason string          `json:"Wanted"` // under maintenance: why its capacity is needed back; "" if it is not
	WaitReason   string          `json:"Waits"`  // why it does not go on to the next phase
}

// Event is an entry of the event list that operators see.
type Event struct {
	Time monotime.Micros `json:"At"`
	Text string          `json:"What"`
}

// Instance is a process that sends requests to machines.
type Instance struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"` // differs between any two processes of a name
}

// Command is an entry of the log. One of its fields is set beside Time; none is a clock entry, which only has time go
// on.
type Command struct {
	Time          monotime.Micros `json:"At"` // on the state's clock, set by the leader; it never runs back
	Request       *Request        `json:"Ask"`
	CancelRequest string          `json:"Cancel"` // a request's id
	Complete      *Completion     `json:"Done"`
	Hold          *Hold           `json:"Hold"`
	Join          *Instance       `json:"Join"` // it is about to receive a plan
	Forget        *Instance       `json:"Gone"` // it is known for certain to send nothing any more
	FleetStatus   *FleetStatus    `json:"Facts"`
	Acknowledged  []string        `json:"Known"` // machines that every instance knows as announced
	Drained       []string        `json:"Free"`  // machines that nobody sends to, with nothing in flight there
}

// Completion says that the work on a machine is done, or on all of a request's machines where Machine is empty.
type Completion struct {
	Request string `json:"Job"`
	Machine string `json:"Machine"`
}

// Hold starts or ends a hold, under which no further machine of a request is drained, or of any request where Request
// is empty.
type Hold struct {
	Request string `json:"Job"`
	On      bool   `json:"On"`
}

// Plan is what instances receive. Every change of its lists has a version of its own.
type Plan struct {
	Version   uint64   `json:"Version"`
	Announced []string `json:"Ahead"` // machines that are about to be excluded
	Excluded  []string `json:"Stop"`  // machines that no new request may go to
}
