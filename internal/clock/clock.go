// Package clock provides the clock of a process, which is shared by all its packages. An instant is in
// microseconds since the Unix epoch (monotime.Micros).
package clock

import (
	"syscall"
	"time"
	"unsafe"

	"dunlinsail/internal/monotime"
)

// Clock returns instants. A Clock equals Unix time when it is created and is monotonic from then on, so that a
// change of the system clock does not move deadlines. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// startBootTime is BootTime at the creation of the clock, or 0 for a clock that may stop while the host
	// sleeps.
	startBootTime monotime.Micros
}

// New returns a clock that starts at the present Unix time. It may stop while the host sleeps, as
// CLOCK_MONOTONIC does.
func New() Clock { return Clock{start: time.Now()} }

// NewBootClock returns a clock that starts at the present Unix time and continues while the host sleeps, as
// CLOCK_BOOTTIME does. A lease that expires for other instances while the host sleeps then expires here, too.
// If the host has no such clock, the returned clock is the same as that of New.
func NewBootClock() Clock { return Clock{start: time.Now(), startBootTime: BootTime()} }

// Now returns the present instant.
func (c Clock) Now() monotime.Micros {
	if c.startBootTime != 0 {
		return c.start.UnixMicro() + BootTime() - c.startBootTime
	}
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2).
const clockBoottime = 7

const nanosPerMicro = 1000

// BootTime returns the time since the host started, including time asleep, or 0 if the host has no such clock.
// All processes of the host read the same value.
func BootTime() monotime.Micros {
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0
	}
	return t.Nano() / nanosPerMicro
}

// Micros converts a duration to microseconds, rounded toward zero.
func Micros(d time.Duration) monotime.Micros { return d.Microseconds() }

// Duration converts microseconds to a duration.
func Duration(m monotime.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
