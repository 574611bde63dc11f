package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

// Bucket is a token bucket on the host's clock: so many a second, a burst at most. golang.org/x/time/rate does the same on
// time.Time; here instants are the engine's, so that a run in simulated time comes to the same, and a part of a token a
// minute adds up without a loss.
type Bucket struct {
	Rate  float64 // a second; 0 is no bound
	Burst float64 // at most; under 1 it counts as 1, or nothing would ever go
	have  float64
	at    monotime.Micros
	begun bool
}

// Take takes one token, or says when there may be one. A bucket begins with a part of one, drawn by its owner: instances that
// start together would else all spend their first at once.
func (b *Bucket) Take(now monotime.Micros, first float64) (ok bool, at monotime.Micros) {
	if b.Rate <= 0 {
		return true, now
	}
	if !b.begun {
		b.begun, b.at, b.have = true, now, min(1, max(0, first))
	}
	b.have = min(max(1, b.Burst), b.have+b.Rate*float64(max(0, now-b.at))/float64(second))
	b.at = max(b.at, now)
	if b.have >= 1 {
		b.have--
		return true, now
	}
	return false, now + max(1, monotime.Micros(math.Ceil((1-b.have)/b.Rate*float64(second))))
}
