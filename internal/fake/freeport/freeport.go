// Package freeport finds addresses of loopback for what is to listen there later, or again: an address that the kernel gives for
// the asking is from the range of which it also takes those of outgoing connections, and may be taken by one in between.
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

// The range is below what Linux gives to outgoing connections where nobody has changed that (ip_local_port_range, ip(7):
// from 32768 on), and above what is commonly served.
const (
	firstPort   = 12_000
	lastPort    = 32_000
	maxAttempts = 1000
)

var reserved struct {
	sync.Mutex
	all map[int]bool
}

// Free returns an address, 127.0.0.1 with a port, on which nothing listens; a process is not given one twice.
func Free() (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.all == nil {
		reserved.all = map[int]bool{}
	}
	for range maxAttempts {
		n := firstPort + rand.IntN(lastPort-firstPort)
		if reserved.all[n] {
			continue
		}
		addr := fmt.Sprint("127.0.0.1:", n)
		ln, err := net.Listen("tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, os.ErrPermission) {
			continue
		}
		if err != nil {
			return "", err
		}
		reserved.all[n] = true
		return addr, ln.Close()
	}
	return "", errors.New("no port is free")
}
