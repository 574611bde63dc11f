package maintenance

import (
	"dunlinsail/internal/monotime"
)

// The json tags of this package are the stored and sent names: in the raft log and its snapshots, in messages between
// instances and in operators' calls. They are those of earlier builds and must not change.

// MachineStatus is the leader's status of a machine that serves requests.
type MachineStatus struct {
	Name     string  `json:"Name"`
	Zone     string  `json:"Zone"`
	Kind     string  `json:"Kind"` // machine type
	Cell     int     `json:"Cell"`
	Capacity float64 `json:"Share"` // in a unit that is the same for all machines
	Healthy  bool    `json:"Well"`  // ready, and neither cordoned nor ejected
}

// FleetStatus is the status of all machines, and the capacity in use.
type FleetStatus struct {
	Machines  []MachineStatus `json:"Machines"`
	Usage     float64         `json:"Use"`  // present usage, in the unit of MachineStatus.Capacity
	PeakUsage float64         `json:"Peak"` // expected largest usage in the time ahead, in the same unit
}

// Phase is a machine's progress out of service and back.
type Phase uint8

// The phases, in their order. Their numbers are stored.
const (
	Requested        Phase = iota // an operator has requested it
	Announced                     // the plan lists it as announced; not all instances have that plan yet
	Acknowledged                  // all instances have a plan that lists it as announced
	Draining                      // the plan excludes it; instances may still have requests in flight there
	UnderMaintenance              // no instance sends there or has requests in flight there: work may begin
	Returning                     // requests may go there again; it is warming up
)

// phaseNames are the names that operators see, by phase. They are part of replicated answers and stay as they are.
var phaseNames = [...]string{
	Requested:        "asked",
	Announced:        "ahead",
	Acknowledged:     "known",
	Draining:         "draining",
	UnderMaintenance: "at work",
	Returning:        "returning",
}

// String returns the name of the phase that operators see.
func (p Phase) String() string { return phaseNames[p] }

// Request is an operator's request to take machines out of service.
type Request struct {
	ID          string          `json:"ID"` // idempotency key: of two in the plan the second is ignored
	Machines    []string        `json:"Machines"`
	Duration    monotime.Micros `json:"For"` // of the work on each machine
	Reason      string          `json:"Why"`
	Requester   string          `json:"By"`
	Urgent      bool            `json:"Urgent"`
	RequestedAt monotime.Micros `json:"At"`
	OnHold      bool            `json:"Held"` // no machine is drained for it
}

// Machine is a machine in the plan.
type Machine struct {
	Name         string          `json:"Machine"`
	Requests     []string        `json:"Jobs"` // ids of the requests that need it out; it is out until all are complete
	Phase        Phase           `json:"Phase"`
	Since        monotime.Micros `json:"Since"`   // when it entered its phase
	DueAt        monotime.Micros `json:"Until"`   // under maintenance: when the work should be complete
	PlanVersion  uint64          `json:"Version"` // of the first plan that has it in its present list
	Overdue      bool            `json:"Overdue"` // under maintenance beyond DueAt
	RecallReason string          `json:"Wanted"`  // under maintenance: why it is needed back; empty if it is not
	WaitReason   string          `json:"Waits"`   // why it does not enter the next phase; for listed ones see Progress
}

// Event is an entry of the event list that operators see.
type Event struct {
	Time monotime.Micros `json:"At"`
	Text string          `json:"What"`
}

// Instance is a process that sends requests to machines.
type Instance struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"` // different for any two processes of a name
}

// Command is an entry of the log. In addition to Time one field is set. An entry with Time only is a clock entry, which
// advances the state's clock.
type Command struct {
	Time          monotime.Micros `json:"At"` // on the state's clock, set by the leader; the clock never runs backwards
	Request       *Request        `json:"Ask"`
	CancelRequest string          `json:"Cancel"` // a request's id
	Complete      *Completion     `json:"Done"`
	Hold          *Hold           `json:"Hold"`
	Join          *Instance       `json:"Join"` // the instance is about to receive a plan
	Forget        *Instance       `json:"Gone"` // the process has ended for certain and sends nothing
	FleetStatus   *FleetStatus    `json:"Facts"`
	Acknowledged  []string        `json:"Known"` // machines that every instance has a plan with, as announced
	Drained       []string        `json:"Free"`  // machines to which no instance sends, with nothing in flight there
}

// Completion ends the work on a machine, or on all of a request's machines where Machine is empty.
type Completion struct {
	Request string `json:"Job"`
	Machine string `json:"Machine"`
}

// Hold starts or ends a hold. While it is on, no further machine is drained for a request, or for any request where
// Request is empty.
type Hold struct {
	Request string `json:"Job"`
	On      bool   `json:"On"`
}

// Plan is the part of the state that instances receive. Each change of its lists has a new version.
type Plan struct {
	Version   uint64   `json:"Version"`
	Announced []string `json:"Ahead"` // machines that are about to be excluded
	Excluded  []string `json:"Stop"`  // machines that no new request may go to
}
