package simendpoint

import (
	"dunlinsail/internal/monotime"
)

// Cancellation says what becomes of a request whose sender has given it up.
type Cancellation uint8

// What it may be.
const (
	CancelNone   Cancellation = iota // it runs all the same
	CancelQueued                     // it is dropped while it waits
	CancelAll                        // it is dropped, at work too
)

// Config is what an endpoint is.
type Config struct {
	Cores               int             // requests worked at side by side
	Speed               float64         // of a core, where 1 does a microsecond's work in a microsecond
	QueueCapacity       int             // requests that may wait
	WarmupFrom          float64         // the part of its speed that it starts with, 1 for all of it,
	WarmupDuration      monotime.Micros // and after so long it has all of it
	CollapseLoad        float64         // sent more than so many times what it can do, while warming up,
	CollapseWindow      monotime.Micros // within so long, it falls over; 0 is never
	Cancellation        Cancellation
	ErrorRate           float64         // part of its requests that fail
	ContentionThreshold float64         // requests held for each core beyond which
	ContentionLoss      float64         // it loses this part of its speed; 0 is never
	ProbeWork           monotime.Micros // what a probe costs it
	HandshakeWork       monotime.Micros // what a new connection costs it
	MaxConnections      int             // connections that it holds; 0 is no bound
	ReportInterval      monotime.Micros // its figures are made anew so often; 0 is at each look
	ReportNoise         float64         // of its figures
}

// Condition is what goes wrong at an endpoint for a while. The zero value is nothing.
type Condition struct {
	Slowdown       float64 // times as long; 0 is 1
	StolenShare    float64 // part of the machine that another program takes
	ErrorRate      float64 // part of the requests that fail at once, without having run,
	Class          int     // of this class only, where Part is set
	OneClass       bool
	UnansweredRate float64         // part of the requests that are never answered
	RejectRate     float64         // part of the requests that it rejects unseen, although it has room
	FalseReports   bool            // its reports say that it holds nothing
	InvalidReports bool            // its reports say nothing, or what cannot be
	ReportDelay    monotime.Micros // its reports are older by this
}
