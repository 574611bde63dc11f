package canary

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

// slotDuration is the duration of a sample, in microseconds.
const slotDuration = 250_000

var testSettings = Settings{Duration: 30_000_000, MinDuration: 2_000_000, HarmMargin: 0.01, Alpha: 0.01}

// trafficSource draws random samples with a given request rate and a given mean fraction of requests that are not
// served. The fraction is constant during a spell of several consecutive slots and differs between spells, so that
// failures are correlated.
type trafficSource struct {
	rng              *rand.Rand
	requestRate      float64 // requests per second
	unservedFraction float64 // mean fraction of the requests that are not served
	spellVariation   float64 // standard deviation of the logarithm of spellFactor
	failedFraction   float64 // fraction of the unserved requests that fail; the others are rejected
	spellFactor      float64 // multiplier of unservedFraction in the current spell
	spellSlotsLeft   int     // number of slots left in the current spell
}

// nextSample draws the sample of the next slot.
func (source *trafficSource) nextSample() Sample {
	sample := Sample{Duration: slotDuration}
	requestCount := int(source.requestRate*float64(slotDuration)/1e6 + source.rng.Float64())
	if source.spellSlotsLeft--; source.spellSlotsLeft <= 0 { // a spell lasts 1..8 slots, about one second
		source.spellSlotsLeft = 1 + source.rng.IntN(8)
		source.spellFactor = math.Exp(source.spellVariation*source.rng.NormFloat64() -
			source.spellVariation*source.spellVariation/2)
	}
	for range requestCount {
		weight := []float64{1, 2, 3, 5}[source.rng.IntN(4)]
		sample.Requests++
		sample.OfferedWeight += weight
		if source.rng.Float64() >= source.unservedFraction*source.spellFactor {
			sample.ServedWeight += weight
		} else if source.rng.Float64() < source.failedFraction {
			sample.Failed++
		}
	}
	return sample
}

// runToVerdict adds 240 samples of the baseline, and then samples of the canary until the verdict is final.
func runToVerdict(t *testing.T, settings Settings, baseline, canary *trafficSource) (Verdict, Statistics) {
	t.Helper()
	analysis, err := NewAnalysis(settings)
	if err != nil {
		t.Fatal(err)
	}
	for range 240 {
		analysis.AddBaseline(baseline.nextSample())
	}
	for range 10_000 {
		if verdict, statistics := analysis.AddCanary(canary.nextSample()); verdict != Undecided {
			return verdict, statistics
		}
	}
	t.Fatal("no verdict")
	panic("unreachable")
}

