// Package takeover carries a takeover's messages between two processes of one host: over a unix socket that keeps
// messages apart, with open files beside them (SCM_RIGHTS, unix(7)). It decides nothing: package decide/takeover
// does, and package daemon carries out what follows.
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
	Payload []byte         // Hello: the version; Offer: what is offered; Refused: the reason
	Sockets []syscall.Conn // to write. Offer: the listening sockets; Handed: one connection
	Files   []*os.File     // as read
}

// Handed is a connection at rest, from giver to taker. Chunk is a part of what the next message says. Words are what was
// said by hand of endpoints, from either side.
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
	socket  *net.UnixConn
	writing sync.Mutex // one message is written at a time
}

// Dial connects to the giver that listens at a path. An error that wraps syscall.ENOENT or syscall.ECONNREFUSED
// means that none does.
func Dial(path string) (*Conn, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return &Conn{socket: c}, nil
}

// Pair returns both ends of a connection between a giver and a taker in one process.
func Pair() (giver, taker *Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_SEQPACKET|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
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
				syscall.Close(fds[1])
			} else {
				ends[0].Close()
			}
			return nil, nil, err
		}
		ends[i] = &Conn{socket: c.(*net.UnixConn)}
	}
	return ends[0], ends[1], nil
}

// Listener accepts takers.
type Listener struct{ socket *net.UnixListener }

// Listen listens for takers at a path. A socket that is left there by a process that has gone is replaced. Only
// the user that the process runs as may connect.
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

// RemoveStale removes a unix socket at which nobody listens any more. What is no socket, or is listened on, is an
// error.
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

// Replace listens for takers at a path in place of whoever listens there, from one moment to the next: who takes over from
// the one before us has come to us. The path stays when the listener is closed, since it may be the next one's by then.
func Replace(path string) (*Listener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own) // of a process that had our number
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

// FromFile returns the listener of an inherited socket. The file may be closed afterwards.
func FromFile(f *os.File) (*Listener, error) {
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

// Path returns where the listener listens.
func (l *Listener) Path() string { return l.socket.Addr().String() }

// Sock returns the listening socket, to be passed on.
func (l *Listener) Socket() syscall.Conn { return l.socket }

// Keep says whether the socket's path stays when it is closed: another process may listen on it.
func (l *Listener) KeepPath(yes bool) { l.socket.SetUnlinkOnClose(!yes) }

// Pause makes Accept return os.ErrDeadlineExceeded, or ends that. Whoever connects meanwhile waits.
func (l *Listener) Pause(yes bool) { l.socket.SetDeadline(pauseDeadline(yes)) }

func pauseDeadline(yes bool) time.Time {
	if yes {
		return time.Unix(1, 0)
	}
	return time.Time{}
}

// Accept waits for a taker.
func (l *Listener) Accept() (*Conn, error) {
	c, err := l.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Conn{socket: c}, nil
}

// Close ends the listener.
func (l *Listener) Close() error { return l.socket.Close() }

// Close ends the connection.
func (c *Conn) Close() error { return c.socket.Close() }

// Write sends a message. Its sockets stay open here.
func (c *Conn) Write(m Message) error {
	if len(m.Sockets) > maxFiles {
		return fmt.Errorf("%d open files are too many for one message", len(m.Sockets))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	for len(m.Payload) > maxChunk {
		if err := c.writePacket(chunk, m.Payload[:maxChunk], nil); err != nil {
			return err
		}
		m.Payload = m.Payload[maxChunk:]
	}
	return withDescriptors(m.Sockets, nil, func(fds []int) error { return c.writePacket(m.Kind, m.Payload, fds) })
}

// withFDs calls f with the sockets' descriptors, which stay open meanwhile. net.Conn.File would make them
// blocking, here and in the other process alike, as soon as their number was asked for.
func withDescriptors(socks []syscall.Conn, fds []int, f func([]int) error) error {
	if len(socks) == 0 {
		return f(fds)
	}
	raw, err := socks[0].SyscallConn()
	if err != nil {
		return err
	}
	if broken := raw.Control(func(fd uintptr) { err = withDescriptors(socks[1:], append(fds, int(fd)), f) }); broken != nil {
		return broken
	}
	return err
}

func (c *Conn) writePacket(kind decide.Event, text []byte, fds []int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = syscall.UnixRights(fds...)
	}
	_, _, err := c.socket.WriteMsgUnix(append([]byte{byte(kind)}, text...), rights, nil)
	return err
}

// ReadWithin waits for a message for so long.
func (c *Conn) ReadWithin(d time.Duration) (Message, error) {
	c.socket.SetReadDeadline(time.Now().Add(d))
	defer c.socket.SetReadDeadline(time.Time{})
	return c.Read()
}

// Read waits for a message. Its files are the reader's to close. What makes no sense is an error, and so is the
// connection's end.
func (c *Conn) Read() (Message, error) {
	var m Message
	buf := make([]byte, 1+maxChunk)
	oob := make([]byte, syscall.CmsgSpace(4*maxFiles))
	for {
		n, oobn, flags, _, err := c.socket.ReadMsgUnix(buf, oob)
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

// received returns the files that came with a message.
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

// Hand passes a connection at rest on. Our own end stays open: the caller closes it.
func (c *Conn) HandOver(nc net.Conn) error {
	sock, ok := nc.(syscall.Conn)
	if !ok {
		return errors.New("no socket")
	}
	return c.Write(Message{Kind: ConnectionHandedOver, Sockets: []syscall.Conn{sock}})
}
