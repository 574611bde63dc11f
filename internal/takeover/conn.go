package takeover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	decide "dunlinsail/internal/decide/takeover"
)

// Message is a message between predecessor and successor. Which fields are set depends on Kind.
type Message struct {
	Kind decide.Event
	// Payload is the protocol version in Hello, the host's offer in Offer, the encoded snapshot in Handover,
	// and the reason in Rejected.
	Payload []byte
	// Sockets are sent with the message: the listening sockets with Offer, and one client connection with
	// ConnectionHandedOver.
	Sockets []syscall.Conn
	Files   []*os.File // open files that were received with the message
}

// firstAdditionalKind is the first kind that this package defines. Lower kinds are events of package
// decide/takeover.
const firstAdditionalKind decide.Event = 100

// Kinds of messages in addition to those of package decide/takeover. The numbers are part of the wire format.
const (
	ConnectionHandedOver = firstAdditionalKind + iota // an idle client connection, from predecessor to successor
	chunk                                             // a part of the payload, before the last packet
	Cordons                                           // the cordons that an operator has set at the sending process
)

const (
	maxChunkBytes      = 32 << 10        // maximum payload bytes in one packet
	maxPayloadBytes    = 64 << 20        // maximum payload bytes of a message, over all its packets
	maxFilesPerMessage = 250             // maximum open files of a message; the kernel allows 253 (SCM_MAX_FD)
	writeTimeout       = 2 * time.Second // bounds the time to write a message
	dialTimeout        = time.Second     // bounds the check whether a process listens at a socket

	socketMode          = 0o600 // only the user that runs the process may connect
	fileDescriptorBytes = 4     // size of one file descriptor in a control message
)

// Conn is a connection between predecessor and successor. Any number of goroutines may write, but only one may
// read.
type Conn struct {
	unixConn  *net.UnixConn
	writeMu   sync.Mutex // held while a message is written
	receiveMu sync.Mutex // held by Loop.Read from before it reads a message until the loop has received it
}

// Dial connects to the predecessor that listens at path. An error that wraps syscall.ENOENT or
// syscall.ECONNREFUSED means that there is no predecessor.
func Dial(path string) (*Conn, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return &Conn{unixConn: c}, nil
}

// ConnPair returns both ends of a connection between a predecessor and a successor that run in the same
// process.
func ConnPair() (predecessor, successor *Conn, err error) {
	const socketType = syscall.SOCK_SEQPACKET | syscall.SOCK_CLOEXEC | syscall.SOCK_NONBLOCK
	fds, err := syscall.Socketpair(syscall.AF_UNIX, socketType, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socketpair: %w", err)
	}
	var ends [2]*Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "takeover")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			if i == 0 {
				_ = syscall.Close(fds[1]) // the second descriptor has no Conn yet
			} else {
				ends[0].Close()
			}
			return nil, nil, err
		}
		ends[i] = &Conn{unixConn: c.(*net.UnixConn)}
	}
	return ends[0], ends[1], nil
}

// Listener accepts connections from successors.
type Listener struct{ socket *net.UnixListener }

// Listen listens for successors at path. It replaces a socket that was left at path by a process that has
// ended. Only the user that runs the process may connect.
func Listen(path string) (*Listener, error) {
	if err := RemoveStale("unixpacket", path); err != nil {
		return nil, err
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		ln.Close()
		return nil, err
	}
	return &Listener{ln}, nil
}

// RemoveStale removes the unix socket at path if no process listens at it any more. It returns an error if path
// is not a socket, or if a process listens there; in the latter case the error wraps syscall.EADDRINUSE.
func RemoveStale(network, path string) error {
	info, err := os.Lstat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode()&os.ModeSocket == 0:
		return fmt.Errorf("%s is no socket: the file is not removed", path)
	}
	c, err := net.DialTimeout(network, path, dialTimeout)
	if err == nil {
		c.Close()
		return fmt.Errorf("%s: another process listens there: %w", path, syscall.EADDRINUSE)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return os.Remove(path)
}

// ListenReplacing listens for successors at path, and atomically replaces the socket of a process that listens
// there. Closing the listener does not remove path, because another process may have replaced the socket by
// then.
func ListenReplacing(path string) (*Listener, error) {
	temporaryPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporaryPath) // a process with the same process ID may have left this socket
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: temporaryPath, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err = os.Chmod(temporaryPath, socketMode); err == nil {
		err = os.Rename(temporaryPath, path)
	}
	if err != nil {
		ln.Close()
		os.Remove(temporaryPath)
		return nil, err
	}
	return &Listener{ln}, nil
}

// ListenerFromFile returns the listener for an inherited socket. The caller may close f afterwards.
func ListenerFromFile(f *os.File) (*Listener, error) {
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	unixListener, ok := ln.(*net.UnixListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("not a unix socket")
	}
	return &Listener{unixListener}, nil
}

// Path returns the path of the listener's socket.
func (l *Listener) Path() string { return l.socket.Addr().String() }

// Socket returns the listening socket, so that it can be sent to a successor.
func (l *Listener) Socket() syscall.Conn { return l.socket }

// KeepPath sets whether the path of the socket remains when the listener is closed. It must remain if another
// process may listen there.
func (l *Listener) KeepPath(keep bool) { l.socket.SetUnlinkOnClose(!keep) }

