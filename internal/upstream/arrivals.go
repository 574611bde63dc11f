package upstream

import (
	"errors"
	"os"
	"syscall"
)

// arrivals finds the connections on which something has arrived, or that were closed by their endpoints, with one
// system call for all of them (epoll). Its methods must not be called concurrently. The zero arrivals watches nothing.
type arrivals struct {
	epoll  *os.File        // owns fd; nil until a connection is watched
	fd     int             // of epoll
	conns  map[int32]*Conn // by descriptor: the connections that have been watched
	events [maxArrivalEvents]syscall.EpollEvent
}

// maxArrivalEvents is how many events one system call returns at most.
const maxArrivalEvents = 64

// arrivalEvents are the events of interest, each reported once (edge-triggered).
const arrivalEvents = syscall.EPOLLIN | syscall.EPOLLRDHUP | epollEdgeTriggered

// epollEdgeTriggered is EPOLLET, which package syscall has as a negative number.
const epollEdgeTriggered = 1 << 31

// watch has a connection reported, until it is closed, if something has arrived on it, and each time something arrives.
// An error means that it is not.
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

// open opens the epoll instance, unless it is open.
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

// forget ends the watch of a connection that has been closed, by which the epoll instance has removed it. Another
// connection may have got its descriptor since.
func (a *arrivals) forget(c *Conn) {
	if a.conns[c.watchedFD] == c {
		delete(a.conns, c.watchedFD)
	}
}

// all yields the connections on which something has arrived, is unread, and has not been reported yet. It does not
// wait.
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

// close ends all watches.
func (a *arrivals) close() {
	if a.epoll != nil {
		a.epoll.Close()
	}
	*a = arrivals{}
}
