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

// listener is where clients connect.
type listener struct {
	config   *config.Listener
	socket   net.Listener
	identify http1.Identify

	accepting  bool
	acceptLoop sync.WaitGroup
}

// bindTimeout is how long a start without a predecessor waits for an address that another process holds: one
// that was told to stop just before goes on accepting for a moment.
const bindTimeout = 3 * time.Second

// listen opens the listeners of the configuration, those among the offered that it names as they are. On an error
// none is left open that it opened.
func (d *generation) listen(stop context.Context, offered []net.Listener, names []string, wait time.Duration) error {
	for i := range d.options.Config.Listeners {
		conf := &d.options.Config.Listeners[i]
		l := &listener{config: conf, identify: d.clients.identify(conf)}
		for j, name := range names {
			if offered[j] != nil && (name == conf.Address || offered[j].Addr().String() == conf.Address) {
				l.socket = offered[j]
				offered[j] = nil
				l.keepPath(true) // the predecessor's still, if this start fails
				break
			}
		}
		if l.socket == nil {
			ln, err := openListener(stop, conf, wait)
			if err != nil {
				return fmt.Errorf("listener %q: %w", conf.Name, err)
			}
			l.socket = ln
		}
		d.listeners = append(d.listeners, l)
	}
	return nil
}

// openListener opens one listener, and waits for an address in use.
func openListener(stop context.Context, conf *config.Listener, wait time.Duration) (net.Listener, error) {
	network, address := conf.Network()
	for end := time.Now().Add(wait); ; {
		ln, err := openListenerOnce(network, address, conf.Mode.Bits)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-stop.Done():
			return nil, err
		}
	}
}

func openListenerOnce(network, address string, mode os.FileMode) (net.Listener, error) {
	if network != "unix" {
		return net.Listen(network, address)
	}
	if err := takeover.RemoveStale(network, address); err != nil {
		return nil, err
	}
	// The socket must not be open to all for a moment before its permissions are set.
	old := syscall.Umask(0o177)
	ln, err := net.Listen(network, address)
	syscall.Umask(old)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(address, mode); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// accept serves the listener's connections until it is paused or closed.
func (l *listener) accept(f *http1.Server) {
	if l.accepting {
		return
	}
	l.accepting = true
	l.setDeadline(time.Time{})
	l.acceptLoop.Go(func() { _ = f.Accept(l.socket, l.identify) })
}

// pause ends accept. Who connects from then on waits in the socket's queue.
func (l *listener) pause() {
	l.setDeadline(time.Unix(1, 0))
	l.acceptLoop.Wait()
	l.accepting = false
}

func (l *listener) setDeadline(t time.Time) {
	if s, ok := l.socket.(interface{ SetDeadline(time.Time) error }); ok {
		_ = s.SetDeadline(t) // it fails on a closed listener only
	}
}

// keepPath sets whether a unix socket's path stays when it is closed: another process may listen on it.
func (l *listener) keepPath(yes bool) {
	if u, ok := l.socket.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(!yes)
	}
}

func (l *listener) close() {
	l.socket.Close()
	l.acceptLoop.Wait()
}
