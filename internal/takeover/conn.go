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

// Message is one message. Which fields it has depends on its kind.
type Message struct {
	Kind    decide.Event
	Payload []byte // Hello: the version; Offer: what is offered; Handover: the snapshot; Rejected: the reason
	// Sockets are sent with the message. Offer: the listening sockets; ConnectionHandedOver: one connection.
	Sockets []syscall.Conn
	Files   []*os.File // that were received
}

// Kinds of messages beside those of package decide/takeover: ConnectionHandedOver is an idle connection, from
// predecessor to successor. A chunk is the beginning of the next message's payload. Cordons are what an
// operator set at either side.
const (
	ConnectionHandedOver decide.Event = 100 + iota
	chunk
	Cordons
)

const (
	maxChunk     = 32 << 10
	maxPayload   = 64 << 20 // of one message in all its chunks
	maxFiles     = 250      // with one message; the kernel takes 253 (SCM_MAX_FD)
	writeTimeout = 2 * time.Second
)

// Conn is a connection to the other side. Many goroutines may write, and one read.
type Conn struct {
	unixConn *net.UnixConn
	writing  sync.Mutex // one message is written at a time
}

// Dial connects to the predecessor that listens at a path. An error that wraps syscall.ENOENT or syscall.ECONNREFUSED
// means that there is none.
func Dial(path string) (*Conn, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return &Conn{unixConn: c}, nil
}

// ConnPair returns both ends of a connection between a predecessor and a successor in one process.
func ConnPair() (predecessor, successor *Conn, err error) {
	const kind = syscall.SOCK_SEQPACKET | syscall.SOCK_CLOEXEC | syscall.SOCK_NONBLOCK
	fds, err := syscall.Socketpair(syscall.AF_UNIX, kind, 0)
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
				_ = syscall.Close(fds[1]) // given up
			} else {
				ends[0].Close()
			}
			return nil, nil, err
		}
		ends[i] = &Conn{unixConn: c.(*net.UnixConn)}
	}
	return ends[0], ends[1], nil
}

// Listener accepts successors.
type Listener struct{ socket *net.UnixListener }

// Listen listens for successors at a path. A socket that a process which has ended left there is replaced. Only the
// user that the process runs as may connect.
func Listen(path string) (*Listener, error) {
	if err := RemoveStale("unixpacket", path); err != nil {
		return nil, err
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	return &Listener{ln}, nil
}

// RemoveStale removes a unix socket at which no process listens any more. It is an error if the path is no
// socket, or a process listens there (syscall.EADDRINUSE).
func RemoveStale(network, path string) error {
	info, err := os.Lstat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode()&os.ModeSocket == 0:
		return fmt.Errorf("%s is no socket: it is left alone", path)
	}
	c, err := net.DialTimeout(network, path, time.Second)
	if err == nil {
		c.Close()
		return fmt.Errorf("%s: another process listens there: %w", path, syscall.EADDRINUSE)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return os.Remove(path)
}

// ListenReplacing listens for successors at a path in place of the process that listens there, atomically. The path
// stays when the listener is closed, since it may be the next process's by then.
func ListenReplacing(path string) (*Listener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own) // left by a process that had our number
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: own, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err = os.Chmod(own, 0o600); err == nil {
		err = os.Rename(own, path)
	}
	if err != nil {
		ln.Close()
		os.Remove(own)
		return nil, err
	}
	return &Listener{ln}, nil
}

// ListenerFromFile returns the listener of an inherited socket. The file may be closed afterwards.
func ListenerFromFile(f *os.File) (*Listener, error) {
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	u, ok := ln.(*net.UnixListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("not a unix socket")
	}
	return &Listener{u}, nil
}

// Path returns the listener's path.
func (l *Listener) Path() string { return l.socket.Addr().String() }

// Socket returns the listening socket, to be passed on.
func (l *Listener) Socket() syscall.Conn { return l.socket }

