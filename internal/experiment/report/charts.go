package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"dunlinsail/internal/experiment"
	"dunlinsail/internal/simulation/measure"
)

// Colours of A and B that are distinct with any colour vision (Okabe, Ito: "Color Universal Design", 2008).
var (
	colourA = color.RGBA{0, 114, 178, 255}
	colourB = color.RGBA{213, 94, 0, 255}
	bandA   = color.RGBA{0, 114, 178, 45}
	bandB   = color.RGBA{213, 94, 0, 45}
	grey    = color.RGBA{150, 150, 150, 255}
)

const (
	width  = 17 * vg.Centimeter
	height = 6 * vg.Centimeter
)

// chart is a picture with what it shows.
type chart struct {
	Title, About string
	SVG          template.HTML
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = false
	// A browser without the plot's own font shows a wider one: small text keeps within the picture.
	for _, f := range []*font.Font{
		&p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font, &p.X.Tick.Label.Font, &p.Y.Tick.Label.Font,
		&p.Legend.TextStyle.Font,
	} {
		f.Size = vg.Points(9)
		f.Variant = "Sans"
	}
	p.Add(plotter.NewGrid())
	return p
}

// svg renders a plot. The library makes the text, and escapes the labels, which are the only part from users.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(width, height))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // without the XML declaration
	}
	return template.HTML(text), nil
}

// variantRuns are the runs of one variant, and its colours.
type variantRuns struct {
	name string
	runs []*measure.Result
	line color.Color
	band color.Color
}

func variants(c *experiment.Comparison) []variantRuns {
	all := []variantRuns{{"A", c.RunsA, colourA, bandA}}
	if c.RunsB != nil {
		all = append(all, variantRuns{"B", c.RunsB, colourB, bandB})
	}
	return all
}

// valuesAt returns the sorted values of all runs at a bin of a series.
func (v *variantRuns) valuesAt(of func(s *measure.Series) []float64, bin int) (values []float64) {
	for _, r := range v.runs {
		if series := of(&r.Series); bin < len(series) {
			values = append(values, series[bin])
		}
	}
	slices.Sort(values)
	return values
}

// overTime draws a line of the runs' mean, with the band in which nine of ten runs lie.
func overTime(
	c *experiment.Comparison, y string, of func(s *measure.Series) []float64, maxValue float64,
) (template.HTML, error) {
	p := newPlot("seconds", y)
	for _, s := range variants(c) {
		var mean plotter.XYs
		var low, high plotter.XYs
		for i := range of(&s.runs[0].Series) {
			v := s.valuesAt(of, i)
			var sum float64
			for _, x := range v {
				sum += x
			}
			at := (float64(i) + 0.5) * float64(s.runs[0].Series.Bin) / 1e6
			mean = append(mean, plotter.XY{X: at, Y: sum / float64(len(v))})
			low = append(low, plotter.XY{X: at, Y: v[int(0.05*float64(len(v)-1))]})
			high = append(high, plotter.XY{X: at, Y: v[int(math.Ceil(0.95*float64(len(v)-1)))]})
		}
		if len(s.runs) > 1 {
			slices.Reverse(high)
			band, err := plotter.NewPolygon(append(low, high...))
			if err != nil {
				return "", err
			}
			band.Color = s.band
			band.LineStyle.Width = 0
			p.Add(band)
		}
		line, err := plotter.NewLine(mean)
		if err != nil {
			return "", err
		}
		line.Color = s.line
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Y.Min = 0
	if maxValue > 0 {
		p.Y.Max = maxValue
	}
	return svg(p, height)
}

// differenceChart draws differences, multiplied by a factor, with their intervals.
func differenceChart(rows []experiment.Row, factor float64, label string) (template.HTML, error) {
	p := newPlot(label, "")
	var names []string
	type bars struct {
		plotter.XYs
		plotter.XErrors
	}
	var all bars
	for i := range rows {
		r := rows[len(rows)-1-i]
		if math.IsInf(r.Difference.HalfWidth(), 0) {
			continue
		}
		names = append(names, r.Name)
		at := plotter.XY{X: r.Difference.Mean * factor, Y: float64(len(names) - 1)}
		all.XYs = append(all.XYs, at)
		all.XErrors = append(all.XErrors, struct{ Low, High float64 }{
			(r.Difference.Low - r.Difference.Mean) * factor, (r.Difference.High - r.Difference.Mean) * factor,
		})
	}
	if len(names) == 0 {
		return "", nil
	}
	intervals, err := plotter.NewXErrorBars(all)
	if err != nil {
		return "", err
	}
	intervals.Color = colourB
	intervals.Width = vg.Points(1.5)
	dots, err := plotter.NewScatter(all.XYs)
	if err != nil {
		return "", err
	}
	dots.Color = colourB
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = vg.Points(3)
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return "", err
	}
	zero.Color = grey
	p.Add(zero, intervals, dots)
	p.NominalY(names...)
	return svg(p, vg.Length(1.6+0.6*float64(len(names)))*vg.Centimeter)
}

