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

// Confidence is that of all intervals.
const Confidence = 0.95

// Plan says how a comparison is made.
type Plan struct {
	Scenario *scenario.Scenario
	A, B     *Variant // B may be nil: then A is only measured
	First    uint64   // the first seed
	Least    int      // seeds at least,
	Most     int      // and at most
	Width    float64  // it stops once the interval of the service's difference is no wider; 0 is at Most
	Method   string   // "t" or "bootstrap"
	Figure   string   // what is judged by; "" is service
}

// Verdict is what a comparison says of B against A.
type Verdict uint8

// The verdicts.
const (
	CannotTell Verdict = iota
	Better
	Worse
)

var verdictWords = [...]string{"cannot tell", "better", "worse"}

func (v Verdict) String() string { return verdictWords[v] }

// Row is one figure of both variants.
type Row struct {
	measure.Figure
	A          stats.Interval `json:"A"`          // of the means
	B          stats.Interval `json:"B"`          // the same
	Difference stats.Interval `json:"Difference"` // of B less A, pair by pair
	Verdict    Verdict        `json:"Verdict"`
	Matters    bool           `json:"Matters"` // by more than the figure's step
	Note       string         `json:"Note"`    // for people
}

// Comparison is what came of a plan.
type Comparison struct {
	Plan  Plan
	Seeds []uint64
	RunsA []*measure.Result
	RunsB []*measure.Result // nil without a B
	Rows  []Row             // the figure that is judged by stands first
	Same  bool              // every run of B came to the very same as that of A
}

// Compare plays both variants on the same plans, more and more of them until it is known well enough.
func (r *Runner) Compare(ctx context.Context, p Plan) (*Comparison, error) {
	if p.Figure == "" {
		p.Figure = "service"
	}
	if p.Most < p.Least {
		p.Most = p.Least
	}
	c := &Comparison{Plan: p}
	for len(c.Seeds) < p.Most {
		n := p.Least
		if len(c.Seeds) > 0 {
			// By what is known so far, so many are needed in all; not all of them at once, since it is not known well.
			need := len(c.Seeds) + 4
			if half := c.Rows[0].Difference.Half(); half > 0 && !math.IsInf(half, 0) {
				need = int(float64(len(c.Seeds)) * math.Pow(2*half/p.Width, 2))
			}
			n = min(need-len(c.Seeds), len(c.Seeds))
		}
		n = max(1, min(n, p.Most-len(c.Seeds)))
		if err := r.more(ctx, c, n); err != nil {
			return c, err
		}
		c.judge()
		if p.Width <= 0 && len(c.Seeds) >= p.Most || p.Width > 0 && len(c.Seeds) >= p.Least && 2*c.Rows[0].Difference.Half() <= p.Width {
			break
		}
	}
	return c, nil
}

// more plays n more seeds.
func (r *Runner) more(ctx context.Context, c *Comparison, n int) error {
	var tasks []Task
	for i := range n {
		seed := c.Plan.First + uint64(len(c.Seeds)+i)
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
		c.Seeds = append(c.Seeds, c.Plan.First+uint64(len(c.Seeds)))
		if c.Plan.B == nil {
			c.RunsA = append(c.RunsA, results[i])
			continue
		}
		c.RunsA = append(c.RunsA, results[2*i])
		c.RunsB = append(c.RunsB, results[2*i+1])
	}
	return nil
}

// Figure returns a figure of all runs.
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
	return stats.T(v, Confidence)
}

