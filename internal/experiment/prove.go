package experiment

import (
	"context"

	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/simulation/scenario"
)

// Proof is how often comparisons with a known outcome are right.
type Proof struct {
	Comparisons  int
	Inconclusive stats.Interval // of a variant with itself, with another decision seed: all ought to be
	Found        stats.Interval // of a variant with itself and a known harm: all ought to be worse
	Harm         float64
}

// Prove makes many comparisons of which it is known what they ought to say: a variant with itself, and with itself and
// a harm. Each has seeds of its own.
func (r *Runner) Prove(
	ctx context.Context, s *scenario.Scenario, v *Variant, comparisons, seeds int, harm float64,
) (*Proof, error) {
	p := &Proof{Comparisons: comparisons, Harm: harm}
	var inconclusive, detected int64
	for i := range comparisons {
		plan := Plan{Scenario: s, A: v, FirstSeed: uint64(1 + i*seeds), MinSeeds: seeds}
		reseeded := *v
		reseeded.DecisionSeed = v.DecisionSeed + 1
		plan.B = &reseeded
		comparison, err := r.Compare(ctx, plan)
		if err != nil {
			return p, err
		}
		if comparison.Rows[0].Verdict == Inconclusive {
			inconclusive++
		}
		harmed := reseeded
		harmed.Harm = harm
		plan.B = &harmed
		if comparison, err = r.Compare(ctx, plan); err != nil {
			return p, err
		}
		if comparison.Rows[0].Verdict == Worse {
			detected++
		}
	}
	n := int64(comparisons)
	p.Inconclusive = stats.RateInterval(inconclusive, n, Confidence)
	p.Found = stats.RateInterval(detected, n, Confidence)
	return p, nil
}
