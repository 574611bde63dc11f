// Package clock is the one clock of a process, from which all its packages read instants. An instant is in microseconds
// since the Unix epoch (monotime.Micros).
package clock

import (
	"syscall"
	"time"
	"unsafe"

	"dunlinsail/internal/monotime"
)

// Clock reads instants. It is Unix time at its start and monotonic from there, so that a step of the system clock
// moves no deadline. It is safe for concurrent use.
type Clock struct {
	start         time.Time
	startBootTime monotime.Micros // BootTime at the start; 0 is that of a clock that may stop while the host sleeps
}

// New returns a clock that starts now. It may stop while the host sleeps, as CLOCK_MONOTONIC does.
func New() Clock { return Clock{start: time.Now()} }

// NewBootClock returns a clock that starts now and goes on while the host sleeps, as CLOCK_BOOTTIME does: a lease
// that has expired for other instances has then expired here, too. If the host has no such clock, it returns what New
// does.
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

// BootTime returns the time since the host started, its sleep included, or 0 if the host has no such clock. All
// processes of the host read the same time.
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
