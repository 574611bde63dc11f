// Package freeport finds loopback addresses for servers that start later or restart. An address from listening on
// port 0 would not do: it is from the range that the kernel also uses for outgoing connections, which may take it
// meanwhile.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

const (
	// The ports [firstPort, endPort) are below Linux's default range for outgoing connections, which starts at 32768
	// (ip_local_port_range, ip(7)), and above commonly used ports.
	firstPort = 12_000
	endPort   = 32_000

	maxAttempts = 1000
)

// reserved holds the ports that this process has been given.
var reserved struct {
	sync.Mutex
	ports map[int]bool
}

// Free returns an address (127.0.0.1 and a port) on which nothing listens. A process never gets the same one twice.
// It is safe for concurrent use.
func Free() (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.ports == nil {
		reserved.ports = map[int]bool{}
	}
	for range maxAttempts {
		port := firstPort + rand.IntN(endPort-firstPort)
		if reserved.ports[port] {
			continue
		}
		addr := fmt.Sprint("127.0.0.1:", port)
		ln, err := net.Listen("tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, os.ErrPermission) {
			continue
		}
		if err != nil {
			return "", err
		}
		reserved.ports[port] = true
		return addr, ln.Close()
	}
	return "", errors.New("no free port found")
}
