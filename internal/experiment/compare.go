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

// Confidence is the confidence level of all intervals and tests in this package.
const Confidence = 0.95

// Plan configures a comparison of two variants, or the measurement of one.
type Plan struct {
	Scenario      *scenario.Scenario
	A, B          *Variant // if B is nil, A is only measured
	FirstSeed     uint64   // seeds count up from this value
	MinSeeds      int
	MaxSeeds      int     // below MinSeeds it counts as MinSeeds
	TargetWidth   float64 // stop once the primary difference's interval is at most this wide; 0: run MaxSeeds
	Method        string  // "t" or "bootstrap"
	PrimaryFigure string  // the figure that decides the outcome; "" means "service"
}

// Verdict states whether variant B is better or worse than variant A.
type Verdict uint8

// The possible verdicts on variant B. Inconclusive means that the data shows neither.
const (
	Inconclusive Verdict = iota
	Better
	Worse
)

var verdictNames = [...]string{"cannot tell", "better", "worse"}

// String returns the verdict in the wording of printed tables.
func (v Verdict) String() string { return verdictNames[v] }

// FigureRow holds the values of one figure for both variants, and their difference.
type FigureRow struct {
	measure.Figure
	A          stats.Interval `json:"A"`          // mean over A's runs
	B          stats.Interval `json:"B"`          // mean over B's runs
	Difference stats.Interval `json:"Difference"` // mean of B minus A over the runs of the same seed
	Verdict    Verdict        `json:"Verdict"`
	Relevant   bool           `json:"Matters"` // the difference exceeds the figure's Threshold
	Note       string         `json:"Note"`    // a remark for the reader of the table
}

// Comparison holds the runs made for a Plan and the figures computed from them.
type Comparison struct {
	Plan      Plan
	Seeds     []uint64
	RunsA     []*measure.Result
	RunsB     []*measure.Result // nil if the plan has no variant B
	Rows      []FigureRow       // the primary figure is the first row
	Identical bool              // each run of B has the same digest as the run of A with its seed
}

// Compare runs both variants with the same seeds, and adds seeds until the primary difference's confidence interval is
// narrow enough or MaxSeeds is reached.
func (r *Runner) Compare(ctx context.Context, p Plan) (*Comparison, error) {
	if p.PrimaryFigure == "" {
		p.PrimaryFigure = "service"
	}
	if p.MaxSeeds < p.MinSeeds {
		p.MaxSeeds = p.MinSeeds
	}
	c := &Comparison{Plan: p}
	for len(c.Seeds) < p.MaxSeeds {
		newSeeds := p.MinSeeds
		if len(c.Seeds) > 0 {
			// The interval's width shrinks with the square root of the number of seeds. This estimate of the total is
			// rough after few seeds, so that one step at most doubles their number.
			neededSeeds := len(c.Seeds) + 4
			if halfWidth := c.Rows[0].Difference.HalfWidth(); halfWidth > 0 && !math.IsInf(halfWidth, 0) {
				neededSeeds = int(float64(len(c.Seeds)) * math.Pow(2*halfWidth/p.TargetWidth, 2))
			}
			newSeeds = min(neededSeeds-len(c.Seeds), len(c.Seeds))
		}
		newSeeds = max(1, min(newSeeds, p.MaxSeeds-len(c.Seeds)))
		if err := r.runSeeds(ctx, c, newSeeds); err != nil {
			return c, err
		}
		c.buildRows()
		if c.hasEnoughSeeds(&p) {
			break
		}
	}
	return c, nil
}