// latencies draws the quantiles of latencies, with a line for each class.
func latencies(c *experiment.Comparison) (template.HTML, error) {
	p := newPlot("part of the answers that took no longer", "milliseconds")
	nines := func(q float64) float64 { return -math.Log10(1 - q/100) }
	var ticks []plot.Tick
	for _, q := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		ticks = append(ticks, plot.Tick{Value: nines(q), Label: fmt.Sprint(q, "%")})
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	for _, s := range variants(c) {
		for i := range s.runs[0].Classes {
			var pts plotter.XYs
			for j, q := range s.runs[0].Classes[i].Quantiles {
				if q[0] >= 100 {
					continue
				}
				var sum float64
				for _, r := range s.runs {
					sum += r.Classes[i].Quantiles[j][1]
				}
				pts = append(pts, plotter.XY{X: nines(q[0]), Y: sum / float64(len(s.runs))})
			}
			line, err := plotter.NewLine(pts)
			if err != nil {
				return "", err
			}
			line.Color = s.line
			line.Width = vg.Points(1.2)
			line.Dashes = dashes[i%len(dashes)]
			p.Add(line)
			p.Legend.Add(s.name+" "+s.runs[0].Classes[i].Name, line)
		}
	}
	p.Legend.Left = true
	p.Y.Min = 0
	return svg(p, 7*vg.Centimeter)
}

var dashes = [][]vg.Length{
	nil, {vg.Points(6), vg.Points(2)}, {vg.Points(2), vg.Points(2)},
	{vg.Points(8), vg.Points(2), vg.Points(2), vg.Points(2)},
}

// maxLoadBars is the largest number of endpoints whose loads are drawn.
const maxLoadBars = 60

