package experiment

import (
	"context"

	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/simulation/scenario"
)

// Proof states how often comparisons whose correct verdict is known returned that verdict.
type Proof struct {
	Comparisons  int
	Inconclusive stats.Interval // rate of Inconclusive between a variant and itself; ideally 1
	HarmDetected stats.Interval // rate of Worse for a variant with a known harm; ideally 1
	Harm         float64
}

// Prove checks the comparison method with comparisons whose correct verdict is known. It compares a variant with
// itself under another decision seed, which should be Inconclusive, and with itself plus a known harm, which should
// be Worse. Each round uses other seeds.
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
	total := int64(comparisons)
	p.Inconclusive = stats.RateInterval(inconclusive, total, Confidence)
	p.HarmDetected = stats.RateInterval(detected, total, Confidence)
	return p, nil
}