// SetPaused starts or ends a pause. During a pause, Accept returns os.ErrDeadlineExceeded, and processes that
// connect wait.
func (l *Listener) SetPaused(paused bool) { l.socket.SetDeadline(pauseDeadline(paused)) }

// pauseDeadline returns a deadline in the past if paused is true, and the zero time, which means no deadline,
// otherwise.
func pauseDeadline(paused bool) time.Time {
	if paused {
		return time.Unix(1, 0)
	}
	return time.Time{}
}

// Accept waits for a successor to connect.
func (l *Listener) Accept() (*Conn, error) {
	c, err := l.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Conn{unixConn: c}, nil
}

// Close closes the listener.
func (l *Listener) Close() error { return l.socket.Close() }

// Close closes the connection.
func (c *Conn) Close() error { return c.unixConn.Close() }

// Write sends a message within writeTimeout. The sockets of the message stay open in this process.
func (c *Conn) Write(m Message) error {
	if len(m.Sockets) > maxFilesPerMessage {
		return fmt.Errorf("%d open files exceed the limit of one message", len(m.Sockets))
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.unixConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for len(m.Payload) > maxChunkBytes {
		if err := c.writePacket(chunk, m.Payload[:maxChunkBytes], nil); err != nil {
			return err
		}
		m.Payload = m.Payload[maxChunkBytes:]
	}
	return withDescriptors(m.Sockets, nil, func(fds []int) error { return c.writePacket(m.Kind, m.Payload, fds) })
}

// withDescriptors calls call with fds followed by the file descriptors of sockets, which stay open during the
// call. The File method of a connection cannot be used instead, since it makes the descriptor blocking in both
// processes.
func withDescriptors(sockets []syscall.Conn, fds []int, call func([]int) error) error {
	if len(sockets) == 0 {
		return call(fds)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = withDescriptors(sockets[1:], append(fds, int(fd)), call) })
	if controlErr != nil {
		return controlErr
	}
	return err
}

// writePacket writes one packet with a message kind, a part of the payload, and file descriptors.
func (c *Conn) writePacket(kind decide.Event, payload []byte, fds []int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = syscall.UnixRights(fds...)
	}
	_, _, err := c.unixConn.WriteMsgUnix(append([]byte{byte(kind)}, payload...), rights, nil)
	return err
}

// awaitMessage waits until a message or the end of the connection has arrived. It reads nothing.
func (c *Conn) awaitMessage() error {
	raw, err := c.unixConn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(isReadable)
}

// hasPendingMessage reports whether a message or the end of the connection has arrived that Loop.Read has not
// yet passed to the loop. It does not block.
func (c *Conn) hasPendingMessage() bool {
	if !c.receiveMu.TryLock() {
		return true
	}
	defer c.receiveMu.Unlock()
	raw, err := c.unixConn.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) { arrived = isReadable(fd) })
	return err == nil && arrived
}

// isReadable reports whether a read of the socket fd would return without waiting.
func isReadable(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// ReadWithin reads a message. It returns an error if the message does not arrive within timeout.
func (c *Conn) ReadWithin(timeout time.Duration) (Message, error) {
	c.unixConn.SetReadDeadline(time.Now().Add(timeout))
	defer c.unixConn.SetReadDeadline(time.Time{})
	return c.Read()
}

// Read waits for a message and returns it. The caller must close the files of the message. Read returns an
// error for a malformed message and at the end of the connection.
func (c *Conn) Read() (Message, error) {
	var m Message
	buf := make([]byte, 1+maxChunkBytes)
	controlData := make([]byte, syscall.CmsgSpace(fileDescriptorBytes*maxFilesPerMessage))
	for {
		n, oobn, flags, _, err := c.unixConn.ReadMsgUnix(buf, controlData)
		if err != nil {
			return m, err
		}
		files, err := receivedFiles(controlData[:oobn])
		m.Files = append(m.Files, files...)
		switch {
		case err != nil:
		case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
			err = errors.New("message truncated")
		case n == 0:
			err = errConnectionClosed
		case len(m.Payload)+n > maxPayloadBytes:
			err = errors.New("message too large")
		}
		if err != nil {
			m.CloseFiles()
			return Message{}, err
		}
		m.Payload = append(m.Payload, buf[1:n]...)
		if kind := decide.Event(buf[0]); kind != chunk {
			m.Kind = kind
			return m, nil
		}
	}
}

// errConnectionClosed is the error that Read returns at the end of the connection.
var errConnectionClosed = errors.New("connection closed by the other process")

// CloseFiles closes the files that were received with the message.
func (m *Message) CloseFiles() {
	for _, f := range m.Files {
		f.Close()
	}
	m.Files = nil
}

// receivedFiles returns the open files in the control messages of a packet.
func receivedFiles(controlData []byte) ([]*os.File, error) {
	var files []*os.File
	controlMessages, err := syscall.ParseSocketControlMessage(controlData)
	if err != nil {
		return nil, err
	}
	for i := range controlMessages {
		fds, err := syscall.ParseUnixRights(&controlMessages[i])
		if err != nil {
			continue // a control message without file descriptors
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// HandOver sends an idle client connection to the successor. The caller must close the connection in this
// process.
func (c *Conn) HandOver(conn net.Conn) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("client connection is not a socket")
	}
	return c.Write(Message{Kind: ConnectionHandedOver, Sockets: []syscall.Conn{socket}})
}
