package daemon

import (
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

// bindTimeout is how long a daemon that starts without a predecessor waits for addresses that another process
// still uses. A process that was just stopped continues to accept connections for stopAcceptDelay.
const bindTimeout = 3 * time.Second

// socketUmask is the umask with which only the daemon's user can access a new unix socket.
const socketUmask = 0o177

// openListeners opens the configured listeners that are not open yet. For each listener it adopts the offered socket
// whose name (the address in the predecessor's configuration file) or bound address is the listener's address, and sets
// that socket to nil in offeredSockets. After an error, listeners that were opened stay open until closeListeners or
// stopBackground.
func (g *generation) openListeners(offeredSockets []net.Listener, offeredNames []string) error {
	for i := len(g.listeners); i < len(g.options.Config.Listeners); i++ {
		conf := &g.options.Config.Listeners[i]
		l := &listener{
			config:   conf,
			identify: g.clients.identify(conf),
			socket:   takeOffered(conf, offeredSockets, offeredNames),
		}
		if l.socket != nil {
			l.setKeepPath(true) // the path belongs to the predecessor if this start fails
		} else {
			network, address := conf.Network()
			socket, err := bindListener(network, address, conf.Mode.Bits)
			if err != nil {
				return fmt.Errorf("listener %q: %w", conf.Name, err)
			}
			l.socket = socket
		}
		g.listeners = append(g.listeners, l)
	}
	return nil
}

// closeListeners closes the listeners that openListeners has opened.
func (g *generation) closeListeners() {
	for _, l := range g.listeners {
		l.close()
	}
	g.listeners = nil
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

// bindListener opens one listener. mode holds the permissions of a unix socket. A unix socket
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
