package upstream

import (
	"errors"
	"os"
	"syscall"
)

// arrivals finds the connections that have unread bytes or were closed by their endpoints, with one system call
// for all of them (epoll). Its methods must not be called concurrently. The zero arrivals watches no
// connections.
type arrivals struct {
	epoll  *os.File        // owns fd; nil until the first connection is watched
	fd     int             // descriptor of the epoll instance
	conns  map[int32]*Conn // watched connections, keyed by their descriptors
	events [maxArrivalEvents]syscall.EpollEvent
}

// maxArrivalEvents is the maximum number of events that one system call returns.
const maxArrivalEvents = 64

// arrivalEvents are the epoll events that a connection is watched for. They are edge-triggered: each arrival is
// reported once.
const arrivalEvents = syscall.EPOLLIN | syscall.EPOLLRDHUP | epollEdgeTriggered

// epollEdgeTriggered is EPOLLET as a positive number. Package syscall declares EPOLLET as a negative one.
const epollEdgeTriggered = 1 << 31

// watch watches a connection until the connection is closed. pending yields it if it has unread bytes now, and
// again each time that bytes arrive. If watch returns an error, the connection is not watched.
func (a *arrivals) watch(c *Conn) error {
	if a.conns[c.watchedFD] == c {
		return nil
	}
	if err := a.open(); err != nil {
		return err
	}
	var watchErr error
	err := c.withDescriptor(func(fd int) {
		event := syscall.EpollEvent{Events: arrivalEvents, Fd: int32(fd)}
		watchErr = syscall.EpollCtl(a.fd, syscall.EPOLL_CTL_ADD, fd, &event)
		if watchErr == nil {
			c.watchedFD = event.Fd
			a.conns[event.Fd] = c
		}
	})
	return errors.Join(err, watchErr)
}

// open creates the epoll instance, unless it exists already.
func (a *arrivals) open() error {
	if a.epoll != nil {
		return nil
	}
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return os.NewSyscallError("epoll_create1", err)
	}
	a.epoll = os.NewFile(uintptr(fd), "epoll")
	a.fd = fd
	a.conns = map[int32]*Conn{}
	return nil
}

// forget removes a closed connection from conns. Closing the connection has already removed it from the epoll
// instance. Its descriptor may have been reassigned to another watched connection, which stays.
func (a *arrivals) forget(c *Conn) {
	if a.conns[c.watchedFD] == c {
		delete(a.conns, c.watchedFD)
	}
}

// pending yields the connections that have received bytes, or were closed by their endpoints, since they were
// last yielded. It does not wait.
func (a *arrivals) pending(yield func(*Conn) bool) {
	for mayHaveMore := len(a.conns) > 0; mayHaveMore; {
		n, err := syscall.EpollWait(a.fd, a.events[:], 0)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return
		}
		for _, event := range a.events[:n] {
			if c := a.conns[event.Fd]; c != nil && !yield(c) {
				return
			}
		}
		mayHaveMore = n == len(a.events)
	}
}

// close stops watching all connections.
func (a *arrivals) close() {
	if a.epoll != nil {
		a.epoll.Close()
	}
	*a = arrivals{}
}
