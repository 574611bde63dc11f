package http1

import (
	"io"
	"net"
	"sync"
	"syscall"
)

// inlet is where a connection's bytes come in. It knows at each instant whether some have come that have not been looked
// at, in the kernel or here: a connection that is closed then may take a whole request with it, unanswered.
type inlet struct {
	raw  syscall.RawConn // nil for what is no socket
	conn io.Reader       // read in that case

	mu  sync.Mutex
	fed bool // what the last read returned may be a whole request

	// The present read's. The callback is made once, since each would allocate.
	b    []byte
	n    int
	err  error
	read func(fd uintptr) bool
}

func newInlet(nc net.Conn) *inlet {
	in := &inlet{conn: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			in.raw = raw
		}
	}
	in.read = in.receive
	return in
}

// Read reads what has come. Whoever calls again has looked at that.
func (in *inlet) Read(b []byte) (int, error) {
	if in.raw == nil {
		in.rest(false)
		n, err := in.conn.Read(b)
		in.rest(n > 0)
		return n, err
	}
	if len(b) == 0 {
		return 0, nil
	}
	in.b = b
	err := in.raw.Read(in.read)
	in.b = nil
	switch {
	case err != nil: // a deadline, or it is closed
		return 0, err
	case in.err != nil:
		return 0, &net.OpError{Op: "read", Net: "socket", Err: in.err}
	case in.n == 0:
		return 0, io.EOF
	}
	return in.n, nil
}

// receive makes one try, and says whether that was all. Bytes leave the kernel's sight and come into ours at once.
func (in *inlet) receive(fd uintptr) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for {
		in.n, _, in.err = syscall.Recvfrom(int(fd), in.b, syscall.MSG_DONTWAIT)
		if in.err != syscall.EINTR {
			break
		}
	}
	in.fed = in.err == nil && in.n > 0
	return in.err != syscall.EAGAIN
}

// readable waits until something can be read, or the connection has ended.
func (in *inlet) readable() error {
	in.rest(false)
	return in.raw.Read(func(fd uintptr) bool { return peek(fd) != syscall.EAGAIN })
}

// peek tells what a read would: syscall.EAGAIN where nothing has come.
func peek(fd uintptr) error {
	for {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err
		}
	}
}

// rest says that what came has been looked at, but for what the reader still holds.
func (in *inlet) rest(holds bool) {
	in.mu.Lock()
	in.fed = holds
	in.mu.Unlock()
}

// empty says whether nothing has come that has not been looked at. The end of a connection is nothing.
func (in *inlet) empty() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.fed {
		return false
	}
	if in.raw == nil {
		return true
	}
	some := false
	err := in.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return err != nil || !some
}
