// Package stats computes confidence intervals and tests of measured figures. It must not import what measures them.
package stats

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is an estimate with the ends of its confidence interval.
type Interval struct {
	Mean float64 `json:"Mean"`
	Low  float64 `json:"Low"`
	High float64 `json:"High"`
	N    int     `json:"N"`
}

// HalfWidth is half of the interval's width.
func (i Interval) HalfWidth() float64 { return (i.High - i.Low) / 2 }

// StudentT returns the mean of some numbers with Student's interval of a confidence such as 0.95. Of fewer than two
// numbers it is without end.
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

// Bootstrap returns the mean of some numbers with the interval by percentiles of the means of samples drawn from them
// (Efron, Tibshirani: "An Introduction to the Bootstrap", 1993, chapter 13). The seed makes it the same each time.
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

// PredictionInterval returns the mean of some numbers, and the interval in which one more of their kind lies with a
// confidence.
func PredictionInterval(values []float64, confidence float64) Interval {
	interval := StudentT(values, confidence)
	if len(values) < 2 {
		return interval
	}
	// The interval of the mean is t·s/√n wide; that of one more is t·s·√(1+1/n).
	halfWidth := interval.HalfWidth() * math.Sqrt(float64(len(values))+1)
	return Interval{interval.Mean, interval.Mean - halfWidth, interval.Mean + halfWidth, interval.N}
}

// PairedDifferences returns b less a, pair by pair.
func PairedDifferences(a, b []float64) []float64 {
	differences := make([]float64, len(a))
	for i := range a {
		differences[i] = b[i] - a[i]
	}
	return differences
}

// RateInterval returns the part of trials in which something happened, with the exact interval (Clopper, Pearson 1934):
// that it has not been seen does not say that it never happens.
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

// RateEqualityPValue returns how likely two counts of the same exposure are at least as unlike as these, if what is
// counted is as frequent in both (the exact conditional test of Przyborowski and Wilenski, 1940).
func RateEqualityPValue(a, b int64) float64 {
	n := a + b
	if n == 0 {
		return 1
	}
	binomial := distuv.Binomial{N: float64(n), P: 0.5}
	smaller := min(a, b)
	return min(1, 2*binomial.CDF(float64(smaller)))
}
