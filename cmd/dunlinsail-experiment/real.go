package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/experiment"
)

type realCmd struct {
	Scenarios     []string `arg:"" help:"Scenarios by name, or files."`
	Settings      string   `help:"The variant." default:"shipped"`
	Seeds         int      `help:"So many seeds are played for real, one after another." default:"3"`
	DecisionSeeds int      `name:"lots" help:"The model plays each so many times, with other lots." default:"8"`
	Daemon        string   `help:"The daemon's program; by default the one beside this program." default:""`
	SizeFlags
	RunnerFlags
	JSON bool `help:"Print all as JSON."`
	Log  bool `help:"Pass on what daemons log."`
}

// Run plays scenarios with real daemons and compares their figures with the simulation's.
func (c *realCmd) Run(ctx context.Context, w *output) error {
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	if c.Daemon == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Daemon = filepath.Join(filepath.Dir(self), "dunlinsaild")
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	var log io.Writer
	if c.Log {
		log = os.Stderr
	}
	agreeing := 0
	all := 0
	for _, name := range c.Scenarios {
		s, err := c.SizeFlags.load(name)
		if err != nil {
			return err
		}
		if !c.Quiet {
			fmt.Fprintf(os.Stderr, "%s: about %v\n", s.Name, time.Duration(c.Seeds)*(s.Length.Duration+2*time.Second))
		}
		a, err := r.CompareWithProcesses(ctx, s, v, c.Daemon, c.Seeds, c.DecisionSeeds, log)
		if err != nil {
			return err
		}
		agreeing += a.AgreeingRows
		all += len(a.Rows)
		if err := c.printAgreement(w, s.Name, a); err != nil {
			return err
		}
		_ = w.Flush() // its error comes again with the last Flush, in main
	}
	if !c.JSON {
		fmt.Fprintf(w, "in all %d of %d\n", agreeing, all)
	}
	return nil
}

// printAgreement prints one scenario's result, as JSON or as a table.
func (c *realCmd) printAgreement(w io.Writer, name string, a *experiment.Agreement) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(a.Rows)
	}
	fmt.Fprintf(w, "%s: %d of %d figures of %d real runs lie where the model says\n",
		name, a.AgreeingRows, len(a.Rows), a.Seeds)
	return writeAgreement(w, a)
}

// writeAgreement writes a line for each figure.
func writeAgreement(w io.Writer, a *experiment.Agreement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tmodel\treal\t")
	for _, row := range a.Rows {
		mark := ""
		if !row.Agrees {
			mark = "outside"
		}
		digits := 4
		if row.Unit == "ms" {
			digits = 1
		}
		fmt.Fprintf(
			t, "%s\t%s\t%.*f\t%s\n", row.Name, experiment.FormatMean(row.Figure, row.Model), digits, row.Processes,
			mark,
		)
	}
	return t.Flush()
}
