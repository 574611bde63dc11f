package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// This file draws the variation of a run: its conditions besides the events. The variation uses its own
// stream of random numbers, so that the events of a seed stay the same when the variation is extended.

const (
	// Range of the mean lateness of the second responses in a run. The lateness of each second response
	// differs from the mean by at most the fraction latenessSpread.
	minLateness    = time.Millisecond
	maxLateness    = 60 * time.Millisecond
	latenessSpread = 0.2

	// Ranges of the bound on idle connections over all endpoints and of the bound on all connections to
	// endpoints. The usual load of a run fits into the smallest bounds; requests that accumulated while a
	// process was stopped by SIGSTOP have to queue for a connection.
	minIdleBound       = 2
	maxIdleBound       = 8
	minConnectionBound = 8
	maxConnectionBound = 16
	// spareConnections is the number of connections that a bound leaves for probes, in addition to those of
	// the requests in flight.
	spareConnections = 2
)

// variation holds the conditions, besides the events, in which one run differs from others.
type variation struct {
	secondResponses secondResponses
	bounds          connectionBounds
}

// secondResponses describes the second responses that the endpoints of a run send. The values apply to all
// endpoints, as if they ran the same software.
type secondResponses struct {
	meanLateness     time.Duration // mean time between the first and the second response
	closeConnection  bool          // whether the endpoint closes the connection after a second response
	requestsPerExtra int           // one in this many requests without a fault gets a second response; 0 adds none
	rng              *rand.Rand
}

// connectionBounds limits the daemon's connections to endpoints; 0 means no limit.
type connectionBounds struct {
	maxIdle int // limit of idle connections over all endpoints (Pool.LimitIdle)
	maxOpen int // limit of all connections to endpoints
}

// drawVariation draws the variation of a run. The returned secondResponses keeps drawing from rng during the
// run.
func drawVariation(rng *rand.Rand, requestsPerExtra int) variation {
	drawn := variation{secondResponses: secondResponses{
		meanLateness:     drawMeanLateness(rng),
		closeConnection:  rng.IntN(2) == 0,
		requestsPerExtra: requestsPerExtra,
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

// drawMeanLateness draws a mean lateness from a logarithmic distribution: every doubling of it is equally
// likely.
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

// String describes the bounds for the report; without bounds it returns "no bounds".
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
