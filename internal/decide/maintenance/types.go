package maintenance

import (
	"dunlinsail/internal/monotime"
)

// The JSON tags of this package are the field names in the raft log and its snapshots, in messages between
// instances and in operators' calls. Earlier builds use the same names, so the tags must not change.

// UnknownCell is the cell of machines whose cell no endpoint list states. The bounds count them as a cell of their own.
const UnknownCell = -1

// MachineStatus is what the leader knows about a machine that serves requests.
type MachineStatus struct {
	Name     string  `json:"Name"`
	Zone     string  `json:"Zone"`
	Kind     string  `json:"Kind"`  // machine type
	Cell     int     `json:"Cell"`  // number of the cell, or UnknownCell
	Capacity float64 `json:"Share"` // capacity, in the same unit for all machines
	Healthy  bool    `json:"Well"`  // the machine is ready, and neither cordoned nor ejected
}

// FleetStatus is the status of all machines, and the present and the expected usage of their capacity.
type FleetStatus struct {
	Machines  []MachineStatus `json:"Machines"`
	Usage     float64         `json:"Use"`  // present usage, in the unit of MachineStatus.Capacity
	PeakUsage float64         `json:"Peak"` // expected peak usage, in the unit of MachineStatus.Capacity
}

// Phase is the stage of a machine on its way out of service and back.
type Phase uint8

// The phases, in the order in which a machine passes through them. Their numbers are stored.
const (
	Requested        Phase = iota // an operator has requested maintenance of the machine
	Announced                     // the plan lists the machine as announced; not all instances have that plan yet
	Acknowledged                  // all instances have a plan that lists the machine as announced
	Draining                      // the plan excludes the machine; requests may still be in flight there
	UnderMaintenance              // no instance sends to the machine or has requests in flight there: work may start
	Returning                     // the machine receives requests again and warms up
)

// phaseNames are the names that operators see, by phase. They are part of replicated replies and must not change.
var phaseNames = [...]string{
	Requested:        "asked",
	Announced:        "ahead",
	Acknowledged:     "known",
	Draining:         "draining",
	UnderMaintenance: "at work",
	Returning:        "returning",
}

// String returns the name that operators see for the phase.
func (p Phase) String() string { return phaseNames[p] }

// Request is an operator's request to take machines out of service.
type Request struct {
	ID          string          `json:"ID"` // idempotency key: a second request with the same ID is ignored
	Machines    []string        `json:"Machines"`
	Duration    monotime.Micros `json:"For"` // duration of the work on each machine
	Reason      string          `json:"Why"`
	Requester   string          `json:"By"`
	Urgent      bool            `json:"Urgent"`
	RequestedAt monotime.Micros `json:"At"`
	OnHold      bool            `json:"Held"` // an operator has put the drains for this request on hold
}

// Machine is the state of a machine in the plan.
type Machine struct {
	Name         string          `json:"Machine"`
	Requests     []string        `json:"Jobs"` // IDs of the open requests for the machine, the oldest first
	Phase        Phase           `json:"Phase"`
	PhaseSince   monotime.Micros `json:"Since"`   // time at which the machine entered its phase
	DueAt        monotime.Micros `json:"Until"`   // time by which the work should be complete
	PlanVersion  uint64          `json:"Version"` // version of the plan in which the machine last changed its list
	Overdue      bool            `json:"Overdue"` // the machine is still under maintenance after DueAt
	RecallReason string          `json:"Wanted"`  // why the machine is needed back during maintenance; empty if not

	// WaitReason is why the machine cannot be announced, drained or put back into service; empty if there is no reason.
	// The reasons why it cannot be acknowledged or count as drained are in Progress.WaitReasons.
	WaitReason string `json:"Waits"`
}

// Event is an entry in the list of events that operators see.
type Event struct {
	Time monotime.Micros `json:"At"`
	Text string          `json:"What"`
}

// Instance identifies a process that sends requests to machines.
type Instance struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"` // differs between any two processes of the same name
}

// Command is an entry of the log. One field is set in addition to Time. An entry in which only Time is set advances the
// state's clock.
type Command struct {
	Time          monotime.Micros `json:"At"` // set by the leader; an earlier time does not set the state's clock back
	Request       *Request        `json:"Ask"`
	CancelRequest string          `json:"Cancel"` // ID of the request to cancel
	Complete      *Completion     `json:"Done"`
	Hold          *Hold           `json:"Hold"`
	Join          *Instance       `json:"Join"` // instance that is about to receive a plan
	Forget        *Instance       `json:"Gone"` // process that has certainly ended, and sends no more requests
	FleetStatus   *FleetStatus    `json:"Facts"`
	Acknowledged  []string        `json:"Known"` // machines that the plan of every instance lists as announced
	Drained       []string        `json:"Free"`  // machines without requests in flight, to which no instance sends
}

// Completion reports that the work of a request is complete on one machine, or on all its machines if Machine
// is empty.
type Completion struct {
	Request string `json:"Job"`
	Machine string `json:"Machine"`
}

// Hold starts or ends a hold. During a hold no further machine is drained for the request, or for any request
// if Request is empty.
type Hold struct {
	Request string `json:"Job"`
	On      bool   `json:"On"`
}

// Plan is the part of the state that instances receive. Each change of its lists increases Version.
type Plan struct {
	Version   uint64   `json:"Version"`
	Announced []string `json:"Ahead"` // machines that a later plan is going to exclude
	Excluded  []string `json:"Stop"`  // machines to which no new request may be sent
}
