// Package stats computes confidence intervals and statistical tests of measured figures. It must not import the
// packages that measure them.
package stats

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is an estimate and its confidence interval.
type Interval struct {
	Mean float64 `json:"Mean"`
	Low  float64 `json:"Low"`
	High float64 `json:"High"`
	N    int     `json:"N"`
}

// HalfWidth returns half of the interval's width.
func (i Interval) HalfWidth() float64 { return (i.High - i.Low) / 2 }

// StudentT returns the mean of the values and its confidence interval from Student's t-distribution, at a
// confidence level such as 0.95. For fewer than two values the interval is infinite.
func StudentT(values []float64, confidence float64) Interval {
	if len(values) < 2 {
		interval := Interval{Low: math.Inf(-1), High: math.Inf(1), N: len(values)}
		if len(values) == 1 {
			interval.Mean = values[0]
		}
		return interval
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1+confidence)/2) * deviation / math.Sqrt(n)
	return Interval{mean, mean - halfWidth, mean + halfWidth, len(values)}
}

// Bootstrap returns the mean of the values and its percentile bootstrap interval, computed from the means of
// samples drawn with replacement (Efron, Tibshirani: "An Introduction to the Bootstrap", 1993, chapter 13).
// The same seed gives the same interval.
func Bootstrap(values []float64, confidence float64, seed uint64) Interval {
	if len(values) < 2 {
		return StudentT(values, confidence)
	}
	const samples = 4000
	rng := rand.New(rand.NewPCG(seed, 3))
	means := make([]float64, samples)
	for i := range means {
		var sum float64
		for range values {
			sum += values[rng.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	tail := (1 - confidence) / 2
	return Interval{
		stat.Mean(values, nil), stat.Quantile(tail, stat.Empirical, means, nil),
		stat.Quantile(1-tail, stat.Empirical, means, nil), len(values),
	}
}

// PredictionInterval returns the mean of the values, and the interval that contains one further value of the
// same distribution with the given confidence.
func PredictionInterval(values []float64, confidence float64) Interval {
	interval := StudentT(values, confidence)
	if len(values) < 2 {
		return interval
	}
	// The half-width of the mean's interval is t·s/√n; that of a further value's interval is t·s·√(1+1/n).
	halfWidth := interval.HalfWidth() * math.Sqrt(float64(len(values))+1)
	return Interval{interval.Mean, interval.Mean - halfWidth, interval.Mean + halfWidth, interval.N}
}

// PairedDifferences returns b[i] - a[i] for each index i.
func PairedDifferences(a, b []float64) []float64 {
	differences := make([]float64, len(a))
	for i := range a {
		differences[i] = b[i] - a[i]
	}
	return differences
}

// RateInterval returns the fraction of trials in which an event occurred, with the exact confidence interval
// (Clopper, Pearson 1934). The interval's upper end is above 0 even if the event never occurred in the
// trials.
func RateInterval(occurrences, trials int64, confidence float64) Interval {
	if trials <= 0 {
		return Interval{Low: 0, High: 1}
	}
	tail := (1 - confidence) / 2
	k := float64(occurrences)
	n := float64(trials)
	interval := Interval{Mean: k / n, Low: 0, High: 1, N: int(trials)}
	if occurrences > 0 {
		interval.Low = distuv.Beta{Alpha: k, Beta: n - k + 1}.Quantile(tail)
	}
	if occurrences < trials {
		interval.High = distuv.Beta{Alpha: k + 1, Beta: n - k}.Quantile(1 - tail)
	}
	return interval
}

// RateEqualityPValue returns the probability that two counts from equal exposures differ at least as much as
// a and b do, if the counted events have the same rate in both (the exact conditional test of Przyborowski
// and Wilenski, 1940).
func RateEqualityPValue(a, b int64) float64 {
	n := a + b
	if n == 0 {
		return 1
	}
	binomial := distuv.Binomial{N: float64(n), P: 0.5}
	smaller := min(a, b)
	return min(1, 2*binomial.CDF(float64(smaller)))
}
