package fairqueue

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// Settings configure a Scheduler.
type Settings struct {
	InitialTimes []monotime.Micros // by class: expected time in flight of a request until there is a sample
	MaxInFlight  int               // greatest number of requests in flight; 0 means no limit
	Shared       *SharedLimit      // limit on the open requests of several schedulers; nil means no limit
}

// SharedLimit limits the open requests, waiting or in flight, of several schedulers together.
type SharedLimit struct {
	Max          int // greatest number of open requests; 0 means no limit
	openRequests int // current number of open requests
}

// ClientSpec configures the weight and the limits of a client. A limit of 0 means no limit.
type ClientSpec struct {
	Name    string
	Weight  float64 // share of the time in flight, relative to the weights of other clients; must be positive
	MaxOpen int     // greatest number of requests waiting and in flight
	Rate    float64 // greatest mean rate, in requests per second
	Burst   float64 // number of requests that may be sent at once; at least 1 if Rate is positive
}

// Validate returns an error that names the first invalid field, or nil.
func (s ClientSpec) Validate() error {
	switch {
	case !(s.Weight > 0) || math.IsInf(s.Weight, 0):
		return fmt.Errorf("weight %v: must be positive", s.Weight)
	case s.MaxOpen < 0:
		return fmt.Errorf("open requests %d: must not be negative", s.MaxOpen)
	case !(s.Rate >= 0) || math.IsInf(s.Rate, 0):
		return fmt.Errorf("rate %v: must not be negative", s.Rate)
	case s.Rate > 0 && !(s.Burst >= 1):
		return fmt.Errorf("burst %v: must be at least 1 where there is a rate", s.Burst)
	}
	return nil
}
