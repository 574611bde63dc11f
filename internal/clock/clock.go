// Package clock is the one clock of a process: what all its packages tell instants by.
package clock

import (
	"syscall"
	"time"
	"unsafe"

	"dunlinsail/internal/monotime"
)

// Clock tells instants in microseconds: Unix time at its start, monotonic from there, so that a step of the
// system's clock moves no deadline.
type Clock struct {
	start time.Time
	boot  monotime.Micros // the host's time since it came up, at the start; 0 where that is not looked at
}

// New returns a clock that starts now.
func New() Clock { return Clock{start: time.Now()} }

// Sleepless returns a clock that starts now, and goes on while the host sleeps: what ends by it for others has ended here, too.
func NewBootClock() Clock { return Clock{time.Now(), BootTime()} }

// Now returns the present instant.
func (c Clock) Now() monotime.Micros {
	if c.boot != 0 {
		return c.start.UnixMicro() + BootTime() - c.boot
	}
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// Boot returns the time since the host came up, its sleep included, in microseconds. All processes of the host read the same; 0
// is that it cannot be had.
func BootTime() monotime.Micros {
	const clockBoottime = 7 // clock_gettime(2)
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0
	}
	return t.Nano() / 1000
}

// Micros64 is an instant or a duration in microseconds, as Now returns them.
type Micros64 = monotime.Micros

// Micros turns a duration into the decisions' unit.
func Micros(d time.Duration) monotime.Micros { return d.Microseconds() }

// Duration turns the decisions' unit into a duration.
func Duration(m monotime.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
