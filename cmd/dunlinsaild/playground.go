package main

import (
	"context"
	"os"
	"time"

	"dunlinsail/internal/playground"
)

type playgroundCmd struct {
	For   time.Duration `help:"End after so long; 0 is never." default:"0s"`
	Quiet bool          `help:"Nothing goes wrong by itself."`
}

// Run runs the playground until stop ends or its time is over.
func (c *playgroundCmd) Run(stop context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return playground.Run(stop, playground.Options{
		Program: self,
		Out:     os.Stdout,
		Clear:   terminal,
		For:     c.For,
		Quiet:   c.Quiet,
	})
}

type clientCmd struct{}

// Run runs a client process of the playground, which talks to its parent by standard input and output.
func (*clientCmd) Run(stop context.Context) error {
	return playground.Client(stop, os.Stdin, os.Stdout)
}
