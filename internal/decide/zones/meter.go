package zones

import "dunlinsail/internal/monotime"

// rateMeter counts the events of the last second, about.
type rateMeter struct {
	secondStart monotime.Micros
	current     float64 // since secondStart
	previous    float64 // in the second before
}

// advance moves the meter to now.
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

// add counts an event.
func (m *rateMeter) add(now monotime.Micros) {
	m.advance(now)
	m.current++
}

// rate returns the events of the last second, of which the part before secondStart is interpolated.
func (m *rateMeter) rate(now monotime.Micros) float64 {
	m.advance(now)
	return m.current + m.previous*(1-float64(now-m.secondStart)/float64(second))
}
