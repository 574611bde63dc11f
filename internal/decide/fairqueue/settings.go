package fairqueue

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// Settings configure a Scheduler.
type Settings struct {
	InitialTimes []monotime.Micros // by class: expected time in flight of a request until there is a sample
	MaxInFlight  int               // requests in flight at once; 0 is no limit
	Shared       *SharedLimit      // of the open requests of this and other schedulers; nil is none
}

// SharedLimit bounds the open requests, waiting and in flight, of several schedulers together.
type SharedLimit struct {
	Max          int // 0 is no limit
	openRequests int
}

// ClientSpec is the weight and the limits of a client. A limit of 0 is none.
type ClientSpec struct {
	Name    string
	Weight  float64 // its part of the time in flight, relative to other clients' weights; must be positive
	MaxOpen int     // requests waiting and in flight together
	Rate    float64 // requests a second on average; up to Burst may come at once
	Burst   float64 // requests; at least 1 if Rate is positive
}

// Validate returns an error if the spec is invalid.
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
