package canary

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const slot = 250_000

var testSettings = Settings{Duration: 30_000_000, MinDuration: 2_000_000, HarmMargin: 0.01, Alpha: 0.01}

// trafficSource draws samples with a request rate and a fraction that is not served, which varies from slot to slot.
type trafficSource struct {
	rng              *rand.Rand
	rate             float64 // a second
	unservedFraction float64
	variation        float64 // the coefficient of variation of bad from slot to slot
	failedFraction   float64 // part of the bad ones that fail, the others are refused
	correlation      float64
	slotsLeft        int
}

func (x *trafficSource) sample() Sample {
	s := Sample{Duration: slot}
	n := int(x.rate*float64(slot)/1e6 + x.rng.Float64())
	if x.slotsLeft--; x.slotsLeft <= 0 { // spells of a second or so
		x.slotsLeft = 1 + x.rng.IntN(8)
		x.correlation = math.Exp(x.variation*x.rng.NormFloat64() - x.variation*x.variation/2)
	}
	for range n {
		worth := []float64{1, 2, 3, 5}[x.rng.IntN(4)]
		s.Requests++
		s.OfferedWeight += worth
		if x.rng.Float64() >= x.unservedFraction*x.correlation {
			s.ServedWeight += worth
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

// What is no worse is hardly ever found to be, however steady or unsteady service is, and however often it is looked
// at; what does harm beyond the margin is found, the sooner the worse it is.
func TestHarmIsFoundAndNoiseIsNot(t *testing.T) {
	const trials = 400
	for _, tc := range []struct {
		name                string
		rate, bad, unsteady float64
		harm                float64         // added to bad
		least, most         float64         // part of trials found worse
		within              monotime.Micros // at the median
	}{
		{name: "all goes well", rate: 100, bad: 0, most: 0.02},
		{name: "few fail", rate: 200, bad: 0.005, most: 0.02},
		{name: "some fail, in spells", rate: 200, bad: 0.02, unsteady: 1, most: 0.03},
		{name: "many fail, in spells", rate: 50, bad: 0.2, unsteady: 0.5, most: 0.03},
		{name: "hardly any traffic", rate: 3, bad: 0.02, most: 0.02},
		{name: "less than the margin", rate: 500, bad: 0.002, harm: 0.004, most: 0.02},
		{name: "all fails", rate: 100, bad: 0.001, harm: 0.9, least: 1, most: 1, within: 1_500_000},
		{name: "all fails, little traffic", rate: 10, bad: 0.001, harm: 0.9, least: 1, most: 1, within: 4_000_000},
		{name: "a fifth fails", rate: 100, bad: 0.01, harm: 0.2, least: 1, most: 1, within: 3_000_000},
		{name: "a twentieth fails", rate: 100, bad: 0.005, harm: 0.05, least: 0.95, most: 1, within: 15_000_000},
		{name: "a twentieth fails, in spells", rate: 200, bad: 0.01, unsteady: 0.7, harm: 0.05,
			least: 0.9, most: 1, within: 20_000_000},
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
			if part < tc.least || part > tc.most || tc.within > 0 && median > float64(tc.within) {
				t.Errorf("found worse: %.3f, want %.3f..%.3f; median after %.2f s, want %.2f",
					part, tc.least, tc.most, median/1e6, float64(tc.within)/1e6)
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

// Less service while more is asked for proves nothing, and takes no blame; failures do all the same. A rush that
// passes is waited for.
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
	rush := &trafficSource{rng: rng, rate: 300, unservedFraction: 0.2}
	after := &trafficSource{rng: rng, rate: 100, unservedFraction: 0.001}
	var v Verdict
	for i := 0; v == Undecided; i++ {
		from := rush
		if i >= 130 {
			from = after
		}
		v, _ = x.AddCanary(from.sample())
	}
	if v != Passed {
		t.Errorf("after a rush that passed: %v", v)
	}
}

// Without anything to hold it against nothing is found worse; verdicts stay what they are.
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
			t.Fatalf("%v, after it was good", v)
		}
	}
}

// Whatever the samples, figures are numbers, there is a verdict once the time and its extensions are over and not
// before it is known, and a difference within the margin is never worse.
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
		sample := rapid.Custom(func(t *rapid.T) Sample {
			n := rapid.Int64Range(0, 50).Draw(t, "requests")
			offered := float64(n) * rapid.Float64Range(0, 5).Draw(t, "weight")
			return Sample{
				Duration:      slot,
				Requests:      n,
				Failed:        rapid.Int64Range(0, n).Draw(t, "failed"),
				OfferedWeight: offered,
				ServedWeight:  offered * rapid.Float64Range(0, 1).Draw(t, "served"),
			}
		})
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			x.AddBaseline(sample.Draw(t, "reference"))
		}
		over := (s.Duration+slot-1)/slot*int64(1+s.MaxExtensions) + 1
		for i := range over {
			v, f := x.AddCanary(sample.Draw(t, "tried"))
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
			if v == Degraded && (f.Harm <= s.HarmMargin || f.HarmLowerBound <= 0) {
				t.Fatalf("worse by %v, surely %v, with a margin of %v", f.Harm, f.HarmLowerBound, s.HarmMargin)
			}
			if v != Undecided {
				return
			}
			if i == over-1 {
				t.Fatalf("no verdict after %d slots", over)
			}
		}
	})
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
			t.Errorf("%+v was taken", s)
		}
	}
}

// Where hardly anybody asks any more, that is harm, too: clients do not find their way. One quiet moment is none.
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

// What looks worse and is not surely so is tried for longer: little traffic is no proof that all is well.
func TestLittleTrafficIsExtended(t *testing.T) {
	before := make([]Sample, 40)
	for i := range before {
		before[i] = Sample{Duration: 250_000, OfferedWeight: 2, ServedWeight: 2, Requests: 2}
	}
	for _, tc := range []struct {
		part    float64 // served
		verdict Verdict
		least   int // slots at least
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
			earned := 2.0
			if tc.part < 1 && (tc.part == 0.5 || n == 1) {
				earned = 1
			}
			v, _ = x.AddCanary(Sample{Duration: 250_000, OfferedWeight: 2, ServedWeight: earned, Requests: 2})
		}
		if v != tc.verdict || n < tc.least {
			t.Errorf("served %v: %v after %d slots", tc.part, v, n)
		}
	}
}
