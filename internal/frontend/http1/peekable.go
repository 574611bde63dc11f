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

func newPeekableConn(netConn net.Conn) *peekableConn {
	p := &peekableConn{fallback: netConn}
	if sc, ok := netConn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.rawConn = raw
		}
	}
	p.readCallback = p.receive
	return p
}

// Read reads what has come. Whoever calls again has looked at that.
func (p *peekableConn) Read(b []byte) (int, error) {
	if p.rawConn == nil {
		p.setUnexamined(false)
		n, err := p.fallback.Read(b)
		p.setUnexamined(n > 0)
		return n, err
	}
	if len(b) == 0 {
		return 0, nil
	}
	p.readBuffer = b
	err := p.rawConn.Read(p.readCallback)
	p.readBuffer = nil
	switch {
	case err != nil: // a deadline, or it is closed
		return 0, err
	case p.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "socket", Err: p.readErr}
	case p.readCount == 0:
		return 0, io.EOF
	}
	return p.readCount, nil
}

// receive makes one try, and says whether that was all. Bytes leave the kernel's sight and come into ours at once.
func (p *peekableConn) receive(fd uintptr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.readCount, _, p.readErr = syscall.Recvfrom(int(fd), p.readBuffer, syscall.MSG_DONTWAIT)
		if p.readErr != syscall.EINTR {
			break
		}
	}
	p.unexamined = p.readErr == nil && p.readCount > 0
	return p.readErr != syscall.EAGAIN
}

// readable waits until something can be read, or the connection has ended.
func (p *peekableConn) waitReadable() error {
	p.setUnexamined(false)
	return p.rawConn.Read(func(fd uintptr) bool { return peekErrno(fd) != syscall.EAGAIN })
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
func (p *peekableConn) setUnexamined(unexamined bool) {
	p.mu.Lock()
	p.unexamined = unexamined
	p.mu.Unlock()
}

// empty says whether nothing has come that has not been looked at. The end of a connection is nothing.
func (p *peekableConn) isDrained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unexamined {
		return false
	}
	if p.rawConn == nil {
		return true
	}
	pending := false
	err := p.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err == nil && n > 0
	})
	return err != nil || !pending
}