// A canary that is as good as its baseline is rarely found degraded, however much its served ratio varies. Harm beyond
// the margin is found, and larger harm is found sooner.
func TestHarmIsFoundAndNoiseIsNot(t *testing.T) {
	const trials = 400
	for _, tc := range []struct {
		name                             string
		requestRate, unserved, variation float64
		harm                             float64         // added to the unserved fraction of the canary
		minDegraded, maxDegraded         float64         // bounds of the fraction of trials found degraded
		maxMedianTime                    monotime.Micros // maximum of the median time until found degraded
	}{
		{name: "all goes well", requestRate: 100, unserved: 0, maxDegraded: 0.02},
		{name: "few fail", requestRate: 200, unserved: 0.005, maxDegraded: 0.02},
		{name: "some fail, in spells", requestRate: 200, unserved: 0.02, variation: 1, maxDegraded: 0.03},
		{name: "many fail, in spells", requestRate: 50, unserved: 0.2, variation: 0.5, maxDegraded: 0.03},
		{name: "hardly any traffic", requestRate: 3, unserved: 0.02, maxDegraded: 0.02},
		{name: "less than the margin", requestRate: 500, unserved: 0.002, harm: 0.004, maxDegraded: 0.02},
		{name: "all fails", requestRate: 100, unserved: 0.001, harm: 0.9,
			minDegraded: 1, maxDegraded: 1, maxMedianTime: 1_500_000},
		{name: "all fails, little traffic", requestRate: 10, unserved: 0.001, harm: 0.9,
			minDegraded: 1, maxDegraded: 1, maxMedianTime: 4_000_000},
		{name: "a fifth fails", requestRate: 100, unserved: 0.01, harm: 0.2,
			minDegraded: 1, maxDegraded: 1, maxMedianTime: 3_000_000},
		{name: "a twentieth fails", requestRate: 100, unserved: 0.005, harm: 0.05,
			minDegraded: 0.95, maxDegraded: 1, maxMedianTime: 15_000_000},
		{name: "a twentieth fails, in spells", requestRate: 200, unserved: 0.01, variation: 0.7, harm: 0.05,
			minDegraded: 0.9, maxDegraded: 1, maxMedianTime: 20_000_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			degradedCount := 0
			var degradedAfter []float64
			for seed := range uint64(trials) {
				rng := rand.New(rand.NewPCG(seed, 1))
				baseline := trafficSource{rng: rng, requestRate: tc.requestRate, unservedFraction: tc.unserved}
				baseline.spellVariation = tc.variation
				baseline.failedFraction = 0.5
				canary := baseline
				canary.unservedFraction += tc.harm
				verdict, statistics := runToVerdict(t, testSettings, &baseline, &canary)
				if verdict == Degraded {
					degradedCount++
					degradedAfter = append(degradedAfter, float64(statistics.Duration))
				}
			}
			degradedFraction := float64(degradedCount) / trials
			median := medianOf(degradedAfter)
			t.Logf("found worse: %.3f, median after %.2f s", degradedFraction, median/1e6)
			if degradedFraction < tc.minDegraded || degradedFraction > tc.maxDegraded ||
				tc.maxMedianTime > 0 && median > float64(tc.maxMedianTime) {
				t.Errorf("found worse: %.3f, want %.3f..%.3f; median after %.2f s, want %.2f",
					degradedFraction, tc.minDegraded, tc.maxDegraded, median/1e6, float64(tc.maxMedianTime)/1e6)
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

// During a surge of demand, a lower served ratio is not harm, but more failures are. The analysis is extended, and
// passes if the surge ends.
func TestSurgeOfDemand(t *testing.T) {
	settings := testSettings
	settings.MaxExtensions = 2
	rng := rand.New(rand.NewPCG(1, 1))
	baselineSource := &trafficSource{rng: rng, requestRate: 100, unservedFraction: 0.001}
	if verdict, statistics := runToVerdict(t, settings, baselineSource, &trafficSource{
		rng:              rng,
		requestRate:      250,
		unservedFraction: 0.3,
	}); verdict != Inconclusive || statistics.Service[1] > 0.8 {
		t.Errorf("%v, %+v", verdict, statistics)
	}
	if verdict, statistics := runToVerdict(t, settings, baselineSource, &trafficSource{
		rng:              rng,
		requestRate:      250,
		unservedFraction: 0.3,
		failedFraction:   0.5,
	}); verdict != Degraded || statistics.Metric != "failures" {
		t.Errorf("%v, %+v", verdict, statistics)
	}
	analysis, _ := NewAnalysis(settings)
	for range 120 {
		analysis.AddBaseline(baselineSource.nextSample())
	}
	duringSurge := &trafficSource{rng: rng, requestRate: 300, unservedFraction: 0.2}
	afterSurge := &trafficSource{rng: rng, requestRate: 100, unservedFraction: 0.001}
	var verdict Verdict
	for i := 0; verdict == Undecided; i++ {
		source := duringSurge
		if i >= 130 {
			source = afterSurge
		}
		verdict, _ = analysis.AddCanary(source.nextSample())
	}
	if verdict != Passed {
		t.Errorf("after a surge that ended: %v", verdict)
	}
}

// A canary passes if there are no samples of the baseline. Later samples do not change that verdict.
func TestWithoutBaseline(t *testing.T) {
	analysis, err := NewAnalysis(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	failingCanary := &trafficSource{
		rng:              rand.New(rand.NewPCG(1, 1)),
		requestRate:      100,
		unservedFraction: 0.9,
		failedFraction:   1,
	}
	verdict := Undecided
	for verdict == Undecided {
		verdict, _ = analysis.AddCanary(failingCanary.nextSample())
	}
	if verdict != Passed {
		t.Errorf("%v", verdict)
	}
	for range 100 {
		analysis.AddBaseline(Sample{Duration: slotDuration, OfferedWeight: 1000, ServedWeight: 1000, Requests: 1000})
		if verdict, _ := analysis.AddCanary(failingCanary.nextSample()); verdict != Passed {
			t.Fatalf("%v, after it had passed", verdict)
		}
	}
}

// For any samples, the statistics are finite, the verdict is final after the duration and its extensions, and a
// canary is found degraded only if the harm exceeds the margin and its lower bound is positive.
func TestAnySamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Duration:      rapid.Int64Range(slotDuration, 20*slotDuration).Draw(t, "duration"),
			HarmMargin:    rapid.Float64Range(0, 0.5).Draw(t, "margin"),
			Alpha:         rapid.Float64Range(0.001, 0.2).Draw(t, "alpha"),
			MaxExtensions: rapid.IntRange(0, 2).Draw(t, "extensions"),
		}
		analysis, err := NewAnalysis(settings)
		if err != nil {
			t.Fatal(err)
		}
		sampleGenerator := rapid.Custom(drawSample)
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			analysis.AddBaseline(sampleGenerator.Draw(t, "reference"))
		}
		maxSlots := (settings.Duration+slotDuration-1)/slotDuration*int64(1+settings.MaxExtensions) + 1
		for range maxSlots {
			verdict, statistics := analysis.AddCanary(sampleGenerator.Draw(t, "tried"))
			requireFinite(t, statistics)
			if verdict == Degraded && (statistics.Harm <= settings.HarmMargin || statistics.HarmLowerBound <= 0) {
				t.Fatalf("worse by %v, surely %v, with a margin of %v",
					statistics.Harm, statistics.HarmLowerBound, settings.HarmMargin)
			}
			if verdict != Undecided {
				return
			}
		}
		t.Fatalf("no verdict after %d slots", maxSlots)
	})
}

