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
	a := Axis{key, strings.Split(values, "|")}
	if !ok || key == "" || len(a.Values) < 2 {
		return a, fmt.Errorf("%q is not KEY=VALUE|VALUE with two values at least", text)
	}
	return a, nil
}

// Point is a combination of values of a sweep.
type Point struct {
	Values []string // of each axis
	*Comparison
}

// Sweep is the result of a sweep.
type Sweep struct {
	Axes   []Axis
	Points []Point // the last axis goes fastest; the first point is what the others are compared with
}

// Sweep compares a variant with each value of one axis or two with the first one.
func (r *Runner) Sweep(ctx context.Context, p Plan, axes []Axis) (*Sweep, error) {
	if len(axes) < 1 || len(axes) > 2 {
		return nil, fmt.Errorf("a sweep has one axis or two, not %d", len(axes))
	}
	s := &Sweep{Axes: axes}
	places := [][]string{{}}
	for _, a := range axes {
		var next [][]string
		for _, at := range places {
			for _, v := range a.Values {
				next = append(next, append(append([]string{}, at...), v))
			}
		}
		places = next
	}
	base := p.A
	for _, at := range places {
		spec := base.Spec
		for i, v := range at {
			spec += "," + axes[i].Key + "=" + v
		}
		v, err := ParseVariant(spec)
		if err != nil {
			return nil, err
		}
		one := p
		one.A = v
		one.B = nil
		if len(s.Points) > 0 {
			one.A = s.Points[0].Plan.A
			one.B = v
		}
		c, err := r.Compare(ctx, one)
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{at, c})
	}
	return s, nil
}

// Figure returns a figure at a point, and its difference from the first point; there it is nil.
func (p *Point) Figure(figure string) (value stats.Interval, difference *Row) {
	runs := p.RunsB
	if runs == nil {
		runs = p.RunsA
	}
	value = p.interval(Figure(runs, figure))
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
