package stats

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The intervals contain the true mean, or the next value, about as often as their confidence level states.
func TestCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	drawSample := func(size int) (values []float64) {
		for range size {
			values = append(values, 5+2*rng.NormFloat64())
		}
		return values
	}
	const rounds = 2000
	var coveredByT, coveredByBootstrap, coveredByPrediction int
	for i := range rounds {
		sample := drawSample(12)
		if interval := StudentT(sample, 0.95); interval.Low <= 5 && 5 <= interval.High {
			coveredByT++
		}
		if i < 300 {
			if interval := Bootstrap(sample, 0.95, uint64(i)); interval.Low <= 5 && 5 <= interval.High {
				coveredByBootstrap++
			}
		}
		if interval, nextValue := PredictionInterval(sample, 0.95), drawSample(1)[0]; interval.Low <= nextValue &&
			nextValue <= interval.High {
			coveredByPrediction++
		}
	}
	if got := float64(coveredByT) / rounds; math.Abs(got-0.95) > 0.02 {
		t.Errorf("Student's interval covers the mean in a fraction of %v", got)
	}
	if got := float64(coveredByBootstrap) / 300; got < 0.86 || got > 0.98 { // slightly narrow intervals for 12 values
		t.Errorf("the bootstrap interval covers the mean in a fraction of %v", got)
	}
	if got := float64(coveredByPrediction) / rounds; math.Abs(got-0.95) > 0.02 {
		t.Errorf("the prediction interval covers the next value in a fraction of %v", got)
	}
}

// Fewer than two values give an infinite interval. Rates and p-values are correct for counts of zero and for
// small counts.
func TestFew(t *testing.T) {
	for _, values := range [][]float64{nil, {3}} {
		if interval := StudentT(values, 0.95); !math.IsInf(interval.HalfWidth(), 1) {
			t.Errorf("%v: %+v", values, interval)
		}
	}
	if interval := StudentT([]float64{2, 2, 2}, 0.95); interval.HalfWidth() != 0 || interval.Mean != 2 {
		t.Errorf("%+v", interval)
	}
	if interval := RateInterval(0, 1_000_000, 0.95); interval.Low != 0 || interval.High < 3e-6 || interval.High > 4e-6 {
		t.Errorf("none of a million: %+v", interval)
	}
	if interval := RateInterval(0, 0, 0.95); interval.High != 1 {
		t.Errorf("none of none: %+v", interval)
	}
	if interval := RateInterval(5, 5, 0.95); interval.High != 1 || interval.Low > 0.5 {
		t.Errorf("all of five: %+v", interval)
	}
	for _, testCase := range []struct {
		a, b        int64
		significant bool
	}{{0, 0, false}, {0, 1, false}, {0, 5, false}, {0, 7, true}, {10, 12, false}, {3, 30, true}} {
		if p := RateEqualityPValue(testCase.a, testCase.b); (p < 0.05) != testCase.significant {
			t.Errorf("%d and %d: p %v", testCase.a, testCase.b, p)
		}
	}
}
