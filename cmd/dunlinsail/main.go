// Command dunlinsail is a sidecar that balances its application's requests over endpoints.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dunlinsail/internal/platform"
	"dunlinsail/internal/sidecar"
)

func main() {
	// First of all, since a SIGHUP that nobody waits for ends the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// One core is ours, and other sidecars may share it.
	runtime.GOMAXPROCS(1)
	read := func() (*platform.Config, error) { return platform.Read(os.Getenv) }
	config, err := read()
	if err != nil {
		log.Error("cannot start", "error", err)
		os.Exit(2)
	}
	// The collector works harder well before the limit at which we would be killed.
	debug.SetMemoryLimit(int64(config.MemoryMB) << 20 / 2)
	// To the very end: who has handed over ends by itself, and the platform's SIGTERM may come at that moment.
	stop, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
	}()
	if err := sidecar.Run(stop, config, reload, read, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}
