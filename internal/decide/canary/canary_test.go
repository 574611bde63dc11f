package canary

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

// slot is the duration of a sample, in microseconds.
const slot = 250_000

var testSettings = Settings{Duration: 30_000_000, MinDuration: 2_000_000, HarmMargin: 0.01, Alpha: 0.01}

// trafficSource draws samples with a request rate and a fraction of requests that is not served, which varies by spells
// of several slots.
type trafficSource struct {
	rng              *rand.Rand
	rate             float64 // a second
	unservedFraction float64
	variation        float64 // standard deviation of the logarithm of correlation
	failedFraction   float64 // of the requests that are not served; the others are rejected
	correlation      float64 // factor of unservedFraction in the present spell
	slotsLeft        int     // of the present spell
}

// sample draws the sample of the next slot.
func (x *trafficSource) sample() Sample {
	s := Sample{Duration: slot}
	n := int(x.rate*float64(slot)/1e6 + x.rng.Float64())
	if x.slotsLeft--; x.slotsLeft <= 0 { // spells of a second or so
		x.slotsLeft = 1 + x.rng.IntN(8)
		x.correlation = math.Exp(x.variation*x.rng.NormFloat64() - x.variation*x.variation/2)
	}
	for range n {
		weight := []float64{1, 2, 3, 5}[x.rng.IntN(4)]
		s.Requests++
		s.OfferedWeight += weight
		if x.rng.Float64() >= x.unservedFraction*x.correlation {
			s.ServedWeight += weight
		} else if x.rng.Float64() < x.failedFraction {
			s.Failed++
		}
	}
	return s
}

// runToVerdict adds samples of the canary until there is a verdict.
func runToVerdict(t *testing.T, s Settings, before, after *trafficSource) (Verdict, Statistics) {
	t.Helper()
	x, err := NewAnalysis(s)
	if err != nil {
		t.Fatal(err)
	}
	for range 240 {
		x.AddBaseline(before.sample())
	}
	for range 10_000 {
		if v, f := x.AddCanary(after.sample()); v != Undecided {
			return v, f
		}
	}
	t.Fatal("no verdict")
	panic("unreachable")
}

// A canary that is no worse is hardly ever found degraded, however much its service varies. A harm beyond the margin is
// found, the larger the sooner.
func TestHarmIsFoundAndNoiseIsNot(t *testing.T) {
	const trials = 400
	for _, tc := range []struct {
		name                string
		rate, bad, unsteady float64
		harm                float64         // added to bad
		minFound, maxFound  float64         // fraction of trials found degraded
		within              monotime.Micros // median time until found degraded
	}{
		{name: "all goes well", rate: 100, bad: 0, maxFound: 0.02},
		{name: "few fail", rate: 200, bad: 0.005, maxFound: 0.02},
		{name: "some fail, in spells", rate: 200, bad: 0.02, unsteady: 1, maxFound: 0.03},
		{name: "many fail, in spells", rate: 50, bad: 0.2, unsteady: 0.5, maxFound: 0.03},
		{name: "hardly any traffic", rate: 3, bad: 0.02, maxFound: 0.02},
		{name: "less than the margin", rate: 500, bad: 0.002, harm: 0.004, maxFound: 0.02},
		{name: "all fails", rate: 100, bad: 0.001, harm: 0.9, minFound: 1, maxFound: 1, within: 1_500_000},
		{name: "all fails, little traffic", rate: 10, bad: 0.001, harm: 0.9,
			minFound: 1, maxFound: 1, within: 4_000_000},
		{name: "a fifth fails", rate: 100, bad: 0.01, harm: 0.2, minFound: 1, maxFound: 1, within: 3_000_000},
		{name: "a twentieth fails", rate: 100, bad: 0.005, harm: 0.05, minFound: 0.95, maxFound: 1, within: 15_000_000},
		{name: "a twentieth fails, in spells", rate: 200, bad: 0.01, unsteady: 0.7, harm: 0.05,
			minFound: 0.9, maxFound: 1, within: 20_000_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			found := 0
			var times []float64
			for seed := range uint64(trials) {
				rng := rand.New(rand.NewPCG(seed, 1))
				before := trafficSource{rng: rng, rate: tc.rate, unservedFraction: tc.bad}
				before.variation = tc.unsteady
				before.failedFraction = 0.5
				after := before
				after.unservedFraction += tc.harm
				v, f := runToVerdict(t, testSettings, &before, &after)
				if v == Degraded {
					found++
					times = append(times, float64(f.Duration))
				}
			}
			part := float64(found) / trials
			median := medianOf(times)
			t.Logf("found worse: %.3f, median after %.2f s", part, median/1e6)
			if part < tc.minFound || part > tc.maxFound || tc.within > 0 && median > float64(tc.within) {
				t.Errorf("found worse: %.3f, want %.3f..%.3f; median after %.2f s, want %.2f",
					part, tc.minFound, tc.maxFound, median/1e6, float64(tc.within)/1e6)
			}
		})
	}
}

