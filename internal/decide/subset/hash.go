package subset

// randomFloat returns a number in [0,1) from the set's seed (SplitMix64).
func (x *Set) randomFloat() float64 {
	x.randState += 0x9e3779b97f4a7c15
	return float64(mix64(x.randState)>>11) / (1 << 53)
}

// mix64 is a step of SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
func mix64(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// hashString is the 64-bit FNV-1a hash of a string.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
