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
	first = 12_000
	last  = 32_000
	tries = 1000
)

var given struct {
	sync.Mutex
	all map[int]bool
}

// Free returns an address, 127.0.0.1 with a port, on which nothing listens; a process is not given one twice.
func Free() (string, error) {
	given.Lock()
	defer given.Unlock()
	if given.all == nil {
		given.all = map[int]bool{}
	}
	for range tries {
		n := first + rand.IntN(last-first)
		if given.all[n] {
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
		given.all[n] = true
		return addr, ln.Close()
	}
	return "", errors.New("no port is free")
}
