// Command dunlinsail is a sidecar that balances the requests of its application over endpoints.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"dunlinsail/internal/memorylimit"
	"dunlinsail/internal/platform"
	"dunlinsail/internal/sidecar"
)

func main() {
	// Installed before everything else, because a SIGHUP without a handler ends the program.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// A sidecar has one core, which it may share with other sidecars.
	runtime.GOMAXPROCS(1)
	readConfig := func() (*platform.Config, error) { return platform.Read(os.Getenv) }
	config, err := readConfig()
	if err != nil {
		log.Error("cannot start", "error", err)
		os.Exit(2)
	}
	memorylimit.Set(int64(config.MemoryMB)<<20, memorylimit.SidecarPercent) // a process over it is killed
	// The signal handlers are never removed: the platform may send SIGTERM while this process exits after a
	// handover, and the signal must not kill it.
	ctx, cancel := context.WithCancel(context.Background())
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	go func() { // runs until the first signal or the end of the program
		<-stopSignals
		cancel()
	}()
	if err := sidecar.Run(ctx, config, reloadSignals, readConfig, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}
