package takeover

import (
	"syscall"
	"time"
	"unsafe"
)

// Monotonic returns the time of the host's monotonic clock in microseconds. It is the same for all processes of the
// host, and is not affected by changes of the system's time.
func Monotonic() int64 {
	const clockMonotonic = 1 // clock_gettime(2)
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0 // ages are then taken as 0
	}
	return t.Nano() / int64(time.Microsecond)
}
