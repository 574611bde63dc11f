// Package report writes the results of experiments for readers who do not know the tool: a single self-contained HTML
// page, or Markdown. It renders comparisons, and does not run experiments.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"strings"

	"dunlinsail/internal/experiment"
	"dunlinsail/internal/experiment/claim"
	"dunlinsail/internal/simulation/measure"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Parse(pageHTML))

// scenarioSection is the section of a page about one scenario.
type scenarioSection struct {
	Name, About, Length, Summary, Verdict string
	Seeds, Instances, Nodes               int
	Rate                                  float64
	Rows                                  []figureRow
	Claims                                []claim.Evaluation
	Charts                                []chart
}

type figureRow struct{ Name, About, A, B, Difference, Note, Class string }

type pageData struct {
	Title, A, B, Method string
	Comparing           bool
	Confidence          float64
	Scenarios           []scenarioSection
	Figures             []measure.Figure

	// The following fields are set only for a sweep.
	SweepColumns []string
	SweepRows    [][]string
	Charts       []chart
}

// Write writes a report to a file, in the format of the file name's extension: .html or .md.
func Write(path string, comparisons ...*experiment.Comparison) (err error) {
	var writeTo func(w io.Writer, comparisons []*experiment.Comparison) error
	switch filepath.Ext(path) {
	case ".html":
		writeTo = HTML
	case ".md":
		writeTo = Markdown
	default:
		return fmt.Errorf("%s: the file name of a report must end in .html or .md", path)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return writeTo(file, comparisons)
}

// WriteSweep writes the results of a sweep to an .html file: the figures at each point of the sweep, and a
// chart of each figure.
func WriteSweep(path string, sweep *experiment.Sweep, figures []string) error {
	if filepath.Ext(path) != ".html" {
		return fmt.Errorf("%s: the file name of a sweep report must end in .html", path)
	}
	plan := &sweep.Points[0].Plan
	data := &pageData{
		Title:      "Values compared",
		A:          plan.A.Spec,
		Confidence: 100 * experiment.Confidence,
		Method:     "Differences are from the first place, pair by pair.",
	}
	for _, name := range figures {
		if definition, ok := measure.Describe(name); ok {
			data.Figures = append(data.Figures, definition)
		}
		picture, err := sweepChart(sweep, name)
		if err != nil {
			return fmt.Errorf("draw chart of %s: %w", name, err)
		}
		data.Charts = append(data.Charts, chart{
			Title: name,
			SVG:   picture,
			About: fmt.Sprintf("Means with intervals of 95%%, over %d seeds of %s.",
				len(sweep.Points[0].Seeds), plan.Scenario.Name),
		})
	}
	for _, axis := range sweep.Axes {
		data.SweepColumns = append(data.SweepColumns, axis.Key)
	}
	for _, name := range figures {
		data.SweepColumns = append(data.SweepColumns, name, "less the first")
	}
	for i := range sweep.Points {
		point := &sweep.Points[i]
		cells := append([]string{}, point.Values...)
		for _, name := range figures {
			definition, _ := measure.Describe(name)
			value, difference := point.Figure(name)
			cells = append(cells, experiment.FormatMean(definition, value))
			if difference == nil {
				cells = append(cells, "")
				continue
			}
			text := experiment.FormatSignedMean(definition, difference.Difference)
			if difference.Verdict != experiment.Inconclusive {
				text += " " + difference.Verdict.String()
			}
			cells = append(cells, text)
		}
		data.SweepRows = append(data.SweepRows, cells)
	}
	var html bytes.Buffer
	if err := pageTemplate.Execute(&html, data); err != nil {
		return err
	}
	return os.WriteFile(path, html.Bytes(), 0o644)
}

// HTML writes a report as an HTML page.
func HTML(w io.Writer, comparisons []*experiment.Comparison) error {
	data, err := buildPageData(comparisons, true)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, data)
}

