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

// Colors of variants A and B, and of neutral lines. A and B are distinguishable with any color vision (Okabe,
// Ito: "Color Universal Design", 2008).
var (
	colorA       = color.RGBA{0, 114, 178, 255}
	colorB       = color.RGBA{213, 94, 0, 255}
	bandColorA   = color.RGBA{0, 114, 178, 45}
	bandColorB   = color.RGBA{213, 94, 0, 45}
	neutralColor = color.RGBA{150, 150, 150, 255}
)

const (
	chartWidth  = 17 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
)

// chart is a rendered picture with its title and a description of what it shows.
type chart struct {
	Title, About string
	SVG          template.HTML
}

func newPlot(xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	p.Legend.Left = false
	// A browser that lacks the plot's font substitutes a wider one; text of this size still fits into the
	// picture.
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

// renderSVG renders a plot. The plotting library generates the markup and escapes the labels, which are the only
// user input.
func renderSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.NewWith(vgsvg.UseWH(chartWidth, height))
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	markup := buffer.Bytes()
	if declarationLength := bytes.Index(markup, []byte("<svg")); declarationLength > 0 {
		markup = markup[declarationLength:] // removes the XML declaration
	}
	return template.HTML(markup), nil
}

// variantRuns holds the runs of one variant and the colors in which the variant is drawn.
type variantRuns struct {
	name      string
	runs      []*measure.Result
	lineColor color.Color
	bandColor color.Color
}

func comparedVariants(comparison *experiment.Comparison) []variantRuns {
	compared := []variantRuns{{"A", comparison.RunsA, colorA, bandColorA}}
	if comparison.RunsB != nil {
		compared = append(compared, variantRuns{"B", comparison.RunsB, colorB, bandColorB})
	}
	return compared
}

// valuesAt returns the sorted values of all runs in one time bin of a series.
func (v *variantRuns) valuesAt(selectSeries func(s *measure.Series) []float64, bin int) (values []float64) {
	for _, r := range v.runs {
		if series := selectSeries(&r.Series); bin < len(series) {
			values = append(values, series[bin])
		}
	}
	slices.Sort(values)
	return values
}

// seriesChart draws a series over time: a line for the mean of the runs, and the band between their 5th and
// 95th percentiles. A maxY of 0 scales the axis to the values.
func seriesChart(
	comparison *experiment.Comparison, yLabel string, selectSeries func(s *measure.Series) []float64, maxY float64,
) (template.HTML, error) {
	p := newPlot("seconds", yLabel)
	for _, variant := range comparedVariants(comparison) {
		var mean plotter.XYs
		var bandLow, bandHigh plotter.XYs
		for i := range selectSeries(&variant.runs[0].Series) {
			values := variant.valuesAt(selectSeries, i)
			var sum float64
			for _, value := range values {
				sum += value
			}
			seconds := (float64(i) + 0.5) * float64(variant.runs[0].Series.Bin) / 1e6
			mean = append(mean, plotter.XY{X: seconds, Y: sum / float64(len(values))})
			bandLow = append(bandLow, plotter.XY{X: seconds, Y: values[int(0.05*float64(len(values)-1))]})
			bandHigh = append(bandHigh, plotter.XY{X: seconds, Y: values[int(math.Ceil(0.95*float64(len(values)-1)))]})
		}
		if len(variant.runs) > 1 {
			slices.Reverse(bandHigh)
			band, err := plotter.NewPolygon(append(bandLow, bandHigh...))
			if err != nil {
				return "", err
			}
			band.Color = variant.bandColor
			band.LineStyle.Width = 0
			p.Add(band)
		}
		line, err := plotter.NewLine(mean)
		if err != nil {
			return "", err
		}
		line.Color = variant.lineColor
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(variant.name, line)
	}
	p.Y.Min = 0
	if maxY > 0 {
		p.Y.Max = maxY
	}
	return renderSVG(p, chartHeight)
}

