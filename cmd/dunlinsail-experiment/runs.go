package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/experiment"
	"dunlinsail/internal/experiment/claim"
	"dunlinsail/internal/experiment/library"
	reports "dunlinsail/internal/experiment/report"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation"
	"dunlinsail/internal/simulation/scenario"
)

type scenariosCmd struct {
	Name string `arg:"" optional:"" help:"Print this one's file."`
}

// Run lists scenarios.
func (c *scenariosCmd) Run(w *output) error {
	if c.Name != "" {
		text, err := library.Text(c.Name)
		if err == nil {
			_, err = w.Write(text)
		}
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range library.Names() {
		s, err := library.Load(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Fprintf(t, "%s\t%v\t%s\n", name, s.Length.Duration, s.About)
	}
	return t.Flush()
}

type checkCmd struct {
	Files []string `arg:"" help:"Scenario files."`
}

// Run checks files.
func (c *checkCmd) Run(w *output) error {
	failed := false
	for _, f := range c.Files {
		s, err := library.Load(file(f))
		if err != nil {
			failed = true
			for line := range strings.Lines(err.Error()) {
				fmt.Fprintf(os.Stderr, "%s: %s\n", f, strings.TrimSuffix(line, "\n"))
			}
			continue
		}
		for _, text := range s.Expect {
			if _, err := claim.Parse(text, nil); err != nil {
				failed = true
				fmt.Fprintf(os.Stderr, "%s: expect: %v\n", f, err)
			}
		}
		if !failed {
			fmt.Fprintf(w, "%s: sound\n", f)
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// file returns a name in the working directory as a path that is not taken for a scenario's name.
func file(name string) string {
	if !strings.ContainsAny(name, "./") {
		return "./" + name
	}
	return name
}

// SizeFlags are the flags that change the size of a scenario.
type SizeFlags struct {
	World     []string `help:"Change the scenario: KEY=VALUE, as clients.load=0.8 or nodes.std-2c.count=50." placeholder:"KEY=VALUE" sep:"none"`
	Instances int      `help:"So many instances in place of the scenario's."`
	Nodes     int      `help:"So many endpoints in place of the scenario's, of its kinds in their proportion."`
}

// load returns a scenario of the flags' size.
func (z *SizeFlags) load(name string) (*scenario.Scenario, error) {
	s, err := library.Load(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return experiment.Resize(s, z.World, z.Instances, z.Nodes)
}

// RunnerFlags are the flags for the store of runs and their progress.
type RunnerFlags struct {
	Store    string `help:"File in which runs are kept, so that nothing is run twice; none keeps nothing." placeholder:"FILE"`
	Parallel int    `help:"Runs at once; 0 is one for each processor." default:"0"`
	Quiet    bool   `help:"Say nothing of progress."`
}

// progressInterval is the least time between two updates of the progress line.
const progressInterval = 200 * time.Millisecond

// runner returns a runner, and a function that releases it.
func (k *RunnerFlags) runner() (r *experiment.Runner, release func(), err error) {
	r = &experiment.Runner{Parallel: k.Parallel}
	release = func() {}
	if k.Store != "" {
		s, err := experiment.OpenStore(k.Store)
		if err != nil {
			return nil, nil, err
		}
		r.Store = s
		release = func() { _ = s.Close() } // each run was committed as it ended
	}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !k.Quiet {
		r.Progress = progressLine()
	}
	return r, release, nil
}

// progressLine returns a callback that keeps a line of progress on a terminal's standard error.
func progressLine() func(done, stored, all int) {
	startedAt := time.Now()
	printedAt := time.Time{}
	return func(done, stored, all int) {
		if time.Since(printedAt) < progressInterval && done+stored < all {
			return
		}
		printedAt = time.Now()
		fmt.Fprintf(
			os.Stderr, "\r%d of %d runs, %d of them kept from before, %v \x1b[K", done+stored, all, stored,
			time.Since(startedAt).Round(time.Second),
		)
		if done+stored == all {
			fmt.Fprint(os.Stderr, "\r\x1b[K")
		}
	}
}

// SeedFlags are the flags for the seeds of plans.
type SeedFlags struct {
	Seeds int    `help:"So many seeds." default:"8"`
	First uint64 `help:"The first seed." default:"1"`
}

type runCmd struct {
	Scenario string `arg:"" help:"A scenario by name, or a file."`
	Settings string `help:"Variant: [@PROGRAM:]FILE[,KEY=VALUE]...; see docs/operators/lab.md." default:"shipped"`
	SizeFlags
	SeedFlags
	RunnerFlags
	JSON   bool   `help:"Print all results as JSON."`
	Trace  string `help:"Print what happens to a story of the first seed: its number, or 'unserved' for the first that ends so." placeholder:"STORY"`
	Log    bool   `help:"Print what instances log in a run of the first seed."`
	Report string `help:"Write a report to this .html or .md file." placeholder:"FILE"`
}

// Run plays a scenario and prints its figures.
func (c *runCmd) Run(ctx context.Context, w *output) error {
	s, err := c.SizeFlags.load(c.Scenario)
	if err != nil {
		return err
	}
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	if c.Log {
		return printLogs(ctx, w, s, v, c.First)
	}
	if c.Trace != "" {
		return traceOperation(ctx, w, s, v, c.First, c.Trace)
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	got, err := r.Compare(ctx, experiment.Plan{Scenario: s, A: v, FirstSeed: c.First, MinSeeds: c.SeedFlags.Seeds})
	if err != nil {
		return err
	}
	if err := writeReport(c.Report, got); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(w).Encode(got.RunsA)
	}
	return printRun(w, got)
}

// printLogs plays a plan and prints what its instances log.
func printLogs(ctx context.Context, w io.Writer, s *scenario.Scenario, v *experiment.Variant, seed uint64) error {
	j, err := v.Job(s, v, seed)
	if err != nil {
		return err
	}
	_, err = j.Play(ctx, func(o *simulation.Options) {
		o.Log = func(at monotime.Micros, instance int, line string) {
			fmt.Fprintf(w, "%9.3f s  instance %d: %s\n", float64(at)/1e6, instance, line)
		}
	})
	return err
}

// printRun prints the figures of a scenario's runs, and the speed of the simulation.
func printRun(w io.Writer, got *experiment.Comparison) error {
	fmt.Fprintln(w, got.Line())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range got.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\n", row.Name, experiment.FormatMean(row.Figure, row.A), row.Note)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	var seconds float64
	var decisions int64
	for _, x := range got.RunsA {
		seconds += x.Elapsed.Seconds()
		decisions += x.Costs.Decisions
	}
	if seconds > 0 {
		fmt.Fprintf(w, "%d decisions, %.0f a second and processor\n", decisions, float64(decisions)/seconds)
	}
	return nil
}

// traceOperation prints the steps of one operation: the one of a number, or the first that ends unserved.
func traceOperation(
	ctx context.Context, w io.Writer, s *scenario.Scenario, v *experiment.Variant, seed uint64, which string,
) error {
	j, err := v.Job(s, v, seed)
	if err != nil {
		return err
	}
	steps := map[uint64][]simulation.Trace{}
	var order []uint64
	_, err = j.Play(ctx, func(o *simulation.Options) {
		o.Trace = func(x simulation.Trace) {
			if steps[x.Operation] == nil {
				order = append(order, x.Operation)
			}
			steps[x.Operation] = append(steps[x.Operation], x)
		}
	})
	if err != nil {
		return err
	}
	for n, id := range order {
		served := slices.ContainsFunc(steps[id], func(x simulation.Trace) bool { return x.Step == "is served" })
		if which == fmt.Sprint(n) || which == "unserved" && !served {
			fmt.Fprintf(w, "story %d of %d\n", n, len(order))
			printSteps(w, steps[id])
			return nil
		}
	}
	return fmt.Errorf("there is no such story; there are %d", len(order))
}

// printSteps prints the steps of an operation.
func printSteps(w io.Writer, steps []simulation.Trace) {
	for _, x := range steps {
		what := fmt.Sprintf("try %d", x.Request)
		if x.Attempt >= 0 {
			what += fmt.Sprintf(", attempt %d at %s", x.Attempt, x.Endpoint)
		}
		fmt.Fprintf(w, "%12.3f ms  instance %d  %s: %s\n", float64(x.At)/1000, x.Instance, what, x.Step)
	}
}

type compareCmd struct {
	A        string   `arg:"" help:"Variant: [@PROGRAM:]FILE[,KEY=VALUE]...; 'shipped' is the settings that come with the program."`
	B        string   `arg:"" help:"The other."`
	Scenario []string `help:"A scenario by name, or a file; more than one may be given." required:"" short:"s"`
	SizeFlags
	SeedFlags
	RunnerFlags
	MaxSeeds int     `name:"most" help:"Up to so many seeds, until --width is reached." default:"0"`
	Width    float64 `help:"Stop once the interval of the difference is no wider; needs --most." default:"0"`
	Method   string  `help:"How intervals are made: t or bootstrap." enum:"t,bootstrap" default:"t"`
	Figure   string  `help:"The figure that is judged by." default:"service"`
	JSON     bool    `help:"Print the comparison as JSON."`
	Report   string  `help:"Write a report to this .html or .md file." placeholder:"FILE"`
}

// Run compares two variants on each scenario.
func (c *compareCmd) Run(ctx context.Context, w *output) error {
	if (c.Width > 0) != (c.MaxSeeds > 0) {
		return errors.New("--width and --most belong together")
	}
	a, err := experiment.ParseVariant(c.A)
	if err != nil {
		return err
	}
	b, err := experiment.ParseVariant(c.B)
	if err != nil {
		return err
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	var all []*experiment.Comparison
	for _, name := range c.Scenario {
		got, err := c.compare(ctx, r, name, a, b)
		if err != nil {
			return err
		}
		all = append(all, got)
		if !c.JSON {
			fmt.Fprintln(w, got.Line())
			_ = w.Flush() // its error comes again with the last Flush, in main
		}
	}
	if err := writeReport(c.Report, all...); err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(w)
		for _, got := range all {
			if err := e.Encode(got.Summary()); err != nil {
				return err
			}
		}
		return nil
	}
	for _, got := range all {
		if err := printComparison(w, got); err != nil {
			return err
		}
	}
	return nil
}

// compare plays both variants on one scenario.
func (c *compareCmd) compare(
	ctx context.Context, r *experiment.Runner, name string, a, b *experiment.Variant,
) (*experiment.Comparison, error) {
	s, err := c.SizeFlags.load(name)
	if err != nil {
		return nil, err
	}
	return r.Compare(ctx, experiment.Plan{
		Scenario:      s,
		A:             a,
		B:             b,
		FirstSeed:     c.First,
		MinSeeds:      c.SeedFlags.Seeds,
		MaxSeeds:      c.MaxSeeds,
		TargetWidth:   c.Width,
		Method:        c.Method,
		PrimaryFigure: c.Figure,
	})
}

// printComparison prints a line for each figure of a comparison.
func printComparison(w io.Writer, got *experiment.Comparison) error {
	fmt.Fprintf(w, "\n%s: %s\n", got.Plan.Scenario.Name, got.Plan.Scenario.About)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tA\tB\t"+"B less A\t")
	for _, row := range got.Rows {
		verdict := ""
		if row.Verdict != experiment.Inconclusive {
			verdict = row.Verdict.String()
		}
		if row.Note != "" {
			verdict = strings.TrimSpace(verdict + " " + row.Note)
		}
		fmt.Fprintf(
			t, "%s\t%s\t%s\t%s\t%s\n", row.Name, experiment.FormatMean(row.Figure, row.A),
			experiment.FormatMean(row.Figure, row.B), experiment.FormatSignedMean(row.Figure, row.Difference), verdict,
		)
	}
	return t.Flush()
}

type expectCmd struct {
	Scenarios []string `arg:"" optional:"" help:"Scenarios by name, or files; none is all that come with the program."`
	Settings  string   `help:"The variant that is judged." default:"shipped"`
	SeedFlags
	RunnerFlags
}

// Run evaluates the claims of scenarios.
func (c *expectCmd) Run(ctx context.Context, w *output) error {
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	r, release, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer release()
	if len(c.Scenarios) == 0 {
		c.Scenarios = library.Names()
	}
	failed := false
	for _, name := range c.Scenarios {
		s, err := library.Load(name)
		if err != nil {
			return fmt.Errorf("scenario %s: %w", name, err)
		}
		if s.NeedsProcesses() {
			fmt.Fprintf(w, "%-20s is played by processes only: dunlinsail-experiment faults %s\n", s.Name, s.Name)
			continue
		}
		holds, err := c.evaluate(ctx, w, r, s, v)
		if err != nil {
			return err
		}
		failed = failed || !holds
		_ = w.Flush() // its error comes again with the last Flush, in main
	}
	if failed {
		return errFailed
	}
	return nil
}

// evaluate plays a scenario with its own settings added to a variant, prints a line for each claim, and reports whether
// none fails.
func (c *expectCmd) evaluate(
	ctx context.Context, w io.Writer, r *experiment.Runner, s *scenario.Scenario, v *experiment.Variant,
) (holds bool, err error) {
	if len(s.Settings) > 0 {
		v, err = experiment.ParseVariant(strings.Join(append([]string{c.Settings}, s.Settings...), ","))
		if err != nil {
			return false, fmt.Errorf("scenario %s: %w", s.Name, err)
		}
	}
	got, err := r.Compare(ctx, experiment.Plan{
		Scenario: s, A: v, FirstSeed: c.First, MinSeeds: c.SeedFlags.Seeds,
	})
	if err != nil {
		return false, err
	}
	evaluations, err := got.EvaluateClaims(s.Expect)
	if err != nil {
		return false, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	holds = true
	for _, e := range evaluations {
		fmt.Fprintf(w, "%-20s %-28s %-12s %.4g, margin %.3g ± %.2g\n",
			s.Name, e.Claim, e.Verdict, e.Left, e.Margin.Mean, e.Margin.HalfWidth())
		holds = holds && e.Verdict != claim.Fails
	}
	return holds, nil
}

type playCmd struct{}

// Run plays a run that another build requests on standard input.
func (c *playCmd) Run(ctx context.Context, w *output) error {
	text, err := io.ReadAll(os.Stdin)
	if err != nil {
		return err
	}
	reply, err := experiment.HandleJob(ctx, text)
	if err == nil {
		_, err = w.Write(reply)
	}
	return err
}

// writeReport writes a report, if a path is given.
func writeReport(path string, all ...*experiment.Comparison) error {
	if path == "" {
		return nil
	}
	return reports.Write(path, all...)
}
