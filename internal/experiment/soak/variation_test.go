package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// The variation of a seed is in its ranges, the same each time, and some seeds have each bound.
func TestVariations(t *testing.T) {
	var idle, open, none, closing, tolerated int
	const seeds = 300
	for seed := range uint64(seeds) {
		v := drawVariation(variationRNG(seed), 0)
		if again := drawVariation(variationRNG(seed), 0); again.bounds != v.bounds ||
			again.secondResponses.lateness != v.secondResponses.lateness {
			t.Fatalf("seed %d: %v and %v", seed, v, again)
		}
		second := &v.secondResponses
		if second.lateness < minLateness || second.lateness > maxLateness {
			t.Errorf("seed %d: %v", seed, second.lateness)
		}
		delay := second.drawDelay()
		if ratio := float64(delay) / float64(second.lateness); ratio < 1-latenessSpread || ratio > 1+latenessSpread {
			t.Errorf("seed %d: %v of %v", seed, delay, second.lateness)
		}
		count(&idle, v.bounds.idle > 0)
		count(&open, v.bounds.open > 0)
		count(&none, v.bounds == connectionBounds{})
		count(&closing, second.closeConnection)
		count(&tolerated, second.lateness <= toleratedLateness)
	}
	for name, n := range map[string]int{"idle bound": idle, "open bound": open, "no bound": none, "closing": closing,
		"tolerated": tolerated} {
		if n < seeds/5 || n > seeds*4/5 {
			t.Errorf("%s: %d of %d seeds", name, n, seeds)
		}
	}
}

// Second responses beside the drawn faults come at the rate that is set, and not at all at rate 0.
func TestExtraSecondResponses(t *testing.T) {
	for oneIn, want := range map[int]int{0: 0, 1: 1000} {
		v := drawVariation(variationRNG(1), oneIn)
		got := 0
		for range 1000 {
			count(&got, v.secondResponses.drawExtra())
		}
		if got != want {
			t.Errorf("one in %d: %d of 1000, want %d", oneIn, got, want)
		}
	}
}

// The bounds are in the daemon's configuration.
func TestDaemonConfigBounds(t *testing.T) {
	for want, bounds := range map[string]connectionBounds{
		"endpoints = 0\n[requests]\nin_flight = 64\n":  {},
		"endpoints = 16\n[requests]\nin_flight = 14\n": {open: 16},
		"node_idle = 1.50\n":                           {idle: 6},
		"node_idle = 0.00\n":                           {open: 20},
	} {
		if text := daemonConfig("addr", "discovery", "dir", bounds); !strings.Contains(text, want) {
			t.Errorf("%v: %q is not in %s", bounds, want, text)
		}
	}
}

// variationRNG returns the random numbers that a run draws its variation from.
func variationRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, variationSeedStream)) }

// count adds one if a condition holds.
func count(n *int, condition bool) {
	if condition {
		*n++
	}
}
