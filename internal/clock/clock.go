// Package clock is the one clock of a process: all its packages read instants from it. An instant is in microseconds
// (monotime.Micros), and counts from the Unix epoch.
package clock

import (
	"syscall"
	"time"
	"unsafe"

	"dunlinsail/internal/monotime"
)

// Clock reads instants: Unix time at its start, monotonic from there, so that a step of the system clock moves no
// deadline. It is safe for concurrent use.
type Clock struct {
	start       time.Time
	startUptime monotime.Micros // BootTime at the start; 0 is a clock that does not count while the host sleeps
}

// New returns a clock that starts now. It may stand still while the host sleeps, as CLOCK_MONOTONIC does.
func New() Clock { return Clock{start: time.Now()} }

// NewBootClock returns a clock that starts now and goes on while the host sleeps, as CLOCK_BOOTTIME does: a lease that
// has expired for others has then expired here, too. Where the host has no such clock, it is as New returns it.
func NewBootClock() Clock { return Clock{start: time.Now(), startUptime: BootTime()} }

// Now returns the present instant.
func (c Clock) Now() monotime.Micros {
	if c.startUptime != 0 {
		return c.start.UnixMicro() + BootTime() - c.startUptime
	}
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2).
const clockBoottime = 7

// nanosPerMicro converts nanoseconds to microseconds.
const nanosPerMicro = 1000

// BootTime returns the time since the host started, its sleep included. All processes of the host read the same; 0 is
// that the host does not tell.
func BootTime() monotime.Micros {
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0
	}
	return t.Nano() / nanosPerMicro
}

// Micros converts a duration to microseconds, towards zero.
func Micros(d time.Duration) monotime.Micros { return d.Microseconds() }

// Duration converts microseconds to a duration.
func Duration(m monotime.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
