package experiment

import (
	"context"
	"fmt"
	"strings"

	"dunlinsail/internal/experiment/stats"
)

// Axis is a key and the values that it takes: a variant's, as ParseVariant has them.
type Axis struct {
	Key    string
	Values []string
}

// ParseAxis reads KEY=VALUE|VALUE|...
func ParseAxis(text string) (Axis, error) {
	key, values, ok := strings.Cut(text, "=")
	axis := Axis{key, strings.Split(values, "|")}
	if !ok || key == "" || len(axis.Values) < 2 {
		return axis, fmt.Errorf("%q is not KEY=VALUE|VALUE with two values at least", text)
	}
	return axis, nil
}

// Point is a combination of values of a sweep.
type SweepPoint struct {
	Values []string // of each axis
	*Comparison
}

// Sweep is the result of a sweep.
type Sweep struct {
	Axes   []Axis
	Points []SweepPoint // the last axis goes fastest; the first point is what the others are compared with
}

// Sweep compares a variant with each value of one axis or two with the first one.
func (r *Runner) Sweep(ctx context.Context, p Plan, axes []Axis) (*Sweep, error) {
	if len(axes) < 1 || len(axes) > 2 {
		return nil, fmt.Errorf("a sweep has one axis or two, not %d", len(axes))
	}
	s := &Sweep{Axes: axes}
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
		if len(s.Points) > 0 {
			pointPlan.A = s.Points[0].Plan.A
			pointPlan.B = v
		}
		comparison, err := r.Compare(ctx, pointPlan)
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, SweepPoint{combination, comparison})
	}
	return s, nil
}

// Figure returns a figure at a point, and its difference from the first point; there it is nil.
func (p *SweepPoint) Figure(figure string) (value stats.Interval, difference *Row) {
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