// medianOf returns the median of values, 0 for none.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// During a surge of demand less service is no harm, and failures are. The analysis goes on until a surge ends.
func TestSurgeOfDemand(t *testing.T) {
	s := testSettings
	s.MaxExtensions = 2
	rng := rand.New(rand.NewPCG(1, 1))
	before := &trafficSource{rng: rng, rate: 100, unservedFraction: 0.001}
	if v, f := runToVerdict(t, s, before, &trafficSource{
		rng:              rng,
		rate:             250,
		unservedFraction: 0.3,
	}); v != Inconclusive || f.Service[1] > 0.8 {
		t.Errorf("%v, %+v", v, f)
	}
	if v, f := runToVerdict(t, s, before, &trafficSource{
		rng:              rng,
		rate:             250,
		unservedFraction: 0.3,
		failedFraction:   0.5,
	}); v != Degraded || f.Metric != "failures" {
		t.Errorf("%v, %+v", v, f)
	}
	x, _ := NewAnalysis(s)
	for range 120 {
		x.AddBaseline(before.sample())
	}
	surge := &trafficSource{rng: rng, rate: 300, unservedFraction: 0.2}
	after := &trafficSource{rng: rng, rate: 100, unservedFraction: 0.001}
	var v Verdict
	for i := 0; v == Undecided; i++ {
		from := surge
		if i >= 130 {
			from = after
		}
		v, _ = x.AddCanary(from.sample())
	}
	if v != Passed {
		t.Errorf("after a surge that ended: %v", v)
	}
}

// Without a baseline no canary is degraded. A final verdict does not change.
func TestWithoutBaseline(t *testing.T) {
	x, err := NewAnalysis(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	bad := &trafficSource{rng: rand.New(rand.NewPCG(1, 1)), rate: 100, unservedFraction: 0.9, failedFraction: 1}
	v := Undecided
	for v == Undecided {
		v, _ = x.AddCanary(bad.sample())
	}
	if v != Passed {
		t.Errorf("%v", v)
	}
	for range 100 {
		x.AddBaseline(Sample{Duration: slot, OfferedWeight: 1000, ServedWeight: 1000, Requests: 1000})
		if v, _ := x.AddCanary(bad.sample()); v != Passed {
			t.Fatalf("%v, after it had passed", v)
		}
	}
}

// For any samples the statistics are numbers, there is a verdict after the duration and its extensions, a certain harm
// is beyond the margin, and a difference within the margin is never harm.
func TestAnySamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Duration:      rapid.Int64Range(slot, 20*slot).Draw(t, "duration"),
			HarmMargin:    rapid.Float64Range(0, 0.5).Draw(t, "margin"),
			Alpha:         rapid.Float64Range(0.001, 0.2).Draw(t, "alpha"),
			MaxExtensions: rapid.IntRange(0, 2).Draw(t, "extensions"),
		}
		x, err := NewAnalysis(s)
		if err != nil {
			t.Fatal(err)
		}
		sample := rapid.Custom(anySample)
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			x.AddBaseline(sample.Draw(t, "reference"))
		}
		maxSlots := (s.Duration+slot-1)/slot*int64(1+s.MaxExtensions) + 1
		for range maxSlots {
			v, f := x.AddCanary(sample.Draw(t, "tried"))
			requireNumbers(t, f)
			if v == Degraded && (f.Harm <= s.HarmMargin || f.HarmLowerBound <= 0) {
				t.Fatalf("worse by %v, surely %v, with a margin of %v", f.Harm, f.HarmLowerBound, s.HarmMargin)
			}
			if v != Undecided {
				return
			}
		}
		t.Fatalf("no verdict after %d slots", maxSlots)
	})
}

