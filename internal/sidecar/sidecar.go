package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	acceptFor  = 550 * time.Millisecond // after the order to stop: clients still connect for 0.4 s
	headerMost = 16 << 10
	headerTime = 10 * time.Second
)

// Run serves until stop ends, then finishes what it has taken and returns.
func Run(stop context.Context, c *Config, log *slog.Logger) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(stop, c, ln, log)
}

func serve(stop context.Context, c *Config, ln net.Listener, log *slog.Logger) error {
	clk := clock{time.Now()}
	up := newUpstream(c, clk)
	var watch switchable
	l, err := newLoop(c, clk, up, watch.set, log)
	if err != nil {
		ln.Close()
		return err
	}
	w := newWatcher(c.Discovery, c.Known.Generation, l.told, log)

	// What runs beside the server ends after it, so that all that it has taken is answered first.
	ctx, cancel := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer cancel()
	if c.Settings.Subscribe {
		watch.watch, watch.ended = w.once, l.untold
	} else {
		beside.Go(func() { w.keep(ctx) })
	}
	beside.Go(func() { l.run(ctx) })
	beside.Go(func() { up.keep(ctx) })
	defer watch.set(false)

	s := newServer(c, l)
	hs := &http.Server{Handler: s, ConnState: s.track, MaxHeaderBytes: headerMost, ReadHeaderTimeout: headerTime,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	broken := make(chan error, 1)
	go func() { broken <- hs.Serve(ln) }()
	log.Info("serving", "name", c.Name, "listen", ln.Addr().String())
	select {
	case err := <-broken:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	return s.drain(hs, log)
}

// drain goes on serving while clients may still connect, with each answer closing its connection, and then
// finishes what was taken. http.Server.Shutdown at once would refuse the clients that come meanwhile.
func (s *server) drain(hs *http.Server, log *slog.Logger) error {
	log.Info("stopping")
	s.closing.Store(true)
	hs.SetKeepAlivesEnabled(false)
	time.Sleep(acceptFor)
	var longest int64
	for _, class := range s.config.Settings.Classes {
		longest = max(longest, class.GiveUp)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(longest)*time.Microsecond)
	defer cancel()
	err := hs.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		// Only connections on which nothing was asked are left: every request's time is up.
		err = hs.Close()
	}
	return err
}

// switchable is a watch that the balancer asks for and ends.
type switchable struct {
	watch func(ctx context.Context)
	ended func() // the watch ended by itself

	mu     sync.Mutex
	cancel context.CancelFunc
}

// set asks for the watch, unless it is on or being asked for, or ends it.
func (s *switchable) set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.cancel != nil) || s.watch == nil {
		return
	}
	if !on {
		s.cancel()
		s.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		s.watch(ctx)
		s.mu.Lock()
		off := ctx.Err() != nil
		if !off {
			cancel()
			s.cancel = nil
		}
		s.mu.Unlock()
		if !off {
			s.ended()
		}
	}()
}
