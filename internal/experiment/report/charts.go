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

// Colours of A and B that those who see no red or no green tell apart (Okabe, Ito: "Color Universal Design", 2008).
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

// svg renders a plot. The text is the library's own, and holds nothing of a user's but labels, which it escapes.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(width, height))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // without what is for files of their own
	}
	return template.HTML(text), nil
}

// side is one variant's runs.
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

// overTime draws a line of the runs' mean, with the band in which nine of ten runs lie.
func overTime(
	c *experiment.Comparison, y string, of func(s *measure.Series) []float64, maxValue float64,
) (template.HTML, error) {
	p := newPlot("seconds", y)
	for _, s := range variants(c) {
		var mean plotter.XYs
		var low, high plotter.XYs
		for i := range of(&s.runs[0].Series) {
			var v []float64
			for _, r := range s.runs {
				if all := of(&r.Series); i < len(all) {
					v = append(v, all[i])
				}
			}
			slices.Sort(v)
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

// errors draws differences with their intervals.
func differenceChart(rows []experiment.Row, times float64, label string) (template.HTML, error) {
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
		at := plotter.XY{X: r.Difference.Mean * times, Y: float64(len(names) - 1)}
		all.XYs = append(all.XYs, at)
		all.XErrors = append(all.XErrors, struct{ Low, High float64 }{
			(r.Difference.Low - r.Difference.Mean) * times, (r.Difference.High - r.Difference.Mean) * times,
		})
	}
	if len(names) == 0 {
		return "", nil
	}
	errs, err := plotter.NewXErrorBars(all)
	if err != nil {
		return "", err
	}
	errs.Color = colourB
	errs.Width = vg.Points(1.5)
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
	p.Add(zero, errs, dots)
	p.NominalY(names...)
	return svg(p, vg.Length(1.6+0.6*float64(len(names)))*vg.Centimeter)
}

// latencies draws how long answers took, against how many took no longer.
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

// loads draws how much each endpoint had to do.
func endpointLoads(c *experiment.Comparison) (template.HTML, error) {
	const most = 60 // more bars than this show nothing
	nodes := c.RunsA[0].Endpoints
	if len(nodes) == 0 || len(nodes) > most {
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

// charts draws all pictures of a comparison.
func charts(c *experiment.Comparison) ([]chart, error) {
	var all []chart
	add := func(title, about string, picture template.HTML, err error) error {
		if err != nil {
			return fmt.Errorf("picture %q: %w", title, err)
		}
		if picture != "" {
			all = append(all, chart{title, about, picture})
		}
		return nil
	}
	if c.RunsB != nil {
		var shares, times []experiment.Row
		for _, r := range c.Rows {
			switch {
			case r.Unit == "ms" && !slices.Contains([]string{"p999"}, r.Name):
				times = append(times, r)
			case r.Unit == "" && !r.CountsViolations:
				shares = append(shares, r)
			}
		}
		picture, err := differenceChart(shares, 100, "B less A, percentage points, with 95% intervals")
		if err := add(
			"Differences of shares",
			"Right of the line B has more. For what is refused, failed, lost, unserved, wasted or late, less is better.",
			picture, err,
		); err != nil {
			return nil, err
		}
		picture, err = differenceChart(times, 1, "B less A, milliseconds, with 95% intervals")
		if err := add("Differences of times", "Left of the line B is faster.", picture, err); err != nil {
			return nil, err
		}
	}
	picture, err := overTime(c, "service", func(s *measure.Series) []float64 { return s.Service }, 1)
	if err := add(
		"Service over time",
		"Worth served within the aim, of the worth asked for in each moment: the mean of all seeds, and the band in which nine of ten lie.",
		picture, err,
	); err != nil {
		return nil, err
	}
	picture, err = overTime(c, "a second", func(s *measure.Series) []float64 { return s.Offered }, 0)
	if err := add(
		"Stories begun a second", "What clients wanted. It is the same for both: they meet the same clients.", picture,
		err,
	); err != nil {
		return nil, err
	}
	picture, err = overTime(c, "a second", func(s *measure.Series) []float64 {
		v := slices.Clone(s.Rejected)
		for i := range v {
			v[i] += s.Failed[i]
		}
		return v
	}, 0)
	if err := add(
		"Tries refused, failed or lost a second", "By the moment in which their stories began.", picture, err,
	); err != nil {
		return nil, err
	}
	picture, err = overTime(c, "milliseconds", func(s *measure.Series) []float64 { return s.P99 }, 0)
	if err := add(
		"99 in 100 answers are faster than", "By the moment in which their stories began.", picture, err,
	); err != nil {
		return nil, err
	}
	picture, err = latencies(c)
	if err := add(
		"How long answers took", "Each class a line. From one mark to the next ten times fewer answers take longer.",
		picture, err,
	); err != nil {
		return nil, err
	}
	picture, err = endpointLoads(c)
	if err := add(
		"Load by endpoint",
		"The part of its core time for which each endpoint was at work, over the whole run, by zone.", picture, err,
	); err != nil {
		return nil, err
	}
	return all, nil
}

// places draws a figure over the places of a sweep: along its last axis, a line for each value of the other.
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