// anySample draws a sample of one slot.
func anySample(t *rapid.T) Sample {
	n := rapid.Int64Range(0, 50).Draw(t, "requests")
	offered := float64(n) * rapid.Float64Range(0, 5).Draw(t, "weight")
	return Sample{
		Duration:      slot,
		Requests:      n,
		Failed:        rapid.Int64Range(0, n).Draw(t, "failed"),
		OfferedWeight: offered,
		ServedWeight:  offered * rapid.Float64Range(0, 1).Draw(t, "served"),
	}
}

// requireNumbers ends the test if a statistic is infinite or not a number.
func requireNumbers(t *rapid.T, f Statistics) {
	t.Helper()
	for _, n := range []float64{
		f.Service[0],
		f.Service[1],
		f.Failures[0],
		f.Failures[1],
		f.Harm,
		f.RequestRate[1],
	} {
		if math.IsNaN(n) || math.IsInf(n, 0) {
			t.Fatalf("%+v", f)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Duration = 0 },
		func(s *Settings) { s.MinDuration = s.Duration + 1 },
		func(s *Settings) { s.HarmMargin = 1 },
		func(s *Settings) { s.Alpha = 0 },
		func(s *Settings) { s.Alpha = math.NaN() },
		func(s *Settings) { s.MaxDemandRatio = 0.5 },
		func(s *Settings) { s.MaxExtensions = -1 },
	} {
		s := testSettings
		change(&s)
		if _, err := NewAnalysis(s); err == nil {
			t.Errorf("%+v is accepted", s)
		}
	}
}

// A canary that hardly gets any requests has lost its clients, which is harm. A single slot with few requests is not.
func TestLostClients(t *testing.T) {
	before := make([]Sample, 40)
	for i := range before {
		before[i] = Sample{Duration: 250_000, OfferedWeight: 25, ServedWeight: 25, Requests: 25}
	}
	s := Settings{Duration: 10_000_000, MinDuration: 1_000_000, HarmMargin: 0.01, Alpha: 0.001, MaxExtensions: 3}
	x, err := NewAnalysis(s, before...)
	if err != nil {
		t.Fatal(err)
	}
	quiet := Sample{Duration: 250_000, OfferedWeight: 1, ServedWeight: 1, Requests: 1}
	var v Verdict
	n := 0
	for ; v == Undecided && n < 100; n++ {
		v, _ = x.AddCanary(quiet)
	}
	if _, f := x.Result(); v != Degraded || f.Metric != "demand" || n != 4 {
		t.Errorf("after %d slots %v by %q", n, v, f.Metric)
	}
	x, _ = NewAnalysis(s, before...)
	for n = 0; n < 40; n++ {
		use := before[0]
		if n%8 == 3 {
			use = quiet
		}
		v, _ = x.AddCanary(use)
	}
	if v != Passed {
		t.Errorf("with quiet moments: %v", v)
	}
}

// An analysis whose harm is not certain is extended: little traffic does not prove that a canary is as good.
func TestLittleTrafficIsExtended(t *testing.T) {
	before := make([]Sample, 40)
	for i := range before {
		before[i] = Sample{Duration: 250_000, OfferedWeight: 2, ServedWeight: 2, Requests: 2}
	}
	for _, tc := range []struct {
		part     float64 // served
		verdict  Verdict
		minSlots int // until the verdict
	}{{1, Passed, 8}, {0.5, Degraded, 4}, {0.99, Inconclusive, 32}} {
		x, err := NewAnalysis(Settings{
			Duration:      2_000_000,
			MinDuration:   500_000,
			HarmMargin:    0.005,
			Alpha:         0.001,
			MaxExtensions: 3,
		}, before...)
		if err != nil {
			t.Fatal(err)
		}
		var v Verdict
		n := 0
		for ; v == Undecided && n < 1000; n++ {
			served := 2.0
			if tc.part < 1 && (tc.part == 0.5 || n == 1) {
				served = 1
			}
			v, _ = x.AddCanary(Sample{Duration: 250_000, OfferedWeight: 2, ServedWeight: served, Requests: 2})
		}
		if v != tc.verdict || n < tc.minSlots {
			t.Errorf("served %v: %v after %d slots", tc.part, v, n)
		}
	}
}
