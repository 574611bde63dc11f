// Package timeslice decides how long a goroutine may run on input that is at hand, and when it may run again. A
// goroutine that never waits keeps its processor for a whole time slice of the runtime's scheduler, 10 to 20 ms, and
// while all processors are busy the runtime polls the network only every 10 ms: all other connections would be served
// that much later at each step.
package timeslice

import "dunlinsail/internal/monotime"

const (
	// MaxRun is how long a goroutine may run without waiting.
	MaxRun = monotime.Millisecond / 2
	// maxCountedRun bounds how long a run counts. A goroutine that has run for longer was preempted or has waited.
	maxCountedRun = 4 * monotime.Millisecond
	// minSteps is how many steps of work a goroutine has done at least before it pauses. With fewer, it has run for
	// long because others have: a burst of clients with a request each must not be slowed down.
	minSteps = 8
	// maxTransferLead is how far transfers may be ahead of their share of the processors before they pause.
	maxTransferLead = monotime.Millisecond
	// pieceCost and bytesPerMicro estimate the processor time of one piece of a body: two system calls, and the
	// copies into and out of the kernel at 2 GB a second.
	pieceCost     = 20 // µs
	bytesPerMicro = 2000
	// sharedProcessors is the divisor that leaves half of the processors' time to goroutines that do wait.
	sharedProcessors = 2
)

// Slice measures for how long a goroutine has run without waiting. The zero Slice has not started.
type Slice struct {
	startedAt monotime.Micros
	steps     int
}

// Restart records that the goroutine has waited until the instant now.
func (s *Slice) Restart(now monotime.Micros) {
	s.startedAt = now
	s.steps = 0
}

// Step records that the goroutine has done a step of its work without waiting: it has read once, or served a request.
// It returns for how long the goroutine has run at the instant now, and whether it must pause: after MaxRun and
// minSteps. The first call starts the slice.
func (s *Slice) Step(now monotime.Micros) (length monotime.Micros, usedUp bool) {
	if s.startedAt == 0 {
		s.startedAt = now
	}
	s.steps++
	length = now - s.startedAt
	return length, length >= MaxRun && s.steps >= minSteps
}

// Scheduler selects the instants at which goroutines that have used up their slices run again. The zero Scheduler has
// selected none.
type Scheduler struct {
	nextStart monotime.Micros // earliest instant for the next goroutine
}

// NextStart returns the instant at which a goroutine may run again that has run for the given length until the instant
// now: after a pause as long as its run, and in turn after the goroutines that paused before it.
func (s *Scheduler) NextStart(now, length monotime.Micros, processors int) monotime.Micros {
	length = min(max(length, MaxRun), maxCountedRun)
	start := max(now+length, s.nextStart)
	s.nextStart = start + sharedProcessors*length/monotime.Micros(max(1, processors))
	return start
}

// Transfer returns the instant until which a goroutine pauses that has transferred a piece of a body, or 0 if it need
// not pause. Many transfers keep the processors busy even if each of them waits in between, so their pieces count
// together.
func (s *Scheduler) Transfer(now monotime.Micros, pieceBytes, processors int) (resumeAt monotime.Micros) {
	cost := monotime.Micros(pieceCost + pieceBytes/bytesPerMicro)
	s.nextStart = max(s.nextStart, now) + max(1, sharedProcessors*cost/monotime.Micros(max(1, processors)))
	if s.nextStart-now <= maxTransferLead {
		return 0
	}
	return s.nextStart
}