// drawSample draws a sample of one slot.
func drawSample(t *rapid.T) Sample {
	requests := rapid.Int64Range(0, 50).Draw(t, "requests")
	offered := float64(requests) * rapid.Float64Range(0, 5).Draw(t, "weight")
	return Sample{
		Duration:      slotDuration,
		Requests:      requests,
		Failed:        rapid.Int64Range(0, requests).Draw(t, "failed"),
		OfferedWeight: offered,
		ServedWeight:  offered * rapid.Float64Range(0, 1).Draw(t, "served"),
	}
}

// requireFinite fails the test if one of the statistics is infinite or not a number.
func requireFinite(t *rapid.T, statistics Statistics) {
	t.Helper()
	for _, value := range []float64{
		statistics.Service[0],
		statistics.Service[1],
		statistics.Failures[0],
		statistics.Failures[1],
		statistics.Harm,
		statistics.RequestRate[1],
	} {
		if math.IsNaN(value) || math.IsInf(value, 0) {
			t.Fatalf("%+v", statistics)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, invalidate := range []func(*Settings){
		func(settings *Settings) { settings.Duration = 0 },
		func(settings *Settings) { settings.MinDuration = settings.Duration + 1 },
		func(settings *Settings) { settings.HarmMargin = 1 },
		func(settings *Settings) { settings.Alpha = 0 },
		func(settings *Settings) { settings.Alpha = math.NaN() },
		func(settings *Settings) { settings.MaxDemandRatio = 0.5 },
		func(settings *Settings) { settings.MaxExtensions = -1 },
	} {
		settings := testSettings
		invalidate(&settings)
		if _, err := NewAnalysis(settings); err == nil {
			t.Errorf("%+v is accepted", settings)
		}
	}
}

// A canary that gets hardly any requests has lost its clients, and is found degraded. A canary with few requests in
// single slots passes.
func TestLostClients(t *testing.T) {
	baseline := make([]Sample, 40)
	for i := range baseline {
		baseline[i] = Sample{Duration: 250_000, OfferedWeight: 25, ServedWeight: 25, Requests: 25}
	}
	settings := Settings{Duration: 10_000_000, MinDuration: 1_000_000, HarmMargin: 0.01, Alpha: 0.001, MaxExtensions: 3}
	analysis, err := NewAnalysis(settings, baseline...)
	if err != nil {
		t.Fatal(err)
	}
	fewRequests := Sample{Duration: 250_000, OfferedWeight: 1, ServedWeight: 1, Requests: 1}
	var verdict Verdict
	slots := 0
	for ; verdict == Undecided && slots < 100; slots++ {
		verdict, _ = analysis.AddCanary(fewRequests)
	}
	if _, statistics := analysis.Result(); verdict != Degraded || statistics.Metric != "demand" || slots != 4 {
		t.Errorf("after %d slots %v by %q", slots, verdict, statistics.Metric)
	}
	analysis, _ = NewAnalysis(settings, baseline...)
	for slots = 0; slots < 40; slots++ {
		sample := baseline[0]
		if slots%8 == 3 {
			sample = fewRequests
		}
		verdict, _ = analysis.AddCanary(sample)
	}
	if verdict != Passed {
		t.Errorf("with quiet moments: %v", verdict)
	}
}

// An analysis is extended while harm is possible but uncertain, because little traffic does not prove that a canary is
// as good as its baseline.
func TestLittleTrafficIsExtended(t *testing.T) {
	baseline := make([]Sample, 40)
	for i := range baseline {
		baseline[i] = Sample{Duration: 250_000, OfferedWeight: 2, ServedWeight: 2, Requests: 2}
	}
	for _, tc := range []struct {
		servedFraction  float64 // fraction of the requests that the canary serves
		expectedVerdict Verdict
		minSlots        int // minimum number of slots until the verdict
	}{{1, Passed, 8}, {0.5, Degraded, 4}, {0.99, Inconclusive, 32}} {
		analysis, err := NewAnalysis(Settings{
			Duration:      2_000_000,
			MinDuration:   500_000,
			HarmMargin:    0.005,
			Alpha:         0.001,
			MaxExtensions: 3,
		}, baseline...)
		if err != nil {
			t.Fatal(err)
		}
		var verdict Verdict
		slots := 0
		for ; verdict == Undecided && slots < 1000; slots++ {
			servedWeight := 2.0
			if tc.servedFraction < 1 && (tc.servedFraction == 0.5 || slots == 1) {
				servedWeight = 1
			}
			verdict, _ = analysis.AddCanary(Sample{
				Duration:      250_000,
				OfferedWeight: 2,
				ServedWeight:  servedWeight,
				Requests:      2,
			})
		}
		if verdict != tc.expectedVerdict || slots < tc.minSlots {
			t.Errorf("served %v: %v after %d slots", tc.servedFraction, verdict, slots)
		}
	}
}
