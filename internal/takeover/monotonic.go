package takeover

import "golang.org/x/sys/unix"

// Monotonic returns the host's monotonic clock in microseconds. All processes of the host read the same, and no
// step of the system's time moves it.
func Monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // not on Linux; an age then counts as none
	}
	return t.Nano() / 1000
}
