package balancer

import "dunlinsail/internal/monotime"

// randomSource is a SplitMix64 generator (Steele, Lea, Flood: Fast splittable pseudorandom number generators).
type randomSource uint64

// float returns a number in [0,1).
func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// index returns a number in 0..n-1, 0 for n = 0.
func (s *randomSource) index(n int) int { return int(s.float() * float64(n)) }

// durationBelow returns a duration in [0,d).
func (s *randomSource) durationBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(s.float() * float64(d))
}
