// Package claim parses claims about runs, such as "service >= 0.95", "p99.book < 1.2 * p99 + 20ms" or "breaks == 0",
// and evaluates them with the figures of several runs. The package knows figures only by their names.
package claim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"dunlinsail/internal/experiment/stats"
)

var parser = participle.MustBuild[comparison](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?(us|ms|s|%)?`},
	{Name: "Name", Pattern: `[a-z][a-z0-9_]*(\.[a-z0-9_-]+)*`},
	{Name: "Op", Pattern: `<=|>=|==|<|>|[-+*/()]`},
	{Name: "space", Pattern: `\s+`},
})), participle.UseLookahead(2))

// comparison is the root of the grammar: comparison = sum op sum; sum = product {("+" | "-") product};
// product = value {("*" | "/") value}; value = number | name | "(" sum ")" | "-" value.
type comparison struct {
	Left  *sum   `parser:"@@"`
	Op    string `parser:"@('<=' | '>=' | '==' | '<' | '>')"`
	Right *sum   `parser:"@@"`
}

type sum struct {
	First *product `parser:"@@"`
	Rest  []*term  `parser:"@@*"`
}

type term struct {
	Op      string   `parser:"@('+' | '-')"`
	Operand *product `parser:"@@"`
}

type product struct {
	First *value    `parser:"@@"`
	Rest  []*factor `parser:"@@*"`
}

type factor struct {
	Op      string `parser:"@('*' | '/')"`
	Operand *value `parser:"@@"`
}

type value struct {
	Number   *string `parser:"@Number"`
	Name     *string `parser:"| @Name"`
	Inner    *sum    `parser:"| '(' @@ ')'"`
	Negative *value  `parser:"| '-' @@"`
}

// Claim is a parsed claim.
type Claim struct {
	Text       string
	comparison *comparison
}

// Parse parses a claim. It returns an error if the syntax is wrong or a figure does not exist. isFigure
// reports whether a figure exists; if isFigure is nil, every name is accepted.
func Parse(text string, isFigure func(name string) bool) (*Claim, error) {
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("claim %q: %w", text, err)
	}
	claim := &Claim{text, parsed}
	for _, name := range claim.Figures() {
		if isFigure != nil && !isFigure(name) {
			return nil, fmt.Errorf("claim %q: no figure is named %q", text, name)
		}
	}
	return claim, nil
}

// Figures returns the sorted names of the figures that occur in the claim.
func (c *Claim) Figures() []string {
	var names []string
	var collectSum func(s *sum)
	var collectValue func(v *value)
	collectValue = func(v *value) {
		switch {
		case v.Name != nil:
			names = append(names, *v.Name)
		case v.Inner != nil:
			collectSum(v.Inner)
		case v.Negative != nil:
			collectValue(v.Negative)
		}
	}
	collectSum = func(s *sum) {
		for _, operand := range append(
			[]*product{s.First}, mapSlice(s.Rest, func(t *term) *product { return t.Operand })...,
		) {
			collectValue(operand.First)
			for _, f := range operand.Rest {
				collectValue(f.Operand)
			}
		}
	}
	collectSum(c.comparison.Left)
	collectSum(c.comparison.Right)
	slices.Sort(names)
	return slices.Compact(names)
}

func mapSlice[A, B any](items []A, transform func(A) B) (mapped []B) {
	for _, item := range items {
		mapped = append(mapped, transform(item))
	}
	return mapped
}

func (s *sum) evaluate(figures map[string]float64) float64 {
	total := s.First.evaluate(figures)
	for _, t := range s.Rest {
		if t.Op == "+" {
			total += t.Operand.evaluate(figures)
		} else {
			total -= t.Operand.evaluate(figures)
		}
	}
	return total
}

func (p *product) evaluate(figures map[string]float64) float64 {
	result := p.First.evaluate(figures)
	for _, f := range p.Rest {
		if f.Op == "*" {
			result *= f.Operand.evaluate(figures)
		} else {
			result /= f.Operand.evaluate(figures)
		}
	}
	return result
}

// units are the units of numbers in claims. Durations are converted to milliseconds, the unit of the figures;
// percentages are converted to fractions.
var units = []struct {
	name                string
	multiplier, divisor float64
}{{"us", 1, 1000}, {"ms", 1, 1}, {"s", 1000, 1}, {"%", 1, 100}}

func (v *value) evaluate(figures map[string]float64) float64 {
	switch {
	case v.Name != nil:
		return figures[*v.Name]
	case v.Inner != nil:
		return v.Inner.evaluate(figures)
	case v.Negative != nil:
		return -v.Negative.evaluate(figures)
	}
	text := *v.Number
	multiplier := 1.0
	divisor := 1.0
	for _, unit := range units {
		if number, ok := strings.CutSuffix(text, unit.name); ok {
			text = number
			multiplier = unit.multiplier
			divisor = unit.divisor
			break
		}
	}
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // unreachable: the lexer accepts only valid numbers
	}
	return parsed * multiplier / divisor
}

// Verdict is the result of evaluating a claim.
type Verdict uint8

// Holds and Fails mean that the runs satisfy or contradict a claim. Inconclusive means that the runs are not
// enough to decide.
const (
	Holds Verdict = iota
	Fails
	Inconclusive
)

var verdictNames = [...]string{"holds", "fails", "cannot tell"}

// String returns the printed name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Evaluation is the result of evaluating a claim with the figures of several runs.
type Evaluation struct {
	Claim   string
	Verdict Verdict
	Left    float64        // mean of the left side over the runs
	Right   float64        // mean of the right side over the runs
	Margin  stats.Interval // amount by which the claim is satisfied; negative if it is not satisfied
}

// Evaluate evaluates the claim with the figures of several runs, at a confidence level such as 0.95. A claim
// with == must be satisfied in each run. Any other comparison must be satisfied on average: it is decided if
// the confidence interval of the margin lies on one side of 0.
func (c *Claim) Evaluate(runs []map[string]float64, confidence float64) Evaluation {
	evaluation := Evaluation{Claim: c.Text}
	var margins []float64
	allEqual := true
	for _, figures := range runs {
		left := c.comparison.Left.evaluate(figures)
		right := c.comparison.Right.evaluate(figures)
		evaluation.Left += left / float64(len(runs))
		evaluation.Right += right / float64(len(runs))
		allEqual = allEqual && left == right
		margin := left - right
		if strings.HasPrefix(c.comparison.Op, "<") {
			margin = right - left
		}
		margins = append(margins, margin)
	}
	evaluation.Margin = stats.StudentT(margins, confidence)
	strict := c.comparison.Op == "<" || c.comparison.Op == ">"
	switch {
	case c.comparison.Op == "==" && !allEqual:
		evaluation.Verdict = Fails
	case c.comparison.Op == "==":
	case len(runs) == 1: // a single run does not show how much runs vary
		evaluation.Verdict = Inconclusive
		if evaluation.Margin.Mean < 0 {
			evaluation.Verdict = Fails
		}
	case evaluation.Margin.Low > 0 || !strict && evaluation.Margin.Low >= 0:
	case evaluation.Margin.High < 0 || strict && evaluation.Margin.High <= 0:
		evaluation.Verdict = Fails
	default:
		evaluation.Verdict = Inconclusive
	}
	return evaluation
}
