package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"dunlinsail/internal/experiment"
	reports "dunlinsail/internal/experiment/report"
	"dunlinsail/internal/simulation/measure"
)

type sweepCmd struct {
	Over     []string `arg:"" help:"KEY=VALUE|VALUE|..., once or twice: keys of the settings, or world.KEY of the scenario."`
	Scenario string   `help:"A scenario by name, or a file." required:"" short:"s"`
	Settings string   `help:"The variant whose keys are changed." default:"shipped"`
	SizeFlags
	SeedFlags
	RunnerFlags
	Figure []string `help:"Figures that are told." default:"service,whole,p99"`
	JSON   bool     `help:"Print all as JSON."`
	Report string   `help:"Write a report to this .html or .md file." placeholder:"FILE"`
}

// Run plays the variant with each combination of values.
func (c *sweepCmd) Run(ctx context.Context, w *output) error {
	s, err := c.SizeFlags.load(c.Scenario)
	if err != nil {
		return err
	}
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	var axes []experiment.Axis
	for _, text := range c.Over {
		a, err := experiment.ParseAxis(text)
		if err != nil {
			return err
		}
		axes = append(axes, a)
	}
	for _, name := range c.Figure {
		if _, ok := measure.Describe(name); !ok {
			return fmt.Errorf("no figure is named %q", name)
		}
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	got, err := r.Sweep(ctx, experiment.Plan{Scenario: s, A: v, FirstSeed: c.First, MinSeeds: c.SeedFlags.Seeds}, axes)
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := reports.WriteSweep(c.Report, got, c.Figure); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeSweepJSON(w, got)
	}
	fmt.Fprintf(w, "%s, %d seeds; differences are from the first line\n", s.Name, c.SeedFlags.Seeds)
	return c.writeTable(w, got)
}

// writeSweepJSON writes a line of JSON for each point.
func writeSweepJSON(w io.Writer, sweep *experiment.Sweep) error {
	e := json.NewEncoder(w)
	for i := range sweep.Points {
		p := &sweep.Points[i]
		if err := e.Encode(struct {
			Values []string `json:"Values"`
			experiment.Summary
		}{p.Values, p.Summary()}); err != nil {
			return err
		}
	}
	return nil
}

// writeTable writes a line for each point.
func (c *sweepCmd) writeTable(w io.Writer, sweep *experiment.Sweep) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, a := range sweep.Axes {
		fmt.Fprintf(t, "%s\t", a.Key)
	}
	for _, name := range c.Figure {
		fmt.Fprintf(t, "%s\t\t", name)
	}
	fmt.Fprintln(t)
	for i := range sweep.Points {
		for _, v := range sweep.Points[i].Values {
			fmt.Fprintf(t, "%s\t", v)
		}
		for _, name := range c.Figure {
			f, _ := measure.Describe(name)
			value, d := sweep.Points[i].Figure(name)
			fmt.Fprintf(t, "%s\t", experiment.FormatMean(f, value))
			if d != nil {
				fmt.Fprint(t, experiment.FormatSignedMean(f, d.Difference))
				if d.Verdict != experiment.Inconclusive {
					fmt.Fprint(t, " ", d.Verdict)
				}
			}
			fmt.Fprint(t, "\t")
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

type searchCmd struct {
	Scenario string `help:"The scenario whose events are changed; all else of it stays." default:"calm" short:"s"`
	Settings string `help:"The variant that is to do badly." default:"shipped"`
	Against  string `help:"One that is to do well there; without it: what the endpoints that are left could have served." default:""`
	Budget   int    `help:"Runs of the variant, about." default:"300"`
	Seed     uint64 `help:"Another seed looks elsewhere." default:"1"`
	Out      string `help:"Write what is found to this scenario file." placeholder:"FILE"`
	SizeFlags
	RunnerFlags
}

// Run searches for the plan at which the variant loses most.
func (c *searchCmd) Run(ctx context.Context, w *output) error {
	s, err := c.SizeFlags.load(c.Scenario)
	if err != nil {
		return err
	}
	h := experiment.SearchOptions{Scenario: s, Budget: c.Budget, Seed: c.Seed, OnFinding: func(f experiment.Finding) {
		if !c.Quiet {
			fmt.Fprintf(
				os.Stderr, "\r\x1b[Kafter %d runs: loses %.3f, service %.3f, %.0f rules broken\n", f.Runs, f.Loss,
				f.Service, f.Violations,
			)
		}
	}}
	if h.Variant, err = experiment.ParseVariant(c.Settings); err != nil {
		return err
	}
	if c.Against != "" {
		if h.Baseline, err = experiment.ParseVariant(c.Against); err != nil {
			return err
		}
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	r.Progress = nil // OnFinding prints in its place
	f, err := r.Search(ctx, h)
	if err != nil {
		return err
	}
	text, err := f.Scenario.Text()
	if err != nil {
		return err
	}
	fmt.Fprintf(
		w,
		"# %s\n# service %.4f, loses %.4f, %.0f rules broken; "+
			"play it with: dunlinsail-experiment run FILE --seeds 1 --first %d\n",
		f.Scenario.Name, f.Service, f.Loss, f.Violations, f.Seed,
	)
	if c.Out != "" {
		return os.WriteFile(c.Out, text, scenarioFileMode)
	}
	_, err = w.Write(text)
	return err
}

type proveCmd struct {
	Scenario    string  `help:"A scenario by name, or a file." default:"calm" short:"s"`
	Settings    string  `help:"The variant." default:"shipped"`
	Comparisons int     `help:"So many comparisons of each kind." default:"200"`
	Harm        float64 `help:"The known harm: a part of the stories that is spoilt." default:"0.01"`
	SizeFlags
	SeedFlags
	RunnerFlags
}

// Run measures how often comparisons with a known answer are right.
func (c *proveCmd) Run(ctx context.Context, w *output) error {
	s, err := c.SizeFlags.load(c.Scenario)
	if err != nil {
		return err
	}
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	p, err := r.Prove(ctx, s, v, c.Comparisons, c.SeedFlags.Seeds, c.Harm)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s, %d comparisons of %d seeds each\n", s.Name, p.Comparisons, c.SeedFlags.Seeds)
	fmt.Fprintf(
		w, "the same build with other lots: cannot tell in %.1f%% (%.1f..%.1f%%)\n", 100*p.Inconclusive.Mean,
		100*p.Inconclusive.Low, 100*p.Inconclusive.High,
	)
	fmt.Fprintf(
		w, "a harm of %g: found in %.1f%% (%.1f..%.1f%%)\n", p.Harm, 100*p.HarmDetected.Mean, 100*p.HarmDetected.Low,
		100*p.HarmDetected.High,
	)
	return nil
}
