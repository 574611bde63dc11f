// Package clock is the one clock of a process: what all its packages tell instants by.
package clock

import (
	"time"

	"dunlinsail/balancer"
)

// Clock tells instants in microseconds: Unix time at its start, monotonic from there, so that a step of the
// system's clock moves no deadline.
type Clock struct{ start time.Time }

// New returns a clock that starts now.
func New() Clock { return Clock{time.Now()} }

// Now returns the present instant.
func (c Clock) Now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// Micros turns a duration into the decisions' unit.
func Micros(d time.Duration) balancer.Micros { return d.Microseconds() }

// Duration turns the decisions' unit into a duration.
func Duration(m balancer.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
