package maintenance

import (
	"dunlinsail/internal/monotime"
)

// Machine is one that requests go to, as it stands.
type MachineStatus struct {
	Name     string  `json:"Name"`
	Zone     string  `json:"Zone"`
	Kind     string  `json:"Kind"`
	Cell     int     `json:"Cell"`
	Capacity float64 `json:"Share"` // of what all can do, in any unit that all have alike
	Healthy  bool    `json:"Well"`  // it serves, warm, and nobody suspects it
}

// Phase is how far a machine is.
type Phase uint8

// The phases, in their order.
const (
	Requested        Phase = iota // for
	Announced                     // it is being told as next in line
	Acknowledged                  // all instances know it as that
	Draining                      // nothing new is to go there
	UnderMaintenance              // nobody sends there and nothing is open: it is free, and may be worked on
	Returning                     // requests may go there again; it is cold
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"asked", "ahead", "known", "draining", "at work", "returning"}[p]
}

// Job is what one asked for.
type Request struct {
	ID          string          `json:"ID"` // asking twice with one is asking once
	Machines    []string        `json:"Machines"`
	Duration    monotime.Micros `json:"For"`
	Reason      string          `json:"Why"`
	Requester   string          `json:"By"`
	Urgent      bool            `json:"Urgent"`
	RequestedAt monotime.Micros `json:"At"`
	OnHold      bool            `json:"Held"` // nothing of it begins
}

// Item is a machine in the order.
type Machine struct {
	Name         string          `json:"Machine"`
	Requests     []string        `json:"Jobs"` // that want it out; it is until all are done
	Phase        Phase           `json:"Phase"`
	Since        monotime.Micros `json:"Since"`
	DueAt        monotime.Micros `json:"Until"`   // at work: by when it was to be done
	PlanVersion  uint64          `json:"Version"` // of the order in which it was first told as it is now
	Overdue      bool            `json:"Overdue"`
	RecallReason string          `json:"Wanted"` // at work, and wanted back: why
	WaitReason   string          `json:"Waits"`  // why it does not go on
}

// Event is something that happened, for people.
type Event struct {
	Time monotime.Micros `json:"At"`
	Text string          `json:"What"`
}

// Instance is a process that sends to machines.
type Instance struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"` // no two processes of a name have the same
}

// Command is an entry of the log; one of its parts is set beside At.
type Command struct {
	Time          monotime.Micros `json:"At"` // on the state's clock, by who leads; it never runs back
	Request       *Request        `json:"Ask"`
	CancelRequest string          `json:"Cancel"` // a job, by its id
	Complete      *Completion     `json:"Done"`
	Hold          *Hold           `json:"Hold"`
	Join          *Instance       `json:"Join"` // it is about to be told the order
	Forget        *Instance       `json:"Gone"` // it sends nothing any more, known for sure
	FleetStatus   *FleetStatus    `json:"Facts"`
	Acknowledged  []string        `json:"Known"` // machines that every instance knows as ahead
	Drained       []string        `json:"Free"`  // machines that nobody sends to, with nothing open there
}

// Done says that work is done on a machine, or on all of a job's where Machine is empty.
type Completion struct {
	Request string `json:"Job"`
	Machine string `json:"Machine"`
}

// Hold has nothing more of a job begin, of all where Job is empty, or ends that.
type Hold struct {
	Request string `json:"Job"`
	On      bool   `json:"On"`
}

// Facts are how all machines stand, and how much of their shares is in use, now and, as far as is known, in the hour ahead.
type FleetStatus struct {
	Machines  []MachineStatus `json:"Machines"`
	Usage     float64         `json:"Use"`
	PeakUsage float64         `json:"Peak"`
}

// Order is what instances are told: the machines that are next in line, and those that nothing new may go to.
type Plan struct {
	Version   uint64   `json:"Version"`
	Announced []string `json:"Ahead"`
	Excluded  []string `json:"Stop"`
}
