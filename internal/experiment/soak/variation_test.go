package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// The variation of a seed is within its ranges and the same in each run. Among many seeds, each bound and
// each property of second responses occurs often, but not always.
func TestVariations(t *testing.T) {
	var idleBounded, openBounded, unbounded, closing, tolerated int
	const seeds = 300
	for seed := range uint64(seeds) {
		drawn := drawVariation(variationRNG(seed), 0)
		if repeated := drawVariation(variationRNG(seed), 0); repeated.bounds != drawn.bounds ||
			repeated.secondResponses.meanLateness != drawn.secondResponses.meanLateness {
			t.Fatalf("seed %d drew different variations: %v and %v", seed, drawn, repeated)
		}
		responses := &drawn.secondResponses
		if responses.meanLateness < minLateness || responses.meanLateness > maxLateness {
			t.Errorf("seed %d: mean lateness %v is out of range", seed, responses.meanLateness)
		}
		lateness := responses.drawDelay()
		if ratio := float64(lateness) / float64(responses.meanLateness); ratio < 1-latenessSpread ||
			ratio > 1+latenessSpread {
			t.Errorf("seed %d: lateness %v is too far from the mean %v", seed, lateness, responses.meanLateness)
		}
		countIf(&idleBounded, drawn.bounds.maxIdle > 0)
		countIf(&openBounded, drawn.bounds.maxOpen > 0)
		countIf(&unbounded, drawn.bounds == connectionBounds{})
		countIf(&closing, responses.closeConnection)
		countIf(&tolerated, responses.meanLateness <= toleratedLateness)
	}
	for name, n := range map[string]int{"idle bound": idleBounded, "open bound": openBounded, "no bound": unbounded,
		"closing": closing, "tolerated": tolerated} {
		if n < seeds/5 || n > seeds*4/5 {
			t.Errorf("%s: %d of %d seeds, want between a fifth and four fifths", name, n, seeds)
		}
	}
}

// Requests without a fault get second responses at the configured rate, and none at rate 0.
func TestExtraSecondResponses(t *testing.T) {
	for requestsPerExtra, want := range map[int]int{0: 0, 1: 1000} {
		drawn := drawVariation(variationRNG(1), requestsPerExtra)
		extraCount := 0
		for range 1000 {
			countIf(&extraCount, drawn.secondResponses.drawExtra())
		}
		if extraCount != want {
			t.Errorf("one in %d: %d of 1000, want %d", requestsPerExtra, extraCount, want)
		}
	}
}

// The daemon's configuration contains the connection bounds and the resulting limit of requests in flight.
func TestDaemonConfigBounds(t *testing.T) {
	for want, bounds := range map[string]connectionBounds{
		"endpoints = 0\n[requests]\nin_flight = 64\n":  {},
		"endpoints = 16\n[requests]\nin_flight = 14\n": {maxOpen: 16},
		"node_idle = 1.50\n":                           {maxIdle: 6},
		"node_idle = 0.00\n":                           {maxOpen: 20},
	} {
		if config := daemonConfig("addr", "discovery", "dir", bounds); !strings.Contains(config, want) {
			t.Errorf("%v: %q is not in %s", bounds, want, config)
		}
	}
}

// variationRNG returns the random number generator from which a run draws its variation.
func variationRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, variationSeedStream)) }

// countIf increments the counter if the condition is true.
func countIf(counter *int, condition bool) {
	if condition {
		*counter++
	}
}
