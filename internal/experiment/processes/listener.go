package processes

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// silenceableListener is a listener that can stop answering connection requests, as a machine behind a network
// partition does: clients wait until they time out. It fills the socket's accept queue, whereupon the kernel drops
// SYNs.
type silenceableListener struct {
	*net.TCPListener

	mu           sync.Mutex
	stateChanged *sync.Cond
	silent       bool
	acceptParked bool // Accept waits for the silence to end
	closed       bool
	queueFiller  net.Conn            // fills the accept queue
	fillerAddrs  map[string]struct{} // local addresses of fillers that are not yet accepted
}

// backlog is the length of the accept queue; the kernel may cap it (net.core.somaxconn).
const acceptBacklog = 4096

// fillerDialTimeout bounds the connection that fills the queue: it succeeds at once, or the queue is full already.
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

// Accept waits for the next connection, during a silence for its end.
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

// setSilent begins or ends a silence.
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
	// An Accept in progress would take the filler out of the queue.
	for !l.acceptParked && !l.closed {
		l.stateChanged.Wait()
	}
	if l.closed {
		return nil
	}
	if err := l.setBacklog(0); err != nil {
		return err
	}
	// A backlog of 0 holds one connection. If dialing fails, the queue is full already.
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

// Close closes the listener and ends a silence: the system rejects new connections.
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
