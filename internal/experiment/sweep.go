package experiment

import (
	"context"
	"fmt"
	"strings"

	"dunlinsail/internal/experiment/stats"
)

// Axis is a key of a variant (see ParseVariant) and the values that it takes in a sweep.
type Axis struct {
	Key    string
	Values []string
}

// ParseAxis parses an axis, written as KEY=VALUE|VALUE|... with at least two values.
func ParseAxis(text string) (Axis, error) {
	key, values, ok := strings.Cut(text, "=")
	axis := Axis{key, strings.Split(values, "|")}
	if !ok || key == "" || len(axis.Values) < 2 {
		return axis, fmt.Errorf("%q is not KEY=VALUE|VALUE with at least two values", text)
	}
	return axis, nil
}

// SweepPoint is one combination of the axes' values, and its comparison with the sweep's first point.
type SweepPoint struct {
	Values []string // one value per axis, in the order of the axes
	*Comparison
}

// Sweep is the result of Runner.Sweep.
type Sweep struct {
	Axes   []Axis
	Points []SweepPoint // the last axis varies fastest; the first point is the baseline
}

// Sweep measures variant p.A at each combination of the values of one or two axes, and compares each combination
// with the first one.
func (r *Runner) Sweep(ctx context.Context, p Plan, axes []Axis) (*Sweep, error) {
	if len(axes) < 1 || len(axes) > 2 {
		return nil, fmt.Errorf("a sweep must have one or two axes, not %d", len(axes))
	}
	sweep := &Sweep{Axes: axes}
	combinations := [][]string{{}}
	for _, axis := range axes {
		var extended [][]string
		for _, combination := range combinations {
			for _, v := range axis.Values {
				extended = append(extended, append(append([]string{}, combination...), v))
			}
		}
		combinations = extended
	}
	base := p.A
	for _, combination := range combinations {
		spec := base.Spec
		for i, v := range combination {
			spec += "," + axes[i].Key + "=" + v
		}
		v, err := ParseVariant(spec)
		if err != nil {
			return nil, err
		}
		pointPlan := p
		pointPlan.A = v
		pointPlan.B = nil
		if len(sweep.Points) > 0 {
			pointPlan.A = sweep.Points[0].Plan.A
			pointPlan.B = v
		}
		comparison, err := r.Compare(ctx, pointPlan)
		if err != nil {
			return nil, err
		}
		sweep.Points = append(sweep.Points, SweepPoint{combination, comparison})
	}
	return sweep, nil
}

// Figure returns the value of a figure at the point, and the row with its difference from the sweep's first point.
// At the first point, difference is nil.
func (p *SweepPoint) Figure(figure string) (value stats.Interval, difference *FigureRow) {
	runs := p.RunsB
	if runs == nil {
		runs = p.RunsA
	}
	value = p.meanInterval(FigureValues(runs, figure))
	if p.RunsB == nil {
		return value, nil
	}
	for i := range p.Rows {
		if p.Rows[i].Name == figure {
			difference = &p.Rows[i]
		}
	}
	return value, difference
}