// judge makes the rows.
func (c *Comparison) judge() {
	names := []string{c.Plan.Figure}
	for _, f := range measure.Figures {
		if f.Name != c.Plan.Figure {
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
	c.Rows, c.Same = nil, c.RunsB != nil
	for i := range c.RunsB {
		c.Same = c.Same && c.RunsA[i].Digest == c.RunsB[i].Digest
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
		row.Note = c.counted(&row, f)
		return row
	}
	if c.RunsB == nil {
		return row
	}
	b := Figure(c.RunsB, f.Name)
	row.B = c.interval(b)
	row.Difference = c.interval(stats.Differences(a, b))
	d := row.Difference
	switch {
	case d.Low > 0:
		row.Verdict = Better
	case d.High < 0:
		row.Verdict = Worse
	}
	if row.Verdict != CannotTell && f.Direction < 0 {
		row.Verdict = Better + Worse - row.Verdict
	}
	row.Matters = math.Abs(d.Mean) > f.Threshold
	switch {
	case row.Verdict != CannotTell && f.Direction == 0: // what it costs; whether that is well spent, other figures say
		row.Verdict, row.Note = CannotTell, "less"
		if d.Mean > 0 {
			row.Note = "more"
		}
	case row.Verdict != CannotTell && !row.Matters:
		row.Note = "by less than matters"
	case row.Verdict == CannotTell && d.Low >= -f.Threshold && d.High <= f.Threshold:
		row.Note = "no difference that matters"
	}
	return row
}

// counted judges what should never happen. That it was not seen does not say that it never happens: what is said is how
// often it may.
func (c *Comparison) counted(row *Row, f measure.Figure) string {
	count := func(runs []*measure.Result) (happened, stories int64) {
		for _, r := range runs {
			happened += int64(r.Figures[f.Name])
			stories += r.Operations
		}
		return happened, stories
	}
	most := func(happened, stories int64) string {
		return fmt.Sprintf("%d of %d stories: at most one in %.0f", happened, stories, 1/stats.Rate(min(happened, stories), stories, Confidence).High)
	}
	a, storiesA := count(c.RunsA)
	if c.RunsB == nil {
		return most(a, storiesA)
	}
	b, storiesB := count(c.RunsB)
	row.B = c.interval(Figure(c.RunsB, f.Name))
	row.Difference = c.interval(stats.Differences(Figure(c.RunsA, f.Name), Figure(c.RunsB, f.Name)))
	if stats.SameRate(a, b) < 1-Confidence {
		row.Matters = true
		if row.Verdict = Worse; b < a {
			row.Verdict = Better
		}
	}
	return "A " + most(a, storiesA) + "; B " + most(b, storiesB)
}

// Line says in one line what came of it.
func (c *Comparison) Line() string {
	row := c.Rows[0]
	if c.RunsB == nil {
		return fmt.Sprintf("%s: %s %s over %d runs", c.Plan.Scenario.Name, row.Name, Number(row.Figure, row.A), len(c.Seeds))
	}
	if c.Same {
		return fmt.Sprintf("%s: cannot tell: every one of %d runs came to the very same with A and with B", c.Plan.Scenario.Name, len(c.Seeds))
	}
	text := fmt.Sprintf("%s: B is %v: %s %s, %s of A", c.Plan.Scenario.Name, row.Verdict, row.Name, Signed(row.Figure, row.Difference), Number(row.Figure, row.A))
	if row.Verdict == CannotTell {
		text = fmt.Sprintf("%s: cannot tell: %s differs by %s, %s of A", c.Plan.Scenario.Name, row.Name, Signed(row.Figure, row.Difference), Number(row.Figure, row.A))
	}
	if row.Note != "" {
		text += " (" + row.Note + ")"
	}
	return text + fmt.Sprintf(", over %d seeds", len(c.Seeds))
}

// Number writes a mean with half of its interval.
func Number(f measure.Figure, i stats.Interval) string {
	digits := 4
	if f.Unit == "ms" {
		digits = 1
	}
	if math.IsInf(i.Half(), 0) {
		return fmt.Sprintf("%.*f", digits, i.Mean)
	}
	return fmt.Sprintf("%.*f ± %.*f", digits, i.Mean, digits, i.Half())
}

// Signed is as Number, with a sign.
func Signed(f measure.Figure, i stats.Interval) string {
	text := Number(f, i)
	if i.Mean >= 0 && !strings.HasPrefix(text, "-") {
		return "+" + text
	}
	return text
}

// Summary is a comparison without its runs, for other programs.
type Summary struct {
	Scenario string   `json:"Scenario"`
	A        string   `json:"A"`
	B        string   `json:"B"`
	Line     string   `json:"Line"`
	Seeds    []uint64 `json:"Seeds"`
	Rows     []Row    `json:"Rows"`
}

// Summary returns it.
func (c *Comparison) Summary() Summary {
	s := Summary{Scenario: c.Plan.Scenario.Name, A: c.Plan.A.Spec, Line: c.Line(), Seeds: c.Seeds, Rows: c.Rows}
	if c.Plan.B != nil {
		s.B = c.Plan.B.Spec
	}
	return s
}

// MarshalText writes a verdict as people read it.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Claims judges what is claimed of a scenario by the runs of A.
func (c *Comparison) Claims(texts []string) ([]claim.Judgement, error) {
	var runs []map[string]float64
	for _, r := range c.RunsA {
		runs = append(runs, r.Figures)
	}
	var all []claim.Judgement
	for _, text := range texts {
		k, err := claim.Parse(text, func(name string) bool { _, ok := runs[0][name]; return ok })
		if err != nil {
			return nil, err
		}
		all = append(all, k.Judge(runs, Confidence))
	}
	return all, nil
}
