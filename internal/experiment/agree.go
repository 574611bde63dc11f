package experiment

import (
	"context"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"dunlinsail/internal/config"
	"dunlinsail/internal/experiment/processes"
	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// Agreement compares runs by processes with what the simulation predicts for them.
type Agreement struct {
	Scenario             *scenario.Scenario
	Seeds, DecisionSeeds int
	Rows                 []AgreementRow
	AgreeingRows         int // rows that agree
	Model, Processes     []*measure.Result
}

// AgreementRow is one figure.
type AgreementRow struct {
	measure.Figure
	Model     stats.Interval `json:"Model"` // in which the mean of the real runs ought to lie
	Processes float64        `json:"Real"`  // where it lies
	Agrees    bool           `json:"Inside"`
}

// agreementFigures are the figures by which simulated and real runs are compared.
var agreementFigures = []string{
	"service",
	"whole",
	"worst_window",
	"worst_class",
	"worst_tenant",
	"p50",
	"p90",
	"p99",
	"unserved",
	"tries",
	"attempts",
	"refused",
	"cross_zone",
	"probes", "waste"}

// Tolerance is the part of the model's error bars that no number of runs makes smaller: what it leaves out of a
// machine. It was set by scenarios other than those that are compared (docs/design/model.md).
func Tolerance(f measure.Figure, value float64) float64 {
	switch f.Unit {
	case "ms":
		return max(2, 0.05*value)
	case "a story":
		return max(0.01, 0.04*math.Abs(value))
	}
	return 0.01
}

// CompareWithProcesses plays a scenario by processes, and in the simulation several times for each seed with different
// decision seeds. It reports whether the mean of the real runs lies within the simulation's interval.
func (r *Runner) CompareWithProcesses(
	ctx context.Context, s *scenario.Scenario, v *Variant, daemon string, seeds, decisionSeeds int, log io.Writer,
) (*Agreement, error) {
	a := &Agreement{Scenario: s, Seeds: seeds, DecisionSeeds: decisionSeeds}
	var tasks []Task
	for seed := range seeds {
		for decisionSeed := range decisionSeeds {
			seededVariant := *v
			seededVariant.DecisionSeed = uint64(decisionSeed)
			job, err := seededVariant.Job(s, v, uint64(1+seed))
			if err != nil {
				return nil, err
			}
			tasks = append(tasks, Task{&seededVariant, job})
		}
	}
	var err error
	if a.Model, err = r.Run(ctx, tasks); err != nil {
		return nil, err
	}
	parsed, err := config.Parse(v.Settings)
	if err != nil {
		return nil, err
	}
	for seed := range seeds {
		result, err := processes.Run(ctx, processes.Options{
			Plan:     s.Draw(uint64(1 + seed)),
			Settings: v.Settings,
			Criteria: criteria(parsed),
			Daemon:   daemon,
			Log:      log,
		})
		if err != nil {
			return nil, fmt.Errorf("seed %d, for real: %w", 1+seed, err)
		}
		a.Processes = append(a.Processes, result)
	}
	for _, name := range agreementFigures {
		row := a.compareFigure(name)
		if row.Agrees {
			a.AgreeingRows++
		}
		a.Rows = append(a.Rows, row)
	}
	return a, nil
}

// row holds one figure of both against one another. The model's runs of one seed differ by lots as real runs do; what
// differs between seeds is the same for both.
func (a *Agreement) compareFigure(name string) AgreementRow {
	f, _ := measure.Describe(name)
	row := AgreementRow{Figure: f}
	var mean, variance float64
	for seed := range a.Seeds {
		values := FigureValues(a.Model[seed*a.DecisionSeeds:(seed+1)*a.DecisionSeeds], name)
		mean += stat.Mean(values, nil) / float64(a.Seeds)
		if a.DecisionSeeds > 1 {
			variance += stat.Variance(values, nil)
		}
		row.Processes += a.Processes[seed].Figures[name] / float64(a.Seeds)
	}
	halfWidth := 0.0
	if a.DecisionSeeds > 1 {
		quantile := distuv.StudentsT{
			Mu:    0,
			Sigma: 1,
			Nu:    float64(a.Seeds * (a.DecisionSeeds - 1)),
		}.Quantile((1 + Confidence) / 2)
		halfWidth = quantile * math.Sqrt(variance*(1+1/float64(a.DecisionSeeds))) / float64(a.Seeds)
	}
	halfWidth += Tolerance(f, mean)
	row.Model = stats.Interval{Mean: mean, Low: mean - halfWidth, High: mean + halfWidth, N: a.Seeds * a.DecisionSeeds}
	row.Agrees = row.Processes >= row.Model.Low && row.Processes <= row.Model.High
	return row
}
