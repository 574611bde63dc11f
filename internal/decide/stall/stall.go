// Package stall finds the times for which this process did not run (it was stopped, or the machine had no processor
// time for it), and says how much of an interval they take up. During a stall nothing is read from a socket: that no
// response was seen then says nothing of the endpoint that was to send it.
package stall

import "dunlinsail/internal/monotime"

// Interval is a time for which the process did not run.
type Interval struct {
	From monotime.Micros // instant
	To   monotime.Micros // instant at which it ran again
}

// Length returns how long the stall was.
func (i Interval) Length() monotime.Micros { return i.To - i.From }

// maxStalls is the number of stalls that a Log remembers.
const maxStalls = 64

// Log remembers the latest stalls. The zero Log is empty.
type Log struct {
	stalls []Interval // in order, without overlap
}

// Add adds a stall, which must not begin before the end of the one before.
func (l *Log) Add(stalled Interval) {
	if len(l.stalls) == maxStalls {
		l.stalls = append(l.stalls[:0], l.stalls[1:]...)
	}
	l.stalls = append(l.stalls, stalled)
}

// Within returns how much of the time between two instants the process did not run.
func (l *Log) Within(from, to monotime.Micros) monotime.Micros {
	var sum monotime.Micros
	for n := len(l.stalls) - 1; n >= 0 && l.stalls[n].To > from; n-- {
		sum += max(0, min(to, l.stalls[n].To)-max(from, l.stalls[n].From))
	}
	return sum
}
