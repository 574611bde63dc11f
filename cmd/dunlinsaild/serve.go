package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"dunlinsail/internal/config"
	"dunlinsail/internal/daemon"
)

// fileFlag is the daemon's file.
type fileFlag struct {
	Config string `help:"The daemon's file." required:"" placeholder:"FILE"`
}

func (f *fileFlag) read() (*config.Config, error) {
	c, err := config.Read(f.Config)
	if err != nil {
		return nil, &fileError{f.Config, err}
	}
	return c, nil
}

type checkCmd struct{ fileFlag }

// Run checks a file.
func (c *checkCmd) Run() error {
	if _, err := c.read(); err != nil {
		return err
	}
	fmt.Printf("%s: sound\n", c.Config)
	return nil
}

type serveCmd struct {
	fileFlag
	Debug    bool `help:"Log more."`
	Announce bool `help:"Print a line once serving."`
}

// Run serves.
func (c *serveCmd) Run(stop context.Context, reload <-chan os.Signal) error {
	conf, err := c.read()
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if c.Debug {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	o := daemon.Options{Config: conf, Log: log, Reload: reload, Prepare: prepare, Read: func() (*config.Config, error) { return config.Read(c.Config) }}
	if c.Announce {
		o.Serving = func(map[string]string) { fmt.Println("serving") }
	}
	if err := daemon.Run(stop, o); err != nil {
		log.Error("ended", "error", err)
		return errors.New("ended by an error")
	}
	log.Info("ended")
	return nil
}

// prepare sets what holds for the whole process.
func prepare(p *config.Process) error {
	if p.Cores > 0 {
		runtime.GOMAXPROCS(p.Cores)
	}
	// The collector works harder well before the memory is used up.
	debug.SetMemoryLimit(p.Memory.Bytes / 2)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	if want := uint64(p.Descriptors); files.Cur < min(files.Max, 2*want) || files.Max < want {
		if files.Max < want {
			return fmt.Errorf("process.descriptors is %d, and this process may have %d: set a lower one, or raise the limit (ulimit -n)",
				want, files.Max)
		}
		files.Cur = min(files.Max, 2*want) // while one generation takes over from another both have theirs
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
			return fmt.Errorf("limit of descriptors: %w", err)
		}
	}
	return nil
}
