// Package stall detects intervals in which this process did not run, because it was stopped or the machine had
// no processor time for it, and computes how much of a given time they take up. During a stall no socket is
// read: if no response was received then, that is no evidence against the endpoint.
package stall

import "dunlinsail/internal/monotime"

// Interval is a stall: an interval in which the process did not run.
type Interval struct {
	From monotime.Micros // instant at which the process was due to run
	To   monotime.Micros // instant at which the process ran again
}

// Length returns the duration of the stall.
func (i Interval) Length() monotime.Micros { return i.To - i.From }

// maxStalls is the greatest number of stalls that a Log keeps.
const maxStalls = 64

// Log contains the latest stalls. The zero Log is empty.
type Log struct {
	stalls []Interval // in order of time, without overlap
}

// Add appends a stall, which must not start before the end of the previous one. If the log is full, the oldest
// stall is dropped.
func (l *Log) Add(stalled Interval) {
	if len(l.stalls) == maxStalls {
		l.stalls = append(l.stalls[:0], l.stalls[1:]...)
	}
	l.stalls = append(l.stalls, stalled)
}

// Within returns for how much of the time between two instants the process did not run, according to the stalls
// in the log.
func (l *Log) Within(from, to monotime.Micros) monotime.Micros {
	var sum monotime.Micros
	for n := len(l.stalls) - 1; n >= 0 && l.stalls[n].To > from; n-- {
		sum += max(0, min(to, l.stalls[n].To)-max(from, l.stalls[n].From))
	}
	return sum
}
