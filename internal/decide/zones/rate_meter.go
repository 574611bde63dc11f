package zones

import "dunlinsail/internal/monotime"

// rateMeter estimates the number of events in the last second from the counts of two successive one-second intervals.
type rateMeter struct {
	secondStart monotime.Micros
	current     float64 // number of events since secondStart
	previous    float64 // number of events in the one second before secondStart
}

// advance starts a new second if the current one is over at now.
func (m *rateMeter) advance(now monotime.Micros) {
	switch elapsed := now - m.secondStart; {
	case elapsed >= 2*second:
		m.secondStart = now
		m.current = 0
		m.previous = 0
	case elapsed >= second:
		m.secondStart += second
		m.previous = m.current
		m.current = 0
	}
}

// add counts an event at now.
func (m *rateMeter) add(now monotime.Micros) {
	m.advance(now)
	m.current++
}

// rate returns the estimated number of events in the second before now. It assumes that the events before secondStart
// were evenly spaced.
func (m *rateMeter) rate(now monotime.Micros) float64 {
	m.advance(now)
	return m.current + m.previous*(1-float64(now-m.secondStart)/float64(second))
}