// buildPageData collects the data of a report. Charts are drawn only if pictures is set.
func buildPageData(comparisons []*experiment.Comparison, pictures bool) (*pageData, error) {
	plan := &comparisons[0].Plan
	data := &pageData{
		Title:      "Runs of the fleet's model",
		A:          plan.A.Spec,
		Confidence: 100 * experiment.Confidence,
		Figures:    measure.Figures,
		Method:     "Intervals are Student's, of the differences pair by pair."}
	if plan.Method == "bootstrap" {
		data.Method = "Intervals are by percentiles of the bootstrap, of the differences pair by pair."
	}
	if plan.B != nil {
		data.Title = "Two variants compared"
		data.B = plan.B.Spec
		data.Comparing = true
	}
	for _, comparison := range comparisons {
		scenario := comparison.Plan.Scenario
		drawnPlan := scenario.Draw(comparison.Plan.FirstSeed)
		section := scenarioSection{
			Name:      scenario.Name,
			About:     scenario.About,
			Length:    scenario.Length.Duration.String(),
			Summary:   comparison.Line(),
			Seeds:     len(comparison.Seeds),
			Instances: len(drawnPlan.Instances),
			Nodes:     len(drawnPlan.Endpoints), Rate: drawnPlan.Rate}
		if comparison.RunsB != nil && comparison.Rows[0].Verdict != experiment.Inconclusive {
			section.Verdict = comparison.Rows[0].Verdict.String()
		}
		for i := range comparison.Rows {
			section.Rows = append(section.Rows, newFigureRow(comparison, &comparison.Rows[i]))
		}
		var err error
		if comparison.RunsB == nil && len(comparison.Seeds) > 1 {
			if section.Claims, err = comparison.EvaluateClaims(scenario.Expect); err != nil {
				return nil, err
			}
		}
		if pictures {
			if section.Charts, err = comparisonCharts(comparison); err != nil {
				return nil, err
			}
		}
		data.Scenarios = append(data.Scenarios, section)
	}
	return data, nil
}

// newFigureRow returns the formatted table row of one figure.
func newFigureRow(comparison *experiment.Comparison, figure *experiment.FigureRow) figureRow {
	row := figureRow{
		Name:  figure.Name,
		About: figure.Description,
		A:     experiment.FormatMean(figure.Figure, figure.A),
		Note:  figure.Note,
	}
	if comparison.RunsB == nil {
		return row
	}
	row.B = experiment.FormatMean(figure.Figure, figure.B)
	row.Difference = experiment.FormatSignedMean(figure.Figure, figure.Difference)
	if figure.Verdict != experiment.Inconclusive {
		row.Class = figure.Verdict.String()
		row.Note = strings.TrimSpace(row.Class + " " + row.Note)
	}
	return row
}

// Markdown writes a report as Markdown, without charts.
func Markdown(w io.Writer, comparisons []*experiment.Comparison) error {
	data, err := buildPageData(comparisons, false)
	if err != nil {
		return err
	}
	var markdown strings.Builder
	fmt.Fprintf(&markdown, "# %s\n\nA is `%s`", data.Title, data.A)
	if data.Comparing {
		fmt.Fprintf(&markdown, ", B is `%s`; both on the same plans", data.B)
	}
	markdown.WriteString(".\n")
	for _, section := range data.Scenarios {
		fmt.Fprintf(
			&markdown,
			"\n## %s\n\n%s %d seeds, %s each; %d instances, %d endpoints, %.0f stories a second.\n\n**%s**\n\n",
			section.Name,
			section.About,
			section.Seeds,
			section.Length,
			section.Instances, section.Nodes, section.Rate, section.Summary)
		if len(section.Claims) > 0 {
			markdown.WriteString("| claim | verdict | is | margin |\n| --- | --- | --- | --- |\n")
			for _, evaluation := range section.Claims {
				fmt.Fprintf(
					&markdown, "| `%s` | %v | %.4g | %.3g ± %.2g |\n", evaluation.Claim, evaluation.Verdict,
					evaluation.Left, evaluation.Margin.Mean, evaluation.Margin.HalfWidth(),
				)
			}
			markdown.WriteString("\n")
		}
		if data.Comparing {
			markdown.WriteString("| figure | A | B | B less A | |\n| --- | --- | --- | --- | --- |\n")
		} else {
			markdown.WriteString("| figure | A | |\n| --- | --- | --- |\n")
		}
		for _, row := range section.Rows {
			if data.Comparing {
				fmt.Fprintf(&markdown, "| %s | %s | %s | %s | %s |\n", row.Name, row.A, row.B, row.Difference, row.Note)
			} else {
				fmt.Fprintf(&markdown, "| %s | %s | %s |\n", row.Name, row.A, row.Note)
			}
		}
	}
	fmt.Fprintf(&markdown, "\n%s Intervals are of %v%%.\n", data.Method, data.Confidence)
	_, err = io.WriteString(w, markdown.String())
	return err
}
