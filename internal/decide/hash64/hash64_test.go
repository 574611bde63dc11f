package hash64

import "testing"

// The generator returns the numbers of the reference implementation (Vigna, splitmix64.c) for the seed 0.
func TestSourceGivesReferenceNumbers(t *testing.T) {
	var s Source
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		if got := s.Uint64(); got != want {
			t.Errorf("number %d is %#x, want %#x", i, got, want)
		}
	}
	if got := SplitMix(0); got != 0xe220a8397b1dcdaf {
		t.Errorf("SplitMix(0) is %#x", got)
	}
}

// The hash of a string equals the published FNV-1a test vector (Noll).
func TestStringIsFNV1a(t *testing.T) {
	for s, want := range map[string]uint64{
		"":       0xcbf29ce484222325,
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
	} {
		if got := String(s); got != want {
			t.Errorf("String(%q) is %#x, want %#x", s, got, want)
		}
	}
}

// Unit maps the least hash to 0 and the greatest hash to a number just below 1.
func TestUnitIsBelowOne(t *testing.T) {
	if got := Unit(0); got != 0 {
		t.Errorf("Unit(0) is %v", got)
	}
	if got := Unit(1<<64 - 1); got >= 1 || got < 0.999999 {
		t.Errorf("Unit of the greatest hash is %v", got)
	}
}
