package sidecar

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// inheritedListener is a listening socket that the platform shares with this process. The non-blocking mode is a
// property of the socket that all processes share: the platform may switch the socket to blocking mode at any
// time, as package os/exec does when it passes the socket to another process. Neither a deadline nor Close can
// interrupt a blocking accept.
type inheritedListener struct {
	*net.TCPListener
	rawConn syscall.RawConn
}

// inheritListener returns a listener for a file descriptor that the platform has passed to this process.
func inheritListener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "inherited")
	if file == nil {
		return nil, fmt.Errorf("ROUTER_INHERITED_FD: %d is not a file descriptor", fd)
	}
	defer file.Close() // net.FileListener duplicates the descriptor
	for option, want := range map[int]int{syscall.SO_TYPE: syscall.SOCK_STREAM, syscall.SO_ACCEPTCONN: 1} {
		if got, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, option); err != nil || got != want {
			return nil, fmt.Errorf("ROUTER_INHERITED_FD: %d is not a listening stream socket", fd)
		}
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcpListener, ok := ln.(*net.TCPListener)
	if !ok {
		return ln, nil
	}
	raw, err := tcpListener.SyscallConn()
	return &inheritedListener{tcpListener, raw}, err
}

// Accept sets the socket to non-blocking mode and waits for a connection.
func (l *inheritedListener) Accept() (net.Conn, error) {
	var err error
	controlErr := l.rawConn.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) })
	if controlErr != nil {
		return nil, controlErr
	}
	if err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}
