package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dunlinsail/internal/experiment"
	"dunlinsail/internal/experiment/claim"
	"dunlinsail/internal/experiment/library"
	"dunlinsail/internal/simulation/scenario"
)

type faultsCmd struct {
	Scenarios []string `arg:"" optional:"" help:"Scenarios by name, or files; none is all of overload that come with the program."`
	Settings  string   `help:"The variant; the scenario's own settings are added." default:"shipped"`
	Without   bool     `help:"Play each beside it without the scenario's own settings, unjudged."`
	Programs  []string `help:"Programs that are played; by default dunlinsaild and dunlinsail beside this program."`
	Beside    string   `help:"Another build of the program, which every other instance is a process of." placeholder:"PROGRAM"`
	Seeds     int      `help:"So many seeds, one after another." default:"1"`
	First     uint64   `help:"The first seed." default:"1"`
	Keep      string   `help:"A folder for the evidence of failed runs." default:"faults" placeholder:"DIR"`
	SizeFlags
}

// Run plays scenarios by real processes with faults between them, and judges what they claim.
func (c *faultsCmd) Run(ctx context.Context, w *output) error {
	if err := c.setDefaults(); err != nil {
		return err
	}
	failed := 0
	for _, name := range c.Scenarios {
		s, err := c.SizeFlags.load(name)
		if err != nil {
			return err
		}
		for _, program := range c.Programs {
			for seed := c.First; seed < c.First+uint64(c.Seeds); seed++ {
				bad, err := c.play(ctx, w, s, program, seed)
				if err != nil {
					return err
				}
				failed += bad
			}
		}
	}
	if failed > 0 {
		fmt.Fprintf(w, "%d runs failed\n", failed)
		return errFailed
	}
	return nil
}

// setDefaults names the scenarios and programs where the call has none: the overload scenarios, and both programs
// beside this one.
func (c *faultsCmd) setDefaults() error {
	if len(c.Scenarios) == 0 {
		for _, name := range library.Names() {
			if strings.HasPrefix(name, "overload") {
				c.Scenarios = append(c.Scenarios, name)
			}
		}
	}
	if len(c.Programs) == 0 {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		dir := filepath.Dir(self)
		c.Programs = []string{filepath.Join(dir, "dunlinsaild"), filepath.Join(dir, "dunlinsail")}
	}
	return nil
}

// play plays one scenario with one program and seed, and prints a line; with --without a second one. It returns how
// many runs failed.
func (c *faultsCmd) play(
	ctx context.Context, w *output, s *scenario.Scenario, program string, seed uint64,
) (failed int, err error) {
	specs := []string{strings.Join(append([]string{c.Settings}, s.Settings...), ",")}
	if c.Without && len(s.Settings) > 0 {
		specs = append(specs, c.Settings)
	}
	for i, spec := range specs {
		v, err := experiment.ParseVariant(spec)
		if err != nil {
			return 0, err
		}
		keep := c.Keep
		if i > 0 {
			keep = "" // no claims are evaluated
		}
		f, err := experiment.RunWithFaults(ctx, s, v, program, c.Beside, seed, keep)
		if err != nil {
			return 0, err
		}
		verdict := "holds"
		switch {
		case i > 0:
			verdict = "without"
		case f.Failed:
			verdict = "FAILS"
			failed++
		}
		fmt.Fprintf(w, "%-20s %-12s seed %-3d %-8s %s\n", s.Name, filepath.Base(program), seed, verdict, f.Summary())
		for _, j := range f.Claims {
			if i == 0 && j.Verdict == claim.Fails {
				fmt.Fprintf(w, "    %s: %.4g\n", j.Claim, j.Left)
			}
		}
		if f.EvidenceDir != "" {
			fmt.Fprintf(w, "    its evidence is in %s\n", f.EvidenceDir)
		}
		_ = w.Flush() // its error comes again with the last Flush, in main
	}
	return failed, nil
}