// differenceChart draws the differences between the variants with their confidence intervals, multiplied by a
// factor.
func differenceChart(rows []experiment.FigureRow, factor float64, label string) (template.HTML, error) {
	p := newPlot(label, "")
	var names []string
	type horizontalErrorBars struct {
		plotter.XYs
		plotter.XErrors
	}
	var errorBars horizontalErrorBars
	for i := range rows {
		row := rows[len(rows)-1-i]
		if math.IsInf(row.Difference.HalfWidth(), 0) {
			continue
		}
		names = append(names, row.Name)
		point := plotter.XY{X: row.Difference.Mean * factor, Y: float64(len(names) - 1)}
		errorBars.XYs = append(errorBars.XYs, point)
		errorBars.XErrors = append(errorBars.XErrors, struct{ Low, High float64 }{
			(row.Difference.Low - row.Difference.Mean) * factor, (row.Difference.High - row.Difference.Mean) * factor,
		})
	}
	if len(names) == 0 {
		return "", nil
	}
	intervals, err := plotter.NewXErrorBars(errorBars)
	if err != nil {
		return "", err
	}
	intervals.Color = colorB
	intervals.Width = vg.Points(1.5)
	means, err := plotter.NewScatter(errorBars.XYs)
	if err != nil {
		return "", err
	}
	means.Color = colorB
	means.Shape = draw.CircleGlyph{}
	means.Radius = vg.Points(3)
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return "", err
	}
	zero.Color = neutralColor
	p.Add(zero, intervals, means)
	p.NominalY(names...)
	return renderSVG(p, vg.Length(1.6+0.6*float64(len(names)))*vg.Centimeter)
}

// latencyChart draws the latency quantiles of each variant, with a line for each request class.
func latencyChart(comparison *experiment.Comparison) (template.HTML, error) {
	p := newPlot("part of the answers that took no longer", "milliseconds")
	logScale := func(percentile float64) float64 { return -math.Log10(1 - percentile/100) }
	var ticks []plot.Tick
	for _, percentile := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		ticks = append(ticks, plot.Tick{Value: logScale(percentile), Label: fmt.Sprint(percentile, "%")})
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	for _, variant := range comparedVariants(comparison) {
		for classIndex := range variant.runs[0].Classes {
			var points plotter.XYs
			for quantileIndex, percentile := range variant.runs[0].Classes[classIndex].Quantiles {
				if percentile[0] >= 100 {
					continue
				}
				var sum float64
				for _, result := range variant.runs {
					sum += result.Classes[classIndex].Quantiles[quantileIndex][1]
				}
				points = append(points, plotter.XY{X: logScale(percentile[0]), Y: sum / float64(len(variant.runs))})
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return "", err
			}
			line.Color = variant.lineColor
			line.Width = vg.Points(1.2)
			line.Dashes = dashPatterns[classIndex%len(dashPatterns)]
			p.Add(line)
			p.Legend.Add(variant.name+" "+variant.runs[0].Classes[classIndex].Name, line)
		}
	}
	p.Legend.Left = true
	p.Y.Min = 0
	return renderSVG(p, 7*vg.Centimeter)
}

var dashPatterns = [][]vg.Length{
	nil, {vg.Points(6), vg.Points(2)}, {vg.Points(2), vg.Points(2)},
	{vg.Points(8), vg.Points(2), vg.Points(2), vg.Points(2)},
}

// maxLoadBars is the largest number of endpoints for which endpointLoadChart draws a chart.
const maxLoadBars = 60

