package balancer

import "dunlinsail/internal/monotime"

// randomSource is a SplitMix64 generator (Steele, Lea, Flood: Fast splittable pseudorandom number
// generators).
type randomSource uint64

// Constants of SplitMix64.
const (
	goldenGamma    = 0x9e3779b97f4a7c15 // step of the state, 2^64 over the golden ratio
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
	float64Bits    = 53               // bits of a float64's mantissa
	excessBits     = 64 - float64Bits // bits of a draw that a float64 cannot hold
)

// float returns a number in [0,1).
func (s *randomSource) float() float64 {
	*s += goldenGamma
	z := uint64(*s)
	z = (z ^ z>>30) * mixMultiplier1
	z = (z ^ z>>27) * mixMultiplier2
	return float64((z^z>>31)>>excessBits) / (1 << float64Bits)
}

// index returns a number in 0..n-1, or 0 for n = 0. It draws in both cases.
func (s *randomSource) index(n int) int { return int(s.float() * float64(n)) }

// durationBelow returns a duration in [0,d).
func (s *randomSource) durationBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(s.float() * float64(d))
}
