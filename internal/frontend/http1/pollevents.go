package http1

import (
	"syscall"
	"unsafe"
)

// Event flags of poll(2), which package syscall does not define.
const (
	pollIn    = 0x1
	pollRDHup = 0x2000 // the peer has shut down its sending side
)

// pollEvents returns, without waiting, which of the given events are pending on a descriptor. It returns 0 if the
// descriptor cannot be polled.
func pollEvents(fd uintptr, events int16) int16 {
	pollFD := struct {
		fd              int32
		events, revents int16
	}{fd: int32(fd), events: events}
	var timeout syscall.Timespec
	n, _, errno := syscall.Syscall6(
		syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&pollFD)), 1, uintptr(unsafe.Pointer(&timeout)), 0, 0, 0,
	)
	if errno != 0 || n == 0 {
		return 0
	}
	return pollFD.revents & events
}
