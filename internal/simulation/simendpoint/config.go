package simendpoint

import (
	"dunlinsail/internal/monotime"
)

// Cancellation says what an endpoint does with a request that its sender has cancelled.
type Cancellation uint8

// The kinds of cancellation.
const (
	CancelNone   Cancellation = iota // it runs nevertheless
	CancelQueued                     // it is dropped if it is still queued
	CancelAll                        // it is dropped, also while it runs
)

// Config describes an endpoint.
type Config struct {
	Cores               int             // requests that run at the same time
	Speed               float64         // of a core: work in microseconds that it does in a microsecond
	QueueCapacity       int             // requests that may be queued; 0 is no limit
	WarmupFrom          float64         // part of its speed that it starts with; 1 is no warm-up
	WarmupDuration      monotime.Micros // from its start until it has all of its speed
	CollapseLoad        float64         // offered work over present capacity at which it collapses while warming up
	CollapseWindow      monotime.Micros // time over which the offered work is counted; 0 is no collapse
	Cancellation        Cancellation
	ErrorRate           float64         // part of its requests that fail after they ran
	ContentionThreshold float64         // requests in flight for each core, beyond which it loses speed
	ContentionLoss      float64         // part of its speed that it then loses; 0 is none
	ProbeWork           monotime.Micros // work of a probe
	HandshakeWork       monotime.Micros // work of a new connection
	MaxConnections      int             // connections that may be open; 0 is no limit
	ReportInterval      monotime.Micros // between two load reports; 0: a new one for each probe
	ReportNoise         float64         // standard deviation of its reports, relative to their values
}

// Condition is an endpoint's faults for a while. The zero value is none.
type Condition struct {
	Slowdown       float64 // factor of its service times; 0 is 1
	StolenShare    float64 // part of the machine that another program uses
	ErrorRate      float64 // part of the requests that fail at once, without having run
	OneClass       bool    // ErrorRate applies to Class only
	Class          int
	UnansweredRate float64         // part of the requests that are never answered
	RejectRate     float64         // part of the requests that it rejects although it has capacity
	FalseReports   bool            // its load reports are all zero
	InvalidReports bool            // its load reports have impossible values, or none
	ReportDelay    monotime.Micros // age of its load reports
}