// runSeeds runs the plan's variants with the next count seeds and appends their results.
func (r *Runner) runSeeds(ctx context.Context, c *Comparison, count int) error {
	var tasks []Task
	for i := range count {
		seed := c.Plan.FirstSeed + uint64(len(c.Seeds)+i)
		for _, v := range []*Variant{c.Plan.A, c.Plan.B} {
			if v == nil {
				continue
			}
			job, err := v.Job(c.Plan.Scenario, c.Plan.A, seed)
			if err != nil {
				return err
			}
			tasks = append(tasks, Task{v, job})
		}
	}
	results, err := r.Run(ctx, tasks)
	if err != nil {
		return err
	}
	for i := range count {
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

// FigureValues returns the value that a figure has in each run.
func FigureValues(runs []*measure.Result, name string) []float64 {
	var values []float64
	for _, r := range runs {
		values = append(values, r.Figures[name])
	}
	return values
}

// meanInterval returns the confidence interval of the mean of values, computed with the plan's Method.
func (c *Comparison) meanInterval(values []float64) stats.Interval {
	if c.Plan.Method == "bootstrap" {
		return stats.Bootstrap(values, Confidence, 1)
	}
	return stats.StudentT(values, Confidence)
}

// buildRows computes the rows of all figures: the primary one first, then those of every scenario, then those that
// only this scenario has (per class or tenant). It also sets Identical.
func (c *Comparison) buildRows() {
	names := []string{c.Plan.PrimaryFigure}
	for _, f := range measure.Figures {
		if f.Name != c.Plan.PrimaryFigure {
			names = append(names, f.Name)
		}
	}
	var scenarioFigures []string
	for name := range c.RunsA[0].Figures {
		if !slices.Contains(names, name) {
			scenarioFigures = append(scenarioFigures, name)
		}
	}
	slices.Sort(scenarioFigures)
	c.Rows = nil
	c.Identical = c.RunsB != nil
	for i := range c.RunsB {
		c.Identical = c.Identical && c.RunsA[i].Digest == c.RunsB[i].Digest
	}
	for _, name := range append(names, scenarioFigures...) {
		f, _ := measure.Describe(name)
		if f.Name == "" {
			f = measure.Figure{Name: name, Direction: 1}
		}
		c.Rows = append(c.Rows, c.compareFigure(f))
	}
}

// compareFigure computes the row of one figure.
func (c *Comparison) compareFigure(f measure.Figure) FigureRow {
	row := FigureRow{Figure: f}
	valuesA := FigureValues(c.RunsA, f.Name)
	row.A = c.meanInterval(valuesA)
	if f.CountsViolations {
		row.Note = c.compareViolations(&row, f)
		return row
	}
	if c.RunsB == nil {
		return row
	}
	valuesB := FigureValues(c.RunsB, f.Name)
	row.B = c.meanInterval(valuesB)
	row.Difference = c.meanInterval(stats.PairedDifferences(valuesA, valuesB))
	difference := row.Difference
	switch {
	case difference.Low > 0:
		row.Verdict = Better
	case difference.High < 0:
		row.Verdict = Worse
	}
	if row.Verdict != Inconclusive && f.Direction < 0 {
		row.Verdict = Better + Worse - row.Verdict
	}
	row.Relevant = math.Abs(difference.Mean) > f.Threshold
	switch {
	// A figure without a direction is a cost. Other figures show whether the cost is worth it.
	case row.Verdict != Inconclusive && f.Direction == 0:
		row.Verdict = Inconclusive
		row.Note = "less"
		if difference.Mean > 0 {
			row.Note = "more"
		}
	case row.Verdict != Inconclusive && !row.Relevant:
		row.Note = "by less than matters"
	case row.Verdict == Inconclusive && difference.Low >= -f.Threshold && difference.High <= f.Threshold:
		row.Note = "no difference that matters"
	}
	return row
}

// hasEnoughSeeds reports whether the comparison can stop: the primary difference's interval is at most TargetWidth
// wide after MinSeeds seeds or more. Without a TargetWidth it can stop once MaxSeeds seeds were run.
func (c *Comparison) hasEnoughSeeds(p *Plan) bool {
	if p.TargetWidth <= 0 {
		return len(c.Seeds) >= p.MaxSeeds
	}
	return len(c.Seeds) >= p.MinSeeds && 2*c.Rows[0].Difference.HalfWidth() <= p.TargetWidth
}

// compareViolations compares how often runs of A and of B violated a rule, and returns a note for the row. A count
// of 0 does not show that violations never happen, so that the note also gives the upper bound of their rate.
func (c *Comparison) compareViolations(row *FigureRow, f measure.Figure) string {
	sumViolations := func(runs []*measure.Result) (violations, operations int64) {
		for _, r := range runs {
			violations += int64(r.Figures[f.Name])
			operations += r.Operations
		}
		return violations, operations
	}
	describeRate := func(violations, operations int64) string {
		return fmt.Sprintf(
			"%d of %d stories: at most one in %.0f", violations, operations,
			1/stats.RateInterval(min(violations, operations), operations, Confidence).High,
		)
	}
	violationsA, operationsA := sumViolations(c.RunsA)
	if c.RunsB == nil {
		return describeRate(violationsA, operationsA)
	}
	violationsB, operationsB := sumViolations(c.RunsB)
	row.B = c.meanInterval(FigureValues(c.RunsB, f.Name))
	row.Difference = c.meanInterval(
		stats.PairedDifferences(FigureValues(c.RunsA, f.Name), FigureValues(c.RunsB, f.Name)),
	)
	if stats.RateEqualityPValue(violationsA, violationsB) < 1-Confidence {
		row.Relevant = true
		if row.Verdict = Worse; violationsB < violationsA {
			row.Verdict = Better
		}
	}
	return "A " + describeRate(violationsA, operationsA) + "; B " + describeRate(violationsB, operationsB)
}

// Line returns the outcome of the comparison in one line of text.
func (c *Comparison) Line() string {
	row := c.Rows[0]
	if c.RunsB == nil {
		return fmt.Sprintf(
			"%s: %s %s over %d runs", c.Plan.Scenario.Name, row.Name, FormatMean(row.Figure, row.A), len(c.Seeds),
		)
	}
	if c.Identical {
		return fmt.Sprintf(
			"%s: cannot tell: every one of %d runs came to the very same with A and with B", c.Plan.Scenario.Name,
			len(c.Seeds),
		)
	}
	text := fmt.Sprintf(
		"%s: B is %v: %s %s, %s of A",
		c.Plan.Scenario.Name, row.Verdict, row.Name, FormatSignedMean(row.Figure, row.Difference),
		FormatMean(row.Figure, row.A),
	)
	if row.Verdict == Inconclusive {
		text = fmt.Sprintf(
			"%s: cannot tell: %s differs by %s, %s of A", c.Plan.Scenario.Name, row.Name,
			FormatSignedMean(row.Figure, row.Difference), FormatMean(row.Figure, row.A),
		)
	}
	if row.Note != "" {
		text += " (" + row.Note + ")"
	}
	return text + fmt.Sprintf(", over %d seeds", len(c.Seeds))
}

// FormatMean formats a mean and half the width of its confidence interval, such as "0.9512 ± 0.0031".
func FormatMean(f measure.Figure, i stats.Interval) string {
	digits := 4
	if f.Unit == "ms" {
		digits = 1
	}
	if math.IsInf(i.HalfWidth(), 0) {
		return fmt.Sprintf("%.*f", digits, i.Mean)
	}
	return fmt.Sprintf("%.*f ± %.*f", digits, i.Mean, digits, i.HalfWidth())
}

// FormatSignedMean formats a difference like FormatMean, with an explicit plus sign if it is not negative.
func FormatSignedMean(f measure.Figure, i stats.Interval) string {
	text := FormatMean(f, i)
	if i.Mean >= 0 && !strings.HasPrefix(text, "-") {
		return "+" + text
	}
	return text
}

// Summary is the JSON form of a comparison, without its runs.
type Summary struct {
	Scenario string      `json:"Scenario"`
	A        string      `json:"A"`
	B        string      `json:"B"`
	Line     string      `json:"Line"`
	Seeds    []uint64    `json:"Seeds"`
	Rows     []FigureRow `json:"Rows"`
}

// Summary returns the comparison without its runs, for JSON output.
func (c *Comparison) Summary() Summary {
	s := Summary{Scenario: c.Plan.Scenario.Name, A: c.Plan.A.Spec, Line: c.Line(), Seeds: c.Seeds, Rows: c.Rows}
	if c.Plan.B != nil {
		s.B = c.Plan.B.Spec
	}
	return s
}

// MarshalText encodes a verdict as the text that String returns.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// EvaluateClaims parses claims and evaluates them against the runs of A.
func (c *Comparison) EvaluateClaims(texts []string) ([]claim.Evaluation, error) {
	var runs []map[string]float64
	for _, r := range c.RunsA {
		runs = append(runs, r.Figures)
	}
	var evaluations []claim.Evaluation
	for _, text := range texts {
		parsed, err := claim.Parse(text, func(name string) bool { _, ok := runs[0][name]; return ok })
		if err != nil {
			return nil, err
		}
		evaluations = append(evaluations, parsed.Evaluate(runs, Confidence))
	}
	return evaluations, nil
}
