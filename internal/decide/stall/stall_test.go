package stall

import (
	"testing"

	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

func TestWithinCountsOnlyTheStalledPart(t *testing.T) {
	var l Log
	l.Add(Interval{From: 100 * ms, To: 200 * ms})
	l.Add(Interval{From: 300 * ms, To: 350 * ms})
	for _, c := range []struct{ from, to, want monotime.Micros }{
		{0, 100 * ms, 0},
		{0, 150 * ms, 50 * ms},
		{120 * ms, 150 * ms, 30 * ms},
		{0, 1000 * ms, 150 * ms},
		{200 * ms, 300 * ms, 0},
		{350 * ms, 1000 * ms, 0},
		{320 * ms, 310 * ms, 0},
	} {
		if got := l.Within(c.from, c.to); got != c.want {
			t.Errorf("%d to %d: %d, want %d", c.from, c.to, got, c.want)
		}
	}
}

func TestLogKeepsTheLatestStalls(t *testing.T) {
	var l Log
	for i := range monotime.Micros(2 * maxStalls) {
		l.Add(Interval{From: 2 * i * ms, To: (2*i + 1) * ms})
	}
	if got := l.Within(0, monotime.Second); len(l.stalls) != maxStalls || got != maxStalls*ms {
		t.Errorf("%d stalls with %d, want %d", len(l.stalls), got, maxStalls)
	}
}

// A loop that runs when it is due, or earlier because of an event, is not stalled. A loop that runs late is
// stalled, whether it was waiting or busy.
func TestDetector(t *testing.T) {
	var d Detector
	for _, step := range []struct {
		runAt     monotime.Micros
		waitUntil monotime.Micros // 0 means that the loop does not wait
		want      monotime.Micros // length of the stall; 0 means no stall
	}{
		{runAt: 1000 * ms, waitUntil: 1020 * ms},
		{runAt: 1021 * ms, waitUntil: 1041 * ms},
		{runAt: 1030 * ms, waitUntil: 1050 * ms},
		{runAt: 1666 * ms, want: 616 * ms},
		{runAt: 1667 * ms},
		{runAt: 1700 * ms, waitUntil: 9000 * ms, want: 33 * ms},
		{runAt: 8000 * ms},
	} {
		stalled, found := d.Run(step.runAt)
		if found != (step.want > 0) || found && (stalled.Length() != step.want || stalled.To != step.runAt) {
			t.Errorf("at %d: %v %v, want %d", step.runAt, stalled, found, step.want)
		}
		if step.waitUntil > 0 {
			d.WaitUntil(step.waitUntil)
		}
	}
}
