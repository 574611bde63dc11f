// Package sockqueue reads how many bytes wait in the kernel's queues of a connected socket, and how many more it takes.
package sockqueue

import (
	"encoding/binary"
	"syscall"
	"unsafe"
)

// Requests of ioctl(2) for the lengths of a socket's queues (tcp(7), unix(7)).
const (
	requestUnread         = syscall.TIOCINQ
	requestUnacknowledged = syscall.TIOCOUTQ
)

// Layout of struct tcp_info (linux/tcp.h), of which only one field is read.
const (
	windowOffset = 232 // of tcpi_rcv_wnd, in bytes
	windowEnd    = windowOffset + 4
)

// Unknown is the result for a socket that does not report it.
const Unknown = -1

// Unread returns the number of bytes that have arrived on a socket and have not been read (FIONREAD), or Unknown.
func Unread(conn syscall.RawConn) int64 { return queueLength(conn, requestUnread) }

// Unacknowledged returns the number of bytes that were written to a socket and that the peer's host has not
// acknowledged (SIOCOUTQ), or Unknown.
func Unacknowledged(conn syscall.RawConn) int64 { return queueLength(conn, requestUnacknowledged) }

// Window returns the receive window in bytes that a TCP socket has announced last (tcpi_rcv_wnd). It returns Unknown
// for other sockets, and 0 on kernels before Linux 6.2.
func Window(conn syscall.RawConn) int64 {
	return control(conn, func(fd uintptr) (int64, syscall.Errno) {
		var info [windowEnd]byte
		length := uint32(len(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&length)), 0)
		return int64(binary.NativeEndian.Uint32(info[windowOffset:])), errno
	})
}

// queueLength returns the length in bytes of the queue that an ioctl request stands for.
func queueLength(conn syscall.RawConn, request uintptr) int64 {
	return control(conn, func(fd uintptr) (int64, syscall.Errno) {
		var length int32
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, request, uintptr(unsafe.Pointer(&length)))
		return int64(length), errno
	})
}

// control returns the result of read for the descriptor of a socket, or Unknown if it fails or the socket is closed.
func control(conn syscall.RawConn, read func(fd uintptr) (int64, syscall.Errno)) int64 {
	if conn == nil {
		return Unknown
	}
	result := int64(Unknown)
	// Control fails without calling the function if the socket has been closed.
	_ = conn.Control(func(fd uintptr) {
		if n, errno := read(fd); errno == 0 {
			result = n
		}
	})
	return result
}
