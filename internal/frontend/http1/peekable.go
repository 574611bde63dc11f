package http1

import (
	"io"
	"net"
	"sync"
	"syscall"
)

// inlet is where a connection's bytes come in. It knows at each instant whether some have come that have not been looked
// at, in the kernel or here: a connection that is closed then may take a whole request with it, unanswered.
type peekableConn struct {
	rawConn  syscall.RawConn // nil for what is no socket
	fallback io.Reader       // read in that case

	mu         sync.Mutex
	unexamined bool // what the last read returned may be a whole request

	// The present read's. The callback is made once, since each would allocate.
	readBuffer   []byte
	readCount    int
	readErr      error
	readCallback func(fd uintptr) bool
}

func newPeekableConn(nc net.Conn) *peekableConn {
	in := &peekableConn{fallback: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			in.rawConn = raw
		}
	}
	in.readCallback = in.receive
	return in
}

// Read reads what has come. Whoever calls again has looked at that.
func (in *peekableConn) Read(b []byte) (int, error) {
	if in.rawConn == nil {
		in.setUnexamined(false)
		n, err := in.fallback.Read(b)
		in.setUnexamined(n > 0)
		return n, err
	}
	if len(b) == 0 {
		return 0, nil
	}
	in.readBuffer = b
	err := in.rawConn.Read(in.readCallback)
	in.readBuffer = nil
	switch {
	case err != nil: // a deadline, or it is closed
		return 0, err
	case in.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "socket", Err: in.readErr}
	case in.readCount == 0:
		return 0, io.EOF
	}
	return in.readCount, nil
}

// receive makes one try, and says whether that was all. Bytes leave the kernel's sight and come into ours at once.
func (in *peekableConn) receive(fd uintptr) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for {
		in.readCount, _, in.readErr = syscall.Recvfrom(int(fd), in.readBuffer, syscall.MSG_DONTWAIT)
		if in.readErr != syscall.EINTR {
			break
		}
	}
	in.unexamined = in.readErr == nil && in.readCount > 0
	return in.readErr != syscall.EAGAIN
}

// readable waits until something can be read, or the connection has ended.
func (in *peekableConn) waitReadable() error {
	in.setUnexamined(false)
	return in.rawConn.Read(func(fd uintptr) bool { return peekErrno(fd) != syscall.EAGAIN })
}

// peek tells what a read would: syscall.EAGAIN where nothing has come.
func peekErrno(fd uintptr) error {
	for {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err
		}
	}
}

// rest says that what came has been looked at, but for what the reader still holds.
func (in *peekableConn) setUnexamined(unexamined bool) {
	in.mu.Lock()
	in.unexamined = unexamined
	in.mu.Unlock()
}

// empty says whether nothing has come that has not been looked at. The end of a connection is nothing.
func (in *peekableConn) isDrained() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.unexamined {
		return false
	}
	if in.rawConn == nil {
		return true
	}
	pending := false
	err := in.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err == nil && n > 0
	})
	return err != nil || !pending
}
