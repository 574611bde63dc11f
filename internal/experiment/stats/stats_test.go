package stats

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Intervals cover what they are to cover, about as often as they say.
func TestCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	draw := func(n int) (v []float64) {
		for range n {
			v = append(v, 5+2*rng.NormFloat64())
		}
		return v
	}
	const rounds = 2000
	var byT, byBootstrap, one int
	for i := range rounds {
		v := draw(12)
		if x := StudentT(v, 0.95); x.Low <= 5 && 5 <= x.High {
			byT++
		}
		if i < 300 {
			if x := Bootstrap(v, 0.95, uint64(i)); x.Low <= 5 && 5 <= x.High {
				byBootstrap++
			}
		}
		if x, next := PredictionInterval(v, 0.95), draw(1)[0]; x.Low <= next && next <= x.High {
			one++
		}
	}
	if got := float64(byT) / rounds; math.Abs(got-0.95) > 0.02 {
		t.Errorf("t covers %v", got)
	}
	if got := float64(byBootstrap) / 300; got < 0.86 || got > 0.98 { // it is a little short with few
		t.Errorf("the bootstrap covers %v", got)
	}
	if got := float64(one) / rounds; math.Abs(got-0.95) > 0.02 {
		t.Errorf("the prediction covers %v", got)
	}
}

// Too few numbers give no interval.
func TestFew(t *testing.T) {
	for _, v := range [][]float64{nil, {3}} {
		if x := StudentT(v, 0.95); !math.IsInf(x.HalfWidth(), 1) {
			t.Errorf("%v: %+v", v, x)
		}
	}
	if x := StudentT([]float64{2, 2, 2}, 0.95); x.HalfWidth() != 0 || x.Mean != 2 {
		t.Errorf("%+v", x)
	}
	if x := RateInterval(0, 1_000_000, 0.95); x.Low != 0 || x.High < 3e-6 || x.High > 4e-6 {
		t.Errorf("none of a million: %+v", x)
	}
	if x := RateInterval(0, 0, 0.95); x.High != 1 {
		t.Errorf("none of none: %+v", x)
	}
	if x := RateInterval(5, 5, 0.95); x.High != 1 || x.Low > 0.5 {
		t.Errorf("all of five: %+v", x)
	}
	for _, x := range []struct {
		a, b int64
		sure bool
	}{{0, 0, false}, {0, 1, false}, {0, 5, false}, {0, 7, true}, {10, 12, false}, {3, 30, true}} {
		if p := RateEqualityPValue(x.a, x.b); (p < 0.05) != x.sure {
			t.Errorf("%d and %d: p %v", x.a, x.b, p)
		}
	}
}
