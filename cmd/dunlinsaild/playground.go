package main

import (
	"context"
	"os"
	"time"

	"dunlinsail/internal/playground"
)

// playgroundCmd is the command that shows a daemon together with fake endpoints and clients.
type playgroundCmd struct {
	For   time.Duration `help:"End after so long; 0 is never." default:"0s"`
	Quiet bool          `help:"Nothing goes wrong by itself."`
}

// Run runs the playground until ctx is done or the duration For has passed.
func (c *playgroundCmd) Run(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	stdoutInfo, err := os.Stdout.Stat()
	isTerminal := err == nil && stdoutInfo.Mode()&os.ModeCharDevice != 0
	return playground.Run(ctx, playground.Options{
		Program: executable,
		Out:     os.Stdout,
		Clear:   isTerminal,
		For:     c.For,
		Quiet:   c.Quiet,
	})
}

// clientCmd is the hidden command that the playground runs in its client processes.
type clientCmd struct{}

// Run runs a client process of the playground, which exchanges messages with its parent process over standard input
// and output.
func (*clientCmd) Run(ctx context.Context) error {
	return playground.Client(ctx, os.Stdin, os.Stdout)
}
