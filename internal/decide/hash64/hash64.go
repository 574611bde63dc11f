// Package hash64 provides the 64-bit hashes and seeded random numbers of the decision packages. The same input
// gives the same numbers in every instance and every build. The functions must not change, since stored and
// shared decisions depend on their results.
package hash64

// Increment is the increment of the SplitMix64 generator: 2^64 divided by the golden ratio.
const Increment = 0x9e3779b97f4a7c15

// The multipliers of SplitMix64's output function.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

// Mix is the output function of SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators",
// 2014): a bijection in which each bit of the result depends on all bits of z.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * mixMultiplier1
	z = (z ^ z>>27) * mixMultiplier2
	return z ^ z>>31
}

// SplitMix returns the first number of a SplitMix64 generator with a seed. It is used as a hash of the seed.
func SplitMix(seed uint64) uint64 { return Mix(seed + Increment) }

const (
	hashBits = 64
	unitBits = 53 // bits of a fraction in [0,1) that a float64 represents exactly
)

// Unit maps a hash to a number in [0,1) by its upper 53 bits.
func Unit(hash uint64) float64 { return float64(hash>>(hashBits-unitBits)) / (1 << unitBits) }

// The offset basis and the prime of the 64-bit FNV-1a hash.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// String returns the 64-bit FNV-1a hash of a string.
func String(s string) uint64 {
	h := uint64(fnvOffsetBasis)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// Source is a SplitMix64 generator. Its value is its state, and initially its seed. It must not be used by
// several goroutines at once.
type Source uint64

// Uint64 returns the next number of the generator.
func (s *Source) Uint64() uint64 {
	*s += Increment
	return Mix(uint64(*s))
}

// Float64 returns the next number of the generator, mapped to [0,1).
func (s *Source) Float64() float64 { return Unit(s.Uint64()) }
