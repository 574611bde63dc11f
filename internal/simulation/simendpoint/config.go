package simendpoint

import (
	"dunlinsail/internal/monotime"
)

// Cancellation is an endpoint's treatment of requests that their sender has canceled.
type Cancellation uint8

// The kinds of cancellation.
const (
	CancelNone   Cancellation = iota // the request still runs
	CancelQueued                     // the request is dropped if it is queued
	CancelAll                        // the request is dropped if it is queued or running
)

// Config describes an endpoint and its machine.
type Config struct {
	Cores               int             // requests that can run at the same time
	Speed               float64         // speed of a core: microseconds of work that it does in a microsecond
	QueueCapacity       int             // requests that may be queued; 0 is no limit
	WarmupStartShare    float64         // fraction of the full speed at the start of the process; 1 is no warm-up
	WarmupDuration      monotime.Micros // time from the start of the process to its full speed
	CollapseLoad        float64         // ratio of offered work to capacity at which it collapses during warm-up
	CollapseWindow      monotime.Micros // time over which the offered work is summed; 0: it never collapses
	Cancellation        Cancellation    // treatment of canceled requests
	ErrorRate           float64         // fraction of its requests that fail after they ran
	ContentionThreshold float64         // requests in flight per core above which the endpoint loses speed
	ContentionLoss      float64         // fraction of the speed that is lost above the threshold; 0 is none
	ProbeWork           monotime.Micros // work of answering a probe
	HandshakeWork       monotime.Micros // work of opening a connection
	MaxConnections      int             // connections that may be open; 0 is no limit
	ReportInterval      monotime.Micros // time between two load reports; 0: a new report for each probe
	ReportNoise         float64         // standard deviation of reported values, relative to the true ones
}

// Condition describes the temporary faults of an endpoint. The zero value is an endpoint without faults.
type Condition struct {
	Slowdown             float64 // factor on service times; 0 means 1
	StolenShare          float64 // fraction of the machine that another program uses
	ErrorRate            float64 // fraction of the requests that fail at once, without having run
	ErrorsInOneClassOnly bool    // ErrorRate applies only to Class
	Class                int
	UnansweredRate       float64         // fraction of the requests that never get a response
	RejectRate           float64         // fraction of the requests that are rejected despite free capacity
	FalseReports         bool            // all values of its load reports are zero
	InvalidReports       bool            // values of its load reports are impossible or missing
	ReportDelay          monotime.Micros // age of its load reports
}
