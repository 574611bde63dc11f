package sockqueue

import (
	"errors"
	"syscall"
)

// maxTailQueue is the maximum number of unread bytes that UnreadTail looks at. The kernel copies all of them.
const maxTailQueue = 1 << 20

// UnreadTail returns up to the last n bytes that have arrived on a socket and have not been read: fewer if fewer have
// arrived. It reports false if more than maxTailQueue bytes have arrived, or if the socket does not report them.
func UnreadTail(conn syscall.RawConn, n int) (tail []byte, known bool) {
	unread := Unread(conn)
	if unread == Unknown || unread > maxTailQueue {
		return nil, false
	}
	queue := make([]byte, unread+1) // one more: bytes that have arrived since are noticed
	control(conn, func(fd uintptr) (int64, syscall.Errno) {
		length, _, err := syscall.Recvfrom(int(fd), queue, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		known = int64(max(0, length)) == unread && (err == nil || errors.Is(err, syscall.EAGAIN))
		return int64(length), 0
	})
	return queue[max(0, unread-int64(n)):unread], known
}
