package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"dunlinsail/internal/experiment/claim"
	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// Confidence is the confidence level of all intervals.
const Confidence = 0.95

// Plan is the plan of a comparison.
type Plan struct {
	Scenario      *scenario.Scenario
	A, B          *Variant // B may be nil: then A is only measured
	FirstSeed     uint64   // the first seed
	MinSeeds      int
	MaxSeeds      int     // 0 is MinSeeds
	TargetWidth   float64 // it stops once the interval of the service's difference is no wider; 0 is at Most
	Method        string  // "t" or "bootstrap"
	PrimaryFigure string  // what is judged by; "" is service
}

// Verdict is the outcome of a comparison of B with A.
type Verdict uint8

// The verdicts.
const (
	Inconclusive Verdict = iota
	Better
	Worse
)

var verdictNames = [...]string{"cannot tell", "better", "worse"}

// String returns the verdict as it is printed.
func (v Verdict) String() string { return verdictNames[v] }

// Row is one figure of both variants.
type Row struct {
	measure.Figure
	A          stats.Interval `json:"A"`          // of the means
	B          stats.Interval `json:"B"`          // the same
	Difference stats.Interval `json:"Difference"` // of B less A, pair by pair
	Verdict    Verdict        `json:"Verdict"`
	Relevant   bool           `json:"Matters"` // by more than the figure's step
	Note       string         `json:"Note"`    // for people
}

// Comparison is the result of a plan.
type Comparison struct {
	Plan      Plan
	Seeds     []uint64
	RunsA     []*measure.Result
	RunsB     []*measure.Result // nil without a B
	Rows      []Row             // the figure that is judged by stands first
	Identical bool              // every run of B has the same digest as that of A
}

// Compare plays both variants on the same plans, with more and more seeds until the interval is narrow enough.
func (r *Runner) Compare(ctx context.Context, p Plan) (*Comparison, error) {
	if p.PrimaryFigure == "" {
		p.PrimaryFigure = "service"
	}
	if p.MaxSeeds < p.MinSeeds {
		p.MaxSeeds = p.MinSeeds
	}
	c := &Comparison{Plan: p}
	for len(c.Seeds) < p.MaxSeeds {
		n := p.MinSeeds
		if len(c.Seeds) > 0 {
			// By what is known so far, so many are needed in all; not all of them at once, since it is not known well.
			need := len(c.Seeds) + 4
			if half := c.Rows[0].Difference.HalfWidth(); half > 0 && !math.IsInf(half, 0) {
				need = int(float64(len(c.Seeds)) * math.Pow(2*half/p.TargetWidth, 2))
			}
			n = min(need-len(c.Seeds), len(c.Seeds))
		}
		n = max(1, min(n, p.MaxSeeds-len(c.Seeds)))
		if err := r.playSeeds(ctx, c, n); err != nil {
			return c, err
		}
		c.buildRows()
		if c.hasEnoughSeeds(&p) {
			break
		}
	}
	return c, nil
}

// playSeeds plays n more seeds.
func (r *Runner) playSeeds(ctx context.Context, c *Comparison, n int) error {
	var tasks []Task
	for i := range n {
		seed := c.Plan.FirstSeed + uint64(len(c.Seeds)+i)
		for _, v := range []*Variant{c.Plan.A, c.Plan.B} {
			if v == nil {
				continue
			}
			j, err := v.Job(c.Plan.Scenario, c.Plan.A, seed)
			if err != nil {
				return err
			}
			tasks = append(tasks, Task{v, j})
		}
	}
	results, err := r.Run(ctx, tasks)
	if err != nil {
		return err
	}
	for i := range n {
		c.Seeds = append(c.Seeds, c.Plan.FirstSeed+uint64(len(c.Seeds)))
		if c.Plan.B == nil {
			c.RunsA = append(c.RunsA, results[i])
			continue
		}
		c.RunsA = append(c.RunsA, results[2*i])
		c.RunsB = append(c.RunsB, results[2*i+1])
	}
	return nil
}

