package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

const acceptFor = 550 * time.Millisecond // after the order to stop: clients still connect for 0.4 s

// Run serves until stop ends, then finishes what it has taken and returns. At each signal of reload it reads
// the configuration again.
func Run(stop context.Context, c *Config, reload <-chan os.Signal, read func() (*Config, error), log *slog.Logger) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(stop, c, ln, reload, read, log)
}

func serve(stop context.Context, c *Config, ln net.Listener, reload <-chan os.Signal, read func() (*Config, error),
	log *slog.Logger) error {
	clk := clock{time.Now()}
	up := newUpstream(c, clk, log)
	d := &discovery{}
	l, err := newLoop(c, clk, up, d.set, log)
	if err != nil {
		ln.Close()
		return err
	}
	d.w = newWatcher(c.Discovery, c.Known.Generation, c.MemoryMB, l.told, log)

	// What runs beside the server ends after it, so that all that it has taken is answered first.
	ctx, cancel := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer cancel()
	if c.Settings.Subscribe {
		d.watch, d.ended = (*watcher).once, l.untold
	} else {
		d.watch = (*watcher).keep
		d.set(true)
	}
	beside.Go(func() { l.run(ctx) })
	beside.Go(func() { up.keep(ctx) })
	beside.Go(func() {
		reloads(ctx, c, reload, read, func(addr string) {
			d.move(newWatcher(addr, unlisted, c.MemoryMB, l.told, log))
		}, log)
	})
	defer d.set(false)

	s, err := newServer(c, l, log)
	if err != nil {
		ln.Close()
		return err
	}
	broken := make(chan error, 1)
	go func() { broken <- s.clients.accept(ln) }()
	log.Info("serving", "name", c.Name, "listen", ln.Addr().String())
	select {
	case err := <-broken:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	s.drain(ln, broken, log)
	return nil
}

// drain goes on serving while clients may still connect, with each answer closing its connection, and then
// finishes what was taken. Refusing the clients that come meanwhile would fail them for nothing.
func (s *server) drain(ln net.Listener, accepted <-chan error, log *slog.Logger) {
	log.Info("stopping")
	s.closing.Store(true)
	s.clients.hush()
	time.Sleep(acceptFor)
	ln.Close()
	<-accepted
	// Whoever has not sent a whole request by now is not waited for: time is short, and all that is open is due.
	s.clients.hush()
	s.clients.talks.Wait()
}
