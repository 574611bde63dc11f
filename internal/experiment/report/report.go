// Package report writes what came of experiments, for people who never saw the tool: one page of HTML that needs
// nothing beside itself, or Markdown. It knows comparisons, and runs nothing.
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
var page string

var pageTemplate = template.Must(template.New("page").Parse(page))

// part is what a page says of one scenario.
type scenarioSection struct {
	Name, About, Length, Line, Verdict string
	Seeds, Instances, Nodes            int
	Rate                               float64
	Rows                               []row
	Claims                             []claim.Evaluation
	Charts                             []chart
}

type row struct{ Name, About, A, B, Difference, Note, Class string }

type data struct {
	Title, A, B, Method string
	Comparing           bool
	Confidence          float64
	Parts               []scenarioSection
	Figures             []measure.Figure

	// Of a sweep.
	Head   []string
	Lines  [][]string
	Charts []chart
}

// Write writes a report to a file, by its name's end: .html or .md.
func Write(path string, all ...*experiment.Comparison) (err error) {
	var write func(w io.Writer, all []*experiment.Comparison) error
	switch filepath.Ext(path) {
	case ".html":
		write = HTML
	case ".md":
		write = Markdown
	default:
		return fmt.Errorf("%s: a report ends in .html or .md", path)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return write(f, all)
}

// WriteSweep writes what came of a sweep to an .html file: figures of each place, and their pictures.
func WriteSweep(path string, s *experiment.Sweep, figures []string) error {
	if filepath.Ext(path) != ".html" {
		return fmt.Errorf("%s: a report of a sweep ends in .html", path)
	}
	plan := &s.Points[0].Plan
	d := &data{
		Title:      "Values compared",
		A:          plan.A.Spec,
		Confidence: 100 * experiment.Confidence,
		Method:     "Differences are from the first place, pair by pair.",
	}
	for _, name := range figures {
		if f, ok := measure.Describe(name); ok {
			d.Figures = append(d.Figures, f)
		}
		picture, err := sweepChart(s, name)
		if err != nil {
			return fmt.Errorf("picture of %s: %w", name, err)
		}
		d.Charts = append(d.Charts, chart{
			Title: name,
			SVG:   picture,
			About: fmt.Sprintf("Means with intervals of 95%%, over %d seeds of %s.",
				len(s.Points[0].Seeds), plan.Scenario.Name),
		})
	}
	for _, a := range s.Axes {
		d.Head = append(d.Head, a.Key)
	}
	for _, name := range figures {
		d.Head = append(d.Head, name, "less the first")
	}
	for i := range s.Points {
		p := &s.Points[i]
		line := append([]string{}, p.Values...)
		for _, name := range figures {
			f, _ := measure.Describe(name)
			value, difference := p.Figure(name)
			line = append(line, experiment.Number(f, value))
			if difference == nil {
				line = append(line, "")
				continue
			}
			text := experiment.Signed(f, difference.Difference)
			if difference.Verdict != experiment.Inconclusive {
				text += " " + difference.Verdict.String()
			}
			line = append(line, text)
		}
		d.Lines = append(d.Lines, line)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, d); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// HTML writes a page.
func HTML(w io.Writer, all []*experiment.Comparison) error {
	d, err := buildData(all, true)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, d)
}

// buildData collects what the templates need; pictures are drawn only for pages that show them.
func buildData(all []*experiment.Comparison, pictures bool) (*data, error) {
	p := &all[0].Plan
	d := &data{
		Title:      "Runs of the fleet's model",
		A:          p.A.Spec,
		Confidence: 100 * experiment.Confidence,
		Figures:    measure.Figures,
		Method:     "Intervals are Student's, of the differences pair by pair."}
	if p.Method == "bootstrap" {
		d.Method = "Intervals are by percentiles of the bootstrap, of the differences pair by pair."
	}
	if p.B != nil {
		d.Title = "Two variants compared"
		d.B = p.B.Spec
		d.Comparing = true
	}
	for _, c := range all {
		s := c.Plan.Scenario
		plan := s.Draw(c.Plan.FirstSeed)
		x := scenarioSection{
			Name:      s.Name,
			About:     s.About,
			Length:    s.Length.Duration.String(),
			Line:      c.Line(),
			Seeds:     len(c.Seeds),
			Instances: len(plan.Instances),
			Nodes:     len(plan.Endpoints), Rate: plan.Rate}
		if c.RunsB != nil && c.Rows[0].Verdict != experiment.Inconclusive {
			x.Verdict = c.Rows[0].Verdict.String()
		}
		for i := range c.Rows {
			x.Rows = append(x.Rows, rowText(c, &c.Rows[i]))
		}
		var err error
		if c.RunsB == nil && len(c.Seeds) > 1 {
			if x.Claims, err = c.Claims(s.Expect); err != nil {
				return nil, err
			}
		}
		if pictures {
			if x.Charts, err = charts(c); err != nil {
				return nil, err
			}
		}
		d.Parts = append(d.Parts, x)
	}
	return d, nil
}

// rowText returns the texts of one figure.
func rowText(c *experiment.Comparison, r *experiment.Row) row {
	text := row{Name: r.Name, About: r.Description, A: experiment.Number(r.Figure, r.A), Note: r.Note}
	if c.RunsB == nil {
		return text
	}
	text.B = experiment.Number(r.Figure, r.B)
	text.Difference = experiment.Signed(r.Figure, r.Difference)
	if r.Verdict != experiment.Inconclusive {
		text.Class = r.Verdict.String()
		text.Note = strings.TrimSpace(text.Class + " " + text.Note)
	}
	return text
}

// Markdown writes the same without pictures.
func Markdown(w io.Writer, all []*experiment.Comparison) error {
	d, err := buildData(all, false)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nA is `%s`", d.Title, d.A)
	if d.Comparing {
		fmt.Fprintf(&b, ", B is `%s`; both on the same plans", d.B)
	}
	b.WriteString(".\n")
	for _, x := range d.Parts {
		fmt.Fprintf(
			&b,
			"\n## %s\n\n%s %d seeds, %s each; %d instances, %d endpoints, %.0f stories a second.\n\n**%s**\n\n",
			x.Name,
			x.About,
			x.Seeds,
			x.Length,
			x.Instances, x.Nodes, x.Rate, x.Line)
		if len(x.Claims) > 0 {
			b.WriteString("| claim | verdict | is | margin |\n| --- | --- | --- | --- |\n")
			for _, j := range x.Claims {
				fmt.Fprintf(
					&b, "| `%s` | %v | %.4g | %.3g ± %.2g |\n", j.Claim, j.Verdict, j.Left, j.Margin.Mean,
					j.Margin.HalfWidth(),
				)
			}
			b.WriteString("\n")
		}
		if d.Comparing {
			b.WriteString("| figure | A | B | B less A | |\n| --- | --- | --- | --- | --- |\n")
		} else {
			b.WriteString("| figure | A | |\n| --- | --- | --- |\n")
		}
		for _, r := range x.Rows {
			if d.Comparing {
				fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", r.Name, r.A, r.B, r.Difference, r.Note)
			} else {
				fmt.Fprintf(&b, "| %s | %s | %s |\n", r.Name, r.A, r.Note)
			}
		}
	}
	fmt.Fprintf(&b, "\n%s Intervals are of %v%%.\n", d.Method, d.Confidence)
	_, err = io.WriteString(w, b.String())
	return err
}