// Figure returns the values of a figure, by run.
func Figure(runs []*measure.Result, name string) []float64 {
	var v []float64
	for _, r := range runs {
		v = append(v, r.Figures[name])
	}
	return v
}

func (c *Comparison) interval(v []float64) stats.Interval {
	if c.Plan.Method == "bootstrap" {
		return stats.Bootstrap(v, Confidence, 1)
	}
	return stats.StudentT(v, Confidence)
}

// buildRows computes the rows of all figures.
func (c *Comparison) buildRows() {
	names := []string{c.Plan.PrimaryFigure}
	for _, f := range measure.Figures {
		if f.Name != c.Plan.PrimaryFigure {
			names = append(names, f.Name)
		}
	}
	var own []string
	for name := range c.RunsA[0].Figures {
		if !slices.Contains(names, name) {
			own = append(own, name)
		}
	}
	slices.Sort(own)
	c.Rows = nil
	c.Identical = c.RunsB != nil
	for i := range c.RunsB {
		c.Identical = c.Identical && c.RunsA[i].Digest == c.RunsB[i].Digest
	}
	for _, name := range append(names, own...) {
		f, _ := measure.Describe(name)
		if f.Name == "" {
			f = measure.Figure{Name: name, Direction: 1}
		}
		c.Rows = append(c.Rows, c.row(f))
	}
}

func (c *Comparison) row(f measure.Figure) Row {
	row := Row{Figure: f}
	a := Figure(c.RunsA, f.Name)
	row.A = c.interval(a)
	if f.CountsViolations {
		row.Note = c.compareViolations(&row, f)
		return row
	}
	if c.RunsB == nil {
		return row
	}
	b := Figure(c.RunsB, f.Name)
	row.B = c.interval(b)
	row.Difference = c.interval(stats.PairedDifferences(a, b))
	d := row.Difference
	switch {
	case d.Low > 0:
		row.Verdict = Better
	case d.High < 0:
		row.Verdict = Worse
	}
	if row.Verdict != Inconclusive && f.Direction < 0 {
		row.Verdict = Better + Worse - row.Verdict
	}
	row.Relevant = math.Abs(d.Mean) > f.Threshold
	switch {
	// A figure without a direction is a cost: other figures say whether it is well spent.
	case row.Verdict != Inconclusive && f.Direction == 0:
		row.Verdict = Inconclusive
		row.Note = "less"
		if d.Mean > 0 {
			row.Note = "more"
		}
	case row.Verdict != Inconclusive && !row.Relevant:
		row.Note = "by less than matters"
	case row.Verdict == Inconclusive && d.Low >= -f.Threshold && d.High <= f.Threshold:
		row.Note = "no difference that matters"
	}
	return row
}

// hasEnoughSeeds reports whether no further seeds have to be played: the plan's number is reached, or its width of the
// difference's interval.
func (c *Comparison) hasEnoughSeeds(p *Plan) bool {
	if p.TargetWidth <= 0 {
		return len(c.Seeds) >= p.MaxSeeds
	}
	return len(c.Seeds) >= p.MinSeeds && 2*c.Rows[0].Difference.HalfWidth() <= p.TargetWidth
}

