package takeover

import (
	"syscall"
	"time"
	"unsafe"
)

// Monotonic returns the time of the host's monotonic clock in microseconds. All processes of the host read the
// same value. Changes of the system time do not affect it.
func Monotonic() int64 {
	const clockMonotonic = 1 // CLOCK_MONOTONIC of clock_gettime(2)
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0 // ages computed from this clock are then 0
	}
	return t.Nano() / int64(time.Microsecond)
}
