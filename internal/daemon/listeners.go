package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/takeover"
)

// listener accepts the connections of clients at one address.
type listener struct {
	config   *config.Listener
	socket   net.Listener
	identify http1.Identify

	accepting  bool
	acceptLoop sync.WaitGroup // the goroutine of accept
}

// bindTimeout is how long a start without a predecessor waits for an address that another process holds. A process that
// was stopped just before goes on accepting for stopAcceptDelay.
const bindTimeout = 3 * time.Second

// socketUmask makes a new unix socket accessible to the daemon's user only.
const socketUmask = 0o177

// listen opens the listeners of the configuration. It takes an offered socket whose name (as in the predecessor's file)
// or address is the listener's, and sets it to nil in offered. For an address in use it waits, but not longer than
// wait. The listeners that were opened before an error are closed with the generation.
func (g *generation) openListeners(
	stop context.Context, offeredSockets []net.Listener, offeredNames []string, maxWait time.Duration,
) error {
	for i := range g.options.Config.Listeners {
		conf := &g.options.Config.Listeners[i]
		l := &listener{
			config:   conf,
			identify: g.clients.identify(conf),
			socket:   takeOffered(conf, offeredSockets, offeredNames),
		}
		if l.socket != nil {
			l.setKeepPath(true) // the path is still the predecessor's, should this start fail
		} else {
			socket, err := openListener(stop, conf, maxWait)
			if err != nil {
				return fmt.Errorf("listener %q: %w", conf.Name, err)
			}
			l.socket = socket
		}
		g.listeners = append(g.listeners, l)
	}
	return nil
}

// takeOffered returns the offered socket of a listener, which it sets to nil in offered; nil if there is none.
func takeOffered(conf *config.Listener, offeredSockets []net.Listener, offeredNames []string) net.Listener {
	for i, name := range offeredNames {
		socket := offeredSockets[i]
		if socket != nil && (name == conf.Address || socket.Addr().String() == conf.Address) {
			offeredSockets[i] = nil
			return socket
		}
	}
	return nil
}

// openListener opens one listener. It retries an address in use until the time of wait is over or stop ends.
func openListener(stop context.Context, conf *config.Listener, maxWait time.Duration) (net.Listener, error) {
	network, address := conf.Network()
	for deadline := time.Now().Add(maxWait); ; {
		socket, err := bindListener(network, address, conf.Mode.Bits)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return socket, err
		}
		select {
		case <-time.After(bindRetryInterval):
		case <-stop.Done():
			return nil, err
		}
	}
}

// bindListener opens one listener. mode is the permissions of a unix socket; a socket at its path on which no
// process listens is replaced.
func bindListener(network, address string, mode os.FileMode) (net.Listener, error) {
	if network != "unix" {
		return net.Listen(network, address)
	}
	if err := takeover.RemoveStale(network, address); err != nil {
		return nil, err
	}
	// Without the umask other users could connect before Chmod.
	previousUmask := syscall.Umask(socketUmask)
	socket, err := net.Listen(network, address)
	syscall.Umask(previousUmask)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(address, mode); err != nil {
		socket.Close()
		return nil, err
	}
	return socket, nil
}

// accept starts the goroutine that serves the listener's connections until pause or close. It does nothing while one
// runs.
func (l *listener) startAccepting(frontend *http1.Server) {
	if l.accepting {
		return
	}
	l.accepting = true
	l.setAcceptDeadline(time.Time{})
	l.acceptLoop.Go(func() { _ = frontend.Accept(l.socket, l.identify) })
}

// pause ends accept. Clients that connect from then on wait in the socket's queue.
func (l *listener) pauseAccepting() {
	l.setAcceptDeadline(time.Unix(1, 0))
	l.acceptLoop.Wait()
	l.accepting = false
}

// setAcceptDeadline sets the instant at which a waiting Accept returns; the zero time is never.
func (l *listener) setAcceptDeadline(deadline time.Time) {
	if s, ok := l.socket.(interface{ SetDeadline(time.Time) error }); ok {
		_ = s.SetDeadline(deadline) // it fails only on a closed listener
	}
}

// setKeepPath sets whether closing a unix socket leaves its path, because another process may listen there.
func (l *listener) setKeepPath(keep bool) {
	if u, ok := l.socket.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(!keep)
	}
}

// close closes the socket and returns once accept has ended.
func (l *listener) close() {
	l.socket.Close()
	l.acceptLoop.Wait()
}
