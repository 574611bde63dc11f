package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"dunlinsail/internal/experiment/soak"
	"dunlinsail/internal/fake/client"
)

type soakCmd struct {
	Programs []string `help:"Programs that are played; by default dunlinsail and dunlinsaild beside this program."`
	Seeds    int      `help:"So many seeds." default:"8"`
	Seed     uint64   `help:"The first seed." default:"1"`
	At       int      `help:"Runs at the same time." default:"4"`
	Known    []uint64 `help:"Seeds whose failures KNOWN-RED.txt lists: they are printed, and do not count."`
	Logs     bool     `help:"Print what the processes of failed runs logged."`

	SecondResponses int `help:"One of so many requests gets a second response beside the drawn faults; 0 is none."`
}

// soakRun is a run that is to be made, and its outcome.
type soakRun struct {
	options soak.Options
	report  *soak.Report
	err     error
}

// Run plays restarts of real processes under load, and prints a line for each run.
func (c *soakCmd) Run(ctx context.Context, w *output) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	var playing sync.WaitGroup
	slots := make(chan struct{}, max(1, c.At))
	for _, run := range runs {
		slots <- struct{}{}
		playing.Go(func() {
			defer func() { <-slots }()
			run.report, run.err = soak.Run(ctx, run.options)
		})
	}
	playing.Wait()
	failed := 0
	for _, run := range runs {
		if run.err != nil {
			return run.err
		}
		if c.print(w, run) && !c.isKnown(run) {
			failed++
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", len(runs)-failed, failed)
	if failed > 0 {
		return errFailed
	}
	return nil
}

// runs returns the runs to be made.
func (c *soakCmd) runs() ([]*soakRun, error) {
	programs := c.Programs
	if len(programs) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		dir := filepath.Dir(self)
		programs = []string{filepath.Join(dir, "dunlinsail"), filepath.Join(dir, "dunlinsaild")}
	}
	var runs []*soakRun
	for _, program := range programs {
		for i := range c.Seeds {
			runs = append(runs, &soakRun{options: soak.Options{
				Program:                   program,
				Seed:                      c.Seed + uint64(i),
				RequestsPerSecondResponse: c.SecondResponses,
			}})
		}
	}
	return runs, nil
}

// isKnown reports whether a failure of a run is known.
func (c *soakCmd) isKnown(run *soakRun) bool { return slices.Contains(c.Known, run.options.Seed) }

// print prints the outcome of a run, and reports whether it failed.
func (c *soakCmd) print(w *output, run *soakRun) (failed bool) {
	r := run.report
	verdict := "holds"
	if failed = len(r.Violations) > 0; failed {
		verdict = "FAILS"
		if c.isKnown(run) {
			verdict = "KNOWN"
		}
	}
	fmt.Fprintf(w, "%-12s seed %-3d %s  %d requests: ", filepath.Base(run.options.Program), run.options.Seed, verdict,
		r.Requests)
	for v, n := range r.Verdicts {
		if n > 0 {
			fmt.Fprintf(w, "%d %v, ", n, client.Verdict(v))
		}
	}
	fmt.Fprintf(w, "%d excused; %d %s\n", r.Excused, r.SecondResponses, r.Variation)
	for _, permitted := range r.Permitted {
		fmt.Fprintf(w, "    permitted: %s\n", permitted)
	}
	if !failed {
		return false
	}
	fmt.Fprintf(w, "    events: %q\n", r.Events)
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "    and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "    %s\n", violation)
	}
	if c.Logs {
		fmt.Fprintln(w, r.Logs)
	}
	return true
}

// maxPrintedViolations is how many violations of a run are printed.
const maxPrintedViolations = 6
