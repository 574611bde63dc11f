package timeslice

import (
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

func TestSliceIsUsedUpUnlessTheGoroutineWaits(t *testing.T) {
	var s Slice
	now := monotime.Micros(1000)
	for range 3 {
		for step := range 2 * minSteps {
			length := MaxRun * monotime.Micros(step) / minSteps
			if got, usedUp := s.Step(now + length); got != length || usedUp != (length >= MaxRun) {
				t.Errorf("step %d after %d: length %d, used up %v", step, length, got, usedUp)
			}
		}
		now += 10 * MaxRun
		s.Restart(now)
	}
}

// Guards against a client that is paused because it sends its first request in a burst of many clients, each of which
// waits for its turn.
func TestFewStepsAreNeverTooLong(t *testing.T) {
	var s Slice
	for step := range monotime.Micros(minSteps - 1) {
		if _, usedUp := s.Step(1000 + step*monotime.Second); usedUp {
			t.Errorf("used up after %d steps", step+1)
		}
	}
}

const testPeriod = monotime.Second

// runGoroutines returns for how long goroutines that never wait run in testPeriod, all together. Each run is as long as
// the given length.
func runGoroutines(goroutines, processors int, length monotime.Micros) (used monotime.Micros) {
	var s Scheduler
	resumeAt := make([]monotime.Micros, goroutines)
	for {
		next := slices.Index(resumeAt, slices.Min(resumeAt))
		endsAt := resumeAt[next] + length
		if endsAt > testPeriod {
			return used
		}
		used += length
		resumeAt[next] = s.NextStart(endsAt, length, processors)
	}
}

// Goroutines that never wait leave half of the processors' time to others, however many they are and even if they run
// for longer than they may, but get the other half.
func TestHalfOfTheTimeIsLeft(t *testing.T) {
	for _, processors := range []int{1, 2, 8} {
		for _, goroutines := range []int{1, 16, 100} {
			for _, length := range []monotime.Micros{MaxRun, 4 * MaxRun} {
				used := runGoroutines(goroutines, processors, length)
				firstRuns := monotime.Micros(goroutines) * length // each runs once before its first pause
				most := testPeriod*monotime.Micros(processors)/2 + firstRuns
				least := testPeriod * monotime.Micros(min(processors, goroutines)) / 4
				if used < least || used > most {
					t.Errorf("%d goroutines of %d µs on %d processors run for %d µs, want %d to %d",
						goroutines, length, processors, used, least, most)
				}
			}
		}
	}
}

// A run that was prolonged by something else than work delays the goroutines behind it only for so long.
func TestLongRunCountsInPart(t *testing.T) {
	var s Scheduler
	s.NextStart(0, testPeriod, 1)
	if start := s.NextStart(0, MaxRun, 1); start > 3*maxCountedRun {
		t.Errorf("the next goroutine starts after %d µs", start)
	}
}

// Transfers get half of the processors' time together, however many they are, and none pauses below that.
func TestTransfersShareHalfOfTheTime(t *testing.T) {
	const (
		pieceBytes = 48 << 10
		cost       = pieceCost + pieceBytes/bytesPerMicro
	)
	for _, processors := range []int{1, 4} {
		for _, transfers := range []int{1, 16, 400} {
			var s Scheduler
			resumeAt := make([]monotime.Micros, transfers)
			var used monotime.Micros
			for {
				next := slices.Index(resumeAt, slices.Min(resumeAt))
				endsAt := resumeAt[next] + cost
				if endsAt > testPeriod {
					break
				}
				used += cost
				resumeAt[next] = max(endsAt, s.Transfer(endsAt, pieceBytes, processors))
			}
			most := testPeriod*monotime.Micros(processors)/2 + monotime.Micros(transfers)*cost + maxTransferLead
			if used > most || transfers >= 16 && used < most/2 {
				t.Errorf("%d transfers on %d processors used %d µs, want about %d", transfers, processors, used, most)
			}
		}
	}
	var s Scheduler
	for now := monotime.Micros(0); now < testPeriod; now += 4 * cost {
		if s.Transfer(now, pieceBytes, 1) != 0 {
			t.Fatalf("a transfer that takes a quarter of the time pauses at %d", now)
		}
	}
}
