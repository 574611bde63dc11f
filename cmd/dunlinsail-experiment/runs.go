package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
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

// file makes a path of a name in the present folder, which a scenario's name could be taken for.
func file(name string) string {
	if !strings.ContainsAny(name, "./") {
		return "./" + name
	}
	return name
}

// SizeFlags changes how large a scenario is.
type SizeFlags struct {
	World     []string `help:"Change the scenario: KEY=VALUE, as clients.load=0.8 or nodes.std-2c.count=50." placeholder:"KEY=VALUE" sep:"none"`
	Instances int      `help:"So many instances in place of the scenario's."`
	Nodes     int      `help:"So many endpoints in place of the scenario's, of its kinds in their proportion."`
}

func (z *SizeFlags) load(name string) (*scenario.Scenario, error) {
	s, err := library.Load(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return experiment.Resize(s, z.World, z.Instances, z.Nodes)
}

// RunnerFlags says where runs are kept and how many are made at once.
type RunnerFlags struct {
	Store    string `help:"File in which runs are kept, so that nothing is run twice; none keeps nothing." placeholder:"FILE"`
	Parallel int    `help:"Runs at once; 0 is one for each processor." default:"0"`
	Quiet    bool   `help:"Say nothing of progress."`
}

// runner returns a runner and what gives it back.
func (k *RunnerFlags) runner() (*experiment.Runner, func(), error) {
	r := &experiment.Runner{Parallel: k.Parallel}
	done := func() {}
	if k.Store != "" {
		s, err := experiment.OpenStore(k.Store)
		if err != nil {
			return nil, nil, err
		}
		r.Store = s
		done = func() { _ = s.Close() } // each run was committed as it ended
	}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !k.Quiet {
		began := time.Now()
		last := time.Time{}
		r.Progress = func(done, kept, all int) {
			if time.Since(last) < 200*time.Millisecond && done+kept < all {
				return
			}
			last = time.Now()
			fmt.Fprintf(
				os.Stderr, "\r%d of %d runs, %d of them kept from before, %v \x1b[K", done+kept, all, kept,
				time.Since(began).Round(time.Second),
			)
			if done+kept == all {
				fmt.Fprint(os.Stderr, "\r\x1b[K")
			}
		}
	}
	return r, done, nil
}

// SeedFlags says how many plans are drawn.
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

// Run plays a scenario.
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
		j, err := v.Job(s, v, c.First)
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
	if c.Trace != "" {
		return traceOperation(ctx, w, s, v, c.First, c.Trace)
	}
	r, done, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer done()
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
	fmt.Fprintln(w, got.Line())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range got.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\n", row.Name, experiment.Number(row.Figure, row.A), row.Note)
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

// trace prints what happens to one story.
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
		all := steps[id]
		unserved := true
		for _, x := range all {
			unserved = unserved && x.Step != "is served"
		}
		if which != fmt.Sprint(n) && !(which == "unserved" && unserved) {
			continue
		}
		fmt.Fprintf(w, "story %d of %d\n", n, len(order))
		for _, x := range all {
			what := fmt.Sprintf("try %d", x.Request)
			if x.Attempt >= 0 {
				what += fmt.Sprintf(", attempt %d at %s", x.Attempt, x.Endpoint)
			}
			fmt.Fprintf(w, "%12.3f ms  instance %d  %s: %s\n", float64(x.At)/1000, x.Instance, what, x.Step)
		}
		return nil
	}
	return fmt.Errorf("there is no such story; there are %d", len(order))
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

// Run compares.
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
	r, done, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer done()
	var all []*experiment.Comparison
	for _, name := range c.Scenario {
		s, err := c.SizeFlags.load(name)
		if err != nil {
			return err
		}
		got, err := r.Compare(ctx, experiment.Plan{
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
		fmt.Fprintf(w, "\n%s: %s\n", got.Plan.Scenario.Name, got.Plan.Scenario.About)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "\tA\tB\tB less A\t")
		for _, row := range got.Rows {
			verdict := ""
			if row.Verdict != experiment.Inconclusive {
				verdict = row.Verdict.String()
			}
			if row.Note != "" {
				verdict = strings.TrimSpace(verdict + " " + row.Note)
			}
			fmt.Fprintf(
				t, "%s\t%s\t%s\t%s\t%s\n", row.Name, experiment.Number(row.Figure, row.A),
				experiment.Number(row.Figure, row.B), experiment.Signed(row.Figure, row.Difference), verdict,
			)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

type expectCmd struct {
	Scenarios []string `arg:"" optional:"" help:"Scenarios by name, or files; none is all that come with the program."`
	Settings  string   `help:"The variant that is judged." default:"shipped"`
	SeedFlags
	RunnerFlags
}

// Run judges claims.
func (c *expectCmd) Run(ctx context.Context, w *output) error {
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	r, done, err := c.RunnerFlags.runner()
	if err != nil {
		return err
	}
	defer done()
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
		own := v
		if len(s.Settings) > 0 {
			if own, err = experiment.ParseVariant(strings.Join(
				append([]string{c.Settings}, s.Settings...), ",",
			)); err != nil {
				return fmt.Errorf("scenario %s: %w", name, err)
			}
		}
		got, err := r.Compare(ctx, experiment.Plan{
			Scenario:  s,
			A:         own,
			FirstSeed: c.First,
			MinSeeds:  c.SeedFlags.Seeds,
		})
		if err != nil {
			return err
		}
		judged, err := got.Claims(s.Expect)
		if err != nil {
			return fmt.Errorf("scenario %s: %w", name, err)
		}
		for _, j := range judged {
			fmt.Fprintf(
				w, "%-20s %-28s %-12s %.4g, margin %.3g ± %.2g\n", s.Name, j.Claim, j.Verdict, j.Left, j.Margin.Mean,
				j.Margin.HalfWidth(),
			)
			failed = failed || j.Verdict == claim.Fails
		}
		_ = w.Flush() // its error comes again with the last Flush, in main
	}
	if failed {
		return errFailed
	}
	return nil
}

type playCmd struct{}

// Run plays a run that another build asks for on standard input.
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

// report writes a report, if one is wanted.
func writeReport(path string, all ...*experiment.Comparison) error {
	if path == "" {
		return nil
	}
	return reports.Write(path, all...)
}
