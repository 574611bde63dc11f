package monotime

import "testing"

// The extended duration covers d on the slowest other clock, and rounding never shortens a duration.
func TestExtendForDriftCoversTheSlowestClock(t *testing.T) {
	for _, tc := range []struct {
		d     Micros
		drift float64
		want  Micros
	}{
		{0, 0.1, 0},
		{Second, 0, Second},
		{Second, 0.005, 1_010_051},
		{2 * Second, 0.1, 2_444_445},
		{1, 0.005, 2},
	} {
		got := ExtendForDrift(tc.d, tc.drift)
		if got != tc.want {
			t.Errorf("ExtendForDrift(%d, %v) = %d, want %d", tc.d, tc.drift, got, tc.want)
		}
		localRate := 1 + tc.drift
		otherRate := 1 - tc.drift
		if otherElapsed := float64(got) / localRate * otherRate; otherElapsed < float64(tc.d)-1e-6 {
			t.Errorf("%d with a drift of %v: the slowest other clock shows %v", tc.d, tc.drift, otherElapsed)
		}
	}
}
