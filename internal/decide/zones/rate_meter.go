package zones

import "dunlinsail/internal/monotime"

// rateMeter estimates the number of events in the last second.
type rateMeter struct {
	secondStart monotime.Micros
	current     float64 // events since secondStart
	previous    float64 // events in the second before secondStart
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

// rate returns the events of the last second. Those before secondStart are interpolated, as if they had come evenly.
func (m *rateMeter) rate(now monotime.Micros) float64 {
	m.advance(now)
	return m.current + m.previous*(1-float64(now-m.secondStart)/float64(second))
}
