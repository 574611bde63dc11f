package http1

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"

	"dunlinsail/internal/decide/upload"
	"dunlinsail/internal/sockqueue"
	"dunlinsail/internal/timesharing"
)

// lastReadBytes is how many of the bytes that have been read last are kept.
const lastReadBytes = 4

// peekableConn reads from a connection, and can report at any time whether bytes have arrived that its caller has
// not examined. The bytes may still be in the kernel or may have been read. Closing a connection with such bytes
// may lose a complete request.
type peekableConn struct {
	rawConn        syscall.RawConn // nil if the connection is not a socket
	fallbackReader io.Reader       // the connection itself, which is read if rawConn is nil

	mu         sync.Mutex
	unexamined bool                // the bytes of the last read may be a complete request
	readTotal  int64               // bytes that have been read
	lastRead   [lastReadBytes]byte // the last of them; the first ones are 0 if fewer have been read

	turn   *timesharing.Turn // of the goroutine that reads; a client that always has bytes at hand pauses it
	waited bool              // the current read found no bytes at first

	// Arguments and results of the current read. The callback is created once, because creating it for each read
	// would allocate.
	readBuffer   []byte
	readCount    int
	readErr      error
	readCallback func(fd uintptr) bool
}

func newPeekableConn(netConn net.Conn, turn *timesharing.Turn) *peekableConn {
	p := &peekableConn{fallbackReader: netConn, turn: turn}
	if sc, ok := netConn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.rawConn = raw
		}
	}
	p.readCallback = p.receive
	return p
}

// Read reads the bytes that have arrived. A call implies that the caller has examined the bytes of the previous
// call.
func (p *peekableConn) Read(b []byte) (int, error) {
	if p.rawConn == nil {
		p.setUnexamined(false)
		n, err := p.fallbackReader.Read(b)
		p.mu.Lock()
		p.recordReadLocked(b[:n])
		p.mu.Unlock()
		return n, err
	}
	if len(b) == 0 {
		return 0, nil
	}
	p.readBuffer = b
	p.waited = false
	err := p.rawConn.Read(p.readCallback)
	p.readBuffer = nil
	p.endRead()
	switch {
	case err != nil: // a deadline has passed, or the connection is closed
		return 0, err
	case p.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "socket", Err: p.readErr}
	case p.readCount == 0:
		return 0, io.EOF
	}
	return p.readCount, nil
}

// endRead starts a new turn of the reading goroutine if the read has waited, and otherwise pauses it if its turn is
// over.
func (p *peekableConn) endRead() {
	if p.waited {
		p.turn.Waited()
	} else {
		p.turn.Yield()
	}
}

// receive makes one attempt to read, and reports whether the read is complete. It holds the mutex, so that
// allBytesExamined always sees the bytes either in the kernel or marked as unexamined.
func (p *peekableConn) receive(fd uintptr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.readCount, _, p.readErr = syscall.Recvfrom(int(fd), p.readBuffer, syscall.MSG_DONTWAIT)
		if !errors.Is(p.readErr, syscall.EINTR) {
			break
		}
	}
	p.recordReadLocked(p.readBuffer[:max(0, p.readCount)]) // the count is negative after an error
	blocked := errors.Is(p.readErr, syscall.EAGAIN)
	p.waited = p.waited || blocked
	return !blocked
}

// waitReadable waits until bytes can be read or the connection has ended. rawConn must not be nil.
func (p *peekableConn) waitReadable() error {
	p.setUnexamined(false)
	p.waited = false
	err := p.rawConn.Read(func(fd uintptr) bool {
		blocked := errors.Is(pendingErrno(fd), syscall.EAGAIN)
		p.waited = p.waited || blocked
		return !blocked
	})
	p.endRead()
	return err
}

// pendingErrno returns the error that a read would return now: syscall.EAGAIN if nothing has arrived.
func pendingErrno(fd uintptr) error {
	for {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// setUnexamined sets whether the caller's buffer contains bytes that the caller has not examined.
func (p *peekableConn) setUnexamined(unexamined bool) {
	p.mu.Lock()
	p.unexamined = unexamined
	p.mu.Unlock()
}

// recordReadLocked records the bytes of a read.
func (p *peekableConn) recordReadLocked(b []byte) {
	p.unexamined = len(b) > 0
	p.readTotal += int64(len(b))
	last := b[max(0, len(b)-lastReadBytes):]
	kept := copy(p.lastRead[:], p.lastRead[len(last):])
	copy(p.lastRead[kept:], last)
}

// arrival returns how many bytes have been read from the connection, and how many more have arrived or may arrive.
// It leaves open what the kernel reports on the client's socket.
func (p *peekableConn) arrival() upload.Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return upload.Arrival{
		Read:         p.readTotal,
		Unread:       sockqueue.Unread(p.rawConn),
		Window:       sockqueue.Window(p.rawConn),
		ClientSocket: upload.UnknownSocket,
	}
}

// mayEndWith reports whether the bytes that have arrived, read or not, may end with suffix. suffix has up to
// lastReadBytes bytes.
func (p *peekableConn) mayEndWith(suffix string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unread, known := sockqueue.UnreadTail(p.rawConn, len(suffix))
	return !known || strings.HasSuffix(string(p.lastRead[:])+string(unread), suffix)
}

// allBytesExamined reports whether the caller has examined all bytes that have arrived. The end of the connection
// does not count as a byte.
func (p *peekableConn) allBytesExamined() bool {
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
