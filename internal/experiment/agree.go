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

// Agreement compares the figures of real daemon processes with the simulation's predictions for the same scenario.
type Agreement struct {
	Scenario             *scenario.Scenario
	Seeds, DecisionSeeds int
	Rows                 []AgreementRow
	AgreeingRows         int // number of rows whose Agrees is true
	Model, Processes     []*measure.Result
}

// AgreementRow compares the real and the simulated values of one figure.
type AgreementRow struct {
	measure.Figure
	Model     stats.Interval `json:"Model"` // interval predicted for the mean of the real runs
	Processes float64        `json:"Real"`  // mean of the real runs
	Agrees    bool           `json:"Inside"`
}

// agreementFigures names the figures in which simulated and real runs are compared.
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

// Tolerance returns how far the mean of a figure in real runs may differ from the simulated mean, apart from sampling
// error. More runs do not reduce it: it covers the effects of a real machine that the simulation does not model. The
// tolerances were set with other scenarios than those compared (docs/design/model.md).
func Tolerance(f measure.Figure, value float64) float64 {
	switch f.Unit {
	case "ms":
		return max(2, 0.05*value)
	case "a story":
		return max(0.01, 0.04*math.Abs(value))
	}
	return 0.01
}

// CompareWithProcesses runs a scenario with real daemon processes once per seed, and in the simulation once per
// pair of seed and decision seed. For each figure it reports whether the mean of the real runs lies within the
// interval that the simulation predicts.
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
			return nil, fmt.Errorf("seed %d, run with real processes: %w", 1+seed, err)
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

// compareFigure returns the agreement in one figure. The interval's width comes from Tolerance and from the
// variance between simulated runs of the same seed with different decision seeds, since real runs of a seed vary in
// the same way. Differences between seeds do not widen the interval: they affect simulated and real runs alike.
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
