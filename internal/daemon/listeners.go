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

// listener accepts the connections of clients at one configured address.
type listener struct {
	config   *config.Listener
	socket   net.Listener
	identify http1.IdentifyFunc // identifies the client of a new connection

	accepting  bool           // reports whether the accept loop was started and not paused
	acceptLoop sync.WaitGroup // the goroutine that startAccepting starts
}

// bindTimeout is how long a daemon that starts without a predecessor waits for an address that another process
// still uses. A process that was just stopped continues to accept connections for stopAcceptDelay.
const bindTimeout = 3 * time.Second

// socketUmask is the umask with which only the daemon's user can access a new unix socket.
const socketUmask = 0o177

// openListeners opens the configured listeners. For each listener it adopts the offered socket whose name (the
// address in the predecessor's configuration file) or bound address is the listener's address, and sets that
// socket to nil in offeredSockets. It waits up to maxWait for an address in use. After an error, stopBackground
// closes the listeners that were opened.
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
			l.setKeepPath(true) // the path belongs to the predecessor if this start fails
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

// takeOffered returns the offered socket of a listener and sets it to nil in offeredSockets. It returns nil if
// no offered socket has the name or the address of the listener.
func takeOffered(conf *config.Listener, offeredSockets []net.Listener, offeredNames []string) net.Listener {
	for i, offeredName := range offeredNames {
		socket := offeredSockets[i]
		if socket != nil && (offeredName == conf.Address || socket.Addr().String() == conf.Address) {
			offeredSockets[i] = nil
			return socket
		}
	}
	return nil
}

// openListener opens one listener. While the address is in use it retries until maxWait has passed or stop is
// canceled.
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

// bindListener opens one listener without retrying. mode holds the permissions of a unix socket. A unix socket
// at the same path on which no process listens is replaced.
func bindListener(network, address string, mode os.FileMode) (net.Listener, error) {
	if network != "unix" {
		return net.Listen(network, address)
	}
	if err := takeover.RemoveStale(network, address); err != nil {
		return nil, err
	}
	// The umask prevents other users from connecting between Listen and Chmod.
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

// startAccepting starts the goroutine that accepts connections and serves them until pauseAccepting or close.
// It does nothing if that goroutine already runs.
func (l *listener) startAccepting(frontend *http1.Server) {
	if l.accepting {
		return
	}
	l.accepting = true
	l.setAcceptDeadline(time.Time{})
	l.acceptLoop.Go(func() { _ = frontend.Accept(l.socket, l.identify) })
}

// pauseAccepting stops accepting. Clients that connect from then on wait in the socket's queue.
func (l *listener) pauseAccepting() {
	l.setAcceptDeadline(time.Unix(1, 0))
	l.acceptLoop.Wait()
	l.accepting = false
}

// setAcceptDeadline sets the time at which a blocked Accept returns. The zero time removes the deadline.
func (l *listener) setAcceptDeadline(deadline time.Time) {
	if socket, ok := l.socket.(interface{ SetDeadline(time.Time) error }); ok {
		_ = socket.SetDeadline(deadline) // SetDeadline fails only on a closed listener
	}
}

// setKeepPath sets whether the path of a unix socket remains when the socket is closed. It must remain while
// another process may listen there.
func (l *listener) setKeepPath(keep bool) {
	if unixSocket, ok := l.socket.(*net.UnixListener); ok {
		unixSocket.SetUnlinkOnClose(!keep)
	}
}

// close closes the socket and returns once the accept loop has ended.
func (l *listener) close() {
	l.socket.Close()
	l.acceptLoop.Wait()
}
