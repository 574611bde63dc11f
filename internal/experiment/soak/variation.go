package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// This file draws in what runs differ beside their events. It has a stream of random numbers of its own, so that the
// events of a seed stay as they are when something is added here.

const (
	// The lateness of a run's second responses, in the mean; each one's is within latenessSpread of it.
	minLateness    = time.Millisecond
	maxLateness    = 60 * time.Millisecond
	latenessSpread = 0.2

	// Bounds of idle connections over all endpoints, and of connections to endpoints. The usual load of a run fits into
	// the least of them; what has waited for a process that was stopped waits for its turn.
	minIdleBound       = 2
	maxIdleBound       = 8
	minConnectionBound = 8
	maxConnectionBound = 16
	// spareConnections are how many connections a bound leaves beside those of the requests in flight: for probes.
	spareConnections = 2
)

// variation is in what a run differs from others beside its events.
type variation struct {
	secondResponses secondResponses
	bounds          connectionBounds
}

// secondResponses are the second responses that the endpoints of a run send; all endpoints have the same software.
type secondResponses struct {
	meanLateness     time.Duration // after the first response, in the mean
	closeConnection  bool          // the endpoint closes the connection after a second response
	requestsPerExtra int           // one of so many requests gets one beside the drawn faults; 0 is none
	rng              *rand.Rand
}

// connectionBounds are bounds of the daemon's connections to endpoints; 0 is no bound.
type connectionBounds struct {
	maxIdle int // idle ones of all endpoints (Pool.LimitIdle)
	maxOpen int // all of them
}

// drawVariation draws the variation of a run. Its second responses go on drawing from rng.
func drawVariation(rng *rand.Rand, extraOneIn int) variation {
	drawn := variation{secondResponses: secondResponses{
		meanLateness:     drawMeanLateness(rng),
		closeConnection:  rng.IntN(2) == 0,
		requestsPerExtra: extraOneIn,
		rng:              rng,
	}}
	switch rng.IntN(3) {
	case 0:
		drawn.bounds.maxIdle = minIdleBound + rng.IntN(maxIdleBound-minIdleBound+1)
	case 1:
		drawn.bounds.maxOpen = minConnectionBound + rng.IntN(maxConnectionBound-minConnectionBound+1)
	}
	return drawn
}

// drawMeanLateness draws a lateness so that each doubling of it is as likely as another.
func drawMeanLateness(rng *rand.Rand) time.Duration {
	return time.Duration(float64(minLateness) * math.Pow(float64(maxLateness)/float64(minLateness), rng.Float64()))
}

// drawDelay draws the lateness of one second response.
func (s *secondResponses) drawDelay() time.Duration {
	factor := 1 + latenessSpread*(2*s.rng.Float64()-1)
	return time.Duration(float64(s.meanLateness) * factor)
}

// drawExtra draws whether a request without a fault gets a second response.
func (s *secondResponses) drawExtra() bool {
	return s.requestsPerExtra > 0 && s.rng.IntN(s.requestsPerExtra) == 0
}

// String describes the second responses for the report.
func (s *secondResponses) String() string {
	text := fmt.Sprintf("second responses about %v late", s.meanLateness.Round(100*time.Microsecond))
	if s.closeConnection {
		text += ", closing"
	}
	return text
}

// String describes the bounds for the report, "no bounds" without any.
func (b connectionBounds) String() string {
	var parts []string
	if b.maxIdle > 0 {
		parts = append(parts, fmt.Sprintf("idle connections up to %d", b.maxIdle))
	}
	if b.maxOpen > 0 {
		parts = append(parts, fmt.Sprintf("connections up to %d", b.maxOpen))
	}
	if len(parts) == 0 {
		return "no bounds"
	}
	return strings.Join(parts, ", ")
}
