package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/experiment"
)

type recordCmd struct {
	Check recordCheckCmd `cmd:"" help:"Say what an access record lacks."`
	Show  recordShowCmd  `cmd:"" help:"Tell what an access record holds, by class."`
	Fit   recordFitCmd   `cmd:"" help:"Write a scenario with what an access record tells of clients."`
	Make  recordMakeCmd  `cmd:"" help:"Write the access record that a run of a scenario would leave."`
}

// RecordPaths are the flags that name an access record.
type RecordPaths struct {
	Paths []string `arg:"" help:"Folders of segments, or single segments."`
	Align bool     `help:"Put instances whose clocks were wrong together by the system's."`
}

// read reads the record.
func (p *RecordPaths) read() (*accesslog.Recording, error) {
	rec, err := accesslog.Read(p.Paths...)
	if err == nil && p.Align {
		rec.Align()
	}
	return rec, err
}

type recordCheckCmd struct{ RecordPaths }

// Run prints what a record lacks.
func (c *recordCheckCmd) Run(w *output) error {
	rec, err := c.read()
	if err != nil {
		return err
	}
	all := rec.Findings()
	for _, line := range all {
		fmt.Fprintln(w, line)
	}
	if len(all) > 0 {
		return errFailed
	}
	fmt.Fprintf(w, "nothing is missing of %d requests of %d runs\n", len(rec.Requests), len(rec.Runs))
	return nil
}

type recordShowCmd struct{ RecordPaths }

// Run prints a summary of a record, by class.
func (c *recordShowCmd) Run(w *output) error {
	rec, err := c.read()
	if err != nil {
		return err
	}
	operations := rec.Operations()
	from, to := rec.Span()
	fmt.Fprintf(
		w, "%d requests, %d stories, %.0f s from %s\n", len(rec.Requests), len(operations), float64(to-from)/1e6,
		time.UnixMicro(from).UTC().Format(time.RFC3339),
	)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\tstories\ttries each\tserved\tp50\tp99\tverdicts of tries")
	byClass := map[string][]*accesslog.Operation{}
	for _, s := range operations {
		byClass[s.FirstAttempt().Class] = append(byClass[s.FirstAttempt().Class], s)
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		printClass(t, class, byClass[class])
	}
	return t.Flush()
}

// printClass prints the line of a class's operations.
func printClass(w io.Writer, class string, operations []*accesslog.Operation) {
	requests := 0
	served := 0
	var latencies []int64 // microseconds, of the served operations
	verdicts := map[string]int{}
	for _, s := range operations {
		requests += len(s.Attempts)
		for _, q := range s.Attempts {
			verdicts[q.Verdict]++
		}
		if s.Served() {
			served++
			latencies = append(latencies, s.Attempts[len(s.Attempts)-1].End()-s.FirstAttempt().Arrived)
		}
	}
	slices.Sort(latencies)
	quantile := func(q float64) string {
		if len(latencies) == 0 {
			return "-"
		}
		i := min(len(latencies)-1, int(q*float64(len(latencies))))
		return fmt.Sprintf("%.1f ms", float64(latencies[i])/1000)
	}
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(verdicts)) {
		parts = append(parts, fmt.Sprintf("%s %d", v, verdicts[v]))
	}
	n := len(operations)
	fmt.Fprintf(
		w, "%s\t%d\t%.3f\t%.2f%%\t%s\t%s\t%s\n", class, n, float64(requests)/float64(n),
		100*float64(served)/float64(n), quantile(0.5), quantile(0.99), strings.Join(parts, ", "),
	)
}

// scenarioFileMode is the mode of scenario files that the commands write.
const scenarioFileMode = 0o644

type recordFitCmd struct {
	RecordPaths
	Base string `help:"A scenario by name, or a file: all that a record does not tell is its." default:"calm"`
	Out  string `help:"Write the scenario to this file." placeholder:"FILE"`
}

// Run writes a scenario whose clients are as in a record.
func (c *recordFitCmd) Run(w *output) error {
	base, err := (&SizeFlags{}).load(c.Base)
	if err != nil {
		return err
	}
	rec, err := c.read()
	if err != nil {
		return err
	}
	s, notes, err := experiment.FitScenario(base, rec)
	if err != nil {
		return err
	}
	text, err := s.Text()
	if err != nil {
		return err
	}
	for _, n := range notes {
		fmt.Fprintln(os.Stderr, n)
	}
	if c.Out != "" {
		return os.WriteFile(c.Out, text, scenarioFileMode)
	}
	_, err = w.Write(text)
	return err
}

type recordMakeCmd struct {
	Scenario string `arg:"" help:"A scenario by name, or a file."`
	Dir      string `arg:"" help:"The folder for the segments."`
	Settings string `help:"The variant." default:"shipped"`
	SizeFlags
	Seed uint64 `help:"The seed." default:"1"`
}

// Run writes the record of a simulated run.
func (c *recordMakeCmd) Run(ctx context.Context, w *output) error {
	s, err := c.SizeFlags.load(c.Scenario)
	if err != nil {
		return err
	}
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	j, err := v.Job(s, v, c.Seed)
	if err != nil {
		return err
	}
	option, closer, err := experiment.NewRecorder(c.Dir, &j)
	if err != nil {
		return err
	}
	defer closer()
	got, err := j.Play(ctx, option)
	if err == nil {
		fmt.Fprintf(w, "%d stories, %d tries\n", got.Operations, got.Costs.ClientRequests)
	}
	return err
}
