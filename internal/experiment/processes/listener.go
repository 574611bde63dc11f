package processes

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// silenceableListener is a TCP listener that can be made silent: it then does not respond to connection requests,
// so that clients time out, as they do with a machine behind a network partition. It becomes silent by filling the
// socket's accept queue, which makes the kernel drop SYN packets.
type silenceableListener struct {
	*net.TCPListener

	mu           sync.Mutex
	stateChanged *sync.Cond
	silent       bool
	acceptParked bool // Accept is waiting for the silence to end
	closed       bool
	queueFiller  net.Conn            // connection that fills the accept queue during a silence
	fillerAddrs  map[string]struct{} // local addresses of filler connections that Accept has not yet discarded
}

// acceptBacklog is the length of the accept queue outside a silence. The kernel may limit it further
// (net.core.somaxconn).
const acceptBacklog = 4096

// fillerDialTimeout bounds dialing the connection that fills the accept queue. Dialing succeeds at once unless the
// queue is already full.
const fillerDialTimeout = 100 * time.Millisecond

func newSilenceableListener(addr string) (*silenceableListener, error) {
	tcpListener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &silenceableListener{TCPListener: tcpListener.(*net.TCPListener), fillerAddrs: map[string]struct{}{}}
	l.stateChanged = sync.NewCond(&l.mu)
	return l, nil
}

// Accept returns the next connection of a client. During a silence it waits until the silence ends.
func (l *silenceableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.mu.Lock()
			l.acceptParked = true
			l.stateChanged.Broadcast()
			for l.silent && !l.closed {
				l.stateChanged.Wait()
			}
			l.acceptParked = false
			l.mu.Unlock()
			continue
		}
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		_, isFiller := l.fillerAddrs[conn.RemoteAddr().String()]
		delete(l.fillerAddrs, conn.RemoteAddr().String())
		l.mu.Unlock()
		if !isFiller {
			return conn, nil
		}
		conn.Close()
	}
}

// setSilent starts a silence if silent is true, and ends it otherwise.
func (l *silenceableListener) setSilent(silent bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.silent == silent {
		return nil
	}
	l.silent = silent
	if !silent {
		err := l.setBacklog(acceptBacklog)
		if l.queueFiller != nil {
			l.queueFiller.Close()
			l.queueFiller = nil
		}
		l.SetDeadline(time.Time{})
		l.stateChanged.Broadcast()
		return err
	}
	l.SetDeadline(time.Unix(1, 0))
	// An Accept in progress would remove the filler connection from the queue.
	for !l.acceptParked && !l.closed {
		l.stateChanged.Wait()
	}
	if l.closed {
		return nil
	}
	if err := l.setBacklog(0); err != nil {
		return err
	}
	// With a backlog of 0 the queue has room for one connection. If dialing fails, the queue is already full.
	if fillerConn, err := net.DialTimeout("tcp", l.Addr().String(), fillerDialTimeout); err == nil {
		l.queueFiller = fillerConn
		l.fillerAddrs[fillerConn.LocalAddr().String()] = struct{}{}
	}
	return nil
}

// setBacklog changes the length of the socket's accept queue.
func (l *silenceableListener) setBacklog(length int) error {
	rawConn, err := l.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := rawConn.Control(func(fd uintptr) { err = syscall.Listen(int(fd), length) }); controlErr != nil {
		return controlErr
	}
	return err
}

// Close closes the listener, also during a silence. The kernel then rejects new connections.
func (l *silenceableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.queueFiller != nil {
		l.queueFiller.Close()
	}
	l.stateChanged.Broadcast()
	return l.TCPListener.Close()
}
