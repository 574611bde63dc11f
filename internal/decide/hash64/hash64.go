// Package hash64 has the 64-bit hashes and the seeded random numbers of the decision packages. Instances that
// are given the same input come to the same numbers, in every build: stored and shared decisions depend on
// them, so that they must not change.
package hash64

// Increment is the increment of the SplitMix64 generator: 2^64 over the golden ratio.
const Increment = 0x9e3779b97f4a7c15

// Mix is the output function of SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number
// Generators", 2014): a bijection in which each bit of the result depends on all bits of z.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// SplitMix is the first number of a SplitMix64 generator with a seed; it serves as a hash of the seed.
func SplitMix(seed uint64) uint64 { return Mix(seed + Increment) }

// Unit maps a hash to a number in [0,1) by its upper 53 bits.
func Unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// String is the 64-bit FNV-1a hash of a string.
func String(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// Source is a SplitMix64 generator; its value is the seed. It is for one goroutine at a time.
type Source uint64

// Uint64 returns the next number.
func (s *Source) Uint64() uint64 {
	*s += Increment
	return Mix(uint64(*s))
}

// Float64 returns the next number, in [0,1).
func (s *Source) Float64() float64 { return Unit(s.Uint64()) }