// KeepPath sets whether the socket's path stays when it is closed: another process may listen on it.
func (l *Listener) KeepPath(yes bool) { l.socket.SetUnlinkOnClose(!yes) }

// SetPaused makes Accept return os.ErrDeadlineExceeded, or ends that. Processes that connect meanwhile wait.
func (l *Listener) SetPaused(yes bool) { l.socket.SetDeadline(pauseDeadline(yes)) }

func pauseDeadline(yes bool) time.Time {
	if yes {
		return time.Unix(1, 0)
	}
	return time.Time{}
}

// Accept waits for a successor.
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

// Write sends a message within writeTimeout. Its sockets stay open here.
func (c *Conn) Write(m Message) error {
	if len(m.Sockets) > maxFiles {
		return fmt.Errorf("%d open files are too many for one message", len(m.Sockets))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.unixConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for len(m.Payload) > maxChunk {
		if err := c.writePacket(chunk, m.Payload[:maxChunk], nil); err != nil {
			return err
		}
		m.Payload = m.Payload[maxChunk:]
	}
	return withDescriptors(m.Sockets, nil, func(fds []int) error { return c.writePacket(m.Kind, m.Payload, fds) })
}

// withDescriptors calls f with the sockets' descriptors, which stay open meanwhile. net.Conn.File would make them
// blocking, here and in the other process alike, as soon as their number was asked for.
func withDescriptors(socks []syscall.Conn, fds []int, f func([]int) error) error {
	if len(socks) == 0 {
		return f(fds)
	}
	raw, err := socks[0].SyscallConn()
	if err != nil {
		return err
	}
	failed := raw.Control(func(fd uintptr) { err = withDescriptors(socks[1:], append(fds, int(fd)), f) })
	if failed != nil {
		return failed
	}
	return err
}

func (c *Conn) writePacket(kind decide.Event, text []byte, fds []int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = syscall.UnixRights(fds...)
	}
	_, _, err := c.unixConn.WriteMsgUnix(append([]byte{byte(kind)}, text...), rights, nil)
	return err
}

// ReadWithin reads a message, and waits for it so long at most.
func (c *Conn) ReadWithin(d time.Duration) (Message, error) {
	c.unixConn.SetReadDeadline(time.Now().Add(d))
	defer c.unixConn.SetReadDeadline(time.Time{})
	return c.Read()
}

// Read waits for a message. The caller closes its files. A malformed message is an error, and so is the connection's
// end.
func (c *Conn) Read() (Message, error) {
	var m Message
	buf := make([]byte, 1+maxChunk)
	oob := make([]byte, syscall.CmsgSpace(4*maxFiles))
	for {
		n, oobn, flags, _, err := c.unixConn.ReadMsgUnix(buf, oob)
		if err != nil {
			return m, err
		}
		files, err := receivedFiles(oob[:oobn])
		m.Files = append(m.Files, files...)
		switch {
		case err != nil:
		case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
			err = errors.New("a message was cut off")
		case n == 0:
			err = errConnectionClosed
		case len(m.Payload)+n > maxPayload:
			err = errors.New("a message is too large")
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

var errConnectionClosed = errors.New("the other side has ended the connection")

// CloseFiles closes the message's files.
func (m *Message) CloseFiles() {
	for _, f := range m.Files {
		f.Close()
	}
	m.Files = nil
}

// receivedFiles returns the files that came with a message.
func receivedFiles(oob []byte) ([]*os.File, error) {
	var files []*os.File
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue // not open files
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// HandOver sends an idle connection. Its descriptor here stays open: the caller closes it.
func (c *Conn) HandOver(nc net.Conn) error {
	sock, ok := nc.(syscall.Conn)
	if !ok {
		return errors.New("no socket")
	}
	return c.Write(Message{Kind: ConnectionHandedOver, Sockets: []syscall.Conn{sock}})
}
