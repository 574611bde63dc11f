package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"syscall"

	"dunlinsail/internal/config"
	"dunlinsail/internal/daemon"
	"dunlinsail/internal/memorylimit"
)

// fileFlag is the flag with the path of the daemon's configuration file. Commands that read the file embed it.
type fileFlag struct {
	Config string `help:"The daemon's file." required:"" placeholder:"FILE"`
}

// read reads the configuration file. Its error is a *fileError.
func (f *fileFlag) read() (*config.Config, error) {
	conf, err := config.Read(f.Config)
	if err != nil {
		return nil, &fileError{f.Config, err}
	}
	return conf, nil
}

// checkCmd is the command that validates a configuration file.
type checkCmd struct{ fileFlag }

// Run validates the configuration file, and prints that it is valid and what it warns of.
func (c *checkCmd) Run() error {
	conf, err := c.read()
	if err != nil {
		return err
	}
	printSound(c.Config, conf)
	return nil
}

// printSound prints that a file is valid, and the warnings for the configuration that it results in.
func printSound(file string, conf *config.Config) {
	fmt.Printf("%s: sound\n", file)
	for _, warning := range conf.Warnings() {
		fmt.Printf("%s: warning: %s\n", file, warning)
	}
}

// serveCmd is the command that runs the daemon.
type serveCmd struct {
	fileFlag
	Debug    bool `help:"Log more."`
	Announce bool `help:"Print a line once serving."`
}

// Run serves until ctx is done or another process has taken over. Each signal on reloadSignals makes it read the
// configuration file again.
func (c *serveCmd) Run(ctx context.Context, reloadSignals <-chan os.Signal) error {
	conf, err := c.read()
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if c.Debug {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	options := daemon.Options{
		Config:               conf,
		Log:                  log,
		Reload:               reloadSignals,
		ApplyProcessSettings: applyProcessSettings,
		ReadConfig:           func() (*config.Config, error) { return config.Read(c.Config) },
	}
	if c.Announce {
		options.OnServing = func(map[string]string) { fmt.Println("serving") }
	}
	if err := daemon.Run(ctx, options); err != nil {
		log.Error("ended", "error", err)
		return errors.New("ended by an error")
	}
	log.Info("ended")
	return nil
}

// applyProcessSettings applies the settings of the whole process: the number of cores, the memory limit and the
// number of file descriptors.
func applyProcessSettings(settings *config.Process) error {
	if settings.Cores > 0 {
		runtime.GOMAXPROCS(settings.Cores)
	}
	memorylimit.Set(settings.Memory.Bytes, memorylimit.DaemonPercent)
	return raiseDescriptorLimit(uint64(settings.Descriptors))
}

// raiseDescriptorLimit raises the soft limit on file descriptors of this process to twice the required number,
// because two generations are open while the configuration changes. If the hard limit is lower than that, the soft
// limit becomes equal to it. A hard limit below the required number is an error.
func raiseDescriptorLimit(required uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit on file descriptors: %w", err)
	}
	if limit.Max < required {
		return fmt.Errorf("process.descriptors is %d, but the limit of this process is %d:"+
			" lower the setting, or raise the limit (ulimit -n)", required, limit.Max)
	}
	if limit.Cur >= min(limit.Max, 2*required) {
		return nil
	}
	limit.Cur = min(limit.Max, 2*required)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit on file descriptors: %w", err)
	}
	return nil
}
