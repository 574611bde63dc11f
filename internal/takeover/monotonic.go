package takeover

import (
	"syscall"
	"unsafe"
)

// Monotonic returns the host's monotonic clock in microseconds. All processes of the host read the same, and no
// step of the system's time moves it.
func Monotonic() int64 {
	const clockMonotonic = 1 // clock_gettime(2)
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0 // an age then counts as none
	}
	return t.Nano() / 1000
}
