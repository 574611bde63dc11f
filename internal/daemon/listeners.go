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
	conf     *config.Listener
	ln       net.Listener
	identify http1.Identify

	accepting bool
	accepts   sync.WaitGroup
}

// bindFor is how long a cold start waits for an address that another process holds: one that was told to stop just
// before goes on accepting for a moment.
const bindFor = 3 * time.Second

// listen opens the listeners of the configuration, those among the offered that it names as they are. On an error
// none is left open that it opened.
func (d *generation) listen(stop context.Context, offered []net.Listener, names []string, wait time.Duration) error {
	for i := range d.o.Config.Listeners {
		conf := &d.o.Config.Listeners[i]
		l := &listener{conf: conf, identify: d.clients.identify(conf)}
		for j, name := range names {
			if offered[j] != nil && (name == conf.Address || offered[j].Addr().String() == conf.Address) {
				l.ln, offered[j] = offered[j], nil
				l.keep(true) // the giver's still, if this comes to nothing
				break
			}
		}
		if l.ln == nil {
			ln, err := open(stop, conf, wait)
			if err != nil {
				return fmt.Errorf("listener %q: %w", conf.Name, err)
			}
			l.ln = ln
		}
		d.listeners = append(d.listeners, l)
	}
	return nil
}

// open opens one listener. An address in use is waited for.
func open(stop context.Context, conf *config.Listener, wait time.Duration) (net.Listener, error) {
	network, address := conf.Network()
	for end := time.Now().Add(wait); ; {
		ln, err := openOnce(network, address, conf.Mode.Bits)
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

func openOnce(network, address string, mode os.FileMode) (net.Listener, error) {
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
func (l *listener) accept(f *http1.Front) {
	if l.accepting {
		return
	}
	l.accepting = true
	l.deadline(time.Time{})
	l.accepts.Go(func() { f.Accept(l.ln, l.identify) })
}

// pause ends accept. Who connects from then on waits in the socket's queue.
func (l *listener) pause() {
	l.deadline(time.Unix(1, 0))
	l.accepts.Wait()
	l.accepting = false
}

func (l *listener) deadline(t time.Time) {
	if s, ok := l.ln.(interface{ SetDeadline(time.Time) error }); ok {
		s.SetDeadline(t)
	}
}

// keep says whether a unix socket's path stays when it is closed: another process may listen on it.
func (l *listener) keep(yes bool) {
	if u, ok := l.ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(!yes)
	}
}

func (l *listener) close() {
	l.ln.Close()
	l.accepts.Wait()
}