// endpointLoadChart draws the utilization of each endpoint, sorted by zone. It returns no picture for more
// than maxLoadBars endpoints.
func endpointLoadChart(comparison *experiment.Comparison) (template.HTML, error) {
	endpoints := comparison.RunsA[0].Endpoints
	if len(endpoints) == 0 || len(endpoints) > maxLoadBars {
		return "", nil
	}
	p := newPlot("", "core time at work")
	zones := comparison.Plan.Scenario.Fleet.Zones
	endpointOrder := make([]int, len(endpoints))
	for i := range endpointOrder {
		endpointOrder[i] = i
	}
	slices.SortStableFunc(endpointOrder, func(a, b int) int { return endpoints[a].Zone - endpoints[b].Zone })
	var names []string
	for _, i := range endpointOrder {
		zone := ""
		if endpoints[i].Zone < len(zones) {
			zone = zones[endpoints[i].Zone]
		}
		names = append(names, zone+" "+endpoints[i].Name)
	}
	variants := comparedVariants(comparison)
	barWidth := min(vg.Points(10), chartWidth*0.8/vg.Length(len(endpoints)*len(variants)))
	for variantIndex, variant := range variants {
		var utilizations plotter.Values
		for _, i := range endpointOrder {
			var sum float64
			for _, result := range variant.runs {
				sum += result.Endpoints[i].Utilization
			}
			utilizations = append(utilizations, sum/float64(len(variant.runs)))
		}
		bar, err := plotter.NewBarChart(utilizations, barWidth)
		if err != nil {
			return "", err
		}
		bar.Color = variant.lineColor
		bar.LineStyle.Width = 0
		bar.Offset = barWidth * (vg.Length(variantIndex) - vg.Length(len(variants)-1)/2)
		p.Add(bar)
		p.Legend.Add(variant.name, bar)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = math.Pi / 3
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Tick.Label.YAlign = draw.YCenter
	p.Y.Min = 0
	p.Y.Max = 1
	return renderSVG(p, 8*vg.Centimeter)
}

// chartList collects the charts of a page.
type chartList struct{ charts []chart }

// add appends a chart, unless its picture is empty.
func (l *chartList) add(title, about string, picture template.HTML, err error) error {
	if err != nil {
		return fmt.Errorf("draw chart %q: %w", title, err)
	}
	if picture != "" {
		l.charts = append(l.charts, chart{title, about, picture})
	}
	return nil
}

// comparisonCharts draws all charts of a comparison.
func comparisonCharts(comparison *experiment.Comparison) ([]chart, error) {
	l := &chartList{}
	for _, add := range []func(comparison *experiment.Comparison) error{
		l.addDifferences, l.addSeries, l.addLatencies, l.addEndpointLoads,
	} {
		if err := add(comparison); err != nil {
			return nil, err
		}
	}
	return l.charts, nil
}

// addDifferences adds charts of the differences in shares and in times, if two variants are compared.
func (l *chartList) addDifferences(comparison *experiment.Comparison) error {
	if comparison.RunsB == nil {
		return nil
	}
	var shares, times []experiment.FigureRow
	for _, row := range comparison.Rows {
		switch {
		case row.Unit == "ms" && row.Name != "p999":
			times = append(times, row)
		case row.Unit == "" && !row.CountsViolations:
			shares = append(shares, row)
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

// addSeries adds charts of the figures over time.
func (l *chartList) addSeries(comparison *experiment.Comparison) error {
	for _, series := range []struct {
		title, about, label string
		selectSeries        func(s *measure.Series) []float64
		maxY                float64
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
		picture, err := seriesChart(comparison, series.label, series.selectSeries, series.maxY)
		if err := l.add(series.title, series.about, picture, err); err != nil {
			return err
		}
	}
	return nil
}

// unsuccessfulRequests returns the number of requests per second that were rejected, failed, or got no
// response, for each time bin.
func unsuccessfulRequests(s *measure.Series) []float64 {
	sums := slices.Clone(s.Rejected)
	for i := range sums {
		sums[i] += s.Failed[i]
	}
	return sums
}

func (l *chartList) addLatencies(comparison *experiment.Comparison) error {
	picture, err := latencyChart(comparison)
	return l.add("How long answers took",
		"Each class a line. From one mark to the next ten times fewer answers take longer.", picture, err)
}

func (l *chartList) addEndpointLoads(comparison *experiment.Comparison) error {
	picture, err := endpointLoadChart(comparison)
	return l.add("Load by endpoint",
		"The part of its core time for which each endpoint was at work, over the whole run, by zone.", picture, err)
}

// sweepChart draws a figure over the points of a sweep. The x-axis is the last axis of the sweep; each value
// of the other axis has its own line.
func sweepChart(sweep *experiment.Sweep, figure string) (template.HTML, error) {
	xAxis := sweep.Axes[len(sweep.Axes)-1]
	p := newPlot(xAxis.Key, figure)
	valuesPerLine := len(xAxis.Values)
	for lineIndex := 0; lineIndex*valuesPerLine < len(sweep.Points); lineIndex++ {
		var errorBars struct {
			plotter.XYs
			plotter.YErrors
		}
		for valueIndex := range valuesPerLine {
			interval, _ := sweep.Points[lineIndex*valuesPerLine+valueIndex].Figure(figure)
			errorBars.XYs = append(errorBars.XYs, plotter.XY{X: float64(valueIndex), Y: interval.Mean})
			halfWidth := interval.HalfWidth()
			if math.IsInf(halfWidth, 0) {
				halfWidth = 0
			}
			errorBars.YErrors = append(errorBars.YErrors, struct{ Low, High float64 }{-halfWidth, halfWidth})
		}
		line, err := plotter.NewLine(errorBars.XYs)
		if err != nil {
			return "", err
		}
		bars, err := plotter.NewYErrorBars(errorBars)
		if err != nil {
			return "", err
		}
		lineColor := []color.Color{colorA, colorB, neutralColor}[lineIndex%3]
		line.Color = lineColor
		line.Width = vg.Points(1.5)
		line.Dashes = dashPatterns[lineIndex/3%len(dashPatterns)]
		bars.Color = lineColor
		p.Add(line, bars)
		if len(sweep.Axes) == 2 {
			p.Legend.Add(sweep.Axes[0].Key+"="+sweep.Axes[0].Values[lineIndex], line)
		}
	}
	p.NominalX(xAxis.Values...)
	return renderSVG(p, 7*vg.Centimeter)
}