// endpointLoads draws the utilization of each endpoint. There is no picture for more than maxLoadBars.
func endpointLoads(c *experiment.Comparison) (template.HTML, error) {
	nodes := c.RunsA[0].Endpoints
	if len(nodes) == 0 || len(nodes) > maxLoadBars {
		return "", nil
	}
	p := newPlot("", "core time at work")
	zones := c.Plan.Scenario.Fleet.Zones
	order := make([]int, len(nodes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return nodes[a].Zone - nodes[b].Zone })
	var names []string
	for _, i := range order {
		zone := ""
		if nodes[i].Zone < len(zones) {
			zone = zones[nodes[i].Zone]
		}
		names = append(names, zone+" "+nodes[i].Name)
	}
	all := variants(c)
	wide := min(vg.Points(10), width*0.8/vg.Length(len(nodes)*len(all)))
	for k, s := range all {
		var v plotter.Values
		for _, i := range order {
			var sum float64
			for _, r := range s.runs {
				sum += r.Endpoints[i].Utilization
			}
			v = append(v, sum/float64(len(s.runs)))
		}
		bar, err := plotter.NewBarChart(v, wide)
		if err != nil {
			return "", err
		}
		bar.Color = s.line
		bar.LineStyle.Width = 0
		bar.Offset = wide * (vg.Length(k) - vg.Length(len(all)-1)/2)
		p.Add(bar)
		p.Legend.Add(s.name, bar)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = math.Pi / 3
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Tick.Label.YAlign = draw.YCenter
	p.Y.Min = 0
	p.Y.Max = 1
	return svg(p, 8*vg.Centimeter)
}

// chartList collects the pictures of a page.
type chartList struct{ charts []chart }

// add adds a picture, unless it is empty.
func (l *chartList) add(title, about string, picture template.HTML, err error) error {
	if err != nil {
		return fmt.Errorf("picture %q: %w", title, err)
	}
	if picture != "" {
		l.charts = append(l.charts, chart{title, about, picture})
	}
	return nil
}

// charts draws all pictures of a comparison.
func charts(c *experiment.Comparison) ([]chart, error) {
	l := &chartList{}
	for _, add := range []func(c *experiment.Comparison) error{
		l.addDifferences, l.addSeries, l.addLatencies, l.addEndpointLoads,
	} {
		if err := add(c); err != nil {
			return nil, err
		}
	}
	return l.charts, nil
}

// addDifferences adds the differences of shares and of times, if two variants are compared.
func (l *chartList) addDifferences(c *experiment.Comparison) error {
	if c.RunsB == nil {
		return nil
	}
	var shares, times []experiment.Row
	for _, r := range c.Rows {
		switch {
		case r.Unit == "ms" && r.Name != "p999":
			times = append(times, r)
		case r.Unit == "" && !r.CountsViolations:
			shares = append(shares, r)
		}
	}
	picture, err := differenceChart(shares, 100, "B less A, percentage points, with 95% intervals")
	if err := l.add("Differences of shares",
		"Right of the line B has more. For what is refused, failed, lost, unserved, wasted or late, less is better.",
		picture, err); err != nil {
		return err
	}
	picture, err = differenceChart(times, 1, "B less A, milliseconds, with 95% intervals")
	return l.add("Differences of times", "Left of the line B is faster.", picture, err)
}

// addSeries adds the figures over time.
func (l *chartList) addSeries(c *experiment.Comparison) error {
	for _, series := range []struct {
		title, about, label string
		of                  func(s *measure.Series) []float64
		maxValue            float64
	}{
		{
			"Service over time",
			"Worth served within the aim, of the worth asked for in each moment: the mean of all seeds, " +
				"and the band in which nine of ten lie.",
			"service", func(s *measure.Series) []float64 { return s.Service }, 1,
		},
		{
			"Stories begun a second", "What clients wanted. It is the same for both: they meet the same clients.",
			"a second", func(s *measure.Series) []float64 { return s.Offered }, 0,
		},
		{
			"Tries refused, failed or lost a second", "By the moment in which their stories began.",
			"a second", unsuccessfulRequests, 0,
		},
		{
			"99 in 100 answers are faster than", "By the moment in which their stories began.",
			"milliseconds", func(s *measure.Series) []float64 { return s.P99 }, 0,
		},
	} {
		picture, err := overTime(c, series.label, series.of, series.maxValue)
		if err := l.add(series.title, series.about, picture, err); err != nil {
			return err
		}
	}
	return nil
}

// unsuccessfulRequests are the requests that were rejected, failed or had no response, a second.
func unsuccessfulRequests(s *measure.Series) []float64 {
	v := slices.Clone(s.Rejected)
	for i := range v {
		v[i] += s.Failed[i]
	}
	return v
}

func (l *chartList) addLatencies(c *experiment.Comparison) error {
	picture, err := latencies(c)
	return l.add("How long answers took",
		"Each class a line. From one mark to the next ten times fewer answers take longer.", picture, err)
}

func (l *chartList) addEndpointLoads(c *experiment.Comparison) error {
	picture, err := endpointLoads(c)
	return l.add("Load by endpoint",
		"The part of its core time for which each endpoint was at work, over the whole run, by zone.", picture, err)
}

// sweepChart draws a figure over the points of a sweep: along its last axis, a line for each value of the other.
func sweepChart(s *experiment.Sweep, figure string) (template.HTML, error) {
	last := s.Axes[len(s.Axes)-1]
	p := newPlot(last.Key, figure)
	n := len(last.Values)
	for k := 0; k*n < len(s.Points); k++ {
		var e struct {
			plotter.XYs
			plotter.YErrors
		}
		for i := range n {
			v, _ := s.Points[k*n+i].Figure(figure)
			e.XYs = append(e.XYs, plotter.XY{X: float64(i), Y: v.Mean})
			half := v.HalfWidth()
			if math.IsInf(half, 0) {
				half = 0
			}
			e.YErrors = append(e.YErrors, struct{ Low, High float64 }{-half, half})
		}
		line, err := plotter.NewLine(e.XYs)
		if err != nil {
			return "", err
		}
		bars, err := plotter.NewYErrorBars(e)
		if err != nil {
			return "", err
		}
		c := []color.Color{colourA, colourB, grey}[k%3]
		line.Color = c
		line.Width = vg.Points(1.5)
		line.Dashes = dashes[k/3%len(dashes)]
		bars.Color = c
		p.Add(line, bars)
		if len(s.Axes) == 2 {
			p.Legend.Add(s.Axes[0].Key+"="+s.Axes[0].Values[k], line)
		}
	}
	p.NominalX(last.Values...)
	return svg(p, 7*vg.Centimeter)
}
