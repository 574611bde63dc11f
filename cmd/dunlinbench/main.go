// Command dunlinbench takes the project's own measurements. Each compares two things in one run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"dunlinsail/internal/bench"
)

const usage = `usage: dunlinbench MEASUREMENT [flags]

  fast    endpoints that answer in a fraction of a millisecond: sidecar beside ReverseProxy

dunlinbench MEASUREMENT -h tells a measurement's flags.
`

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	self, err := os.Executable()
	if err == nil {
		err = run(ctx, filepath.Dir(self), os.Args[1], os.Args[2:])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinbench:", err)
		os.Exit(1)
	}
}

// run takes one measurement of the programs in bin.
func run(ctx context.Context, bin, name string, args []string) error {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	flags.StringVar(&bin, "bin", bin, "folder of the programs")
	switch name {
	case "fast":
		rate := flags.Float64("rate", 1500, "requests a second")
		each := flags.Duration("for", 10*time.Second, "time for each program")
		flags.Parse(args)
		return bench.Fast(ctx, os.Stdout, bin, *rate, *each)
	case "proxy": // a part of the measurements, not one itself
		return bench.Proxy(ctx, args[0], args[1:])
	}
	fmt.Fprint(os.Stderr, usage)
	return fmt.Errorf("unknown measurement %q", name)
}
