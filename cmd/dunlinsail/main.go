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
	// First of all, because a SIGHUP without a handler ends the program.
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
	// The collector works harder from half of the memory on; at the limit itself the platform kills the process.
	debug.SetMemoryLimit(int64(config.MemoryMB) << 20 / 2)
	// The signals are never reset: a SIGTERM of the platform may come while this process, after a handover, ends by
	// itself, and must not kill it.
	ctx, cancel := context.WithCancel(context.Background())
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	go func() { // until the program ends
		<-stopSignals
		cancel()
	}()
	if err := sidecar.Run(ctx, config, reloadSignals, readConfig, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}