// compareViolations compares counts of what must never happen. A count of 0 does not show that it never happens: the
// note gives the upper bound of its rate.
func (c *Comparison) compareViolations(row *Row, f measure.Figure) string {
	count := func(runs []*measure.Result) (happened, operations int64) {
		for _, r := range runs {
			happened += int64(r.Figures[f.Name])
			operations += r.Operations
		}
		return happened, operations
	}
	upperBound := func(happened, operations int64) string {
		return fmt.Sprintf(
			"%d of %d stories: at most one in %.0f", happened, operations,
			1/stats.RateInterval(min(happened, operations), operations, Confidence).High,
		)
	}
	a, operationsA := count(c.RunsA)
	if c.RunsB == nil {
		return upperBound(a, operationsA)
	}
	b, operationsB := count(c.RunsB)
	row.B = c.interval(Figure(c.RunsB, f.Name))
	row.Difference = c.interval(stats.PairedDifferences(Figure(c.RunsA, f.Name), Figure(c.RunsB, f.Name)))
	if stats.RateEqualityPValue(a, b) < 1-Confidence {
		row.Relevant = true
		if row.Verdict = Worse; b < a {
			row.Verdict = Better
		}
	}
	return "A " + upperBound(a, operationsA) + "; B " + upperBound(b, operationsB)
}

// Line returns a one-line summary.
func (c *Comparison) Line() string {
	row := c.Rows[0]
	if c.RunsB == nil {
		return fmt.Sprintf(
			"%s: %s %s over %d runs", c.Plan.Scenario.Name, row.Name, Number(row.Figure, row.A), len(c.Seeds),
		)
	}
	if c.Identical {
		return fmt.Sprintf(
			"%s: cannot tell: every one of %d runs came to the very same with A and with B", c.Plan.Scenario.Name,
			len(c.Seeds),
		)
	}
	text := fmt.Sprintf(
		"%s: B is %v: %s %s, %s of A", c.Plan.Scenario.Name, row.Verdict, row.Name, Signed(row.Figure, row.Difference),
		Number(row.Figure, row.A),
	)
	if row.Verdict == Inconclusive {
		text = fmt.Sprintf(
			"%s: cannot tell: %s differs by %s, %s of A", c.Plan.Scenario.Name, row.Name,
			Signed(row.Figure, row.Difference), Number(row.Figure, row.A),
		)
	}
	if row.Note != "" {
		text += " (" + row.Note + ")"
	}
	return text + fmt.Sprintf(", over %d seeds", len(c.Seeds))
}

// Number formats a mean with half of its confidence interval.
func Number(f measure.Figure, i stats.Interval) string {
	digits := 4
	if f.Unit == "ms" {
		digits = 1
	}
	if math.IsInf(i.HalfWidth(), 0) {
		return fmt.Sprintf("%.*f", digits, i.Mean)
	}
	return fmt.Sprintf("%.*f ± %.*f", digits, i.Mean, digits, i.HalfWidth())
}

// Signed formats as Number does, with a sign.
func Signed(f measure.Figure, i stats.Interval) string {
	text := Number(f, i)
	if i.Mean >= 0 && !strings.HasPrefix(text, "-") {
		return "+" + text
	}
	return text
}

// Summary is a comparison without its runs, as JSON has it.
type Summary struct {
	Scenario string   `json:"Scenario"`
	A        string   `json:"A"`
	B        string   `json:"B"`
	Line     string   `json:"Line"`
	Seeds    []uint64 `json:"Seeds"`
	Rows     []Row    `json:"Rows"`
}

// Summary returns the comparison's summary.
func (c *Comparison) Summary() Summary {
	s := Summary{Scenario: c.Plan.Scenario.Name, A: c.Plan.A.Spec, Line: c.Line(), Seeds: c.Seeds, Rows: c.Rows}
	if c.Plan.B != nil {
		s.B = c.Plan.B.Spec
	}
	return s
}

// MarshalText writes a verdict as people read it.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Claims evaluates claims by the runs of A.
func (c *Comparison) Claims(texts []string) ([]claim.Evaluation, error) {
	var runs []map[string]float64
	for _, r := range c.RunsA {
		runs = append(runs, r.Figures)
	}
	var all []claim.Evaluation
	for _, text := range texts {
		k, err := claim.Parse(text, func(name string) bool { _, ok := runs[0][name]; return ok })
		if err != nil {
			return nil, err
		}
		all = append(all, k.Evaluate(runs, Confidence))
	}
	return all, nil
}
